package proof

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/route"
)

// promise names a property that must always hold.
type promise string

const (
	promiseBudget    promise = "measuring stays within the budget"
	promiseAnswer    promise = "a caller gets the complete response to its own request"
	promiseNotRun    promise = "a request reported as not run did not run"
	promiseOnce      promise = "a non-idempotent request runs at most once"
	promiseLeaving   promise = "a leaving upstream receives no new work"
	promiseStop      promise = "a planned stop cuts off no request"
	promiseDeadly    promise = "a request that crashes its workers is kept from them"
	promiseWarming   promise = "a warming worker receives no more than its limit"
	promiseRateLimit promise = "a worker receives no more than the rate that it names"
	promiseBundle    promise = "a bundle in force spreads and never reverts"
	// promiseRecovery covers liveness: once faults stop, every node serves again.
	promiseRecovery promise = "service returns once faults stop"
)

// violation is one broken promise that the oracle found.
type violation struct {
	promise promise
	at      time.Time
	text    string
}

func (v violation) String() string {
	return fmt.Sprintf("%s: at %v: %s", v.promise, v.at.Sub(epoch), v.text)
}

// ledger is the oracle's record of what happened, kept outside the cores.
type ledger struct {
	w          *world
	violations []violation
	counts     map[string]int

	requests map[model.RequestID]*request
	// submissions are in the order in which callers made them; attempts are by id.
	submissions []*submission
	attempts    map[model.AttemptID]*attemptRecord

	processes    map[*process]*processRecord
	measurements map[*node][]time.Time
	// lastDisturbance is when communication between nodes was last disturbed.
	lastDisturbance time.Time
}

// request collects the submissions and runs of one request id.
type request struct {
	id          model.RequestID
	submissions []*submission
	runs        []workerRun
}

// submission is one arrival of a caller's request; a resubmission has the same id.
type submission struct {
	number  int
	request model.RequestID
	keyed   bool
	route   callerRoute
	tenant  model.TenantName
	// deadly is set when the request crashes its workers.
	deadly      *deadlyRequest
	submittedAt time.Time
	exchange    *exchange
	// homes are the processes that were asked as the home node of the request id;
	// homeAttempt is the last attempt that asked one.
	homes       map[*process]*homeRecord
	homeAttempt *attemptRecord
	ended       bool
	hasOutcome  bool
	outcome     model.Outcome
	outcomeAt   time.Time
}

// homeRecord describes a submission's contact with one home of its request id.
// registeredAt is when that process first registered the id for this submission, zero
// when it never did; lastReply is when it last decided on an attempt.
type homeRecord struct{ registeredAt, lastReply time.Time }

// attemptRecord is what the oracle knows about one attempt.
type attemptRecord struct {
	submission *submission
	// home is the process that registered the request id for this attempt; nil until a
	// home was reached.
	home *process
	// asked is the home that the entry chose; candidates are the upstreams that it chose
	// from.
	asked      model.InstanceID
	candidates string
}

// workerRun is one run of a request at a worker.
type workerRun struct {
	attempt    model.AttemptID
	record     *attemptRecord
	submission *submission
	worker     model.InstanceID
	at         time.Time
}

// processRecord is what the oracle knows about one process.
type processRecord struct {
	startedAt time.Time
	// version is the bundle version in force since versionSince.
	version      uint64
	versionSince time.Time
	// leavingSince is when the process began to leave, seenLeavingAt when another process
	// first saw it leaving; both are zero before that.
	leavingSince, seenLeavingAt time.Time
	// seenLeavingIncarnation is the incarnation that was seen leaving.
	seenLeavingIncarnation model.Incarnation
	// fleetChanges is the number of changes of its view that were already observed.
	fleetChanges uint64
}

func newLedger(w *world) *ledger {
	return &ledger{
		w: w, counts: map[string]int{}, requests: map[model.RequestID]*request{},
		attempts: map[model.AttemptID]*attemptRecord{}, processes: map[*process]*processRecord{},
		measurements: map[*node][]time.Time{}, lastDisturbance: w.now,
	}
}

func (g *ledger) count(what string) { g.counts[what]++ }

func (g *ledger) violate(p promise, format string, args ...any) {
	g.violations = append(g.violations, violation{promise: p, at: g.w.now, text: fmt.Sprintf(format, args...)})
}

// recordDisturbance notes that communication between nodes is disturbed now.
func (g *ledger) recordDisturbance() { g.lastDisturbance = g.w.now }

// undisturbedSince returns the time since which all nodes could communicate freely; now,
// while a process is paused or a network fault is active.
func (g *ledger) undisturbedSince() time.Time {
	w := g.w
	if len(w.net.cuts) > 0 || w.net.loss > 0 || w.net.delayFactor > 1 {
		return w.now
	}
	for _, n := range w.nodes {
		if n.process != nil && n.process.paused {
			return w.now
		}
	}
	return g.lastDisturbance
}

func (g *ledger) recordStart(proc *process) { g.processes[proc] = &processRecord{startedAt: g.w.now} }

// recordSubmission records a caller's submission.
func (g *ledger) recordSubmission(s *submission) {
	s.number = len(g.submissions)
	s.submittedAt = g.w.now
	s.homes = map[*process]*homeRecord{}
	g.submissions = append(g.submissions, s)
	r := g.requests[s.request]
	if r == nil {
		r = &request{id: s.request}
		g.requests[s.request] = r
	}
	r.submissions = append(r.submissions, s)
	g.count("sendings")
}

// hasHome reports whether the submission's request id has a home node.
func (s *submission) hasHome() bool { return s.keyed && !s.route.idempotent }

// recordAttempt records an attempt that an entry makes.
func (g *ledger) recordAttempt(x *exchange, step entry.Step) {
	s := x.submission
	rec := &attemptRecord{submission: s}
	g.attempts[step.Attempt.ID] = rec
	g.count("attempts")
	g.w.trace.add(g.w, "sent", s.number, step.Attempt.ID, step.To.ID, step.Attempt.Delegated, candidates(x.proc, step.Attempt.Service))
	switch {
	case !s.hasHome():
	case step.Attempt.Delegated:
		rec.home, rec.candidates = s.homeAttempt.home, s.homeAttempt.candidates
	default:
		rec.asked, rec.candidates = step.To.ID, candidates(x.proc, step.Attempt.Service)
		if s.homeAttempt != nil && s.homeAttempt.asked == rec.asked && x.isResend() {
			rec.candidates = s.homeAttempt.candidates
		}
		s.homeAttempt = rec
	}
}

// candidates names the upstreams among which an entry looks for the home node: those that
// are leaving neither in its view of the fleet nor by their owners' reports.
func candidates(proc *process, service model.ServiceName) string {
	var ids []string
	for _, e := range proc.core.Table.Explain(proc.now(), &route.Query{Service: service}) {
		if !e.Leaving {
			ids = append(ids, string(e.Instance.ID))
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// recordOffer records an owner's decision. knewLeaving is set when the owner knew that
// its upstream is leaving.
func (g *ledger) recordOffer(j *job, knewLeaving bool, kind owner.DecisionKind, r model.Refusal) {
	if kind == owner.Refuse {
		g.count("refused " + r.Reason.String())
	}
	if knewLeaving && kind != owner.Refuse {
		g.violate(promiseLeaving, "%s admitted %s although it knows that it is leaving", j.proc.node.id, j.attempt.ID)
	}
	rec := g.attempts[j.attempt.ID]
	s := rec.submission
	if !s.hasHome() || j.attempt.Delegated {
		return
	}
	registers := kind != owner.Refuse || r.Reason == model.ReasonDelegated
	if registers || rec.home == nil {
		rec.home = j.proc
	}
	h := s.homes[j.proc]
	if h == nil {
		h = &homeRecord{}
		s.homes[j.proc] = h
	}
	h.lastReply = g.w.now
	if registers && h.registeredAt.IsZero() {
		h.registeredAt = g.w.now
	}
}

// recordRun records a run at a worker.
func (g *ledger) recordRun(wk *worker, j *job) {
	rec := g.attempts[j.attempt.ID]
	s := rec.submission
	r := g.requests[s.request]
	run := workerRun{attempt: j.attempt.ID, record: rec, submission: s, worker: wk.node.id, at: g.w.now}
	g.w.trace.add(g.w, "ran", s.number, j.attempt.ID, wk.node.id)
	g.count("runs")
	if s.deadly != nil {
		g.recordDeadlyRun(wk, j, s.deadly)
	}
	g.checkOnce(r, run)
	r.runs = append(r.runs, run)
	for _, other := range r.submissions {
		g.checkNotRun(other, run)
	}
}

// recordOutcome records the outcome that a caller received.
func (g *ledger) recordOutcome(s *submission, o model.Outcome, reason model.Reason, a *response) {
	s.ended, s.hasOutcome, s.outcome, s.outcomeAt = true, true, o, g.w.now
	g.w.trace.add(g.w, "told", s.number, s.request, o, reason)
	g.count("told " + o.String())
	g.checkDeadline(s)
	if o == model.OutcomeAnswered {
		g.checkAnswer(s, a)
	}
	for _, run := range g.requests[s.request].runs {
		g.checkNotRun(s, run)
	}
}

// recordDisconnect records that a caller's connection broke without an outcome.
func (g *ledger) recordDisconnect(s *submission) {
	s.ended = true
	g.count("callers disconnected")
}

// recordLeaving records that a process's upstream began to leave.
func (g *ledger) recordLeaving(proc *process) {
	if r := g.processes[proc]; r.leavingSince.IsZero() {
		r.leavingSince = g.w.now
	}
}
