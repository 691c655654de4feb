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

// promise names what must always hold.
type promise string

const (
	promiseBudget  promise = "measuring stays within the budget"
	promiseAnswer  promise = "a caller gets the whole answer to its own request"
	promiseNotRun  promise = "what a caller is told was not run was not run"
	promiseOnce    promise = "a non-idempotent request runs at most once"
	promiseLeaving promise = "a leaving upstream receives no new work"
	promiseStop    promise = "a planned stop cuts off no request"
	promiseDeadly  promise = "a request that ends its workers is kept from them"
	promiseWarming promise = "a warming worker gets no more than it may"
	promiseBundle  promise = "a bundle in force spreads and never reverts"
	// recovery is no promise of its own: once faults stop, service is full.
	recovery promise = "service returns once faults stop"
)

// violation is one breach that the oracle found.
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
	// sendings in the order in which callers made them; attempts by their ids.
	sendings []*sending
	attempts map[model.AttemptID]*attemptRecord

	lives    map[*life]*lifeRecord
	measures map[*node][]time.Time
	// disturbedAt is the last time at which nodes were kept from talking.
	disturbedAt time.Time
}

// request is what callers mean by one id.
type request struct {
	id       model.RequestID
	sendings []*sending
	runs     []workerRun
}

// sending is one time that a caller sent a request.
type sending struct {
	number  int
	request model.RequestID
	keyed   bool
	route   callerRoute
	tenant  model.TenantName
	// deadly is set where the request ends its workers.
	deadly   *deadlyRequest
	begun    time.Time
	exchange *exchange
	// homes are the processes that were asked as the home of the sending's id;
	// asked is the last attempt that asked one.
	homes   map[*life]*homeRecord
	asked   *attemptRecord
	ended   bool
	told    bool
	outcome model.Outcome
	toldAt  time.Time
}

// homeRecord is what a sending had to do with a home of its id: registered is
// when that process first took the id for it, zero when it never did, and word
// when it last spoke.
type homeRecord struct{ registered, word time.Time }

// attemptRecord is what the oracle knows of one attempt.
type attemptRecord struct {
	sending *sending
	// home is the process at which the sending's id is registered for this
	// attempt; nil as long as it was not reached.
	home *life
	// to is the home that was asked, candidates are the upstreams among which the
	// entry saw it.
	to         model.InstanceID
	candidates string
}

// workerRun is one run of a request at a worker.
type workerRun struct {
	attempt model.AttemptID
	record  *attemptRecord
	sending *sending
	worker  model.InstanceID
	at      time.Time
}

// lifeRecord is what the oracle knows of one process.
type lifeRecord struct {
	born time.Time
	// version is the bundle version in force since that time.
	version uint64
	since   time.Time
	// leaves is when its upstream began to leave by its own word, listed when
	// another process first saw it leaving; zero when it has not.
	leaves, listed time.Time
	// listedIn is the incarnation that was seen leaving.
	listedIn model.Incarnation
	// fleet is the number of changes of its view that were looked at.
	fleet uint64
}

func newLedger(w *world) *ledger {
	return &ledger{
		w: w, counts: map[string]int{}, requests: map[model.RequestID]*request{},
		attempts: map[model.AttemptID]*attemptRecord{}, lives: map[*life]*lifeRecord{},
		measures: map[*node][]time.Time{}, disturbedAt: w.now,
	}
}

func (g *ledger) count(what string) { g.counts[what]++ }

func (g *ledger) violate(p promise, format string, args ...any) {
	g.violations = append(g.violations, violation{promise: p, at: g.w.now, text: fmt.Sprintf(format, args...)})
}

// disturb notes that nodes have just been kept from talking.
func (g *ledger) disturb() { g.disturbedAt = g.w.now }

// calmSince returns when nodes could last not talk freely.
func (g *ledger) calmSince() time.Time {
	w := g.w
	if len(w.net.cuts) > 0 || w.net.loss > 0 || w.net.slow > 1 {
		return w.now
	}
	for _, n := range w.nodes {
		if n.life != nil && n.life.paused {
			return w.now
		}
	}
	return g.disturbedAt
}

func (g *ledger) born(l *life) { g.lives[l] = &lifeRecord{born: g.w.now} }

// begin notes a caller's sending.
func (g *ledger) begin(s *sending) {
	s.number = len(g.sendings)
	s.begun = g.w.now
	s.homes = map[*life]*homeRecord{}
	g.sendings = append(g.sendings, s)
	r := g.requests[s.request]
	if r == nil {
		r = &request{id: s.request}
		g.requests[s.request] = r
	}
	r.sendings = append(r.sendings, s)
	g.count("sendings")
}

// bound tells whether the sending's id has a home.
func (s *sending) bound() bool { return s.keyed && !s.route.idempotent }

// sent notes an attempt that an entry makes.
func (g *ledger) sent(x *exchange, step entry.Step) {
	s := x.sending
	rec := &attemptRecord{sending: s}
	g.attempts[step.Attempt.ID] = rec
	g.count("attempts")
	g.w.trace.add(g.w, "sent", s.number, step.Attempt.ID, step.To.ID, step.Attempt.Delegated, candidates(x.l, step.Attempt.Service))
	switch {
	case !s.bound():
	case step.Attempt.Delegated:
		rec.home, rec.candidates = s.asked.home, s.asked.candidates
	default:
		rec.to, rec.candidates = step.To.ID, candidates(x.l, step.Attempt.Service)
		if s.asked != nil && s.asked.to == rec.to && x.resends() {
			rec.candidates = s.asked.candidates
		}
		s.asked = rec
	}
}

// candidates names the upstreams among which an entry sees an id's home: those
// that are leaving neither by its view of the fleet nor by what their owners
// said to it.
func candidates(l *life, service model.ServiceName) string {
	var ids []string
	for _, e := range l.core.Table.Explain(l.w.now, &route.Query{Service: service}) {
		if !e.Leaving {
			ids = append(ids, string(e.Instance.ID))
		}
	}
	slices.Sort(ids)
	return strings.Join(ids, " ")
}

// offered notes an owner's verdict; knew tells whether it knew that its upstream
// leaves.
func (g *ledger) offered(j *job, knew bool, v owner.DecisionKind, r model.Refusal) {
	if v == owner.Refuse {
		g.count("refused " + r.Reason.String())
	}
	if knew && v != owner.Refuse {
		g.violate(promiseLeaving, "%s admitted %s although it knows that it leaves", j.l.node.id, j.attempt.ID)
	}
	rec := g.attempts[j.attempt.ID]
	s := rec.sending
	if !s.bound() || j.attempt.Delegated {
		return
	}
	registers := v != owner.Refuse || r.Reason == model.ReasonDelegated
	if registers || rec.home == nil {
		rec.home = j.l
	}
	h := s.homes[j.l]
	if h == nil {
		h = &homeRecord{}
		s.homes[j.l] = h
	}
	h.word = g.w.now
	if registers && h.registered.IsZero() {
		h.registered = g.w.now
	}
}

// ran notes a run at a worker.
func (g *ledger) ran(wk *worker, j *job) {
	rec := g.attempts[j.attempt.ID]
	s := rec.sending
	r := g.requests[s.request]
	run := workerRun{attempt: j.attempt.ID, record: rec, sending: s, worker: wk.n.id, at: g.w.now}
	g.w.trace.add(g.w, "ran", s.number, j.attempt.ID, wk.n.id)
	g.count("runs")
	if s.deadly != nil {
		g.ranDeadly(wk, j, s.deadly)
	}
	g.checkOnce(r, run)
	r.runs = append(r.runs, run)
	for _, other := range r.sendings {
		g.checkNotRun(other, run)
	}
}

// told notes what a caller was told.
func (g *ledger) told(s *sending, o model.Outcome, reason model.Reason, a *answer) {
	s.ended, s.told, s.outcome, s.toldAt = true, true, o, g.w.now
	g.w.trace.add(g.w, "told", s.number, s.request, o, reason)
	g.count("told " + o.String())
	g.checkInTime(s)
	if o == model.OutcomeAnswered {
		g.checkAnswer(s, a)
	}
	for _, run := range g.requests[s.request].runs {
		g.checkNotRun(s, run)
	}
}

// disconnected notes that a caller's connection broke without an outcome.
func (g *ledger) disconnected(s *sending) {
	s.ended = true
	g.count("callers disconnected")
}

// leaves notes that a process's upstream begins to leave.
func (g *ledger) leaves(l *life) {
	if r := g.lives[l]; r.leaves.IsZero() {
		r.leaves = g.w.now
	}
}
