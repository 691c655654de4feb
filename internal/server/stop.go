package server

import (
	"context"
	"sync/atomic"
	"time"
)

// StopBound ends calls early enough before the end of a planned stop for their callers to
// get a response. It is safe for concurrent use; a nil StopBound bounds nothing.
type StopBound struct {
	// at is the bound in Unix nanoseconds, zero while the node is not stopping.
	at atomic.Int64
	// ctx ends at the bound.
	ctx    context.Context
	cancel context.CancelFunc
	// inFlight counts the calls that have not ended.
	inFlight atomic.Int64
}

// minTimeout is the timeout of a call that arrives at the very end of a stop; it suffices
// for a refusal.
const minTimeout = time.Millisecond

// NewStopBound returns a StopBound that is not set.
func NewStopBound() *StopBound {
	b := &StopBound{}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	return b
}

// Set bounds all calls by at, including those in flight.
func (b *StopBound) Set(at time.Time) {
	b.at.Store(at.UnixNano())
	time.AfterFunc(time.Until(at), b.cancel)
}

// InFlight returns the number of callers' requests that have been read and not responded
// to.
func (b *StopBound) InFlight() int64 { return b.inFlight.Load() }

// trackCall counts a call until end is called.
func (b *StopBound) trackCall() (end func()) {
	if b == nil {
		return func() {}
	}
	b.inFlight.Add(1)
	return func() { b.inFlight.Add(-1) }
}

// limit shortens timeout so that it ends at the bound.
func (b *StopBound) limit(now time.Time, timeout time.Duration) time.Duration {
	if b == nil {
		return timeout
	}
	at := b.at.Load()
	if at == 0 {
		return timeout
	}
	return max(min(timeout, time.Unix(0, at).Sub(now)), minTimeout)
}

// withContext returns a context that also ends at the bound, as if the caller had gone.
// After the bound the context has ended before withContext returns, so that the call is
// never passed on.
func (b *StopBound) withContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	if b == nil {
		return ctx, cancel
	}
	if b.ctx.Err() != nil {
		cancel()
		return ctx, cancel
	}
	stop := context.AfterFunc(b.ctx, cancel)
	return ctx, func() {
		stop()
		cancel()
	}
}
