package server

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/wire"
)

// leaseRig is an executor with one slot, in a service of two workers: it cannot spare both.
type leaseRig struct {
	t    *testing.T
	o    *owner.Owner
	x    *Executor
	q    *quarantine.Quarantine
	runs atomic.Int64
	// gate holds the worker's responses until it is closed.
	gate chan struct{}
}

func newLeaseRig(t *testing.T, slots int) *leaseRig {
	t.Helper()
	r := &leaseRig{t: t, gate: make(chan struct{})}
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.runs.Add(1)
		<-r.gate
		_, _ = io.WriteString(w, "done")
	}))
	t.Cleanup(worker.Close)
	r.o, r.x = withSlots(slots, strings.TrimPrefix(worker.URL, "http://"))
	fleet := &model.Fleet{Revision: 1, Instances: []model.Instance{
		{ID: "n0", Service: "ledger", PeerAddress: "a", State: model.StateLive},
		{ID: "n1", Service: "ledger", PeerAddress: "b", State: model.StateLive},
	}}
	r.q = quarantine.New(quarantine.Config{
		Self: fleet.Instances[0], Started: time.Now(), Fleet: func() *model.Fleet { return fleet },
	})
	r.x.quarantine = r.q
	r.q.Handle(time.Now(), control.Tick{})
	return r
}

// start executes an attempt of a request and returns the channel of its result.
func (r *leaseRig) start(sequence uint64, path string) <-chan Result {
	out := make(chan Result, 1)
	go func() { out <- r.x.Do(context.Background(), r.message(sequence, path)) }()
	return out
}

func (r *leaseRig) message(sequence uint64, path string) *AttemptMessage {
	m := testMessage(sequence)
	m.URL = &url.URL{Path: path}
	m.Attempt.Idempotent = true
	return m
}

// content returns the fingerprint of a request.
func (r *leaseRig) content(path string) model.Fingerprint {
	return r.x.newFingerprinter(r.message(0, path)).fingerprint()
}

// awaitQueued waits until n attempts are in the queue.
func (r *leaseRig) awaitQueued(n uint16) {
	r.t.Helper()
	await(r.t, r.o, func(report model.LoadReport) bool { return report.Queued == n })
}

// announced returns the next announcement of leases to the other owner.
func (r *leaseRig) announced() wire.SuspectUpdate {
	r.t.Helper()
	timeout := time.NewTimer(10 * time.Second)
	defer timeout.Stop()
	select {
	case <-r.q.Changed():
	case <-timeout.C:
		r.t.Fatal("nothing to announce")
	}
	for _, a := range r.q.Handle(time.Now(), control.SuspectsChanged{}) {
		if send, ok := a.(control.SendSuspectUpdate); ok {
			return send.Update
		}
	}
	r.t.Fatal("no message to the other owner")
	return wire.SuspectUpdate{}
}

// learn tells the executor's quarantine of a lease of the other owner.
func (r *leaseRig) learn(update wire.SuspectUpdate) {
	update.From, update.Service = "n1", "ledger"
	r.q.HandleUpdate(time.Now(), update)
}

// wantDeferred fails unless the result leaves the request to the other owner.
func wantDeferred(t *testing.T, got Result) {
	t.Helper()
	if r := got.Refusal; got.Response != nil || r.Reason != model.ReasonDeferred || !r.NotRun || r.OnlyOwner != "n1" {
		t.Errorf("got %+v, %+v; want it deferred to n1", got.Response, r)
	}
}

// wantServed fails unless the result is a response, and closes it.
func wantServed(t *testing.T, got Result) {
	t.Helper()
	if got.Response == nil {
		t.Fatalf("got %+v; want a response", got.Refusal)
	}
	got.Response.Body.Close()
}

func TestQueuedRequestIsAnnouncedUntilItEnds(t *testing.T) {
	r := newLeaseRig(t, 1)
	first := r.start(1, "/first")
	await(t, r.o, func(report model.LoadReport) bool { return report.InFlight == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan Result, 1)
	go func() { ended <- r.x.Do(ctx, r.message(2, "/second")) }()
	r.awaitQueued(1)
	key := wire.NewLeaseKey(r.content("/second"))
	if got := r.announced(); len(got.Leases) != 1 || got.Leases[0] != key {
		t.Errorf("announced %+v; want the lease %x", got, key)
	}
	cancel()
	if got := <-ended; got.Refusal.Reason != model.ReasonCancelled {
		t.Fatalf("got %+v; want it cancelled", got.Refusal)
	}
	if got := r.announced(); len(got.LeasesEnded) != 1 || got.LeasesEnded[0] != key {
		t.Errorf("announced %+v; want the end of the lease %x", got, key)
	}
	close(r.gate)
	wantServed(t, <-first)
}

func TestRequestLeasedByPeerDoesNotRunHere(t *testing.T) {
	r := newLeaseRig(t, 1)
	r.learn(wire.SuspectUpdate{Leases: []wire.LeaseKey{wire.NewLeaseKey(r.content("/leased"))}})
	wantDeferred(t, r.x.Do(t.Context(), r.message(1, "/leased")))
	close(r.gate)
	wantServed(t, r.x.Do(t.Context(), r.message(2, "/other")))
	if n := r.runs.Load(); n != 1 {
		t.Errorf("%d runs; want 1", n)
	}
}

// The other owner's announcement crossed the one of this owner, and its attempt started
// first.
func TestQueuedRequestThatRunsAtPeerDoesNotRunHere(t *testing.T) {
	r := newLeaseRig(t, 1)
	first := r.start(1, "/first")
	await(t, r.o, func(report model.LoadReport) bool { return report.InFlight == 1 })
	second := r.start(2, "/second")
	r.awaitQueued(1)
	r.learn(wire.SuspectUpdate{LeasesRunning: []wire.LeaseKey{wire.NewLeaseKey(r.content("/second"))}})
	close(r.gate)
	wantServed(t, <-first)
	wantDeferred(t, <-second)
}

func TestEqualRequestsRunOneAtATimeUntilWorkerResponds(t *testing.T) {
	r := newLeaseRig(t, 4)
	first := r.start(1, "/same")
	await(t, r.o, func(report model.LoadReport) bool { return report.InFlight == 1 })
	second, third := r.start(2, "/same"), r.start(3, "/same")
	r.awaitQueued(2)
	close(r.gate)
	for i, result := range []<-chan Result{first, second, third} {
		t.Logf("request %d", i)
		wantServed(t, <-result)
	}
}

// Payouts of equal amounts by many callers were refused until one of them was answered.
func TestEqualPayoutsRunTogether(t *testing.T) {
	r := newLeaseRig(t, 4)
	results := make(chan Result, 4)
	for i := range uint64(4) {
		go func() { results <- r.x.Do(context.Background(), messageOf(i+1, "/payouts", "pay", fetchedBody)) }()
	}
	await(t, r.o, func(report model.LoadReport) bool { return report.InFlight == 4 && r.runs.Load() == 4 })
	close(r.gate)
	for range 4 {
		wantServed(t, <-results)
	}
}
