package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// onlyOwnerState is what a call knows of the owners at which its request may run, once a
// worker crashed while running it.
type onlyOwnerState struct {
	// id is the only owner at which the request may run, as another owner reported; empty
	// while none did.
	id model.InstanceID
	// granted reports that attempts at id carry the coordinator's grant; see model.Attempt.
	granted bool
	// crashedAt is the owner whose worker crashed last during this call.
	crashedAt model.InstanceID
	// asked are the owners that got an attempt as the only owner.
	asked triedOwners
}

// noteSent records that an attempt is sent to an owner.
func (s *onlyOwnerState) noteSent(to model.InstanceID) {
	if to == s.id {
		s.asked.add(to)
	}
}

// placeAtOnlyOwner continues after an owner deferred the request because a worker crashed
// while running it: the request goes to the only owner that may run it, or the call ends.
// That takes nothing out of the budgets, as no worker received the request. The Retry-After
// of the last owner counts, as that owner knows best when its worker recovers.
func (c *Call) placeAtOnlyOwner(now time.Time, r model.Refusal) {
	c.retryAfter = r.RetryAfter
	c.onlyOwner.id, c.onlyOwner.granted = r.OnlyOwner, r.Granted
	if r.OnlyOwner == "" {
		c.onlyOwner.id = c.onlyOwner.crashedAt
	}
	if _, ok := c.chooseOnlyOwner(now); !ok || !c.canResend() || c.sends == maxSends {
		c.giveUp(r.Reason)
		return
	}
	c.phase = phasePlace
}

// chooseOnlyOwner returns the only owner, unless it was already asked as such.
func (c *Call) chooseOnlyOwner(now time.Time) (route.Choice, bool) {
	if c.onlyOwner.id == "" || c.onlyOwner.asked.has(c.onlyOwner.id) || c.onlyOwner.asked.full() {
		return route.Choice{}, false
	}
	return c.engine.table.PickInstance(now, c.routeQuery(now), c.onlyOwner.id)
}
