package entry

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// maxSteps bounds the steps of one call.
const maxSteps = 100

// world connects the calls of one entry node to fake owners by messages that are delayed,
// lost or mixed up, and records what ran.
type world struct {
	t        *rapid.T
	now      time.Time
	engine   *Engine
	owners   []*fakeOwner
	reports  map[model.InstanceID]receivedReport
	inFlight map[model.InstanceID]int
	calls    []*liveCall
	messages []*message
	replies  []*reply
	byID     map[model.AttemptID]*liveCall
	runs     map[model.RequestID]int
	// focus, when set, is the only call that actions apply to.
	focus *liveCall
	// homeRestarted holds the ids whose home node lost its records.
	homeRestarted map[model.RequestID]bool
}

type receivedReport struct {
	report model.LoadReport
	at     time.Time
}

type liveCall struct {
	call        *Call
	req         Request
	step        Step
	outstanding bool
	attempts    []model.Attempt
	ran         int
	steps       int
	// deniedByHome reports that the home node's latest reply proved that it did not run the
	// id. runsAtDenial is the number of runs of the id at that moment.
	deniedByHome bool
	runsAtDenial int
	ended        bool
}

type message struct {
	attempt model.Attempt
	owner   *fakeOwner
}

type reply struct {
	attempt  model.AttemptID
	report   model.LoadReport
	refusal  model.Refusal
	answered bool
	failed   bool
}

// Pick, NextHome, PickInstance, NoUpstreamReason, Sent and Done make the world the engine's
// routing table.
func (w *world) Pick(now time.Time, q *route.Query) (route.Choice, bool) {
	first := rapid.IntRange(0, len(w.owners)-1).Draw(w.t, "first")
	tried := triedOwners{}
	for _, id := range q.Tried {
		tried.add(id)
	}
	for i := range w.owners {
		o := w.owners[(first+i)%len(w.owners)]
		if !tried.has(o.instance.ID) {
			return w.choice(o), true
		}
	}
	return route.Choice{}, false
}

func (w *world) NextHome(_ time.Time, _ *route.Query, id model.RequestID, skipped []model.InstanceID) (route.Choice, bool) {
	if slices.Contains(skipped, w.home(id).instance.ID) {
		return route.Choice{}, false
	}
	return w.choice(w.home(id)), true
}

func (w *world) PickInstance(_ time.Time, _ *route.Query, id model.InstanceID) (route.Choice, bool) {
	for _, o := range w.owners {
		if o.instance.ID == id {
			return w.choice(o), true
		}
	}
	return route.Choice{}, false
}

func (w *world) home(id model.RequestID) *fakeOwner { return w.owners[int(id[1])%len(w.owners)] }

func (w *world) choice(o *fakeOwner) route.Choice {
	in := o.instance
	in.Incarnation = 0
	h, ok := w.reports[in.ID]
	if !ok {
		return route.Choice{Instance: in}
	}
	in.Incarnation = h.report.Incarnation
	return route.Choice{Instance: in, OwnerClock: h.report.Clock + w.now.Sub(h.at)}
}

func (w *world) NoUpstreamReason(*route.Query) model.Reason { return model.ReasonNoUpstream }

func (w *world) Sent(_ time.Time, id model.InstanceID) { w.inFlight[id]++ }

func (w *world) Done(_ time.Time, id model.InstanceID, _ route.Result) { w.inFlight[id]-- }

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: epoch, reports: map[model.InstanceID]receivedReport{}, inFlight: map[model.InstanceID]int{},
		byID: map[model.AttemptID]*liveCall{}, runs: map[model.RequestID]int{}, homeRestarted: map[model.RequestID]bool{},
	}
	for i := range 3 {
		o := &fakeOwner{instance: model.Instance{ID: model.InstanceID("payouts-" + string(rune('a'+i))), Incarnation: 6}}
		o.restart(epoch)
		w.owners = append(w.owners, o)
	}
	w.engine = testEngine(w)
	w.engine.latencies.get(classKey{testService, "payout"}, newLatencyQuantile).nanos.Store(int64(time.Millisecond))
	return w
}

func (w *world) begin(t *rapid.T) {
	if len(w.calls) == 6 {
		t.Skip("enough calls")
	}
	r := testRequest()
	r.Target.Bundle.Retry.HedgeAfterQuantile = 0.5
	r.Idempotent = rapid.IntRange(0, 3).Draw(t, "idempotent") == 0
	r.Replayable = rapid.IntRange(0, 3).Draw(t, "replayable") > 0
	r.CallerKey = rapid.IntRange(0, 2).Draw(t, "callerKey") > 0
	r.ID = model.RequestID("u" + string(rune('0'+len(w.calls))))
	if r.CallerKey && !r.Idempotent {
		r.ID = rapid.SampledFrom([]model.RequestID{"k0", "k0", "k0", "k1"}).Draw(t, "key")
	}
	w.calls = append(w.calls, &liveCall{call: w.engine.Begin(w.now, r), req: r})
}

// step gets the next step of an idle call and starts to carry it out.
func (w *world) step(t *rapid.T) {
	l := draw(t, w.calls, func(l *liveCall) bool { return w.inFocus(l) && !l.outstanding && !l.ended })
	s := l.call.Next(w.now)
	l.step = s
	l.steps++
	if !w.now.Before(l.call.Deadline()) && s.Kind != StepEnd {
		t.Fatalf("step %v after the deadline", s.Kind)
	}
	if l.steps > maxSteps {
		t.Fatalf("%d steps", l.steps)
	}
	switch s.Kind {
	case StepSend:
		w.send(t, l)
	case StepResolve:
		l.outstanding = true
	case StepWait:
		if s.Until.After(l.call.Deadline()) || !s.Until.After(w.now) {
			t.Fatalf("wait at %v until %v", w.now, s.Until)
		}
	case StepEnd:
		w.end(t, l)
	}
}

func (w *world) send(t *rapid.T, l *liveCall) {
	if !l.req.Idempotent {
		w.wantCannotRun(t, l, "sent again")
	}
	a := l.step.Attempt
	l.deniedByHome = l.deniedByHome && a.Delegated
	if w.byID[a.ID] != nil {
		t.Fatalf("attempt id %v used twice", a.ID)
	}
	l.outstanding = true
	l.attempts = append(l.attempts, a)
	w.byID[a.ID] = l
	w.messages = append(w.messages, &message{attempt: a, owner: w.owner(l.step.To.ID)})
}

func (w *world) end(t *rapid.T, l *liveCall) {
	l.ended = true
	if l.step.Outcome == model.OutcomeNotRun {
		w.wantCannotRun(t, l, "reported not-run")
		if l.call.needsHome() && !w.homeRestarted[l.req.ID] && (!l.deniedByHome || l.runsAtDenial > 0) {
			t.Fatalf("%s reported not-run, but an earlier submission may have run", l.req.ID)
		}
	}
	if n := l.step.Notify; n != nil && rapid.IntRange(0, 3).Draw(t, "notify") > 0 {
		w.owner(l.step.To.ID).keyResult(*n)
	}
}

// wantCannotRun fails unless every attempt of l is proved not to run, now or later.
func (w *world) wantCannotRun(t *rapid.T, l *liveCall, what string) {
	if l.ran > 0 {
		t.Fatalf("%s %s after a run", l.req.ID, what)
	}
	for i := range l.attempts {
		a := &l.attempts[i]
		if w.mayArrive(a.ID) && !w.owner(a.Owner).cannotRun(w.now, a) {
			t.Fatalf("%s %s while attempt %v may still run", l.req.ID, what, a.ID)
		}
	}
}

// mayArrive reports whether the attempt may be in transit or at its owner.
func (w *world) mayArrive(id model.AttemptID) bool {
	for _, m := range w.messages {
		if m.attempt.ID == id {
			return true
		}
	}
	for _, o := range w.owners {
		if o.attempts[id] != model.AttemptNeverSeen {
			return true
		}
	}
	return false
}

func (w *world) owner(id model.InstanceID) *fakeOwner {
	for _, o := range w.owners {
		if o.instance.ID == id {
			return o
		}
	}
	return nil
}

func (w *world) deliver(t *rapid.T) {
	m := draw(t, w.messages, func(m *message) bool { return w.inFocus(w.byID[m.attempt.ID]) })
	w.messages = without(w.messages, m)
	r, ok := m.owner.offer(t, w.now, m.attempt)
	if !ok {
		w.refuse(m.owner, &m.attempt, r)
	}
}

// refuse sends a refusal. The reasons in the switch are given without looking the id up.
func (w *world) refuse(o *fakeOwner, a *model.Attempt, r model.Refusal) {
	w.reply(&reply{attempt: a.ID, report: o.report(w.now), refusal: r})
	switch r.Reason {
	case model.ReasonIncarnation, model.ReasonFenced, model.ReasonStale, model.ReasonDuplicateRunning:
		return
	}
	if l := w.byID[a.ID]; !a.Delegated {
		l.deniedByHome = true
		l.runsAtDenial = w.runs[a.Request]
	}
}

func (w *world) reply(r *reply) { w.replies = append(w.replies, r) }

func (w *world) startQueued(t *rapid.T) {
	a := w.attemptIn(t, func(o *fakeOwner) map[model.AttemptID]model.Attempt { return o.queued })
	o := w.owner(a.Owner)
	shed := rapid.IntRange(0, 4).Draw(t, "shed") == 0
	if shed || o.mayBeExpired(w.now, &a) {
		o.fence(a.ID, a.Request)
		reason := model.ReasonExpired
		if shed {
			reason = model.ReasonWorkerShed
		}
		w.refuse(o, &a, model.Refusal{Reason: reason, NotRun: true})
		return
	}
	delete(o.queued, a.ID)
	o.running[a.ID] = a
	o.attempts[a.ID] = model.AttemptStarted
	w.run(t, &a)
}

func (w *world) run(t *rapid.T, a *model.Attempt) {
	l := w.byID[a.ID]
	l.ran++
	w.runs[a.Request]++
	switch {
	case l.ended && l.step.Outcome == model.OutcomeNotRun:
		t.Fatalf("%s ran after it was reported not-run", a.Request)
	case !a.Idempotent && l.ran > 1:
		t.Fatalf("%s ran twice", a.Request)
	case l.call.needsHome() && !w.homeRestarted[a.Request] && w.runs[a.Request] > 1:
		t.Fatalf("%s, submitted twice by its caller, ran twice", a.Request)
	}
}

func (w *world) finish(t *rapid.T) {
	a := w.attemptIn(t, func(o *fakeOwner) map[model.AttemptID]model.Attempt { return o.running })
	o := w.owner(a.Owner)
	delete(o.running, a.ID)
	o.attempts[a.ID] = model.AttemptDone
	r := &reply{attempt: a.ID, report: o.report(w.now)}
	switch rapid.IntRange(0, 3).Draw(t, "end") {
	case 0:
		r.refusal = model.Refusal{Reason: model.ReasonWorkerBroken}
	case 1:
		r.failed = true
		fallthrough
	default:
		r.answered = true
	}
	w.reply(r)
}

// receive delivers a reply to its call, unless the connection is closed.
func (w *world) receive(t *rapid.T) {
	r := draw(t, w.replies, func(r *reply) bool { return w.inFocus(w.byID[r.attempt]) })
	w.replies = without(w.replies, r)
	w.observe(r.report)
	l := w.byID[r.attempt]
	if !l.outstanding || l.step.Kind != StepSend || l.step.Attempt.ID != r.attempt {
		return
	}
	l.outstanding = false
	l.call.Report(w.now, r.report)
	if r.answered {
		l.call.Answered(w.now, r.failed)
		return
	}
	l.call.Refused(w.now, r.refusal)
}

func (w *world) observe(r model.LoadReport) {
	if h, ok := w.reports[r.Owner]; !ok || h.report.Incarnation <= r.Incarnation {
		w.reports[r.Owner] = receivedReport{report: r, at: w.now}
	}
}

func (w *world) awaiting(t *rapid.T, kind StepKind) *liveCall {
	return draw(t, w.calls, func(l *liveCall) bool { return w.inFocus(l) && l.outstanding && l.step.Kind == kind })
}

// check compares the table's counts with the calls that wait for an owner's reply.
func (w *world) check(t *rapid.T) {
	want := map[model.InstanceID]int{}
	for _, l := range w.calls {
		if l.outstanding && l.step.Kind == StepSend {
			want[l.step.To.ID]++
		}
	}
	for _, o := range w.owners {
		if id := o.instance.ID; w.inFlight[id] != want[id] {
			t.Fatalf("%s: %d attempts in flight by Sent and Done, want %d", id, w.inFlight[id], want[id])
		}
	}
}

// draw picks one element of list that fits, or skips the action.
func draw[T any](t *rapid.T, list []T, fits func(T) bool) T {
	var fitting []T
	for _, x := range list {
		if fits == nil || fits(x) {
			fitting = append(fitting, x)
		}
	}
	if len(fitting) == 0 {
		t.Skip("none")
	}
	return fitting[rapid.IntRange(0, len(fitting)-1).Draw(t, "which")]
}

// inFocus reports whether actions apply to l now.
func (w *world) inFocus(l *liveCall) bool { return w.focus == nil || w.focus == l }

// attemptIn draws an attempt that is in one of the owners' maps.
func (w *world) attemptIn(t *rapid.T, in func(*fakeOwner) map[model.AttemptID]model.Attempt) model.Attempt {
	var list []model.Attempt
	for _, l := range w.calls {
		for _, a := range l.attempts {
			if _, ok := in(w.owner(a.Owner))[a.ID]; ok && w.inFocus(l) {
				list = append(list, a)
			}
		}
	}
	return draw(t, list, nil)
}

// progress does what is due for one call, so that most calls make progress.
func (w *world) progress(t *rapid.T) {
	w.focus = draw(t, w.calls, func(l *liveCall) bool { return !l.ended })
	defer func() { w.focus = nil }()
	switch l := w.focus; {
	case !l.outstanding:
		w.step(t)
	case l.step.Kind == StepResolve:
		w.resolveOutcome(t)
	default:
		w.advanceAttempt(t, l.step.Attempt)
	}
}

// advanceAttempt moves an attempt that its call waits for one stage forward.
func (w *world) advanceAttempt(t *rapid.T, a model.Attempt) {
	o := w.owner(a.Owner)
	_, queued := o.queued[a.ID]
	_, running := o.running[a.ID]
	switch {
	case queued:
		w.startQueued(t)
	case running:
		w.finish(t)
	case o.attempts[a.ID] == model.AttemptNeverSeen && w.mayArrive(a.ID):
		w.deliver(t)
	default:
		w.receive(t)
	}
}

func without[T comparable](list []T, x T) []T {
	var out []T
	for _, y := range list {
		if y != x {
			out = append(out, y)
		}
	}
	return out
}

// progressWeight is how many times progress is in the set of actions.
const progressWeight = 12

func TestCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		actions := map[string]func(*rapid.T){
			"begin": w.begin, "begin too": w.begin, "step": w.step, "deliver": w.deliver, "start": w.startQueued,
			"finish": w.finish, "receive": w.receive, "break": w.interrupt, "no connection": w.noConnection,
			"settle": w.resolveOutcome, "hedge": w.hedge, "restart": w.restart, "advance": w.advance, "caller gone": w.callerGone,
		}
		for i := range progressWeight {
			actions["progress "+strconv.Itoa(i)] = w.progress
		}
		for name, f := range actions {
			actions[name] = func(t *rapid.T) {
				w.t = t
				f(t)
			}
		}
		actions[""] = w.check
		t.Repeat(actions)
	})
}
