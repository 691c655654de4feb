package owner

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// newPending makes a pendingAttempt from an attempt that passed the checks of binding and
// age.
func (o *Owner) newPending(t time.Duration, a *model.Attempt) *pendingAttempt {
	left := min(a.Remaining, maxRemaining)
	if a.OwnerClock > 0 {
		left -= t - a.OwnerClock
	}
	o.nextSeq++
	p := &pendingAttempt{
		id:       a.ID,
		request:  model.ScopedRequestID(a.Tenant, a.Request),
		keyed:    o.registersKey(a),
		class:    o.classes.get(a.Class),
		tenant:   o.tenants.get(a.Tenant),
		worth:    validWorth(a.Worth),
		deadline: t + left,
		arrived:  t,
		seq:      o.nextSeq,
		mayMove:  a.MayMove,
		regions:  a.Regions,

		inherited:   inheritedOf(a),
		relocatable: a.Relocatable,
	}
	if a.Objective != 0 {
		p.objective = max(t+a.Objective, 1)
	}
	p.late = p.missesObjective(t)
	return p
}

// validWorth maps any worth that a message may hold to one that can be ordered.
func validWorth(w float64) float64 {
	if math.IsNaN(w) {
		return 0
	}
	return min(max(w, 0), maxWorth)
}

// stampOf returns a lower bound of the time of sending, zero when there is none.
func stampOf(t time.Duration, a *model.Attempt, sameNode bool) time.Duration {
	if sameNode && a.OwnerClock == 0 {
		return t
	}
	return a.OwnerClock
}

// registersKey reports whether this owner, as the request's home, registers its id.
func (o *Owner) registersKey(a *model.Attempt) bool {
	return a.CallerKey && !a.Idempotent && !a.Delegated
}
