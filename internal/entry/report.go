package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// Report hands over the load report that came with an answer or a refusal. The
// adapter calls it before Answered or Refused, and gives the report to
// route.Table.Observe itself. ReasonWorkerUnreachable without a report of the
// owner means that the owner itself could not be reached.
func (c *Call) Report(now time.Time, r model.LoadReport) {
	if c.phase != phaseSent || r.Owner != c.to.ID {
		return
	}
	c.life = r.Incarnation
	c.clock = r.Clock
	c.hasReport = true
	c.starts.hear(r.ImmediateStartShare())
}

// SetOwnerTime tells how much of the current attempt's time the owner accounts for: its
// queue and its worker. What is left is the way's. The adapter calls it before
// Answered.
func (c *Call) SetOwnerTime(t wire.AttemptTimes) {
	if c.phase == phaseSent {
		c.held = t.Queued + t.Worker
	}
}

// Answered reports the worker's answer, whole or, when the adapter streams it,
// its head. failed tells a server error of the worker: when Next then gives
// StepSend, the answer is to be dropped.
func (c *Call) Answered(now time.Time, failed bool) {
	if c.phase != phaseSent {
		return
	}
	c.done(now, route.Result{Failed: failed})
	c.noteArrival(model.Refusal{})
	if c.pace != nil && !failed {
		began := c.deadline.Add(-c.req.Timeout)
		c.pace.answered(now.Sub(began), c.req.Target.Bundle.Retry.HedgeAfterQuantile)
	}
	if failed && c.req.Idempotent && c.retry(now) {
		return
	}
	c.open = false
	c.end(model.OutcomeAnswered, model.ReasonNone)
}

// Refused reports the owner's refusal, or one that the owner was not asked for
// (no connection could be had: ReasonWorkerUnreachable with NotRun).
func (c *Call) Refused(now time.Time, r model.Refusal) {
	if c.phase != phaseSent {
		return
	}
	c.done(now, route.Result{Failed: !r.NotRun, Refused: r.Reason, RetryAfter: r.RetryAfter})
	c.noteArrival(r)
	switch r.Reason {
	case model.ReasonDuplicateRunning, model.ReasonDuplicateDone:
		c.giveUp(r.Reason)
		return
	}
	if !r.NotRun {
		c.unproved(now, r.Reason)
		return
	}
	c.heardHome(r)
	c.open = false
	c.loaded = c.loaded || forLoad(r.Reason)
	c.refused(now, r)
}

// forLoad tells whether an owner refused for want of room.
func forLoad(r model.Reason) bool {
	switch r {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonWorkerShed:
		return true
	}
	return false
}

// refused goes on after a refusal that proves "not run".
func (c *Call) refused(now time.Time, r model.Refusal) {
	c.reason = r.Reason
	c.passing = c.passing || passes(r.Reason)
	c.advise(now, r.RetryAfter)
	if forLoad(r.Reason) {
		c.adviseLoad(r.RetryAfter)
	}
	if c.replaceable() && c.passHome(now, r.Reason) {
		return
	}
	switch r.Reason {
	case model.ReasonIncarnation, model.ReasonStale:
		if !c.resent && c.hasReport && c.sends < maxSends && c.replaceable() {
			c.phase = phaseResend
			return
		}
	case model.ReasonDelegated:
		if c.bound() && c.replaceable() {
			c.delegate()
			c.named.home, c.named.lent = r.OnlyOwner, r.Granted
			c.phase = phasePlace
			return
		}
	case model.ReasonBusy:
		c.moveOn(now)
		return
	case model.ReasonDeferred:
		c.placeHeld(now, r)
		return
	case model.ReasonTenantLimit, model.ReasonQuarantined, model.ReasonNoRoute, model.ReasonBodyTooLarge, model.ReasonBadRequest, model.ReasonCancelled:
		c.giveUp(r.Reason)
		return
	}
	c.placeElsewhere(now)
}

// Interrupted reports that the way to the owner broke, or an answer was cut, after
// bytes had left, or that the step's Until passed without an answer.
// sentToCaller tells that part of an answer has gone on already; it may come
// after Answered, when the rest of a streamed answer is missing.
func (c *Call) Interrupted(now time.Time, sentToCaller bool) {
	if c.phase == phaseEnd && c.outcome == model.OutcomeAnswered && sentToCaller {
		c.end(model.OutcomeUnknown, model.ReasonLinkBroken)
		return
	}
	if c.phase != phaseSent {
		return
	}
	c.done(now, route.Result{Failed: true})
	c.noteArrival(model.Refusal{})
	if sentToCaller {
		c.giveUp(model.ReasonLinkBroken)
		return
	}
	c.unproved(now, c.brokenReason(now))
}

// brokenReason tells a broken way from silence until the deadline.
func (c *Call) brokenReason(now time.Time) model.Reason {
	if now.Before(c.deadline) {
		return model.ReasonLinkBroken
	}
	return model.ReasonExpired
}

// unproved goes on after an attempt that may have run: an idempotent request is
// tried again, any other settled first. A worker that broke has had the request,
// so that a settlement would prove nothing more.
func (c *Call) unproved(now time.Time, reason model.Reason) {
	c.reason = reason
	if reason == model.ReasonWorkerCrashed {
		c.ends++
		c.named.endedAt = c.to.ID
	}
	switch {
	case c.req.Idempotent:
		if !c.hasOther(now) {
			c.forgetTried()
		}
		if !c.retry(now) {
			c.giveUp(reason)
		}
	case reason == model.ReasonWorkerBroken, reason == model.ReasonWorkerCrashed:
		c.giveUp(reason)
	default:
		c.phase = phaseSettle
	}
}

// CallerCancelled reports that the caller gave up.
func (c *Call) CallerCancelled(now time.Time) {
	if c.phase == phaseEnd {
		return
	}
	if c.phase == phaseSent {
		c.done(now, route.Result{Refused: model.ReasonCancelled})
	}
	c.giveUp(model.ReasonCancelled)
}

// done tells the table that the attempt in flight ended.
func (c *Call) done(now time.Time, r route.Result) {
	r.Latency = now.Sub(c.sentAt)
	r.OwnerTime = c.held
	c.engine.table.Done(now, c.to.ID, r)
}
