package server

import (
	"context"
	"sync/atomic"
	"time"
)

// StopBound ends calls in time for their callers to be answered before a planned stop
// ends. It is safe for concurrent use; a nil one bounds nothing.
type StopBound struct {
	// at is the bound in Unix nanoseconds, zero while the node does not stop.
	at atomic.Int64
	// ending ends at the bound.
	ending context.Context
	end    context.CancelFunc
	// inHand counts the calls that have not ended.
	inHand atomic.Int64
}

// leastTimeout is what a call gets that comes at the very end of a stop: enough to be
// refused.
const leastTimeout = time.Millisecond

// NewStopBound returns a bound that is not set.
func NewStopBound() *StopBound {
	b := &StopBound{}
	b.ending, b.end = context.WithCancel(context.Background())
	return b
}

// Set bounds all calls by at, those under way too.
func (b *StopBound) Set(at time.Time) {
	b.at.Store(at.UnixNano())
	time.AfterFunc(time.Until(at), b.end)
}

// InFlight returns the number of callers' requests that have been read and not answered.
func (b *StopBound) InFlight() int64 { return b.inHand.Load() }

// hold counts a call until its end.
func (b *StopBound) hold() (end func()) {
	if b == nil {
		return func() {}
	}
	b.inHand.Add(1)
	return func() { b.inHand.Add(-1) }
}

// within returns the part of timeout that is left before the bound.
func (b *StopBound) within(now time.Time, timeout time.Duration) time.Duration {
	if b == nil {
		return timeout
	}
	at := b.at.Load()
	if at == 0 {
		return timeout
	}
	return max(min(timeout, time.Unix(0, at).Sub(now)), leastTimeout)
}

// bound returns a context that also ends at the bound, as if the caller had gone. After the
// bound it has ended at its return, so that the call is passed on to nobody.
func (b *StopBound) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if b == nil {
		return ctx, cancel
	}
	if b.ending.Err() != nil {
		cancel()
		return ctx, cancel
	}
	stop := context.AfterFunc(b.ending, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
