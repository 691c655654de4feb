package owner

import "time"

// Smoothing of service times and failures.
const (
	// smoothing is the weight of a new sample: 1/smoothing.
	smoothing = 16
	// minService is the least expected service time that values are reckoned with.
	minService = 10 * time.Microsecond
	// failingRate is the smoothed share of failures from which the worker counts
	// as failing, for failingMemory after the last failure.
	failingRate   = 0.5
	failingMemory = time.Second
)

// estimate is a smoothed duration: the mean of the first samples, then an
// exponentially weighted one.
type estimate struct {
	value float64
	count int
}

func (e *estimate) add(d time.Duration) {
	e.count = min(e.count+1, smoothing)
	e.value += (float64(d) - e.value) / float64(e.count)
}

func (e *estimate) mean() time.Duration { return time.Duration(e.value) }

// speed is what the worker's answers show.
type speed struct {
	all estimate
	// failures is the smoothed share of failed answers, 0 to 1.
	failures    float64
	lastFailure time.Duration
}

// failing tells whether most of the worker's late answers failed.
func (s *speed) failing(t time.Duration) bool {
	return s.failures >= failingRate && t-s.lastFailure < failingMemory
}

// ended takes whether an attempt failed.
func (s *speed) ended(t time.Duration, failed bool) {
	target := 0.0
	if failed {
		target = 1
		s.lastFailure = t
	}
	s.failures += (target - s.failures) / smoothing
}

// learn takes the end of a started attempt into the estimates and the limit. An
// attempt that a pause fell into, or that did not get as far as the worker, says
// nothing of it.
func (o *Owner) learn(t time.Duration, it *item, f Completion) {
	if f.Abandoned {
		return
	}
	if f.SpuriousRefusal {
		o.speed.ended(t, true)
		return
	}
	unreached := f.NotRun && !f.Shed
	if it.pauses != o.pause.count || unreached && !it.confirmed && !f.Failed {
		return
	}
	o.limit.adapt.observe(sample{
		signal:    signalOf(f),
		startedAt: it.startedAt,
		endedAt:   t,
		service:   f.ServiceTime,
		expected:  it.class.expected(),
	}, o.limit.slots)
	if !f.Shed {
		o.speed.ended(t, f.Failed || unreached)
	}
	if o.measures(it, f) {
		usual := time.Duration(float64(f.ServiceTime) / max(1, it.slowness))
		it.class.service.add(usual)
		o.speed.all.add(usual)
	}
}

// signalOf reads what an end says about the worker's capacity.
func signalOf(f Completion) signal {
	switch {
	case f.Shed || f.NotRun:
		return signalShed
	case !f.Failed:
		return signalServed
	case f.Status != 0:
		return signalNone
	}
	return signalTimeout
}

// measures tells whether the service time is a measurement: a failed attempt's
// is one only when it is longer than expected, as the worker would have taken
// at least that long; a quick failure must not make the worker look fast.
func (o *Owner) measures(it *item, f Completion) bool {
	switch {
	case f.NotRun || f.Shed:
		return false
	case f.Failed:
		return f.ServiceTime > it.class.expected()
	}
	return true
}

// slowness is how many times as long as usual the runs at the worker take on average:
// each keeps the pace at its start.
func (o *Owner) slowness() float64 {
	if o.inFlight == 0 {
		return 1
	}
	return o.slowed / float64(o.inFlight)
}

// wait predicts how long an attempt that is not yet queued would wait: one slot
// comes free every service time over the limit, and those ahead take the first.
// A class within its share waits for its own share at most.
func (o *Owner) wait(t time.Duration, it *item) time.Duration {
	wait, _ := o.foresee(t, it)
	return wait
}

// foresee is wait with the number of those ahead.
func (o *Owner) foresee(t time.Duration, it *item) (wait time.Duration, ahead int) {
	limit := o.limit.effective(t)
	all, own := o.queue.ahead(it)
	mean := float64(o.speed.all.mean()) * o.slowness()
	expected := mean * float64(all+1) / float64(limit)
	if g := it.class.guaranteed(limit); g > 0 {
		expected = min(expected, float64(it.class.expected())*float64(own+1)/g)
	}
	return max(time.Duration(expected), o.warming.wait(t, all+1)), all
}
