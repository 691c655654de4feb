package entry

import (
	"sync/atomic"
	"time"
)

// A bucket is an entry node's token bucket of extra attempts for one service, in
// thousandths of an attempt: each first attempt adds the bundle's ratio, each extra attempt
// takes its cost. Over any time the extra attempts cost at most ratio x first attempts +
// bucketRefillPerSecond x seconds + bucketDepth.
const (
	attemptUnit = 1000
	// bucketDepth bounds the burst after a quiet time: 20 retries.
	bucketDepth = 20 * attemptUnit
	// bucketRefillPerSecond lets services with few calls retry: one attempt a second.
	bucketRefillPerSecond = attemptUnit
)

// retryCost is the cost of retrying an attempt that may have run.
const retryCost = attemptUnit

// bucket is safe for concurrent use and takes no lock.
type bucket struct {
	tokens atomic.Int64
	// refilledAt is the time up to which bucketRefillPerSecond was added, in Unix
	// nanoseconds.
	refilledAt atomic.Int64
}

func newBucket(now time.Time) *bucket {
	b := &bucket{}
	b.tokens.Store(bucketDepth)
	b.refilledAt.Store(now.UnixNano())
	return b
}

// deposit adds the ratio for one first attempt. It only reads a full bucket, so that calls
// don't contend for it while nothing fails. Each concurrent deposit may overfill it by one
// ratio.
func (b *bucket) deposit(ratio float64) {
	if b.tokens.Load() < bucketDepth {
		b.tokens.Add(int64(ratio * attemptUnit))
	}
}

// withdraw takes cost out and reports true, or takes nothing when there is not enough.
func (b *bucket) withdraw(now time.Time, cost int64) bool {
	if b.take(cost) {
		return true
	}
	b.refill(now)
	return b.take(cost)
}

// holds reports whether the bucket holds at least amount.
func (b *bucket) holds(amount int64) bool { return b.tokens.Load() >= amount }

// take is withdraw without a refill.
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

// refill adds bucketRefillPerSecond for the time since the last refill, once that makes up at
// least one retry.
func (b *bucket) refill(now time.Time) {
	nanos := now.UnixNano()
	last := b.refilledAt.Load()
	elapsed := min(nanos-last, int64(bucketDepth/bucketRefillPerSecond)*int64(time.Second))
	amount := elapsed * bucketRefillPerSecond / int64(time.Second)
	if amount < retryCost || !b.refilledAt.CompareAndSwap(last, nanos) {
		return
	}
	b.tokens.Add(min(amount, bucketDepth-b.tokens.Load()))
}

// childBudget returns how much of a budget of extra attempts an attempt passes on to the
// calls below it: this hop keeps the greater half for itself.
func childBudget(budget int) int { return budget / 2 }
