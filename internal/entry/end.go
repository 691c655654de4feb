package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// defaultRetryAfter is the advice to callers when no owner gave any.
const defaultRetryAfter = time.Second

// expire ends the call at its deadline.
func (c *Call) expire(now time.Time) {
	if c.phase == phaseSent {
		c.done(now, route.Result{Failed: true})
		c.reason = model.ReasonExpired
	}
	if c.reason == model.ReasonNone {
		c.reason = model.ReasonExpired
	}
	c.giveUp(c.reason)
}

// giveUp ends the call without an answer.
func (c *Call) giveUp(reason model.Reason) {
	if c.provedNotRun() {
		c.end(model.OutcomeNotRun, reason)
		return
	}
	c.end(model.OutcomeUnknown, reason)
}

// provedNotRun tells whether the caller may be told that its request was not
// run. For a caller's own key that speaks of the id, and so of earlier sendings
// too: only the id's home can prove it.
func (c *Call) provedNotRun() bool {
	if c.open || c.doubt {
		return false
	}
	return !c.keyed() || c.home.spoke
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
		RetryAfter: c.comeBack(),
		Notify:     c.notice(),
	}
	if s.Notify != nil {
		s.To = c.home.delegate.instance
	}
	return s
}

// comeBack returns the advice to the caller: positive when the same request may
// be sent again without harm and to some use. One that has run is not worth
// another sending, which would find the home's memory ended some day.
func (c *Call) comeBack() time.Duration {
	if c.outcome == model.OutcomeAnswered {
		return 0
	}
	if c.outcome == model.OutcomeUnknown && !c.req.Idempotent && !c.keyed() {
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
