package route

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// linkWindow is the time over which a link's minimum round trip is taken.
	linkWindow = int64(time.Second)
	// minLinkSamples is the number of samples that a window needs to raise the estimate.
	minLinkSamples = 8
	// A window raises the estimate by 1/linkRiseDivisor of the difference to its minimum.
	linkRiseDivisor = 4
)

// linkTime estimates the round trip to one data centre as a smoothed minimum. A sample is a
// latency less the time that the attempt spent at the owner, or the full latency where that
// is not known; either is an upper bound of the link's round trip. So a smaller sample
// counts at once, and a larger one only as the minimum of a window, in part.
type linkTime struct {
	estimate    atomic.Int64
	windowMin   atomic.Int64
	windowCount atomic.Int64
	windowStart atomic.Int64
}

func newLinkTime(guess time.Duration) *linkTime {
	l := &linkTime{}
	l.estimate.Store(int64(guess))
	l.windowMin.Store(math.MaxInt64)
	return l
}

// roundTrip returns the estimate in nanoseconds.
func (l *linkTime) roundTrip() int64 { return l.estimate.Load() }

// addSample adds the round trip of one attempt, in nanoseconds.
func (l *linkTime) addSample(now, nanos int64) {
	if nanos <= 0 {
		return
	}
	l.windowStart.CompareAndSwap(0, now)
	storeMin(&l.estimate, nanos)
	storeMin(&l.windowMin, nanos)
	began := l.windowStart.Load()
	if l.windowCount.Add(1) < minLinkSamples || now-began < linkWindow {
		return
	}
	if l.windowStart.CompareAndSwap(began, now) {
		l.closeWindow()
	}
}

// closeWindow raises the estimate towards the minimum of the window.
func (l *linkTime) closeWindow() {
	l.windowCount.Store(0)
	least := l.windowMin.Swap(math.MaxInt64)
	est := l.estimate.Load()
	if least != math.MaxInt64 && least > est {
		l.estimate.CompareAndSwap(est, est+(least-est)/linkRiseDivisor)
	}
}

// storeMin sets a to the smaller of itself and v.
func storeMin(a *atomic.Int64, v int64) {
	for {
		old := a.Load()
		if old <= v || a.CompareAndSwap(old, v) {
			return
		}
	}
}
