package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// coldGrace is how long queued attempts wait for a worker gone cold before they
// are refused, so that time is left to place them elsewhere.
const coldGrace = 200 * time.Millisecond

// item is one admitted attempt, queued or started.
type item struct {
	id      model.AttemptID
	request model.RequestID
	// keyed: the request's id is registered here as its home.
	keyed  bool
	class  *class
	tenant *tenant
	// regions are those in which the request may run.
	regions model.Regions
	worth   float64
	// deadline, arrived and startedAt are on the owner's clock.
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
	// predicted is the wait that was predicted when it was queued.
	predicted time.Duration
	// objective is the time up to which an answer has its full worth, on the owner's
	// clock; zero when there is none.
	objective time.Duration
	// late: it is queued behind those that can still meet their objective.
	late bool
	// mayMove: the entry can place it elsewhere.
	mayMove bool
	// slowness is how many times as long as usual work took at the start.
	slowness float64
	// confirmed: Confirm let the first byte go.
	confirmed bool
	// pauses is the number of pauses seen before the start.
	pauses uint64
	// life is the number of the worker's life at the start.
	life uint64
	// alone: workers ended under the request, so that it runs where no other such one does.
	alone bool
}

// free returns the number of attempts that may start now.
func (o *Owner) free(t time.Duration) int {
	if !o.runs() || o.pause.doubted(t) {
		return 0
	}
	return min(o.limit.effective(t)-o.inFlight, o.warming.room(t))
}

// runs tells whether the life stage lets admitted attempts start.
func (o *Owner) runs() bool {
	return o.configured && (o.state == model.StateLive || o.state == model.StateLeaving)
}

// dispatch starts waiting attempts while there is room.
func (o *Owner) dispatch(t time.Duration) {
	o.queue.moveLate(t)
	for n := o.free(t); n > 0 && o.queue.length > 0; n-- {
		it := o.choose(o, t)
		if it == nil {
			return
		}
		if it.hopeless(t) {
			o.turnAway(t, it, notRun(model.ReasonExpired))
			n++
			continue
		}
		o.learnWait(t, it, t-it.arrived)
		o.start(t, it)
		o.out = append(o.out, Decision{Attempt: it.id, Kind: Start})
	}
}

// start moves an attempt from the queue to the worker.
func (o *Owner) start(t time.Duration, it *item) {
	o.queue.remove(it)
	o.classes.charge(it.class, o.limit.effective(t))
	it.started = true
	it.startedAt = t
	it.slowness = o.pace.factor(t)
	o.slowed += it.slowness
	it.pauses = o.pause.count
	it.life = o.life
	it.class.inFlight++
	it.tenant.inFlight++
	if it.alone {
		o.alones++
	}
	o.inFlight++
	o.warming.start(t)
}

// release gives back what start took.
func (o *Owner) release(it *item) {
	delete(o.live, it.id)
	o.slowed -= it.slowness
	it.class.inFlight--
	it.tenant.inFlight--
	if it.alone {
		o.alones--
	}
	o.inFlight--
}

// turnAway ends the waiting of a queued attempt with a refusal; the attempt is
// barred from then on.
func (o *Owner) turnAway(t time.Duration, it *item, r model.Refusal) {
	o.queue.remove(it)
	delete(o.live, it.id)
	if it.keyed && !placeable(r.Reason) {
		o.keys.free(it)
	}
	r = o.delegate(t, it, r)
	o.attempts.end(t, it, attemptBarred)
	o.out = append(o.out, Decision{Attempt: it.id, Kind: Refuse, Refusal: r})
}

// hopeShare is the part of the expected service time that must be left for a start: of
// runs that vary by a third, one in four takes less than 0.8 of the mean. A start with
// less left would mostly hold a slot for an answer that nobody waits for.
const hopeShare = 0.8

// hopeless tells whether a start now would mostly end after the deadline.
func (it *item) hopeless(t time.Duration) bool {
	return t+it.least() >= it.deadline
}

// least is the time that must be left for a start.
func (it *item) least() time.Duration {
	return time.Duration(hopeShare * float64(it.class.expected()))
}

// expire refuses queued attempts that cannot be answered in time any more.
func (o *Owner) expire(t time.Duration) {
	for _, it := range o.queue.where(func(it *item) bool { return it.hopeless(t) }) {
		o.turnAway(t, it, notRun(model.ReasonExpired))
	}
}

// refuseWhileCold refuses queued attempts once the worker has been cold for
// longer than coldGrace.
func (o *Owner) refuseWhileCold(t time.Duration) {
	if o.state != model.StateCold || t-o.coldSince < coldGrace || o.queue.length == 0 {
		return
	}
	o.turnAwayAll(t, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: retryNotReady})
}

// turnAwayAll ends all waiting with one refusal.
func (o *Owner) turnAwayAll(t time.Duration, r model.Refusal) {
	for _, it := range o.queue.where(func(*item) bool { return true }) {
		o.turnAway(t, it, r)
	}
}

// displace makes room in a full queue for it by refusing the least valuable
// waiting attempt; false when none is worth less.
func (o *Owner) displace(t time.Duration, it *item) bool {
	victim := o.queue.least(o.queueLimit, it)
	if victim == nil {
		return false
	}
	r := model.Refusal{Reason: model.ReasonQueueFull, NotRun: true, RetryAfter: o.retryAfter(t, o.wait(t, victim))}
	o.turnAway(t, victim, r)
	return true
}
