package server

import (
	"net/http"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/upstream"
)

// limits are those that the transport was made for.
type limits struct{ slots, connections int }

// Bounds of connections to the worker.
const (
	workerDialTimeout = time.Second
	// workerIdle is a fifth of the shortest time that workers were seen to keep
	// idle connections (10 s).
	workerIdle = 2 * time.Second
	// cautiousIdle is how long a connection may have been idle to carry a request
	// that must not run twice: a worker that has forgotten the connection resets it,
	// and then nothing proves that the request did not run.
	cautiousIdle = 250 * time.Millisecond
	// workerSilence ends a connection to a worker whose machine is gone.
	workerSilence = 3 * time.Second
)

// Transport limits until a bundle names them.
const (
	initialSlots       = 16
	initialConnections = 64
)

// Configure applies a bundle's limits; requests in flight go on with the old
// transport. It is called from one goroutine.
func (x *Executor) Configure(svc *bundle.Service, self model.InstanceID) {
	x.echo.Store(svc.RequireEcho)
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

// renewTransports makes transports for other limits; requests in flight go on with
// the old ones.
func (x *Executor) renewTransports(l limits) {
	o := upstream.Options{
		MaxIdleConns: l.slots, MaxConns: l.connections,
		DialTimeout: workerDialTimeout, IdleTimeout: workerIdle, AckTimeout: workerSilence,
	}
	before := []*http.Transport{x.transport.Swap(upstream.NewTransport(o)), nil}
	o.IdleTimeout = cautiousIdle
	before[1] = x.cautious.Swap(upstream.NewTransport(o))
	for _, t := range before {
		if t != nil {
			t.CloseIdleConnections()
		}
	}
}

// transportFor returns the transport that an attempt goes by.
func (x *Executor) transportFor(a *model.Attempt) *http.Transport {
	if a.Idempotent {
		return x.transport.Load()
	}
	return x.cautious.Load()
}

// Close closes idle connections to the worker.
func (x *Executor) Close() {
	x.transport.Load().CloseIdleConnections()
	x.cautious.Load().CloseIdleConnections()
}
