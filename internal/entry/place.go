package entry

import (
	"time"

	"gypsumstand/internal/model"
)

// canResend reports whether the body can be sent again.
func (c *Call) canResend() bool { return c.req.Replayable }

// placeElsewhere continues after an attempt that is proved not to have run: at another owner,
// after a wait at those that refused, or not at all.
func (c *Call) placeElsewhere(now time.Time) {
	if !c.canResend() {
		c.giveUp(c.reason)
		return
	}
	if !c.hasUntried(now) {
		c.afterAllTried(now)
		return
	}
	if !c.spendPlacement(now) {
		c.giveUp(c.reason)
		return
	}
	c.phase = phasePlace
}

// spendPlacement reports whether the budgets and the class's MaxAttempts allow placing the
// request once more, and takes that out of the budgets.
func (c *Call) spendPlacement(now time.Time) bool {
	return c.bucket.withdraw(now, c.placeCost()) && c.spendWorkerAttempt(now)
}

// mayMove reports whether the next owner may refuse the request as busy. A request that needs
// its home node, or may run at one owner only, does not move.
func (c *Call) mayMove() bool {
	return !c.queueing && !c.needsHome() && c.onlyOwner.id == "" && c.req.Replayable && c.moves < c.maxMoves
}

// move continues after an owner refused as busy. It takes nothing out of the budgets, as no
// worker received the request.
func (c *Call) move(now time.Time) {
	c.moves++
	if c.moves >= c.maxMoves || !c.hasUntried(now) {
		c.queueAtBest()
		return
	}
	c.phase = phasePlace
}

// queueAtBest places the request where it is expected to start first, to queue there. An
// attempt beyond the first at a worker must have been taken out of the budgets.
func (c *Call) queueAtBest() {
	c.queueing = true
	c.startRound()
	c.retryOwnersAt = time.Time{}
	c.phase = phasePlace
}

// placeCost returns the cost of placing the request once more, in thousandths of an attempt.
func (c *Call) placeCost() int64 {
	if c.refusedForLoad {
		return c.engine.tuning.ShedCost
	}
	return c.engine.tuning.PlaceCost
}

// retry continues after an attempt of an idempotent request that may have run, if the
// budgets and the class's MaxAttempts allow it and there is another owner; it returns false
// otherwise. The budget that the attempt passed on to the calls below counts as spent.
func (c *Call) retry(now time.Time) bool {
	c.budget -= c.current.RetryBudget
	if c.budget < 1 || !c.canResend() || !c.hasUntried(now) {
		return false
	}
	at := now.Add(c.engine.jitter(doubled(retryDelay, c.retries)))
	if !at.Before(c.deadline) || !c.bucket.withdraw(now, retryCost) || !c.spendWorkerAttempt(now) {
		return false
	}
	c.budget--
	c.retries++
	c.mayHaveRun = true
	c.unresolved = false
	c.wait(at, phasePlace)
	return true
}

// hasUntried reports whether there is an owner that was not asked in this round.
func (c *Call) hasUntried(now time.Time) bool {
	_, ok := c.choose(now)
	return ok
}

// afterAllTried continues when every owner was asked in this round: it waits until the
// earliest Retry-After, and gives up if that is past the deadline or over the budgets. It
// also gives up when an owner refused for load, or none refused for a transient reason:
// another round would answer few more calls, and the caller gets a Retry-After. A request
// that needs its home node waits all the same, as a caller retry would prove nothing about
// this submission. A request that may run at one owner only does not wait for that owner's
// worker to recover.
func (c *Call) afterAllTried(now time.Time) {
	switch {
	case c.sends == 0:
		c.giveUp(c.engine.table.NoUpstreamReason(c.routeQuery(now)))
		return
	case c.onlyOwner.id != "":
		c.giveUp(c.reason)
		return
	}
	if c.moves > 0 && !c.queueing {
		if refusedByWorker(c.reason) && !c.spendPlacement(now) {
			c.giveUp(c.reason)
			return
		}
		c.queueAtBest()
		return
	}
	until := c.nextRoundAt(now)
	nothingToWaitFor := !c.refusedTransiently && !c.needsHome()
	if c.refusedForLoad || nothingToWaitFor || c.rounds == c.engine.tuning.MaxRounds ||
		c.sends >= maxSends || !until.Before(c.deadline) {
		c.giveUp(c.reason)
		return
	}
	if !c.spendPlacement(now) {
		c.giveUp(c.reason)
		return
	}
	c.rounds++
	c.startRound()
	c.retryOwnersAt = time.Time{}
	c.wait(until, phasePlace)
}

// isTransient reports whether the reason of a refusal passes within a moment. How long an
// owner stays not ready or unreachable is not known.
func isTransient(r model.Reason) bool {
	switch r {
	case model.ReasonPaused, model.ReasonIncarnation, model.ReasonStale, model.ReasonFenced:
		return true
	}
	return false
}

// nextRoundAt returns when the owners that refused may be asked again.
func (c *Call) nextRoundAt(now time.Time) time.Time {
	wait := doubled(roundDelay, c.rounds)
	if !c.retryOwnersAt.IsZero() {
		wait = max(wait, c.retryOwnersAt.Sub(now))
	}
	return now.Add(c.engine.atLeastWithJitter(wait))
}

// startRound lets all owners be asked again, except a home node that delegated the request,
// which would take it for a second submission.
func (c *Call) startRound() {
	c.tried.n = 0
	if c.home.isDelegated() {
		c.tried.add(c.home.delegate.instance.ID)
	}
}

// noteRetryAfter records an owner's Retry-After.
func (c *Call) noteRetryAfter(now time.Time, after time.Duration) {
	if after <= 0 {
		return
	}
	at := now.Add(after)
	if c.retryOwnersAt.IsZero() || at.Before(c.retryOwnersAt) {
		c.retryOwnersAt = at
	}
	if c.retryAfter == 0 || after < c.retryAfter {
		c.retryAfter = after
	}
}

// noteLoadRetryAfter records the Retry-After of an owner that refused for load. Unlike one
// that is only busy, such an owner knows how long its overload has lasted.
func (c *Call) noteLoadRetryAfter(after time.Duration) {
	c.retryAfter = max(after, c.overloadRetryAfter)
	c.overloadRetryAfter = c.retryAfter
}
