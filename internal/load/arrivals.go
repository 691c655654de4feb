package load

import (
	"math/rand/v2"
	"time"
)

// arrivals draws the intended send times of a stream: a Poisson process whose rate rises
// during bursts. It draws at the peak rate and thins the result (Lewis and Shedler,
// 1979).
type arrivals struct {
	rng      *rand.Rand
	rate     float64
	burst    Burst
	at       time.Duration
	period   int64
	burstEnd time.Duration
}

func newArrivals(s *Stream, rng *rand.Rand) *arrivals {
	a := &arrivals{rng: rng, rate: s.RatePerSecond, burst: s.Burst, period: -1}
	if a.burst.EveryMs == 0 {
		a.burst = Burst{Factor: 1}
	}
	return a
}

// next returns the time of the next arrival, measured from the start of the run.
func (a *arrivals) next() time.Duration {
	peak := a.rate * a.burst.Factor
	for {
		a.at += time.Duration(a.rng.ExpFloat64() / peak * float64(time.Second))
		if a.rng.Float64()*peak < a.rateAt(a.at) {
			return a.at
		}
	}
}

// rateAt returns the rate per second at t. t must not decrease between calls.
func (a *arrivals) rateAt(t time.Duration) float64 {
	if a.burst.EveryMs == 0 {
		return a.rate
	}
	every := milliseconds(a.burst.EveryMs)
	for period := int64(t / every); a.period < period; {
		a.period++
		length := a.burst.MinMs + a.rng.Int64N(a.burst.MaxMs-a.burst.MinMs+1)
		a.burstEnd = time.Duration(a.period)*every + milliseconds(length)
	}
	if t < a.burstEnd {
		return a.rate * a.burst.Factor
	}
	return a.rate
}
