package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// linkWindow is the time over which a link's least round trip is taken.
	linkWindow = int64(time.Second)
	// linkSamples is the least number of samples in a window that may raise it.
	linkSamples = 8
	// linkRise is the part of the way that a window raises the estimate by.
	linkRise = 4
)

// linkTime learns the round trip to one data centre as a smoothed minimum. A
// sample is a latency less the time that the owner held the attempt, or the
// whole latency where that is not known; either way it is an upper bound of the
// link's own round trip. So a smaller sample is taken at once, and a larger one
// only as the least of a window, by part of the way.
type linkTime struct {
	estimate atomic.Int64
	least    atomic.Int64
	count    atomic.Int64
	began    atomic.Int64
}

func newLinkTime(guess time.Duration) *linkTime {
	l := &linkTime{}
	l.estimate.Store(int64(guess))
	l.least.Store(math.MaxInt64)
	return l
}

// roundTrip returns the estimate in nanoseconds.
func (l *linkTime) roundTrip() int64 { return l.estimate.Load() }

// sample learns from one attempt.
func (l *linkTime) sample(now, nanos int64) {
	if nanos <= 0 {
		return
	}
	l.began.CompareAndSwap(0, now)
	lower(&l.estimate, nanos)
	lower(&l.least, nanos)
	began := l.began.Load()
	if l.count.Add(1) < linkSamples || now-began < linkWindow {
		return
	}
	if l.began.CompareAndSwap(began, now) {
		l.closeWindow()
	}
}

// closeWindow raises the estimate towards the least sample of the window.
func (l *linkTime) closeWindow() {
	l.count.Store(0)
	least := l.least.Swap(math.MaxInt64)
	est := l.estimate.Load()
	if least != math.MaxInt64 && least > est {
		l.estimate.CompareAndSwap(est, est+(least-est)/linkRise)
	}
}

// lower sets a to the smaller of itself and v.
func lower(a *atomic.Int64, v int64) {
	for {
		old := a.Load()
		if old <= v || a.CompareAndSwap(old, v) {
			return
		}
	}
}
