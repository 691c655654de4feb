package owner

import "time"

// Smoothing of service times and failures.
const (
	// smoothing is the inverse weight of a new sample.
	smoothing = 16
	// minService is the shortest service time that is used to compute a value.
	minService = 10 * time.Microsecond
	// failingRate is the smoothed share of failures from which the worker counts as
	// failing, for failingMemory after the last failure.
	failingRate   = 0.5
	failingMemory = time.Second
)

// estimate is a smoothed duration: the mean of the first samples, then an exponentially
// weighted one.
type estimate struct {
	value float64
	count int
}

func (e *estimate) add(d time.Duration) {
	e.count = min(e.count+1, smoothing)
	e.value += (float64(d) - e.value) / float64(e.count)
}

func (e *estimate) mean() time.Duration { return time.Duration(e.value) }

// serviceStats holds statistics of the worker's responses.
type serviceStats struct {
	all estimate
	// failures is the smoothed share of failed responses, 0 to 1.
	failures    float64
	lastFailure time.Duration
}

// failing reports whether most of the worker's recent responses failed.
func (s *serviceStats) failing(t time.Duration) bool {
	return s.failures >= failingRate && t-s.lastFailure < failingMemory
}

// observe records whether an attempt failed.
func (s *serviceStats) observe(t time.Duration, failed bool) {
	target := 0.0
	if failed {
		target = 1
		s.lastFailure = t
	}
	s.failures += (target - s.failures) / smoothing
}

// observeCompletion updates the estimates and the limit with the end of a started
// attempt. It ignores an attempt that was abandoned, was interrupted by a pause, or did
// not run and neither failed nor was confirmed (see Confirm).
func (o *Owner) observeCompletion(t time.Duration, p *pendingAttempt, f Completion) {
	if f.Abandoned {
		return
	}
	if f.SpuriousRefusal {
		o.service.observe(t, true)
		return
	}
	unreached := f.NotRun && !f.Shed
	if p.pausesAtStart != o.pause.count || unreached && !p.confirmed && !f.Failed {
		return
	}
	o.limit.adapt.observe(sample{
		signal:    signalOf(f),
		startedAt: p.startedAt,
		endedAt:   t,
		service:   f.ServiceTime,
		expected:  p.class.expected(),
	}, o.limit.slots)
	if !f.Shed {
		o.observeFailure(t, f, f.Failed || unreached)
	}
	if o.measuresService(p, f) {
		usual := time.Duration(float64(f.ServiceTime) / max(1, p.slowdown))
		p.class.service.add(usual)
		o.service.all.add(usual)
	}
}

// signalOf returns what an attempt's end shows about the worker's capacity.
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

// measuresService reports whether the attempt's service time is a valid sample. That of a
// failed attempt is one only if it is longer than expected, as the worker would have
// taken at least that long; a quick failure must not make the worker look fast.
func (o *Owner) measuresService(p *pendingAttempt, f Completion) bool {
	switch {
	case f.NotRun || f.Shed:
		return false
	case f.Failed:
		return f.ServiceTime > p.class.expected()
	}
	return true
}

// meanSlowdown is the mean slowdown of the attempts at the worker; each keeps the
// slowdown at its start.
func (o *Owner) meanSlowdown() float64 {
	if o.inFlight == 0 {
		return 1
	}
	return o.slowdownSum / float64(o.inFlight)
}

// predictWait predicts how long an attempt that is not yet queued would wait: one slot
// becomes free every service time divided by the limit, and attempts served before it
// take the first ones. A class within its share waits for its own share at most.
func (o *Owner) predictWait(t time.Duration, p *pendingAttempt) time.Duration {
	wait, _ := o.predict(t, p)
	return wait
}

// predict is predictWait with the number of queued attempts that are served before p.
func (o *Owner) predict(t time.Duration, p *pendingAttempt) (wait time.Duration, before int) {
	limit := o.limit.effective(t)
	all, own := o.queue.countBefore(p)
	mean := float64(o.service.all.mean()) * o.meanSlowdown()
	expected := mean * float64(all+1) / float64(limit)
	if g := p.class.guaranteed(limit); g > 0 {
		expected = min(expected, float64(p.class.expected())*float64(own+1)/g)
	}
	return max(time.Duration(expected), o.warming.wait(t, all+1), o.rateLimit.wait(t, all+1)), all
}
