package entry

import (
	"sync/atomic"
	"time"
)

// A bucket holds an entry node's budget of extra attempts for one service, in
// thousandths of an attempt: each first attempt puts the bundle's ratio in, each
// extra attempt takes its cost out. Over any time the extra attempts cost at
// most ratio x first attempts + bucketFloorPerSecond x seconds + bucketDepth.
const (
	unit = 1000
	// bucketDepth bounds what a quiet time saves up: a burst of 20 retries.
	bucketDepth = 20 * unit
	// bucketFloorPerSecond lets rare calls retry: one attempt a second.
	bucketFloorPerSecond = unit
)

// costRetry is the cost of trying again what may have run.
const costRetry = unit

// bucket is safe for concurrent use and takes no lock.
type bucket struct {
	tokens atomic.Int64
	// filled is the time up to which the floor has been put in, Unix nanoseconds.
	filled atomic.Int64
}

func newBucket(now time.Time) *bucket {
	b := &bucket{}
	b.tokens.Store(bucketDepth)
	b.filled.Store(now.UnixNano())
	return b
}

// deposit puts in the share of one first attempt. A full bucket is only read, so
// that calls do not contend for it while nothing fails. Concurrent deposits may
// overfill it by one share each.
func (b *bucket) deposit(ratio float64) {
	if b.tokens.Load() < bucketDepth {
		b.tokens.Add(int64(ratio * unit))
	}
}

// withdraw takes cost out, or nothing when there is not enough.
func (b *bucket) withdraw(now time.Time, cost int64) bool {
	if b.take(cost) {
		return true
	}
	b.refill(now)
	return b.take(cost)
}

// has tells whether the bucket holds at least amount.
func (b *bucket) has(amount int64) bool { return b.tokens.Load() >= amount }

func (b *bucket) take(cost int64) bool {
	for {
		have := b.tokens.Load()
		if have < cost {
			return false
		}
		if b.tokens.CompareAndSwap(have, have-cost) {
			return true
		}
	}
}

// refill puts in the floor for the time since the last refill, once there is a
// whole retry's worth.
func (b *bucket) refill(now time.Time) {
	nanos := now.UnixNano()
	filled := b.filled.Load()
	elapsed := min(nanos-filled, int64(bucketDepth/bucketFloorPerSecond)*int64(time.Second))
	amount := elapsed * bucketFloorPerSecond / int64(time.Second)
	if amount < costRetry || !b.filled.CompareAndSwap(filled, nanos) {
		return
	}
	b.tokens.Add(min(amount, bucketDepth-b.tokens.Load()))
}

// childBudget returns what an attempt may pass on to the calls below it when
// budget extra attempts are left: this hop keeps the greater half for itself.
func childBudget(budget int) int { return budget / 2 }
