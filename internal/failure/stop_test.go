package failure

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
)

func TestPlannedStopUnderLoadCompletesAllCalls(t *testing.T) {
	t.Parallel()
	cfg := config(3)
	cfg.LeaveGrace = 2 * time.Second
	f := startFleet(t, cfg)
	leaver := f.Members()[2]
	c := newKeepAliveCallers(t)

	stop := make(chan struct{})
	var calling sync.WaitGroup
	for i, m := range f.Members() {
		for range 6 {
			calling.Go(func() {
				n := 0
				c.sendUntil(t.Context(), stop, m.Node.CallerAddress(), func() request {
					n++
					return []request{view("/a"), payout("/payouts"), view("/slow"), payout("/payouts/slow")}[(i+n)%4]
				})
			})
		}
	}
	await(t, "calls in flight at the node that stops", func() bool {
		return leaver.Node.Core().Owner.Report(time.Now()).InFlight > 0 && c.count(answered) > 50
	})
	if err := f.Stop(leaver); err != nil {
		t.Errorf("stop: %v", err)
	}
	before := c.count(answered)
	await(t, "callers at other nodes still served", func() bool { return c.count(answered) > before+50 })
	close(stop)
	calling.Wait()
	c.check(t, f.Ledger)
	for _, s := range c.submissions() {
		if s.err != nil {
			t.Errorf("%s %s was cut off: %v", s.method, s.id, s.err)
		}
	}
}

func TestPlannedStopFinishesStreamingResponse(t *testing.T) {
	t.Parallel()
	const pieces, piece = 8, 32 << 10
	begun, open := make(chan string, 1), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		_, _ = w.Write(make([]byte, pieces*piece/2))
		_ = http.NewResponseController(w).Flush()
		begun <- serverAddress(r)
		<-open
		_, _ = w.Write(make([]byte, pieces*piece/2))
	})
	cfg := config(2)
	cfg.Services = []local.Service{{Name: "ledger", Workers: 2, Handler: handler}}
	f := startFleet(t, cfg)
	entry := f.Members()[0]
	conn := connect(t, entry.Node.CallerAddress(), "POST /payouts HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\nGypsum-Timeout-Ms: 20000\r\n\r\n")
	owner := memberByWorker(t, f, <-begun)

	// The owner stops first, then the entry, while the response is half sent.
	stopping := []*local.Member{owner}
	if owner != entry {
		stopping = append(stopping, entry)
	}
	var stops sync.WaitGroup
	for _, m := range stopping {
		stops.Go(func() {
			if err := f.Stop(m); err != nil {
				t.Errorf("%s: %v", m.ID, err)
			}
		})
		await(t, string(m.ID)+" leaving", func() bool { return stateAt(m, m.ID) == model.StateLeaving })
	}
	close(open)
	got := readResponse(t, conn)
	stops.Wait()
	if got.err != nil || got.outcome != answered || len(got.body) != pieces*piece {
		t.Errorf("%d bytes, got %d %s, %v; want a complete response", len(got.body), got.status, got.outcome, got.err)
	}
}

func TestLeavingWorkerReceivesNoNewRequests(t *testing.T) {
	t.Parallel()
	f := startFleet(t, config(3))
	leaver := f.Members()[1]
	c := newKeepAliveCallers(t)
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for _, m := range f.Members() {
		for range 3 {
			calling.Go(func() {
				c.sendUntil(t.Context(), stop, m.Node.CallerAddress(), func() request { return view("/a") })
			})
		}
	}
	if err := leaver.Worker.ChangeFaults(func(f *worker.Faults) { f.Draining = true }); err != nil {
		t.Fatal(err)
	}
	awaitMembers(t, f, "aware of the leaving worker", func(m *local.Member) bool {
		return stateAt(m, leaver.ID) >= model.StateLeaving
	})
	awaitIdle(t, leaver)
	received, before := leaver.Worker.Counters().Received, c.count(answered)
	await(t, "callers served by the others", func() bool { return c.count(answered) > before+100 })
	if now := leaver.Worker.Counters().Received; now != received {
		t.Errorf("the leaving worker received %d requests after every node knew its state", now-received)
	}
	close(stop)
	calling.Wait()
	c.check(t, f.Ledger)
	if err := f.Stop(leaver); err != nil {
		t.Errorf("stop: %v", err)
	}
	for _, s := range c.submissions() {
		if s.err != nil {
			t.Errorf("%s was cut off: %v", s.id, s.err)
		}
	}
}
