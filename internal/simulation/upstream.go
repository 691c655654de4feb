package simulation

import (
	"math/rand/v2"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// upstream is a worker with its owner.
type upstream struct {
	sim   *sim
	dc    int
	id    model.InstanceID
	fault Fault
	// rng draws service times. It is separate from the load's generator, so that routing
	// does not change the load.
	rng             *rand.Rand
	inFlight        int
	queue           []*attempt
	meanServiceTime float64
	failureRate     float64
}

// attempt is one attempt at an upstream. done receives its result and a load report.
type attempt struct {
	arrived  time.Duration
	deadline time.Duration
	done     func(r route.Result, rep model.LoadReport)
}

func (u *upstream) faultActive() bool { return u.sim.now >= warmUp }

// paused reports whether the process is stopped, and until when: 200 ms in every 500 ms.
func (u *upstream) paused() (until time.Duration, ok bool) {
	if u.fault != Paused || !u.faultActive() {
		return 0, false
	}
	const cycle, stop = 500 * time.Millisecond, 200 * time.Millisecond
	into := u.sim.now % cycle
	return u.sim.now - into + stop, into < stop
}

// limit returns the number of requests that run at once. A cold worker refuses for 500 ms
// and then ramps up over a second.
func (u *upstream) limit() int {
	if u.fault != Cold || !u.faultActive() {
		return slotCount
	}
	warm := u.sim.now - warmUp - 500*time.Millisecond
	return min(slotCount, int(slotCount*warm/time.Second))
}

func (u *upstream) report() model.LoadReport {
	r := model.LoadReport{
		Owner: u.id, Incarnation: 1, Clock: u.sim.now + time.Second, State: model.StateLive,
		Limit: uint16(max(0, u.limit())), InFlight: uint16(u.inFlight), Queued: uint16(len(u.queue)),
		ServiceTime: time.Duration(u.meanServiceTime), FailureRate: uint16(1000 * u.failureRate),
	}
	if u.limit() <= 0 {
		r.State = model.StateCold
	}
	return r
}

// offer queues an attempt, or refuses it when the queue is full or the deadline cannot be
// met. A paused upstream handles it after the pause.
func (u *upstream) offer(a *attempt) {
	if until, ok := u.paused(); ok {
		u.sim.after(until-u.sim.now, func() { u.offer(a) })
		return
	}
	a.arrived = u.sim.now
	limit := u.limit()
	if limit <= 0 {
		u.refuse(a, model.ReasonNotReady, 100*time.Millisecond)
		return
	}
	wait := time.Duration(u.meanServiceTime) * time.Duration(max(0, u.inFlight+len(u.queue)+1-limit)) / time.Duration(limit)
	if len(u.queue) >= queueLimit || wait+tailMeans*time.Duration(u.meanServiceTime) > a.deadline-u.sim.now {
		u.refuse(a, model.ReasonOverloaded, wait/2)
		return
	}
	u.queue = append(u.queue, a)
	u.startQueued()
}

func (u *upstream) refuse(a *attempt, reason model.Reason, retry time.Duration) {
	a.done(route.Result{Refused: reason, RetryAfter: retry}, u.report())
}

// startQueued starts queued attempts up to the limit and refuses expired ones.
func (u *upstream) startQueued() {
	for len(u.queue) > 0 && u.inFlight < u.limit() {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if a.deadline <= u.sim.now {
			u.refuse(a, model.ReasonExpired, 0)
			continue
		}
		u.inFlight++
		d, failed := u.serviceTime()
		u.sim.after(d, func() { u.finish(a, d, failed) })
	}
}

// serviceTime draws a service time and whether the run fails, under the fault.
func (u *upstream) serviceTime() (d time.Duration, failed bool) {
	d = time.Duration(u.rng.ExpFloat64() * float64(meanService))
	if !u.faultActive() {
		return d, false
	}
	switch u.fault {
	case Slowed:
		return 5 * d, false
	case Failing:
		return d / 20, true
	}
	return d, false
}

// finish completes a run and updates the moving averages that load reports carry.
func (u *upstream) finish(a *attempt, d time.Duration, failed bool) {
	if until, ok := u.paused(); ok {
		u.sim.after(until-u.sim.now, func() { u.finish(a, d, failed) })
		return
	}
	const gain = 1.0 / 16
	failure := 0.0
	if failed {
		failure = 1
	}
	u.failureRate += gain * (failure - u.failureRate)
	u.meanServiceTime += gain * (float64(d) - u.meanServiceTime)
	u.inFlight--
	u.startQueued()
	a.done(route.Result{Failed: failed, OwnerTime: u.sim.now - a.arrived}, u.report())
}
