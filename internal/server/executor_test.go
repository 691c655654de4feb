package server

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/task"
)

// await waits until the owner's report satisfies a condition.
func await(t *testing.T, o *owner.Owner, satisfied func(model.LoadReport) bool) {
	t.Helper()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for range 10_000 {
		if satisfied(o.Report(time.Now())) {
			return
		}
		<-poll.C
	}
	t.Fatalf("the owner reports %+v", o.Report(time.Now()))
}

// A repeated message of a queued attempt replaced the first one as the waiter for the
// owner's decision: the slot that the owner then granted was never freed.
func TestRepeatedOfferOfQueuedAttemptLeaksNoSlot(t *testing.T) {
	release := make(chan struct{})
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, "done")
	}))
	defer worker.Close()
	o, x := oneSlot(strings.TrimPrefix(worker.URL, "http://"))
	results := make(chan Result, 2)
	do := func(sequence uint64) { results <- x.Do(context.Background(), testMessage(sequence)) }
	go do(1)
	await(t, o, func(r model.LoadReport) bool { return r.InFlight == 1 })
	go do(2)
	await(t, o, func(r model.LoadReport) bool { return r.Queued == 1 })
	if r := x.Do(context.Background(), testMessage(2)); r.Refusal.Reason != model.ReasonDuplicateRunning || r.Refusal.NotRun {
		t.Errorf("the repeated offer got %+v", r.Refusal)
	}
	close(release)
	for range 2 {
		r := <-results
		if r.Response == nil {
			t.Fatalf("refused: %+v", r.Refusal)
		}
		if _, err := io.ReadAll(r.Response.Body); err != nil {
			t.Error(err)
		}
		r.Response.Body.Close()
	}
	if n := o.Report(time.Now()).InFlight; n != 0 {
		t.Errorf("%d attempts hold slots", n)
	}
}

// serveConns accepts connections until the test ends and serves each with serve, which closes
// it. It returns the address.
func serveConns(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// oneSlot returns an executor whose worker has one slot, and its owner.
func oneSlot(address string) (*owner.Owner, *Executor) { return withSlots(1, address) }

func withSlots(slots int, address string) (*owner.Owner, *Executor) {
	now := time.Now()
	svc := &bundle.Service{Name: "ledger", Slots: slots, Connections: 4, QueueLimit: 8, KeyMemoryMs: 1000}
	b := &bundle.Bundle{
		Name: "test", Version: 1, Services: []bundle.Service{*svc},
		Classes: []bundle.Class{{Name: "payout", Worth: 1, DeadlineMs: 60_000, MaxDeadlineMs: 60_000}},
	}
	o := owner.New(owner.Config{Self: model.Instance{ID: "n0", Service: "ledger", Incarnation: 1}, Started: now.Add(-time.Minute)})
	o.Configure(now, b, svc, 1)
	o.SetState(now, model.StateLive)
	log := zerolog.Nop()
	x := NewExecutor(ExecutorConfig{
		Owner: o, Address: address, Dialect: dialect.Product{},
		Worker: func() model.WorkerID { return "" }, ConnectionObserved: func(bool) {}, RequestLog: &log,
		DirectoryFreshness: func() model.DirectoryFreshness { return model.DirectoryFreshness{} },
	})
	x.Configure(svc, "n0")
	return o, x
}

func testMessage(sequence uint64) *AttemptMessage {
	return &AttemptMessage{
		Attempt: model.Attempt{
			ID:    model.AttemptID{Entry: "n0", Incarnation: 1, Sequence: sequence},
			Owner: "n0", OwnerIncarnation: 1, Service: "ledger", Class: "payout", Worth: 1,
			Request: "r", Remaining: time.Minute,
		},
		Method:   http.MethodPost,
		URL:      &url.URL{Path: "/payouts"},
		Header:   http.Header{},
		SameNode: true,
	}
}

// Each attempt that panicked kept its slot, until the worker had none left.
func TestPanickingAttemptReleasesSlot(t *testing.T) {
	worker := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {}))
	defer worker.Close()
	o, x := oneSlot(strings.TrimPrefix(worker.URL, "http://"))
	working := x.worker
	x.worker = func() model.WorkerID { panic("the cause") }
	if task.Do(func() { x.Do(t.Context(), testMessage(1)) }) == nil {
		t.Fatal("no panic")
	}
	x.worker = working
	if n := o.Report(time.Now()).InFlight; n != 0 {
		t.Errorf("%d attempts hold slots", n)
	}
}
