package entry

import (
	"time"

	"gypsumstand/internal/model"
)

// replaceable tells whether the body can be sent again.
func (c *Call) replaceable() bool { return c.req.Replayable }

// placeElsewhere goes on after an attempt that is proved not to have run: at
// another owner, after a wait at those that refused, or not at all.
func (c *Call) placeElsewhere(now time.Time) {
	if !c.replaceable() {
		c.giveUp(c.reason)
		return
	}
	if !c.hasOther(now) {
		c.exhausted(now)
		return
	}
	if !c.bucket.withdraw(now, c.placeCost()) || !c.mayArriveAgain(now) {
		c.giveUp(c.reason)
		return
	}
	c.phase = phasePlace
}

// mayMove tells whether the next owner may turn the request away as busy. A call
// with a caller's own id stays at its home, one that may run at one owner only stays there.
func (c *Call) mayMove() bool {
	return !c.staying && !c.keyed() && c.named.home == "" && c.req.Replayable && c.moves < c.mostMoves
}

// moveOn goes on after an owner that was busy. It costs nothing of the budgets: no
// worker was asked.
func (c *Call) moveOn(now time.Time) {
	c.moves++
	if c.moves >= c.mostMoves || !c.hasOther(now) {
		c.stay()
		return
	}
	c.phase = phasePlace
}

// stay places the request where it is expected to start first, to wait there.
func (c *Call) stay() {
	c.staying = true
	c.forgetTried()
	c.advice = time.Time{}
	c.phase = phasePlace
}

// placeCost returns what placing the request once more costs.
func (c *Call) placeCost() int64 {
	if c.loaded {
		return c.engine.tuning.ShedCost
	}
	return c.engine.tuning.PlaceCost
}

// retry goes on after an attempt that may have run, when its request is
// idempotent, something is left of both budgets, and there is an owner to go to.
// What the calls below the attempt were allowed counts as used.
func (c *Call) retry(now time.Time) bool {
	c.budget -= c.current.RetryBudget
	if c.budget < 1 || !c.replaceable() || !c.hasOther(now) {
		return false
	}
	until := now.Add(c.engine.jitter(doubled(retryDelay, c.retries)))
	if !until.Before(c.deadline) || !c.bucket.withdraw(now, costRetry) || !c.mayArriveAgain(now) {
		return false
	}
	c.budget--
	c.retries++
	c.doubt = true
	c.open = false
	c.wait(until, phasePlace)
	return true
}

// hasOther tells whether there is an owner that was not asked in this round.
func (c *Call) hasOther(now time.Time) bool {
	_, ok := c.choose(now)
	return ok
}

// exhausted goes on when every owner was asked in this round: it waits for the
// earliest of them to be worth asking again, or gives up at once when that is
// too late or over the budget. It gives up too when one refused for load, or none for a
// reason that passes at a known time: asking again answers few more calls, and the caller
// is told when to come back. A request with its caller's own id waits: to come back proves
// nothing of this sending. One that may run at one owner only waits for no worker's return.
func (c *Call) exhausted(now time.Time) {
	switch {
	case c.sends == 0:
		c.giveUp(c.engine.table.NoUpstreamReason(c.queryAt(now)))
		return
	case c.named.home != "":
		c.giveUp(c.reason)
		return
	}
	if c.moves > 0 && !c.staying {
		c.stay()
		return
	}
	until := c.nextRound(now)
	unknownEnd := !c.passing && !c.keyed()
	if c.loaded || unknownEnd || c.rounds == c.engine.tuning.MaxRounds || c.sends >= maxSends || !until.Before(c.deadline) {
		c.giveUp(c.reason)
		return
	}
	if !c.bucket.withdraw(now, c.placeCost()) || !c.mayArriveAgain(now) {
		c.giveUp(c.reason)
		return
	}
	c.rounds++
	c.forgetTried()
	c.advice = time.Time{}
	c.wait(until, phasePlace)
}

// passes tells whether a refusal's reason ends by itself within a moment. When an owner
// that is not ready will be, or one out of reach comes back, nobody knows.
func passes(r model.Reason) bool {
	switch r {
	case model.ReasonPaused, model.ReasonIncarnation, model.ReasonStale, model.ReasonFenced:
		return true
	}
	return false
}

// nextRound returns when the owners that refused may be asked again.
func (c *Call) nextRound(now time.Time) time.Time {
	wait := doubled(roundDelay, c.rounds)
	if !c.advice.IsZero() {
		wait = max(wait, c.advice.Sub(now))
	}
	return now.Add(c.engine.delayed(wait))
}

// forgetTried opens a new round. The home that delegated stays closed: it would
// take the request for a second sending.
func (c *Call) forgetTried() {
	c.tried.n = 0
	if c.home.delegated() {
		c.tried.add(c.home.delegate.instance.ID)
	}
}

// advise notes an owner's advice to come back.
func (c *Call) advise(now time.Time, after time.Duration) {
	if after <= 0 {
		return
	}
	at := now.Add(after)
	if c.advice.IsZero() || at.Before(c.advice) {
		c.advice = at
	}
	if c.retryAfter == 0 || after < c.retryAfter {
		c.retryAfter = after
	}
}

// adviseLoad notes the advice of an owner that refused for load: it knows for how long it has
// been overloaded, which one that was only busy does not tell.
func (c *Call) adviseLoad(after time.Duration) {
	c.retryAfter = max(after, c.overloaded)
	c.overloaded = c.retryAfter
}
