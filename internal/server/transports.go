package server

import (
	"net/http"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/upstream"
)

// limits are the limits that the transports were created with.
type limits struct{ slots, connections int }

// Settings of the connections to the worker.
const (
	workerDialTimeout = time.Second
	// workerIdle is a fifth of the shortest idle timeout observed among workers (10 s).
	workerIdle = 2 * time.Second
	// nonIdempotentIdle is how long a connection may have been idle to be used for a
	// non-idempotent request: a worker that has dropped the connection resets it, and
	// then nothing proves that the request did not run.
	nonIdempotentIdle = 250 * time.Millisecond
	// singleUsePeriod is how long after a response to another request each non-idempotent
	// request gets a connection of its own.
	singleUsePeriod = 10 * time.Second
	// workerAckTimeout ends a connection to a worker whose machine is down.
	workerAckTimeout = 3 * time.Second
)

// Limits of the transports until a bundle sets them.
const (
	initialSlots       = 16
	initialConnections = 64
)

// Configure applies a bundle's limits; requests in flight keep the old transports. It
// must be called from one goroutine only.
func (x *Executor) Configure(svc *bundle.Service, self model.InstanceID) {
	x.requireEcho.Store(svc.RequireEcho)
	x.responseLimit.Store(svc.ResponseLimitBytes)
	want := limits{slots: svc.Slots, connections: svc.Connections}
	for _, u := range svc.Upstreams {
		if u.Instance == self && u.Slots > 0 {
			want.slots = u.Slots
		}
		if u.Instance == self && u.Connections > 0 {
			want.connections = u.Connections
		}
	}
	if want == x.limits {
		return
	}
	x.limits = want
	x.renewTransports(want)
}

// renewTransports replaces the transports by ones with the given limits.
func (x *Executor) renewTransports(l limits) {
	o := upstream.Options{
		MaxIdleConns: l.slots, MaxConns: l.connections,
		DialTimeout: workerDialTimeout, IdleTimeout: workerIdle, AckTimeout: workerAckTimeout,
	}
	single := upstream.NewTransport(o)
	single.DisableKeepAlives = true
	fresh := o
	fresh.IdleTimeout = nonIdempotentIdle
	replaced := []*http.Transport{
		x.transport.Swap(upstream.NewTransport(o)),
		x.freshTransport.Swap(upstream.NewTransport(fresh)),
		x.singleUseTransport.Swap(single),
	}
	for _, t := range replaced {
		if t != nil {
			t.CloseIdleConnections()
		}
	}
}

// transportFor returns the transport of an attempt. A late copy of a response leaves the next
// request on its connection without its own; an idempotent one is then tried again.
func (x *Executor) transportFor(a *model.Attempt) *http.Transport {
	switch {
	case a.Idempotent:
		return x.transport.Load()
	case x.repeatsResponses(time.Now()):
		return x.singleUseTransport.Load()
	}
	return x.freshTransport.Load()
}

// repeatsResponses reports whether the worker has sent a response to another request within
// singleUsePeriod.
func (x *Executor) repeatsResponses(now time.Time) bool {
	last := x.mismatchedAt.Load()
	return last != nil && now.Sub(*last) < singleUsePeriod
}

// Close closes idle connections to the worker.
func (x *Executor) Close() {
	x.transport.Load().CloseIdleConnections()
	x.freshTransport.Load().CloseIdleConnections()
	x.singleUseTransport.Load().CloseIdleConnections()
}
