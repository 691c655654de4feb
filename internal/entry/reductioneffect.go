package entry

import "time"

// A served share may be low for a reason that does not depend on how many requests are
// admitted, such as calls to a service that refuses whatever comes. Then each reduction of the
// fraction leaves the share as it is, and without a check the fraction would fall to the floor
// for nothing.

const (
	// effectReduction is the part of the fraction after whose loss the effect is judged.
	effectReduction = 0.25
	// effectDelay is the least time for which a reduction is given to take effect.
	effectDelay = 2 * time.Second
	// effectShare is the part of the expected rise of the served share that must be seen.
	effectShare = 0.5
	// effectServed is the served share above which the effect is not judged: near wantedServed
	// the expected rise is within the noise.
	effectServed = 0.7
	// effectStep is the least fall of the served share that starts a comparison anew; the end of
	// a smoothed fall is slow.
	effectStep = 0.05
	// effectTime is the time constant with which the values that are compared are smoothed: the
	// lowest of a few samples would be far below the mean.
	effectTime = time.Second
	// effectPause is how long the fraction is not reduced after a reduction without effect.
	// Overloads last some ten seconds.
	effectPause = 30 * time.Second
)

// reductionEffect judges whether reductions of the fraction raise the served share.
type reductionEffect struct {
	// admitted and served are smoothed.
	admitted, served float64
	// before holds the values at the lowest served share since at; at is zero when a shortage
	// has not begun.
	before struct{ admitted, served float64 }
	at     time.Time

	pausedUntil time.Time
}

func newReductionEffect() reductionEffect { return reductionEffect{admitted: 1, served: 1} }

// observe adds the served share and the fraction to which it belongs.
func (e *reductionEffect) observe(elapsed time.Duration, admitted, served float64) {
	gain := approach(elapsed, effectTime)
	e.admitted += (admitted - e.admitted) * gain
	e.served += (served - e.served) * gain
}

// absent reports whether reductions were seen to have no effect recently.
func (e *reductionEffect) absent(now time.Time) bool {
	if e.paused(now) {
		return true
	}
	if e.at.IsZero() || e.served < e.before.served-effectStep {
		e.mark(now)
		return false
	}
	if now.Sub(e.at) < effectDelay || e.admitted > e.before.admitted*(1-effectReduction) {
		return false
	}
	expected := min(e.before.served*e.before.admitted/e.admitted, 1)
	rise := e.served - e.before.served
	absent := e.before.served < effectServed && rise < effectShare*(expected-e.before.served)
	e.mark(now)
	if absent {
		e.pausedUntil = now.Add(effectPause)
	}
	return absent
}

// mark starts a comparison with the present values.
func (e *reductionEffect) mark(now time.Time) {
	e.before.admitted, e.before.served, e.at = e.admitted, e.served, now
}

// paused reports whether a reduction without effect was seen recently.
func (e *reductionEffect) paused(now time.Time) bool { return now.Before(e.pausedUntil) }

// reset forgets the reductions of a shortage that has ended, but not a pause.
func (e *reductionEffect) reset() { e.at = time.Time{} }
