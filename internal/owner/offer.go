package owner

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// Bounds of an attempt's fields; what exceeds them is malformed.
const (
	// maxRemaining caps an attempt's remaining time, so that sums cannot overflow.
	maxRemaining = time.Hour
	// maxFuture is how far ahead of the owner's clock a stamp may be for its
	// refusal to be remembered; see refuseFuture.
	maxFuture = time.Minute
	// maxWorth caps an attempt's worth.
	maxWorth = 1e12
)

// Advice of refusals to come back.
const (
	retryNotReady = time.Second
	retryPaused   = 50 * time.Millisecond
	retryTenant   = time.Minute
	retryKeysFull = time.Second
	retryMin      = 10 * time.Millisecond
	retryMax      = time.Second
)

// Offer decides on an arriving attempt. sameNode tells that it comes from this
// node's own entry, so that its age is zero.
//
// A refusal with NotRun holds for ever: either the cause of the refusal is
// itself permanent (incarnation, expiry, leaving), or the attempt id is barred
// for as long as a copy of the message could still be in time.
//
// An attempt may displace another that waits; the decision on that one comes with
// the next call that returns decisions, at the latest with Tick.
func (o *Owner) Offer(now time.Time, a *model.Attempt, sameNode bool) (DecisionKind, model.Refusal) {
	return o.OfferSuspect(now, a, sameNode, Restrictions{})
}

// OfferSuspect is Offer for an attempt of a request that may end workers.
func (o *Owner) OfferSuspect(now time.Time, a *model.Attempt, sameNode bool, c Restrictions) (DecisionKind, model.Refusal) {
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
	it := o.newItem(t, a)
	it.stamp = stampOf(t, a, sameNode)
	it.alone = c.alone()
	if r := o.refuseKey(t, it); r.Reason != model.ReasonNone {
		return Refuse, r
	}
	if c.Refusal.Reason != model.ReasonNone {
		return Refuse, o.refuseNew(t, it, c.Refusal)
	}
	if r := o.refuseState(t, a); r.Reason != model.ReasonNone {
		return Refuse, o.refuseNew(t, it, c.untilBack(r))
	}
	if r := o.refuseBreaking(t, a); r.Reason != model.ReasonNone {
		return Refuse, o.refuseNew(t, it, r)
	}
	if wait := o.tenants.wait(now, it.tenant); wait > 0 {
		wait = min(max(wait, retryMin), retryTenant)
		r := model.Refusal{Reason: model.ReasonTenantLimit, NotRun: true, RetryAfter: wait}
		return Refuse, o.refuseNew(t, it, r)
	}
	v, r := o.place(t, now, it)
	o.noteOffer(v)
	return v, r
}

// refuseUnbound refuses what no owner of this incarnation would ever take, so
// that nothing need be remembered. An attempt bound to another incarnation is
// told "not run": each attempt is sent once (package server's transport does not
// replay), so what arrives here has not reached the other incarnation.
func (o *Owner) refuseUnbound(a *model.Attempt, sameNode bool) model.Refusal {
	switch {
	case a.ID.IsZero() || a.OwnerClock < 0:
		return notRun(model.ReasonBadRequest)
	case o.keyedHere(a) && len(a.Request) > maxKeyBytes:
		return notRun(model.ReasonBadRequest)
	case a.Service != "" && a.Service != o.cfg.Self.Service:
		return notRun(model.ReasonLeaving)
	case a.Owner != "" && a.Owner != o.cfg.Self.ID:
		return notRun(model.ReasonIncarnation)
	case !a.Regions.Allows(o.cfg.Region):
		return notRun(model.ReasonRegion)
	case a.OwnerIncarnation == o.cfg.Self.Incarnation && a.OwnerIncarnation != 0:
		return model.Refusal{}
	case a.OwnerIncarnation != 0:
		return notRun(model.ReasonIncarnation)
	case !a.Idempotent && !sameNode:
		return notRun(model.ReasonIncarnation)
	}
	return model.Refusal{}
}

// refuseKnown refuses an attempt id that was offered or settled before.
func (o *Owner) refuseKnown(t time.Duration, a *model.Attempt, sameNode bool) model.Refusal {
	if o.live[a.ID] != nil {
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	rec, known := o.attempts.find(a.ID, stampOf(t, a, sameNode))
	switch {
	case !known:
		return model.Refusal{Reason: model.ReasonStale}
	case rec == attemptBarred:
		return notRun(model.ReasonFenced)
	case rec == attemptDone:
		return model.Refusal{Reason: model.ReasonDuplicateDone}
	case rec == attemptDuplicate:
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	return model.Refusal{}
}

// refuseStale refuses an attempt whose age cannot be bounded by its remaining
// time. The age bound only grows, so an expired attempt stays refused without a
// record.
func (o *Owner) refuseStale(t time.Duration, a *model.Attempt, sameNode bool) model.Refusal {
	remaining := min(a.Remaining, maxRemaining)
	if a.OwnerClock == 0 {
		switch {
		case !a.Idempotent && !sameNode:
			return notRun(model.ReasonStale)
		case remaining <= 0:
			return notRun(model.ReasonExpired)
		case t < o.attempts.unstampedUntil:
			return model.Refusal{Reason: model.ReasonStale}
		}
		return model.Refusal{}
	}
	if a.OwnerClock > t {
		return o.refuseFuture(t, a, remaining)
	}
	switch {
	case remaining <= 0:
		return notRun(model.ReasonExpired)
	case a.OwnerClock <= o.attempts.floor:
		return notRun(model.ReasonStale)
	case t-a.OwnerClock >= remaining:
		return notRun(model.ReasonStale)
	}
	return model.Refusal{}
}

// refuseFuture refuses a stamp ahead of the owner's clock, which no correct
// entry sends. A copy could become valid once the clock has passed the stamp, so
// the attempt is barred until then and past its remaining time; a stamp too far
// ahead to remember is refused without the claim "not run".
func (o *Owner) refuseFuture(t time.Duration, a *model.Attempt, remaining time.Duration) model.Refusal {
	if a.OwnerClock-t > maxFuture {
		return model.Refusal{Reason: model.ReasonBadRequest}
	}
	o.attempts.bar(a.OwnerClock, a.ID, a.OwnerClock+max(remaining, 0)+barSlack)
	return notRun(model.ReasonBadRequest)
}

// refuseState refuses what the life stage or a recent pause forbids.
func (o *Owner) refuseState(t time.Duration, a *model.Attempt) model.Refusal {
	switch {
	case o.leaving():
		return notRun(model.ReasonLeaving)
	case o.evacuated.holds:
		return refuseEvacuated()
	case o.state == model.StateCold || !o.configured || o.unlisted.holds:
		return model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: retryNotReady}
	case o.pause.doubted(t) || a.OwnerClock == 0 && o.pause.recent(t):
		return model.Refusal{Reason: model.ReasonPaused, NotRun: true, RetryAfter: retryPaused}
	}
	return model.Refusal{}
}

// place starts, queues or refuses an attempt that nothing else forbids.
func (o *Owner) place(t time.Duration, now time.Time, it *item) (DecisionKind, model.Refusal) {
	if it.mayMove && (o.movesOn(t, it) || o.mustWait(it)) {
		return Refuse, o.refuseNew(t, it, o.busy(t, it))
	}
	if o.free(t) > 0 {
		o.queue.push(it)
		if o.choose(o, t) == it {
			o.admit(now, it)
			o.start(t, it)
			return Start, model.Refusal{}
		}
		o.queue.remove(it)
	}
	if it.mayMove {
		return Refuse, o.refuseNew(t, it, o.busy(t, it))
	}
	if r := o.refuseLate(t, it); r.Reason != model.ReasonNone {
		return Refuse, o.refuseNew(t, it, r)
	}
	if o.queue.length >= o.queueLimit && !o.displace(t, it) {
		r := model.Refusal{Reason: model.ReasonQueueFull, NotRun: true, RetryAfter: o.retryAfter(t, o.wait(t, it))}
		return Refuse, o.refuseNew(t, it, r)
	}
	o.admit(now, it)
	o.queue.push(it)
	return Queue, model.Refusal{}
}

// refuseLate refuses what could not be answered in its remaining time, or gives way to
// others, and a caller's own request id that would wait here although it may run
// elsewhere.
func (o *Owner) refuseLate(t time.Duration, it *item) model.Refusal {
	wait, ahead := o.foresee(t, it)
	it.predicted = wait
	left := it.deadline - t
	if ahead > 0 && it.givesWay(t, wait) {
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: o.retryAfter(t, wait)}
	}
	if late := wait + it.class.expected() - left; late > 0 {
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: o.retryAfter(t, late)}
	}
	if it.keyed && !o.alone && (wait > min(delegateWait, left/delegateShare) || o.speed.failing(t)) {
		return model.Refusal{Reason: model.ReasonDelegated, NotRun: true, RetryAfter: o.advice(wait)}
	}
	return model.Refusal{}
}

// advice turns an expected delay into advice within sensible bounds.
func (o *Owner) advice(d time.Duration) time.Duration {
	return min(max(d, o.speed.all.mean(), retryMin), retryMax)
}

// retryAfter is the advice of a refusal for load, where d is the expected delay.
func (o *Owner) retryAfter(t, d time.Duration) time.Duration {
	return o.advice(max(d, o.overload.refused(t)))
}

// newItem reads an attempt that passed the checks of its binding and age.
func (o *Owner) newItem(t time.Duration, a *model.Attempt) *item {
	left := min(a.Remaining, maxRemaining)
	if a.OwnerClock > 0 {
		left -= t - a.OwnerClock
	}
	o.nextSeq++
	it := &item{
		id:       a.ID,
		request:  model.ScopedRequestID(a.Tenant, a.Request),
		keyed:    o.keyedHere(a),
		class:    o.classes.get(a.Class),
		tenant:   o.tenants.get(a.Tenant),
		worth:    soundWorth(a.Worth),
		deadline: t + left,
		arrived:  t,
		seq:      o.nextSeq,
		mayMove:  a.MayMove,
		regions:  a.Regions,
	}
	if a.Objective != 0 {
		it.objective = max(t+a.Objective, 1)
	}
	it.late = it.missesObjective(t)
	return it
}

// soundWorth keeps worths ordered, whatever a message holds.
func soundWorth(w float64) float64 {
	if math.IsNaN(w) {
		return 0
	}
	return min(max(w, 0), maxWorth)
}

// stampOf returns a lower bound of the time of sending, zero when there is none.
func stampOf(t time.Duration, a *model.Attempt, sameNode bool) time.Duration {
	if sameNode && a.OwnerClock == 0 {
		return t
	}
	return a.OwnerClock
}

// keyedHere tells whether this owner, as the request's home, registers its id.
func (o *Owner) keyedHere(a *model.Attempt) bool {
	return a.CallerKey && !a.Idempotent && !a.Delegated
}

// admit records an attempt that starts or waits.
func (o *Owner) admit(now time.Time, it *item) {
	o.tenants.spend(now, it.tenant)
	o.live[it.id] = it
	it.log = o.attempts.seen(it.id, it.stamp)
	o.keys.run(it)
}

// refuseNew bars an attempt that was never admitted and returns the refusal,
// changed to a delegation where the request id has to be remembered.
func (o *Owner) refuseNew(t time.Duration, it *item, r model.Refusal) model.Refusal {
	r = o.delegate(t, it, r)
	o.attempts.end(t, it, attemptBarred)
	return r
}

// delegate changes a refusal that lets the entry place the request elsewhere
// into a delegation when this owner is the home of its id.
func (o *Owner) delegate(t time.Duration, it *item, r model.Refusal) model.Refusal {
	if !it.keyed || !placeable(r.Reason) {
		return r
	}
	if !o.keys.delegate(t, it) {
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: retryKeysFull}
	}
	r.Reason = model.ReasonDelegated
	return r
}

// placeable tells whether an entry would try the request at another owner after
// a refusal for this reason. An owner that leaves delegates nothing: its memory
// has gone to the next homes (see Handover), and they have the say.
func placeable(r model.Reason) bool {
	switch r {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonNotReady,
		model.ReasonPaused, model.ReasonDelegated, model.ReasonDeferred, model.ReasonEvacuated:
		return true
	}
	return false
}

// notRun is a refusal that needs no advice.
func notRun(r model.Reason) model.Refusal { return model.Refusal{Reason: r, NotRun: true} }
