package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// A worker can break every attempt while its health checks pass, and each attempt that
// must not be repeated is lost there. After several broken attempts in a row the owner
// therefore refuses new ones, which proves that they did not run, and lets a trial
// through now and then. One response closes the breaker. Cases: a worker that resets all
// requests, or that goes down and up by turns, next to workers that restart.
const (
	// breakerThreshold is the number of broken attempts in a row that opens the breaker.
	// A worker that loses two responses in five opens it once in 1,500 attempts. A
	// threshold of 5 would open it once in a hundred, and refuse 4,000 submissions
	// instead of 3,000 on a day with such workers.
	breakerThreshold = 8
	// breakerFirstInterval is the time to the first trial. It doubles after each trial up
	// to breakerMaxInterval, which bounds how long a recovered worker is not in full use.
	breakerFirstInterval = 100 * time.Millisecond
	breakerMaxInterval   = 400 * time.Millisecond
	// idempotentTrialMemory is how long after the refusal of an idempotent attempt trials
	// are reserved for idempotent attempts, which can be repeated without loss.
	idempotentTrialMemory = time.Second
)

// breaker refuses attempts to a worker that breaks all of them. Times are on the owner's
// clock. The zero value is closed.
type breaker struct {
	// consecutive is the number of broken attempts since the last response.
	consecutive int
	// nextTrial is the time of the next trial, interval the time from it to the one
	// after.
	nextTrial, interval time.Duration
	// idempotentRefusedAt is when an idempotent attempt was last refused.
	idempotentRefusedAt time.Duration
}

// observe records the end of an attempt.
func (b *breaker) observe(t time.Duration, broken bool) {
	if !broken {
		*b = breaker{}
		return
	}
	b.consecutive++
	if b.consecutive == breakerThreshold {
		b.interval = breakerFirstInterval
		b.nextTrial = t + b.interval
	}
}

// open reports whether attempts other than trials are refused.
func (b *breaker) open() bool { return b.consecutive >= breakerThreshold }

// refuses reports whether an attempt is to be refused, and the time until the next trial.
// An attempt that is let through while the breaker is open counts as a trial.
func (b *breaker) refuses(t time.Duration, idempotent bool) (time.Duration, bool) {
	if !b.open() {
		return 0, false
	}
	mayTry := idempotent || b.idempotentRefusedAt == 0 || t-b.idempotentRefusedAt >= idempotentTrialMemory
	if t >= b.nextTrial && mayTry {
		b.interval = min(2*b.interval, breakerMaxInterval)
		b.nextTrial = t + b.interval
		return 0, false
	}
	if idempotent {
		b.idempotentRefusedAt = t
	}
	return min(max(b.nextTrial-t, retryMin), breakerMaxInterval), true
}

// broken reports whether the worker dropped the attempt or corrupted its response. A
// time-out does not count: a hanging worker keeps its slots occupied, so it gets little
// work anyway, and most of what queues meanwhile is served afterwards. Counting time-outs
// lowered the worth answered by a worker that hangs for 0.7 of 2 s from 0.72 to 0.55
// (TestLimitsCompared).
func (f *Completion) broken() bool {
	return f.Failed && !f.NotRun && !f.Abandoned && !f.Expired && f.Status == 0
}

// refuseByBreaker refuses an attempt while the breaker is open.
func (o *Owner) refuseByBreaker(t time.Duration, a *model.Attempt) model.Refusal {
	wait, open := o.breaker.refuses(t, a.Idempotent)
	if !open {
		return model.Refusal{}
	}
	return model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: wait}
}

// updateBreaker passes an attempt's end to the breaker. When the breaker opens, all
// queued attempts are refused so that their entries place them elsewhere.
func (o *Owner) updateBreaker(t time.Duration, f Completion) {
	if f.NotRun || f.Abandoned || f.Expired {
		return
	}
	wasOpen := o.breaker.open()
	o.breaker.observe(t, f.broken())
	open := o.breaker.open()
	if open != wasOpen && o.cfg.OnBreakerChange != nil {
		o.cfg.OnBreakerChange(open)
	}
	if open && !wasOpen {
		o.refuseAllQueued(t, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: breakerFirstInterval})
	}
}
