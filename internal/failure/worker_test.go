package failure

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// truncatingWorker sends half of the response to the first request of each path and then
// waits until the connection closes. Later requests get the complete response.
type truncatingWorker struct {
	// size is the size of responses by path.
	size map[string]int
	// halfSent receives the worker's address when half a response has been sent.
	halfSent chan string

	runs      runCounts
	mu        sync.Mutex
	seenPaths map[string]bool
}

func (h *truncatingWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := model.RequestID(r.Header.Get(wire.HeaderIdempotencyKey))
	h.runs.add(id)
	h.mu.Lock()
	first := !h.seenPaths[r.URL.Path]
	h.seenPaths[r.URL.Path] = true
	h.mu.Unlock()
	out := answer.Make(answer.Request{ID: id, Target: r.URL.RequestURI(), BodyHash: answer.Hash(body)}, h.size[r.URL.Path])
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	if len(out) == smallAnswer {
		w.Header().Set("Content-Length", strconv.Itoa(len(out))) // others are chunked
	}
	if !first {
		_, _ = w.Write(out) // an error means that the caller has gone
		return
	}
	_, _ = w.Write(out[:len(out)/2])
	_ = http.NewResponseController(w).Flush()
	h.halfSent <- serverAddress(r)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// serverAddress returns the address of the worker that serves r.
func serverAddress(r *http.Request) string {
	return r.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String()
}

// memberByWorker returns the member whose worker has that address.
func memberByWorker(t *testing.T, f *local.Fleet, address string) *local.Member {
	t.Helper()
	for _, m := range f.Members() {
		if m.WorkerAddress() == address {
			return m
		}
	}
	t.Fatalf("no worker at %s", address)
	return nil
}

func TestWorkerKilledMidResponseIsNotTakenAsComplete(t *testing.T) {
	t.Parallel()
	const small, long = "/raw/small", "/raw/long"
	h := &truncatingWorker{
		size:      map[string]int{small: smallAnswer, long: 1 << 20, "/raw/payouts": smallAnswer},
		halfSent:  make(chan string, 1),
		seenPaths: map[string]bool{},
	}
	cfg := config(1)
	cfg.Services = append(cfg.Services, local.Service{Name: "raw", Workers: 4, Handler: h})
	f := startFleet(t, cfg)
	c := newCallers(t)
	entry := f.Members()[0].Node.CallerAddress()
	for _, r := range []request{view(small), view(long), payout("/raw/payouts")} {
		done := make(chan result, 1)
		go func() { done <- c.send(t.Context(), entry, r) }()
		if err := f.KillWorker(memberByWorker(t, f, <-h.halfSent)); err != nil {
			t.Fatal(err)
		}
		<-done
	}
	for _, s := range c.submissions() {
		if broken := s.violation(h.runs.count(s.id)); broken != "" {
			t.Errorf("%s: %s", s.path, broken)
		}
	}
	got := c.submissions()
	if s := got[0]; s.err != nil || s.outcome == notRun {
		t.Errorf("truncated short response: got %s %s, %v; want answered by another worker or unknown", s.outcome, s.reason, s.err)
	}
	if s := got[1]; s.err == nil && s.status == http.StatusOK && h.runs.count(s.id) == 1 {
		t.Errorf("truncated long response: %d bytes with status 200 and no error", len(s.result.body))
	}
	if s := got[2]; s.err != nil || s.outcome != unknown {
		t.Errorf("truncated payout response: got %s %s, %v; want unknown", s.outcome, s.reason, s.err)
	}
}

func TestCorruptResponsesNeverReachAnotherCaller(t *testing.T) {
	f := sharedFleet(t)
	faults := func(change func(*worker.Faults)) {
		for _, m := range standIns(f) {
			if err := m.Worker.ChangeFaults(change); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Cleanup(func() { faults(func(f *worker.Faults) { *f = worker.Faults{} }) })
	cases := []struct {
		name   string
		change func(*worker.Faults)
	}{
		{"crossed", func(f *worker.Faults) { *f = worker.Faults{CrossedShare: 0.3} }},
		{"cut", func(f *worker.Faults) { *f = worker.Faults{CutShare: 0.3} }},
		{"closed without an answer", func(f *worker.Faults) { *f = worker.Faults{CloseShare: 0.2, CloseReusedShare: 0.2} }},
		{"all at once", func(f *worker.Faults) {
			*f = worker.Faults{CrossedShare: 0.1, CutShare: 0.1, CloseReusedShare: 0.1, FailShare: 0.1, ShedShare: 0.1}
		}},
	}
	for _, tt := range cases {
		t.Run(tt.name, func(t *testing.T) {
			c := newCallers(t)
			faults(tt.change)
			c.sendAll(t.Context(), f.CallerAddresses(), 240, 24, mixedRequest)
			faults(func(f *worker.Faults) { *f = worker.Faults{} })
			c.check(t, f.Ledger)
			if c.count(answered) == 0 || c.count(unknown) == 0 {
				t.Errorf("%d answered, %d unknown: the fault was not injected", c.count(answered), c.count(unknown))
			}
			if incomplete := c.count(""); incomplete > 0 {
				t.Errorf("%d callers got no complete response to a short answer", incomplete)
			}
		})
	}
}

// mixedRequest returns views and payouts of services with and without required echo.
func mixedRequest(i int) request {
	paths := []string{"/a", "/strict/a"}
	if i%3 == 0 {
		return payout([]string{"/payouts", "/strict/payouts"}[i/3%2])
	}
	return view(paths[i%2])
}
