package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// Report passes on the load report that came with a response or a refusal. The adapter
// calls it before Answered or Refused, and also passes the report to route.Table.Observe.
// ReasonWorkerUnreachable without a report means that the owner itself could not be
// reached.
func (c *Call) Report(now time.Time, r model.LoadReport) {
	if c.phase != phaseSent || r.Owner != c.to.ID {
		return
	}
	c.ownerIncarnation = r.Incarnation
	c.ownerClock = r.Clock
	c.hasReport = true
	c.startRate.observe(r.ImmediateStartShare())
	switch {
	case r.MalformedOutcomes:
		c.engine.malformedOutcomes.Add(1)
	case c.outcomes != nil:
		c.outcomes.observe(now, r.ClassOutcomes)
	}
}

// SetOwnerTime sets how much of the current attempt's latency was spent at the owner, in its
// queue and at its worker; the rest is network time. The adapter calls it before Answered.
func (c *Call) SetOwnerTime(t wire.AttemptTimes) {
	if c.phase == phaseSent {
		c.ownerTime = t.Queued + t.Worker
	}
}

// Answered reports the worker's complete response or, when the adapter streams it, its
// head. failed reports a server error of the worker: if Next then returns StepSend, the
// adapter must discard the response.
func (c *Call) Answered(now time.Time, failed bool) {
	if c.phase != phaseSent {
		return
	}
	c.attemptDone(now, route.Result{Failed: failed})
	c.countWorkerAttempt(model.Refusal{})
	if c.latency != nil && !failed {
		started := c.deadline.Add(-c.req.Timeout)
		c.latency.record(now.Sub(started), c.req.Target.Bundle.Retry.HedgeAfterQuantile)
	}
	if failed && c.req.Idempotent && c.retry(now) {
		return
	}
	c.unresolved = false
	c.end(model.OutcomeAnswered, model.ReasonNone)
}

// Refused reports the owner's refusal, or that no connection to the owner could be opened
// (ReasonWorkerUnreachable with NotRun).
func (c *Call) Refused(now time.Time, r model.Refusal) {
	if c.phase != phaseSent {
		return
	}
	c.attemptDone(now, route.Result{Failed: !r.NotRun, Refused: r.Reason, RetryAfter: r.RetryAfter})
	c.countWorkerAttempt(r)
	switch r.Reason {
	case model.ReasonDuplicateRunning, model.ReasonDuplicateDone:
		c.giveUp(r.Reason)
		return
	}
	if !r.NotRun {
		c.afterMaybeRun(now, r.Reason)
		return
	}
	c.noteHomeRefusal(r)
	c.unresolved = false
	c.refusedForLoad = c.refusedForLoad || isLoadRefusal(r.Reason)
	c.afterRefusal(now, r)
}

// isLoadRefusal reports whether an owner refused because it was overloaded.
func isLoadRefusal(r model.Reason) bool {
	switch r {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonWorkerShed:
		return true
	}
	return false
}

// afterRefusal continues after a refusal that proves "not run".
func (c *Call) afterRefusal(now time.Time, r model.Refusal) {
	c.reason = r.Reason
	c.refusedTransiently = c.refusedTransiently || isTransient(r.Reason)
	c.noteRetryAfter(now, r.RetryAfter)
	if isLoadRefusal(r.Reason) {
		c.noteLoadRetryAfter(r.RetryAfter)
	}
	if c.canResend() && c.tryNextHome(now, r.Reason) {
		return
	}
	switch r.Reason {
	case model.ReasonIncarnation, model.ReasonStale:
		if !c.resent && c.hasReport && c.sends < maxSends && c.canResend() {
			c.phase = phaseResend
			return
		}
	case model.ReasonDelegated:
		if c.mustUseHome() && c.canResend() {
			c.acceptDelegation()
			c.onlyOwner.id, c.onlyOwner.granted = r.OnlyOwner, r.Granted
			c.phase = phasePlace
			return
		}
	case model.ReasonBusy:
		if c.current.Relocatable {
			c.relocate(now)
			return
		}
		c.move(now)
		return
	case model.ReasonDeferred:
		c.placeAtOnlyOwner(now, r)
		return
	case model.ReasonTenantLimit, model.ReasonQuarantined, model.ReasonNoRoute,
		model.ReasonBodyTooLarge, model.ReasonBadRequest, model.ReasonCancelled:
		c.giveUp(r.Reason)
		return
	}
	c.placeElsewhere(now)
}

// Interrupted reports that the connection to the owner failed or a response was truncated
// after bytes had been sent, or that the step's Until passed without a response.
// sentToCaller reports that part of a response was already sent to the caller; in that case
// Interrupted may follow Answered, when the rest of a streamed response is missing.
func (c *Call) Interrupted(now time.Time, sentToCaller bool) {
	if c.phase == phaseEnd && c.outcome == model.OutcomeAnswered && sentToCaller {
		c.end(model.OutcomeUnknown, model.ReasonLinkBroken)
		return
	}
	if c.phase != phaseSent {
		return
	}
	c.attemptDone(now, route.Result{Failed: true})
	c.countWorkerAttempt(model.Refusal{})
	if sentToCaller {
		c.giveUp(model.ReasonLinkBroken)
		return
	}
	c.afterMaybeRun(now, c.interruptReason(now))
}

// interruptReason distinguishes a failed connection from no response by the deadline.
func (c *Call) interruptReason(now time.Time) model.Reason {
	if now.Before(c.deadline) {
		return model.ReasonLinkBroken
	}
	return model.ReasonExpired
}

// afterMaybeRun continues after an attempt that may have run: an idempotent request is
// retried, any other has its outcome resolved first. A worker that responded or crashed has
// received the request, so that resolving the outcome could not prove "not run".
func (c *Call) afterMaybeRun(now time.Time, reason model.Reason) {
	c.reason = reason
	if reason == model.ReasonWorkerCrashed {
		c.crashes++
		c.onlyOwner.crashedAt = c.to.ID
	}
	switch {
	case c.req.Idempotent:
		if !c.hasUntried(now) {
			c.startRound()
		}
		if !c.retry(now) {
			c.giveUp(reason)
		}
	case reason == model.ReasonWorkerBroken, reason == model.ReasonWorkerCrashed, reason == model.ReasonUnprovenRefusal:
		c.giveUp(reason)
	default:
		c.phase = phaseResolve
	}
}

// CallerCancelled reports that the caller cancelled the request.
func (c *Call) CallerCancelled(now time.Time) {
	if c.phase == phaseEnd {
		return
	}
	if c.phase == phaseSent {
		c.attemptDone(now, route.Result{Refused: model.ReasonCancelled})
	}
	c.giveUp(model.ReasonCancelled)
}

// attemptDone reports the end of the attempt in flight to the routing table.
func (c *Call) attemptDone(now time.Time, r route.Result) {
	r.Latency = now.Sub(c.sentAt)
	r.OwnerTime = c.ownerTime
	c.engine.table.Done(now, c.to.ID, r)
}
