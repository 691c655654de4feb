package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// namedOwner is what a call knows of the owners at which its request may run, once a worker
// ended under it.
type namedOwner struct {
	// home is the only owner at which it may run, as another one said; empty before.
	home model.InstanceID
	// lent: home is told that the owner which decides leaves the run to it.
	lent bool
	// endedAt is the owner whose worker ended last under this call.
	endedAt model.InstanceID
	// asked are the owners that were asked by name.
	asked triedOwners
}

// sent takes that an attempt goes to an owner.
func (n *namedOwner) sent(to model.InstanceID) {
	if to == n.home {
		n.asked.add(to)
	}
}

// placeHeld goes on after an owner that does not run the request, as a worker ended under it:
// at the only owner that may, or not at all. It costs nothing of the budgets, as no worker was
// asked. The last owner's advice holds: it knows best when its worker is back.
func (c *Call) placeHeld(now time.Time, r model.Refusal) {
	c.retryAfter = r.RetryAfter
	c.named.home, c.named.lent = r.OnlyOwner, r.Granted
	if r.OnlyOwner == "" {
		c.named.home = c.named.endedAt
	}
	if _, ok := c.chooseNamed(now); !ok || !c.replaceable() || c.sends == maxSends {
		c.giveUp(r.Reason)
		return
	}
	c.phase = phasePlace
}

// chooseNamed returns the owner that was named, unless it was asked so before.
func (c *Call) chooseNamed(now time.Time) (route.Choice, bool) {
	if c.named.home == "" || c.named.asked.has(c.named.home) || c.named.asked.full() {
		return route.Choice{}, false
	}
	return c.engine.table.PickInstance(now, c.queryAt(now), c.named.home)
}
