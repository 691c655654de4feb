package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// Reserve decides whether an entry of another node may send attempt a with its body of
// a.BodyBytes bytes. It applies the checks of Offer that need no body. The result is Reserved,
// Queue or Refuse; after Queue, a later call returns a Decision of kind Reserved or Refuse.
//
// A refusal is that of the attempt: its id is fenced, and a request id whose home is this
// owner is delegated as after Offer. A reservation holds no slot. It ends by EndReservation,
// or when its attempt does not arrive within reservationExpiry. After that the attempt is
// treated as any other.
func (o *Owner) Reserve(now time.Time, a *model.Attempt) (DecisionKind, model.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if r := o.refuseReservation(t, a); r.Reason != model.ReasonNone {
		return Refuse, r
	}
	p := o.newPending(t, a)
	p.stamp = stampOf(t, a, false)
	p.reserved = true
	if a.BodyBytes <= 0 {
		return Refuse, o.refuseOffered(t, p, notRunRefusal(model.ReasonBadRequest))
	}
	if r := o.refuseKey(t, p); r.Reason != model.ReasonNone {
		return Refuse, r
	}
	if r := o.refuseState(t, a); r.Reason != model.ReasonNone {
		return Refuse, o.refuseOffered(t, p, r)
	}
	if r := o.refuseByBreaker(t, a); r.Reason != model.ReasonNone {
		return Refuse, o.refuseOffered(t, p, r)
	}
	if r := o.refuseTenantLimit(now, p); r.Reason != model.ReasonNone {
		return Refuse, o.refuseOffered(t, p, r)
	}
	kind, r := o.grantOrWait(t, &reservation{attempt: a, pending: p})
	if kind == Refuse {
		o.recordOffer(kind)
		r = o.refuseOffered(t, p, r)
	}
	return kind, r
}

// refuseReservation refuses a reservation for an attempt that would itself be refused without
// a record, or that has one already.
func (o *Owner) refuseReservation(t time.Duration, a *model.Attempt) model.Refusal {
	if r := o.refuseUnbound(a, false); r.Reason != model.ReasonNone {
		return r
	}
	if r := o.refuseKnown(t, a, false); r.Reason != model.ReasonNone {
		return r
	}
	if o.bodies.byID[a.ID] != nil {
		// The attempt of the earlier reservation may still run.
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	return o.refuseStale(t, a, false)
}

// grantOrWait decides on a reservation that passed all other checks.
func (o *Owner) grantOrWait(t time.Duration, r *reservation) (DecisionKind, model.Refusal) {
	p, fits := r.pending, o.bodies.fits(r.attempt.BodyBytes)
	if p.mayMove && (!fits || !o.startsReserved(t, p)) {
		return Refuse, o.refuseBusy(t, p)
	}
	if !fits {
		return Refuse, o.refuseBodyMemory()
	}
	if len(o.bodies.byID) >= o.maxReservations(t) {
		wait := o.bodies.predictTransfer(r)
		return Refuse, model.Refusal{Reason: model.ReasonQueueFull, NotRun: true, RetryAfter: o.overloadRetryAfter(t, wait)}
	}
	if !p.mayMove {
		if refusal := o.refuseReservedLate(t, r); refusal.Reason != model.ReasonNone {
			return Refuse, refusal
		}
	}
	if o.bodies.hasTransit() && len(o.bodies.waiting) == 0 {
		o.bodies.grant(t, r)
		return Reserved, model.Refusal{}
	}
	o.bodies.wait(r)
	return Queue, model.Refusal{}
}

// maxReservations bounds the reservations, those of running attempts included. A reserved
// attempt is queued beyond the queue's limit, so this bounds the queue to twice that limit.
func (o *Owner) maxReservations(t time.Duration) int {
	return o.limit.effective(t) + max(o.queueLimit, maxBodiesInTransit)
}

// startsReserved reports whether an attempt that can be placed elsewhere may be sent here: its
// body can be sent at once, a slot is free beyond those that the bodies in transit will take,
// and the machine is not slow.
func (o *Owner) startsReserved(t time.Duration, p *pendingAttempt) bool {
	if !o.bodies.hasTransit() || len(o.bodies.waiting) > 0 {
		return false
	}
	return o.freeSlots(t) > o.bodies.transit && !o.shouldMove(t, p)
}

// refuseBodyMemory refuses a body for which the memory does not suffice. The next body to end
// may leave enough. It is no sign of an overload of the worker.
func (o *Owner) refuseBodyMemory() model.Refusal {
	wait := o.clampRetryAfter(o.service.all.mean())
	return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: wait}
}

// refuseReservedLate is refuseLate for a reservation, whose attempt starts once its body has
// arrived and the attempts before it have started.
func (o *Owner) refuseReservedLate(t time.Duration, r *reservation) model.Refusal {
	queued, before := o.predict(t, r.pending)
	reservedBefore := o.bodies.countBefore(r)
	wait := max(queued, o.bodies.transferAfter(reservedBefore))
	return o.refuseLate(t, r.pending, wait, before+reservedBefore)
}

// BeginTransfer is called when the head of attempt id has arrived, before its body is read. ok
// reports whether the body is reserved, and bytes its length; EndReservation must then follow
// when the attempt has ended.
func (o *Owner) BeginTransfer(now time.Time, id model.AttemptID) (bytes int64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bodies.expire(o.clock(now))
	return o.bodies.begin(id)
}

// BodyArrived is called when the whole body of a reserved attempt has been received, before
// the attempt is offered. It returns decisions on waiting reservations.
func (o *Owner) BodyArrived(now time.Time, id model.AttemptID) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.bodies.arrive(t, id)
	o.updateReservations(t)
	return o.takeDecisions()
}

// EndReservation ends a reservation in any state: its attempt has ended, or the entry no
// longer waits for it. It returns decisions on waiting reservations.
func (o *Owner) EndReservation(now time.Time, id model.AttemptID) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.bodies.remove(id)
	o.updateReservations(t)
	return o.takeDecisions()
}

// claimReservation marks an offered attempt whose reserved body has arrived.
func (o *Owner) claimReservation(p *pendingAttempt) {
	if o.bodies.arrived(p.id) {
		p.reserved = true
		p.mayMove = false
	}
}

// queueReserved queues a reserved attempt. The bounds of the queue and of the expected wait
// were applied at its reservation: a refusal now would waste the body that was sent.
func (o *Owner) queueReserved(t time.Duration, now time.Time, p *pendingAttempt) (DecisionKind, model.Refusal) {
	if p.missesDeadline(t) {
		return Refuse, o.refuseOffered(t, p, notRunRefusal(model.ReasonExpired))
	}
	p.predicted = o.predictWait(t, p)
	o.admit(now, p)
	o.queue.push(p)
	return Queue, model.Refusal{}
}

// updateReservations ends expired reservations, refuses waiting ones that can no longer be
// served, and grants others while bodies may be sent.
func (o *Owner) updateReservations(t time.Duration) {
	o.bodies.expire(t)
	if len(o.bodies.waiting) == 0 {
		return
	}
	o.refuseWaitingReservations(t)
	for o.bodies.hasTransit() {
		r := o.bodies.next()
		if r == nil {
			return
		}
		if !o.bodies.fits(r.attempt.BodyBytes) {
			o.refuseWaiting(t, r, o.refuseBodyMemory())
			continue
		}
		o.bodies.grant(t, r)
		o.decisions = append(o.decisions, Decision{Attempt: r.attempt.ID, Kind: Reserved})
	}
}

// refuseWaitingReservations refuses the waiting reservations that the worker's state forbids,
// whose attempt could no longer end by its deadline, or, while others go before it, within its
// objective. As in the queue, those that waited longest would otherwise make all later ones
// late too.
func (o *Owner) refuseWaitingReservations(t time.Duration) {
	before := 0
	for _, r := range o.bodies.inOrder(t) {
		refusal := o.refuseState(t, r.attempt)
		wait := o.bodies.transferAfter(before)
		switch {
		case refusal.Reason != model.ReasonNone && (refusal.Reason != model.ReasonPaused || !o.keys.transfer.admitsAttempts()):
			o.refuseWaiting(t, r, refusal)
		case o.breaker.open():
			o.refuseWaiting(t, r, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: breakerFirstInterval})
		case r.pending.missesDeadline(t + wait):
			o.refuseWaiting(t, r, notRunRefusal(model.ReasonExpired))
		case before > 0 && r.pending.missesObjectiveAfter(t, wait):
			o.refuseWaiting(t, r, model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: o.overloadRetryAfter(t, wait)})
		default:
			before++
		}
	}
}

// refuseWaiting refuses a waiting reservation. Its request id is looked up again, as it was
// not registered meanwhile: another submission may have taken it, and that one's record must
// not become a delegation to this attempt's entry.
func (o *Owner) refuseWaiting(t time.Duration, r *reservation, refusal model.Refusal) {
	o.bodies.remove(r.attempt.ID)
	if taken := o.refuseKey(t, r.pending); taken.Reason != model.ReasonNone {
		refusal = taken
	} else {
		refusal = o.refuseOffered(t, r.pending, refusal)
	}
	o.decisions = append(o.decisions, Decision{Attempt: r.attempt.ID, Kind: Refuse, Refusal: refusal})
}

// ReservationCounts describes the reservations of an owner.
type ReservationCounts struct {
	// Waiting, InTransit are the reservations not yet granted, and the bodies in transit.
	Waiting, InTransit int
	// MemoryBytes is the length of the bodies in transit or in memory.
	MemoryBytes int64
	// Expired counts the granted reservations whose attempt never arrived.
	Expired uint64
}

// ReservationCounts returns the present counts.
func (o *Owner) ReservationCounts() ReservationCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return ReservationCounts{
		Waiting: len(o.bodies.waiting), InTransit: o.bodies.transit,
		MemoryBytes: o.bodies.memory, Expired: o.bodies.expired,
	}
}
