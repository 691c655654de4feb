package owner

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Resolve returns the state of an attempt and fences it unless it has started. Only
// AttemptNeverSeen, AttemptQueued and AttemptFenced prove "not run". An attempt bound to
// no incarnation may have reached an earlier one, so its absence here proves nothing. See
// ledger for why the fence lasts long enough.
func (o *Owner) Resolve(now time.Time, m wire.Resolve) (wire.ResolveReply, []Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	state := o.resolve(t, m)
	return wire.ResolveReply{Attempt: m.Attempt, State: state, Report: o.report(t)}, o.takeDecisions()
}

func (o *Owner) resolve(t time.Duration, m wire.Resolve) model.AttemptState {
	if m.OwnerIncarnation != 0 && m.OwnerIncarnation != o.cfg.Self.Incarnation {
		return model.AttemptForgotten
	}
	if p := o.pending[m.Attempt]; p != nil {
		if p.started {
			return model.AttemptStarted
		}
		o.refuseQueued(t, p, notRunRefusal(model.ReasonFenced))
		return model.AttemptQueued
	}
	outcome, known := o.attempts.find(m.Attempt, 0)
	switch {
	case outcome == attemptDone:
		return model.AttemptDone
	case outcome == attemptFenced:
		return model.AttemptFenced
	case outcome == attemptDuplicate || !known || m.OwnerIncarnation == 0 || m.Attempt.IsZero():
		return model.AttemptForgotten
	}
	remaining := min(max(m.Remaining, 0), maxRemaining)
	o.attempts.fence(t, m.Attempt, t+remaining+fenceSlack)
	return model.AttemptNeverSeen
}
