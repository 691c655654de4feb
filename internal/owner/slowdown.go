package owner

import (
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
)

// Workers share their machines with other processes and report the current slowdown. The
// service time is determined by the slowdown at the start: an attempt that starts on a
// machine that is four times slower takes four times as long, although the machine
// recovers within a few hundred milliseconds. A slow owner therefore refuses an attempt
// while another owner may run at its usual speed. An attempt that no other owner accepted
// waits here until the machine recovers, if it then ends sooner.
const (
	// slowThreshold is the slowdown from which a machine counts as slow. It is above that
	// of cold workers, which take twice as long for seconds, too long to wait for.
	slowThreshold = 2.5
	// defaultSlowPeriod is the expected length of a slow period before the first was
	// observed. It fits neighbours that change every 300 ms and are slow a third of the
	// time.
	defaultSlowPeriod = 400 * time.Millisecond
	// slowPeriodLeft is the share of a slow period that is left at an arbitrary moment of
	// it: half of its last step and the steps that may follow.
	slowPeriodLeft = 0.7
	// rerouteCost is the delay below which a slow start does not justify a move: a
	// refusal takes 1 to 2 ms to another data centre and as much processor time.
	rerouteCost = 10 * time.Millisecond
	// slowdownMemory is the age up to which a sample of the slowdown makes attempts wait.
	slowdownMemory = 500 * time.Millisecond
)

// slowdownTracker holds the slowdown that the worker last reported.
type slowdownTracker struct {
	// current is the slowdown, 1 at the usual speed; 0 when the worker does not report
	// it.
	current float64
	// sampledAt is the time of the last sample, slowSince the start of the present slow
	// period.
	sampledAt, slowSince time.Duration
	slowPeriod           estimate
}

// observe records a sample and reports whether the worker recovered from a slow period.
func (s *slowdownTracker) observe(t time.Duration, slowdown float64) (recovered bool) {
	was := s.current >= slowThreshold
	s.current, s.sampledAt = slowdown, t
	slow := slowdown >= slowThreshold
	switch {
	case slow && !was:
		s.slowSince = t
	case was && !slow:
		s.slowPeriod.add(t - s.slowSince)
		return true
	}
	return false
}

// factor returns the ratio of present to usual service times, at least 1.
func (s *slowdownTracker) factor(t time.Duration) float64 {
	if s.current <= 1 || t-s.sampledAt > slowdownMemory {
		return 1
	}
	return s.current
}

// slow reports whether the machine is in a slow period.
func (s *slowdownTracker) slow(t time.Duration) bool { return s.factor(t) >= slowThreshold }

// recoversIn is the expected time until the machine has recovered.
func (s *slowdownTracker) recoversIn() time.Duration {
	period := defaultSlowPeriod
	if s.slowPeriod.count > 0 {
		period = s.slowPeriod.mean()
	}
	return time.Duration(float64(period) * slowPeriodLeft)
}

// recoveryWait decides whether an attempt waits for the machine to recover. All times are
// relative to now.
type recoveryWait struct {
	// usual is the expected service time at the usual speed, factor the present slowdown.
	usual  time.Duration
	factor float64
	// recoversIn is the expected time until the machine has recovered.
	recoversIn time.Duration
}

// worthwhile reports whether a later start is expected to end sooner. It also occupies
// the slot for a shorter time.
func (w recoveryWait) worthwhile() bool {
	endNow := time.Duration(float64(w.usual) * w.factor)
	endAfterRecovery := w.recoversIn + w.usual
	return endAfterRecovery < endNow
}

// waitsForRecovery reports whether an attempt that is first in its subqueue waits for the
// machine to recover.
func (o *Owner) waitsForRecovery(t time.Duration, p *pendingAttempt) bool {
	if !o.slowdown.slow(t) {
		return false
	}
	return recoveryWait{
		usual:      p.class.expected(),
		factor:     o.slowdown.factor(t),
		recoversIn: o.slowdown.recoversIn(),
	}.worthwhile()
}

// slowdownCost is the time that a start at the present slowdown costs an attempt.
func (o *Owner) slowdownCost(t time.Duration, p *pendingAttempt) time.Duration {
	return time.Duration(float64(p.class.expected()) * (o.slowdown.factor(t) - 1))
}

// refuseBusy returns the refusal of an attempt that another owner may start sooner, with
// the time after which a retry here makes sense.
func (o *Owner) refuseBusy(t time.Duration, p *pendingAttempt) model.Refusal {
	wait := time.Duration(0)
	if o.freeSlots(t) <= 0 {
		wait = o.predictWait(t, p)
	}
	if o.slowdown.slow(t) {
		wait = max(wait, o.slowdown.recoversIn())
	}
	wait = max(min(max(wait, retryMin), retryMax), o.rateRetryAfter(t))
	return model.Refusal{Reason: model.ReasonBusy, NotRun: true, RetryAfter: wait}
}

// shouldMove reports whether an attempt that can be placed elsewhere should be: it cannot
// start now, or would take much longer than usual.
func (o *Owner) shouldMove(t time.Duration, p *pendingAttempt) bool {
	return o.freeSlots(t) <= 0 || o.slowdown.slow(t) && o.slowdownCost(t, p) > rerouteCost
}

// ObserveLoad records the load that the worker reported and returns decisions on queued
// attempts.
func (o *Owner) ObserveLoad(now time.Time, l dialect.WorkerLoad) []Decision {
	if !l.Known || l.Slowdown <= 0 {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.slowdown.observe(t, l.Slowdown) {
		o.dispatch(t)
	}
	return o.takeDecisions()
}

// maxSampleAge is the age up to which a sample of the slowdown may decide on an attempt.
// With neighbours that change every 300 ms, one in twelve samples of that age is wrong.
const maxSampleAge = 50 * time.Millisecond

// NeedsSample reports whether the worker's last report is too old to decide on an
// attempt: that of its slowdown, if it reports one, or of whether it is warming. A worker
// that names a rate limit is not sampled, as each sample is one more request to it.
func (o *Owner) NeedsSample(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.rateLimit.named() {
		return false
	}
	return o.slowdown.current > 0 && t-o.slowdown.sampledAt > maxSampleAge || o.warming.stale(t)
}

// WaitsForSample reports whether attempts wait for the worker's machine to recover, or
// for a report that the worker is warm, and the last sample is too old to show either.
func (o *Owner) WaitsForSample(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.queue.length == 0 || o.rateLimit.named() {
		return false
	}
	return o.slowdown.slow(t) && t-o.slowdown.sampledAt > maxSampleAge || o.warming.stale(t)
}
