package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// settleStep asks the owner of the current attempt what became of it.
func (c *Call) settleStep(now time.Time) Step {
	attempt := c.current
	attempt.Remaining = c.deadline.Sub(now)
	return Step{Kind: StepResolve, To: c.to, Attempt: attempt, Until: c.until}
}

// ask begins a settlement, for which the owner has a time that doubles with
// each one.
func (c *Call) ask(now time.Time) {
	c.until = minTime(now.Add(doubled(settlePatience, c.asks)), c.deadline)
	c.asks++
	c.phase = phaseAsked
}

// settling tells whether the current attempt waits for its settlement; a late
// reply to an earlier question is as good.
func (c *Call) settling() bool {
	return c.phase == phaseAsked || c.phase == phaseWait && c.after == phaseSettle
}

// Resolved reports the owner's settlement. A reply about another attempt is no
// answer. Started, done and forgotten are final: the answer was lost with its
// connection, and asking again could not bring it back.
func (c *Call) Resolved(now time.Time, r wire.ResolveReply) {
	if !c.settling() {
		return
	}
	if r.Attempt != c.current.ID {
		c.ResolveFailed(now)
		return
	}
	if !c.provesNotRun(r) {
		c.giveUp(c.reason)
		return
	}
	c.open = false
	c.placeElsewhere(now)
}

// provesNotRun tells whether the reply proves that the current attempt did not
// and will not run. Only the incarnation that the attempt was bound to can tell.
func (c *Call) provesNotRun(r wire.ResolveReply) bool {
	if r.Report.Owner != c.to.ID || r.Report.Incarnation != c.current.OwnerIncarnation {
		return false
	}
	switch r.State {
	case model.AttemptNeverSeen, model.AttemptQueued, model.AttemptFenced:
		return true
	}
	return false
}

// ResolveFailed reports that the owner could not be asked this time. It is asked
// again after a doubling, jittered wait, until the deadline.
func (c *Call) ResolveFailed(now time.Time) {
	if c.phase != phaseAsked {
		return
	}
	wait := c.engine.jitter(doubled(settleDelay, c.asks-1))
	c.wait(minTime(now.Add(wait), c.deadline), phaseSettle)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
