package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// coldGrace is how long queued attempts wait for a worker that went cold. After that they
// are refused, early enough to be placed elsewhere.
const coldGrace = 200 * time.Millisecond

// pendingAttempt is an admitted attempt, queued or started. Its times are on the owner's
// clock.
type pendingAttempt struct {
	id      model.AttemptID
	request model.RequestID
	// keyed: this owner is the home of the request's id and has registered it.
	keyed  bool
	class  *class
	tenant *tenant
	// regions are those in which the request may run.
	regions   model.Regions
	worth     float64
	deadline  time.Duration
	arrived   time.Duration
	startedAt time.Duration
	// stamp is a lower bound of the time of sending, zero when there is none.
	stamp time.Duration
	// log is the ledger's log of the entry; nil until admitted.
	log *entryLog
	// seq is the order of arrival.
	seq     uint64
	started bool
	// predicted is the wait that was predicted on arrival.
	predicted time.Duration
	// objective is the time up to which a response has its full worth; zero when there is
	// none.
	objective time.Duration
	// late: queued behind the attempts that can still meet their objective.
	late bool
	// mayMove: the entry can place the attempt elsewhere.
	mayMove bool
	// reserved: the body was reserved before and has been received.
	reserved bool
	// relocatable: the entry can place the attempt elsewhere even after it was queued.
	relocatable bool
	// slowdown is the worker's slowdown at the start: the service time over the usual
	// one.
	slowdown float64
	// confirmed: Confirm allowed the first byte to be sent.
	confirmed bool
	// pausesAtStart is the number of process pauses before the start.
	pausesAtStart uint64
	// workerIncarnation is the owner's workerIncarnation at the start.
	workerIncarnation uint64
	// exclusive: workers crashed under the request, so no other exclusive attempt may run
	// at the same time.
	exclusive bool
	// content is set if attempts of the same content run one at a time; held: another one
	// is queued or running.
	content model.Fingerprint
	held    bool

	// inherited is the priority, plus one, of the request for which a worker makes this
	// call; zero for a request with the priority of its class.
	inherited uint16
}

// freeSlots returns the number of attempts that may start now.
func (o *Owner) freeSlots(t time.Duration) int {
	if !o.runs() || o.pause.blocked(t) {
		return 0
	}
	return min(o.limit.effective(t)-o.inFlight, o.warming.available(t), o.rateLimit.available(t, o.inFlight))
}

// runs reports whether the worker's state allows admitted attempts to start.
func (o *Owner) runs() bool {
	return o.configured && (o.state == model.StateLive || o.state == model.StateLeaving)
}

// dispatch starts queued attempts while slots are free.
func (o *Owner) dispatch(t time.Duration) {
	o.queue.demoteLate(t)
	for n := o.freeSlots(t); n > 0 && o.queue.length > 0; n-- {
		p := o.choose(o, t)
		if p == nil {
			return
		}
		if p.missesDeadline(t) {
			o.refuseQueued(t, p, notRunRefusal(model.ReasonExpired))
			n++
			continue
		}
		o.observeWait(t, p, t-p.arrived)
		o.start(t, p)
		o.decisions = append(o.decisions, Decision{Attempt: p.id, Kind: Start})
	}
}

// start moves an attempt from the queue to the worker.
func (o *Owner) start(t time.Duration, p *pendingAttempt) {
	o.queue.remove(p)
	o.classes.chargeStart(p.class, o.limit.effective(t))
	p.started = true
	p.startedAt = t
	p.slowdown = o.slowdown.factor(t)
	o.slowdownSum += p.slowdown
	p.pausesAtStart = o.pause.count
	p.workerIncarnation = o.workerIncarnation
	p.class.inFlight++
	p.tenant.inFlight++
	if p.exclusive {
		o.exclusiveInFlight++
	}
	o.inFlight++
	o.starts++
	o.warming.recordStart(t)
	o.rateLimit.recordStart(t)
}

// release removes a started attempt and returns its slot.
func (o *Owner) release(p *pendingAttempt) {
	delete(o.pending, p.id)
	o.leaveSerial(p)
	o.slowdownSum -= p.slowdown
	p.class.inFlight--
	p.tenant.inFlight--
	if p.exclusive {
		o.exclusiveInFlight--
	}
	o.inFlight--
}

// refuseQueued refuses a queued attempt and fences it.
func (o *Owner) refuseQueued(t time.Duration, p *pendingAttempt, r model.Refusal) {
	o.queue.remove(p)
	delete(o.pending, p.id)
	o.leaveSerial(p)
	if p.keyed && !mayRetryElsewhere(r.Reason) {
		o.keys.remove(p)
	}
	r = o.delegateRefusal(t, p, r)
	o.recordRefusalOutcome(t, p, r.Reason)
	o.attempts.record(t, p, attemptFenced)
	o.decisions = append(o.decisions, Decision{Attempt: p.id, Kind: Refuse, Refusal: r})
}

// minTimeShare is the share of the expected service time that must be left for a start.
// Of service times that vary by a third, one in four is below 0.8 of the mean. With less
// time left, an attempt mostly occupies a slot for a response that comes after the
// deadline.
const minTimeShare = 0.8

// missesDeadline reports whether an attempt started at t would mostly end after its
// deadline.
func (p *pendingAttempt) missesDeadline(t time.Duration) bool {
	return t+p.minTimeLeft() >= p.deadline
}

// minTimeLeft is the time that must be left before the deadline for a start.
func (p *pendingAttempt) minTimeLeft() time.Duration {
	return time.Duration(minTimeShare * float64(p.class.expected()))
}

// expireQueued refuses queued attempts that can no longer be answered in time.
func (o *Owner) expireQueued(t time.Duration) {
	for _, p := range o.queue.filter(func(p *pendingAttempt) bool { return p.missesDeadline(t) }) {
		o.refuseQueued(t, p, notRunRefusal(model.ReasonExpired))
	}
}

// refuseWhileCold refuses queued attempts once the worker has been cold for coldGrace.
func (o *Owner) refuseWhileCold(t time.Duration) {
	if o.state != model.StateCold || t-o.coldSince < coldGrace || o.queue.length == 0 {
		return
	}
	o.refuseAllQueued(t, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: retryNotReady})
}

// refuseAllQueued refuses every queued attempt with r.
func (o *Owner) refuseAllQueued(t time.Duration, r model.Refusal) {
	for _, p := range o.queue.filter(func(*pendingAttempt) bool { return true }) {
		o.refuseQueued(t, p, r)
	}
}

// displace makes room for p in a full queue by refusing another queued attempt; it returns
// false when none has to make room (see displaceable).
func (o *Owner) displace(t time.Duration, p *pendingAttempt) bool {
	victim := o.queue.displaceable(o.queueLimit, p)
	if victim == nil {
		return false
	}
	r := model.Refusal{Reason: model.ReasonQueueFull, NotRun: true, RetryAfter: o.overloadRetryAfter(t, o.predictWait(t, victim))}
	o.refuseQueued(t, victim, r)
	return true
}
