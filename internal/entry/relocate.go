package entry

import "time"

// maxRelocations is the number of times that owners may give up one queued request. A
// second one helps where the next machine becomes slow too; more would let a request spend
// its time on round trips.
const maxRelocations = 2

// relocatable reports whether the owner of the next attempt may give it up after it has
// queued it. An attempt that may move is never queued, a large or streamed body is sent
// once only, and a request that needs its home node, may run at one owner only or was in
// flight at a crash must not go elsewhere without that node's consent.
func (c *Call) relocatable() bool {
	t := &c.req.Target
	switch {
	case !t.Bundle.Admission.RelocateQueued, c.mayMove():
		return false
	case c.needsHome(), c.onlyOwner.id != "", c.onlyOwner.granted, c.crashes > 0:
		return false
	case !c.req.Replayable, c.req.Streamed, t.LargeBodies:
		return false
	}
	return c.relocations < maxRelocations && c.sends < maxSends
}

// relocate places a request that an owner gave up after it had queued it. It takes nothing
// out of the budgets, as no worker received the request. Where no other owner is left, the
// request queues at the same one and stays there.
func (c *Call) relocate(now time.Time) {
	c.relocations++
	c.gaveUp.add(c.to.ID)
	c.queueAtBest()
	for _, id := range c.gaveUp.list() {
		c.tried.add(id)
	}
	if !c.hasUntried(now) {
		c.relocations = maxRelocations
		c.startRound()
	}
}

// Relocations returns how many owners gave the request up after they had queued it.
func (c *Call) Relocations() int { return c.gaveUp.n }
