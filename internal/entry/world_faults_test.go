package entry

import (
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Actions on the calls and owners of a world.

func (w *world) interrupt(t *rapid.T) {
	l := w.awaiting(t, StepSend)
	l.outstanding = false
	l.call.Interrupted(w.now, false)
}

// noConnection reports an attempt whose message was never sent.
func (w *world) noConnection(t *rapid.T) {
	m := draw(t, w.messages, func(m *message) bool {
		l := w.byID[m.attempt.ID]
		return l.outstanding && l.step.Attempt.ID == m.attempt.ID
	})
	w.messages = without(w.messages, m)
	l := w.byID[m.attempt.ID]
	l.outstanding = false
	l.call.Refused(w.now, model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true})
}

// hedge starts a hedge of an idempotent call, which is checked like a call of its own.
func (w *world) hedge(t *rapid.T) {
	l := draw(t, w.calls, func(l *liveCall) bool { return l.outstanding && !l.step.HedgeAt.IsZero() })
	if h, ok := l.call.Hedge(w.now); ok {
		w.focus = &liveCall{call: h, req: l.req}
		w.calls = append(w.calls, w.focus)
		w.step(t)
		w.focus = nil
	}
}

// resolveOutcome ends an outcome resolution with a reply, a lost request, a lost reply or a
// reply about another attempt.
func (w *world) resolveOutcome(t *rapid.T) {
	l := w.awaiting(t, StepResolve)
	l.outstanding = false
	a := l.step.Attempt
	switch rapid.IntRange(0, 3).Draw(t, "way") {
	case 0:
		l.call.ResolveFailed(w.now)
	case 1:
		w.owner(a.Owner).resolve(w.now, a)
		l.call.ResolveFailed(w.now)
	case 2:
		l.call.Resolved(w.now, wire.ResolveReply{Attempt: model.AttemptID{Entry: "x"}, Report: w.owner(a.Owner).report(w.now)})
	default:
		l.call.Resolved(w.now, w.owner(a.Owner).resolve(w.now, a))
	}
}

// restart drops an owner's records and ids.
func (w *world) restart(t *rapid.T) {
	w.rarely(t)
	o := draw(t, w.owners, nil)
	o.restart(w.now)
	for _, id := range []model.RequestID{"k0", "k1"} {
		if w.home(id) == o {
			w.homeRestarted[id] = true
		}
	}
}

// rarely skips seven of eight draws of an action.
func (w *world) rarely(t *rapid.T) {
	if rapid.IntRange(0, 7).Draw(t, "rarely") > 0 {
		t.Skip("not now")
	}
}

func (w *world) advance(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 5, 20, 60, 400}).Draw(t, "ms")
	w.now = w.now.Add(time.Duration(ms) * time.Millisecond)
}

func (w *world) callerGone(t *rapid.T) {
	w.rarely(t)
	l := draw(t, w.calls, func(l *liveCall) bool { return !l.ended })
	l.outstanding = false
	l.call.CallerCancelled(w.now)
}
