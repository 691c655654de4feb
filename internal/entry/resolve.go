package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// resolveStep returns the step that asks the current attempt's owner for its outcome.
func (c *Call) resolveStep(now time.Time) Step {
	attempt := c.current
	attempt.Remaining = c.deadline.Sub(now)
	return Step{Kind: StepResolve, To: c.to, Attempt: attempt, Until: c.until}
}

// resolve starts an outcome resolution, with a timeout that doubles with each one.
func (c *Call) resolve(now time.Time) {
	c.until = minTime(now.Add(doubled(resolveTimeout, c.resolveTries)), c.deadline)
	c.resolveTries++
	c.phase = phaseResolving
}

// isResolving reports whether the current attempt's outcome is awaited. A late reply to an
// earlier resolution counts as well.
func (c *Call) isResolving() bool {
	return c.phase == phaseResolving || c.phase == phaseWait && c.after == phaseResolve
}

// Resolved reports the owner's reply. A reply about another attempt counts as a failure.
// Started, done and forgotten are final: the response was lost with its connection, and
// asking again could not recover it.
func (c *Call) Resolved(now time.Time, r wire.ResolveReply) {
	if !c.isResolving() {
		return
	}
	if r.Attempt != c.current.ID {
		c.ResolveFailed(now)
		return
	}
	if !c.replyProvesNotRun(r) {
		c.giveUp(c.reason)
		return
	}
	c.unresolved = false
	c.placeElsewhere(now)
}

// replyProvesNotRun reports whether the reply proves that the current attempt has not run and
// will not run. Only the incarnation that the attempt was bound to can prove that.
func (c *Call) replyProvesNotRun(r wire.ResolveReply) bool {
	if r.Report.Owner != c.to.ID || r.Report.Incarnation != c.current.OwnerIncarnation {
		return false
	}
	switch r.State {
	case model.AttemptNeverSeen, model.AttemptQueued, model.AttemptFenced:
		return true
	}
	return false
}

// ResolveFailed reports that an outcome resolution got no reply. It is repeated after a
// doubling, jittered delay, until the deadline.
func (c *Call) ResolveFailed(now time.Time) {
	if c.phase != phaseResolving {
		return
	}
	wait := c.engine.jitter(doubled(resolveDelay, c.resolveTries-1))
	c.wait(minTime(now.Add(wait), c.deadline), phaseResolve)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
