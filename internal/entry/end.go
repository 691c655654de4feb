package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// defaultRetryAfter is the Retry-After for callers when no owner sent one.
const defaultRetryAfter = time.Second

// expire ends the call at its deadline.
func (c *Call) expire(now time.Time) {
	if c.phase == phaseSent {
		c.attemptDone(now, route.Result{Failed: true})
		c.reason = model.ReasonExpired
	}
	if c.reason == model.ReasonNone {
		c.reason = model.ReasonExpired
	}
	c.giveUp(c.reason)
}

// giveUp ends the call without a response from a worker.
func (c *Call) giveUp(reason model.Reason) {
	if c.isProvedNotRun() {
		c.end(model.OutcomeNotRun, reason)
		return
	}
	c.end(model.OutcomeUnknown, reason)
}

// isProvedNotRun reports whether the caller may be told that its request was not run. With
// a caller's own key that is a statement about the id, including earlier submissions, which
// only the id's home node can prove.
func (c *Call) isProvedNotRun() bool {
	if c.unresolved || c.mayHaveRun {
		return false
	}
	return !c.needsHome() || c.home.provesNotRun
}

func (c *Call) end(outcome model.Outcome, reason model.Reason) {
	c.phase = phaseEnd
	c.outcome = outcome
	c.reason = reason
}

func (c *Call) endStep() Step {
	s := Step{
		Kind:       StepEnd,
		Outcome:    c.outcome,
		Reason:     c.reason,
		RetryAfter: c.callerRetryAfter(),
		Notify:     c.homeNotice(),
	}
	if s.Notify != nil {
		s.To = c.home.delegate.instance
	}
	return s
}

// callerRetryAfter returns the Retry-After for the caller, or zero when it should not send
// the request again: when a repeated run could do harm, or when the request has run, as
// another submission could come after the home node has forgotten the id.
func (c *Call) callerRetryAfter() time.Duration {
	if c.outcome == model.OutcomeAnswered {
		return 0
	}
	if c.outcome == model.OutcomeUnknown && !c.req.Idempotent && !c.needsHome() {
		return 0
	}
	if c.reason == model.ReasonDuplicateDone {
		return 0
	}
	if c.retryAfter > 0 {
		return c.retryAfter
	}
	return defaultRetryAfter
}
