package owner

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Resolve answers what became of an attempt and bars it unless it has started.
// Only NeverSeen, Queued and Barred prove "not run". An attempt bound to no
// incarnation may have reached an earlier one, so that its absence here proves
// nothing. See ledger for why the bar lasts long enough.
func (o *Owner) Resolve(now time.Time, s wire.Resolve) (wire.ResolveReply, []Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	state := o.settle(t, s)
	return wire.ResolveReply{Attempt: s.Attempt, State: state, Report: o.report(t)}, o.take()
}

func (o *Owner) settle(t time.Duration, s wire.Resolve) model.AttemptState {
	if s.OwnerIncarnation != 0 && s.OwnerIncarnation != o.cfg.Self.Incarnation {
		return model.AttemptForgotten
	}
	if it := o.live[s.Attempt]; it != nil {
		if it.started {
			return model.AttemptStarted
		}
		o.turnAway(t, it, notRun(model.ReasonFenced))
		return model.AttemptQueued
	}
	rec, known := o.attempts.find(s.Attempt, 0)
	switch {
	case rec == attemptDone:
		return model.AttemptDone
	case rec == attemptBarred:
		return model.AttemptFenced
	case rec == attemptDuplicate || !known || s.OwnerIncarnation == 0 || s.Attempt.IsZero():
		return model.AttemptForgotten
	}
	remaining := min(max(s.Remaining, 0), maxRemaining)
	o.attempts.bar(t, s.Attempt, t+remaining+barSlack)
	return model.AttemptNeverSeen
}
