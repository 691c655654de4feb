package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// Bounds of an attempt's fields; larger values are malformed.
const (
	// maxRemaining caps an attempt's remaining time, so that sums cannot overflow.
	maxRemaining = time.Hour
	// maxFuture is how far a stamp may be in the future for its attempt to be fenced; see
	// refuseFuture.
	maxFuture = time.Minute
	// maxWorth caps an attempt's worth.
	maxWorth = 1e12
)

// Retry-After times of refusals.
const (
	retryNotReady = time.Second
	retryPaused   = 50 * time.Millisecond
	retryTenant   = time.Minute
	retryKeysFull = time.Second
	retryMin      = 10 * time.Millisecond
	retryMax      = time.Second
	// retryRateLimit bounds the time until a worker that names a rate limit can start one
	// more attempt.
	retryRateLimit = 10 * time.Second
)

// Offer starts, queues or refuses an arriving attempt. sameNode means that it comes from
// this node's own entry, so its age is zero.
//
// A refusal with NotRun holds forever: either its cause is permanent (incarnation,
// expiry, leaving), or the attempt id is fenced for as long as a copy of the message
// could still be in time.
//
// An attempt may displace another from the queue. The decision on that one is returned by
// the next call that returns decisions, at the latest by Tick.
func (o *Owner) Offer(now time.Time, a *model.Attempt, sameNode bool) (DecisionKind, model.Refusal) {
	return o.OfferSuspect(now, a, sameNode, Restrictions{})
}

// OfferSuspect is Offer for an attempt of a suspect request, which may crash workers.
func (o *Owner) OfferSuspect(now time.Time, a *model.Attempt, sameNode bool, restrictions Restrictions) (DecisionKind, model.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if r := o.refuseUnbound(a, sameNode); r.Reason != model.ReasonNone {
		return Refuse, r
	}
	if r := o.refuseKnown(t, a, sameNode); r.Reason != model.ReasonNone {
		return Refuse, r
	}
	if r := o.refuseStale(t, a, sameNode); r.Reason != model.ReasonNone {
		return Refuse, r
	}
	p := o.newPending(t, a)
	p.stamp = stampOf(t, a, sameNode)
	p.exclusive = restrictions.runsExclusively()
	p.content = restrictions.Content
	p.held = o.serial.leads(p.content)
	p.mayMove = p.mayMove && !p.held
	o.claimReservation(p)
	if r := o.refuseKey(t, p); r.Reason != model.ReasonNone {
		return Refuse, r
	}
	if restrictions.Refusal.Reason != model.ReasonNone {
		return Refuse, o.refuseOffered(t, p, restrictions.Refusal)
	}
	if r := o.refuseState(t, a); r.Reason != model.ReasonNone {
		return Refuse, o.refuseOffered(t, p, restrictions.untilRecovery(r))
	}
	// A reserved attempt passed the breaker at its reservation, and may be the trial.
	if !p.reserved {
		if r := o.refuseByBreaker(t, a); r.Reason != model.ReasonNone {
			return Refuse, o.refuseOffered(t, p, r)
		}
	}
	if r := o.refuseTenantLimit(now, p); r.Reason != model.ReasonNone {
		return Refuse, o.refuseOffered(t, p, r)
	}
	kind, r := o.startOrQueue(t, now, p)
	o.recordOffer(kind)
	return kind, r
}

// refuseUnbound refuses an attempt that this incarnation of the owner would never accept,
// so that no record is needed. An attempt bound to another incarnation is refused as "not
// run": each attempt is sent once (package server's transport does not replay), so an
// attempt that arrives here has not reached the other incarnation.
func (o *Owner) refuseUnbound(a *model.Attempt, sameNode bool) model.Refusal {
	switch {
	case a.ID.IsZero() || a.OwnerClock < 0:
		return notRunRefusal(model.ReasonBadRequest)
	case o.registersKey(a) && len(a.Request) > maxKeyBytes:
		return notRunRefusal(model.ReasonBadRequest)
	case a.Service != "" && a.Service != o.cfg.Self.Service:
		return notRunRefusal(model.ReasonLeaving)
	case a.Owner != "" && a.Owner != o.cfg.Self.ID:
		return notRunRefusal(model.ReasonIncarnation)
	case !a.Regions.Allows(o.cfg.Region):
		return notRunRefusal(model.ReasonRegion)
	case a.OwnerIncarnation == o.cfg.Self.Incarnation && a.OwnerIncarnation != 0:
		return model.Refusal{}
	case a.OwnerIncarnation != 0:
		return notRunRefusal(model.ReasonIncarnation)
	case !a.Idempotent && !sameNode:
		return notRunRefusal(model.ReasonIncarnation)
	}
	return model.Refusal{}
}

// refuseKnown refuses an attempt id that was already offered or resolved.
func (o *Owner) refuseKnown(t time.Duration, a *model.Attempt, sameNode bool) model.Refusal {
	if o.pending[a.ID] != nil {
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	outcome, known := o.attempts.find(a.ID, stampOf(t, a, sameNode))
	switch {
	case !known:
		return model.Refusal{Reason: model.ReasonStale}
	case outcome == attemptFenced:
		return notRunRefusal(model.ReasonFenced)
	case outcome == attemptDone:
		return model.Refusal{Reason: model.ReasonDuplicateDone}
	case outcome == attemptDuplicate:
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	return model.Refusal{}
}

// refuseStale refuses an attempt whose age may exceed its remaining time, or has no upper
// bound. The bound of the age only grows, so an expired attempt stays refused without a
// record.
func (o *Owner) refuseStale(t time.Duration, a *model.Attempt, sameNode bool) model.Refusal {
	remaining := min(a.Remaining, maxRemaining)
	if a.OwnerClock == 0 {
		switch {
		case !a.Idempotent && !sameNode:
			return notRunRefusal(model.ReasonStale)
		case remaining <= 0:
			return notRunRefusal(model.ReasonExpired)
		case t < o.attempts.refuseUnstampedUntil:
			return model.Refusal{Reason: model.ReasonStale}
		}
		return model.Refusal{}
	}
	if a.OwnerClock > t {
		return o.refuseFuture(t, a, remaining)
	}
	switch {
	case remaining <= 0:
		return notRunRefusal(model.ReasonExpired)
	case a.OwnerClock <= o.attempts.stampFloor:
		return notRunRefusal(model.ReasonStale)
	case t-a.OwnerClock >= remaining:
		return notRunRefusal(model.ReasonStale)
	}
	return model.Refusal{}
}

// refuseFuture refuses a stamp in the future of the owner's clock, which no correct entry
// sends. A copy could become valid once the clock has passed the stamp, so the attempt is
// fenced until then and past its remaining time. A stamp too far in the future to
// remember is refused without the claim "not run".
func (o *Owner) refuseFuture(t time.Duration, a *model.Attempt, remaining time.Duration) model.Refusal {
	if a.OwnerClock-t > maxFuture {
		return model.Refusal{Reason: model.ReasonBadRequest}
	}
	o.attempts.fence(a.OwnerClock, a.ID, a.OwnerClock+max(remaining, 0)+fenceSlack)
	return notRunRefusal(model.ReasonBadRequest)
}

// refuseState refuses an attempt while the worker's state, the missing bundle, an
// admission stop or a recent pause forbids admission.
func (o *Owner) refuseState(t time.Duration, a *model.Attempt) model.Refusal {
	switch {
	case o.leaving():
		return notRunRefusal(model.ReasonLeaving)
	case o.evacuated.active:
		return refuseEvacuated()
	case !o.keys.transfer.admitsAttempts():
		return model.Refusal{Reason: model.ReasonPaused, NotRun: true, RetryAfter: retryPaused}
	case o.state == model.StateCold || !o.configured || o.unlisted.active:
		return model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: retryNotReady}
	case o.pause.blocked(t) || a.OwnerClock == 0 && o.pause.recent(t):
		return model.Refusal{Reason: model.ReasonPaused, NotRun: true, RetryAfter: retryPaused}
	}
	return model.Refusal{}
}

// refuseTenantLimit refuses an attempt of a tenant that is at its rate limit.
func (o *Owner) refuseTenantLimit(now time.Time, p *pendingAttempt) model.Refusal {
	wait := o.tenants.wait(now, p.tenant)
	if wait <= 0 {
		return model.Refusal{}
	}
	wait = min(max(wait, retryMin), retryTenant)
	return model.Refusal{Reason: model.ReasonTenantLimit, NotRun: true, RetryAfter: wait}
}

// startOrQueue starts, queues or refuses an attempt that passed all other checks.
func (o *Owner) startOrQueue(t time.Duration, now time.Time, p *pendingAttempt) (DecisionKind, model.Refusal) {
	if p.mayMove && (o.shouldMove(t, p) || o.waitsForExclusive(p)) {
		return Refuse, o.refuseOffered(t, p, o.refuseBusy(t, p))
	}
	if o.freeSlots(t) > 0 {
		o.queue.push(p)
		if o.choose(o, t) == p {
			o.admit(now, p)
			o.start(t, p)
			return Start, model.Refusal{}
		}
		o.queue.remove(p)
	}
	if p.mayMove {
		return Refuse, o.refuseOffered(t, p, o.refuseBusy(t, p))
	}
	if p.reserved {
		return o.queueReserved(t, now, p)
	}
	if r := o.refusePredictedLate(t, p); r.Reason != model.ReasonNone {
		return Refuse, o.refuseOffered(t, p, r)
	}
	if o.queue.length >= o.queueLimit && !o.displace(t, p) {
		r := model.Refusal{Reason: model.ReasonQueueFull, NotRun: true, RetryAfter: o.overloadRetryAfter(t, o.predictWait(t, p))}
		return Refuse, o.refuseOffered(t, p, r)
	}
	o.admit(now, p)
	o.queue.push(p)
	return Queue, model.Refusal{}
}

// refusePredictedLate is refuseLate for the wait that is predicted in the queue.
func (o *Owner) refusePredictedLate(t time.Duration, p *pendingAttempt) model.Refusal {
	wait, before := o.predict(t, p)
	p.predicted = wait
	return o.refuseLate(t, p, wait, before)
}

// refuseLate refuses an attempt with a predicted wait and a number of others before it, if it
// is not expected to be answered in its remaining time, or within its objective while others
// wait before it. It delegates a keyed request that would wait too long here, or whose worker
// is failing, if the service has another upstream.
func (o *Owner) refuseLate(t time.Duration, p *pendingAttempt, wait time.Duration, before int) model.Refusal {
	left := p.deadline - t
	if before > 0 && p.missesObjectiveAfter(t, wait) {
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: o.overloadRetryAfter(t, wait)}
	}
	if late := wait + p.class.expected() - left; late > 0 {
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: o.overloadRetryAfter(t, late)}
	}
	if p.keyed && !o.soleUpstream && (wait > min(delegateWait, left/delegateShare) || o.service.failing(t)) {
		return model.Refusal{Reason: model.ReasonDelegated, NotRun: true, RetryAfter: o.clampRetryAfter(wait)}
	}
	return model.Refusal{}
}

// clampRetryAfter turns an expected delay into a Retry-After time between retryMin, or
// the mean service time if longer, and retryMax.
func (o *Owner) clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, o.service.all.mean(), retryMin), retryMax)
}

// overloadRetryAfter is the Retry-After time of a refusal for load, where d is the
// expected delay. Unlike an overload, a rate limit tells when the next attempt can start.
func (o *Owner) overloadRetryAfter(t, d time.Duration) time.Duration {
	return max(o.clampRetryAfter(max(d, o.overload.recordRefusal(t))), o.rateRetryAfter(t))
}

// admit records an attempt that starts or waits.
func (o *Owner) admit(now time.Time, p *pendingAttempt) {
	o.tenants.spend(now, p.tenant)
	o.pending[p.id] = p
	p.log = o.attempts.logAdmitted(p.id, p.stamp)
	o.keys.setRunning(p)
	o.serial.join(p)
}

// refuseOffered fences an attempt that was never admitted and returns its refusal, as a
// delegation where the request id has to be remembered.
func (o *Owner) refuseOffered(t time.Duration, p *pendingAttempt, r model.Refusal) model.Refusal {
	r = o.delegateRefusal(t, p, r)
	o.recordRefusalOutcome(t, p, r.Reason)
	o.attempts.record(t, p, attemptFenced)
	return r
}

// delegateRefusal turns a refusal that lets the entry place the request elsewhere into a
// delegation when this owner is the home of its id.
func (o *Owner) delegateRefusal(t time.Duration, p *pendingAttempt, r model.Refusal) model.Refusal {
	if !p.keyed || !mayRetryElsewhere(r.Reason) {
		return r
	}
	if !o.keys.setDelegated(t, p) {
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: retryKeysFull}
	}
	r.Reason = model.ReasonDelegated
	return r
}

// mayRetryElsewhere reports whether an entry would try the request at another owner after
// a refusal for this reason. An owner that leaves delegates nothing: its records were
// moved to the next homes (see ExportKeys), which decide from then on.
func mayRetryElsewhere(r model.Reason) bool {
	switch r {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonNotReady,
		model.ReasonPaused, model.ReasonDelegated, model.ReasonDeferred, model.ReasonEvacuated:
		return true
	}
	return false
}

// notRunRefusal is a refusal with NotRun and without Retry-After.
func notRunRefusal(r model.Reason) model.Refusal { return model.Refusal{Reason: r, NotRun: true} }
