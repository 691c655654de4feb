package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// A worker that breaks every attempt may say that it is well, and each attempt that
// must not be repeated is lost there. So after a few broken ones in a row the owner
// refuses what comes, which proves that it did not run, but for a trial now and then.
// One answer ends this. Load: a worker that resets all requests, or goes down and up
// by turns, beside others that restart.
const (
	// breakerTrips is the number of broken attempts in a row that opens the breaker.
	// Where a worker loses two answers in five, one attempt in 1,500 does; with 5 in a
	// row it was one in a hundred, and on a day with such workers 4,000 sendings were
	// refused in place of 3,000.
	breakerTrips = 8
	// breakerPause is the time to the first trial, doubled after each up to
	// breakerMostPause. A worker that has mended is in full use after that time.
	breakerPause     = 100 * time.Millisecond
	breakerMostPause = 400 * time.Millisecond
	// repeatableMemory is for how long after a refused attempt that may be repeated
	// the trials are left to such ones, as they lose nothing.
	repeatableMemory = time.Second
)

// breaker refuses attempts for a worker that breaks them all. Times are on the owner's
// clock. The zero value is closed.
type breaker struct {
	// row is the number of broken attempts since the last answer.
	row int
	// next is the time of the next trial, pause what follows it.
	next, pause time.Duration
	// repeatable is when an attempt that may be repeated was last refused.
	repeatable time.Duration
}

// ended takes the end of an attempt.
func (b *breaker) ended(t time.Duration, broke bool) {
	if !broke {
		*b = breaker{}
		return
	}
	b.row++
	if b.row == breakerTrips {
		b.pause = breakerPause
		b.next = t + b.pause
	}
}

// open tells whether attempts are refused, but for trials.
func (b *breaker) open() bool { return b.row >= breakerTrips }

// refuses tells whether an attempt is to be refused, and after which time the next
// trial is due. It takes an attempt that it lets through for a trial.
func (b *breaker) refuses(t time.Duration, idempotent bool) (time.Duration, bool) {
	if !b.open() {
		return 0, false
	}
	mayTry := idempotent || b.repeatable == 0 || t-b.repeatable >= repeatableMemory
	if t >= b.next && mayTry {
		b.pause = min(2*b.pause, breakerMostPause)
		b.next = t + b.pause
		return 0, false
	}
	if idempotent {
		b.repeatable = t
	}
	return min(max(b.next-t, retryMin), breakerMostPause), true
}

// broke tells whether the worker broke the attempt off or spoiled its answer. A
// time-out does not count: a worker that stands still for a while holds its slots, so
// that little is sent to it anyway, and what waits meanwhile is mostly served after it.
// Counted in, time-outs took the worth answered by a worker that hangs for 0.7 of 2 s
// from 0.72 to 0.55 (TestLimitsCompared).
func (f *Completion) broke() bool {
	return f.Failed && !f.NotRun && !f.Abandoned && !f.Expired && f.Status == 0
}

// refuseBreaking refuses an attempt for a worker that breaks all.
func (o *Owner) refuseBreaking(t time.Duration, a *model.Attempt) model.Refusal {
	wait, open := o.breaker.refuses(t, a.Idempotent)
	if !open {
		return model.Refusal{}
	}
	return model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: wait}
}

// noteBreak takes an attempt's end to the breaker. When that opens it, what waits is
// turned away, to be placed elsewhere.
func (o *Owner) noteBreak(t time.Duration, f Completion) {
	if f.NotRun || f.Abandoned || f.Expired {
		return
	}
	wasOpen := o.breaker.open()
	o.breaker.ended(t, f.broke())
	open := o.breaker.open()
	if open != wasOpen && o.cfg.OnBreakerChange != nil {
		o.cfg.OnBreakerChange(open)
	}
	if open && !wasOpen {
		o.turnAwayAll(t, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: breakerPause})
	}
}
