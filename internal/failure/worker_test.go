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

// halfway serves half of an answer of the first request of each path and then
// waits until its connection ends; later requests are served whole.
type halfway struct {
	// size of answers by path.
	size map[string]int
	// reached gets the worker's address once half is sent.
	reached chan string

	runs runCounts
	mu   sync.Mutex
	seen map[string]bool
}

func (h *halfway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := model.RequestID(r.Header.Get(wire.HeaderIdempotencyKey))
	h.runs.add(id)
	h.mu.Lock()
	first := !h.seen[r.URL.Path]
	h.seen[r.URL.Path] = true
	h.mu.Unlock()
	out := answer.Make(answer.Request{ID: id, Target: r.URL.RequestURI(), BodyHash: answer.Hash(body)}, h.size[r.URL.Path])
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	if len(out) == smallAnswer {
		w.Header().Set("Content-Length", strconv.Itoa(len(out))) // others are chunked
	}
	if !first {
		_, _ = w.Write(out) // the caller is gone when this fails
		return
	}
	_, _ = w.Write(out[:len(out)/2])
	_ = http.NewResponseController(w).Flush()
	h.reached <- localAddress(r)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

// localAddress returns the address of the worker that serves r.
func localAddress(r *http.Request) string {
	return r.Context().Value(http.LocalAddrContextKey).(interface{ String() string }).String()
}

// memberOf returns the member whose worker has that address.
func memberOf(t *testing.T, f *local.Fleet, address string) *local.Member {
	t.Helper()
	for _, m := range f.Members() {
		if m.WorkerAddress() == address {
			return m
		}
	}
	t.Fatalf("no worker at %s", address)
	return nil
}

func TestAWorkerKilledInTheMiddleOfAnAnswerIsNeverTakenForWhole(t *testing.T) {
	t.Parallel()
	const small, long = "/raw/small", "/raw/long"
	h := &halfway{
		size:    map[string]int{small: smallAnswer, long: 1 << 20, "/raw/payouts": smallAnswer},
		reached: make(chan string, 1),
		seen:    map[string]bool{},
	}
	cfg := config(1)
	cfg.Services = append(cfg.Services, local.Service{Name: "raw", Workers: 4, Handler: h})
	f := startFleet(t, cfg)
	c := newCallers(t)
	entry := f.Members()[0].Node.CallerAddress()
	for _, r := range []request{view(small), view(long), payout("/raw/payouts")} {
		done := make(chan told, 1)
		go func() { done <- c.send(t.Context(), entry, r) }()
		if err := f.KillWorker(memberOf(t, f, <-h.reached)); err != nil {
			t.Fatal(err)
		}
		<-done
	}
	for _, s := range c.sendings() {
		if fault := s.fault(h.runs.count(s.id)); fault != "" {
			t.Errorf("%s: %s", s.path, fault)
		}
	}
	got := c.sendings()
	if s := got[0]; s.err != nil || s.outcome == notRun {
		t.Errorf("a short answer cut: told %s %s, %v; want answered by another or unknown", s.outcome, s.reason, s.err)
	}
	if s := got[1]; s.err == nil && s.status == http.StatusOK && h.runs.count(s.id) == 1 {
		t.Errorf("a long answer cut: %d bytes with status 200 and no error", len(s.told.body))
	}
	if s := got[2]; s.err != nil || s.outcome != unknown {
		t.Errorf("a payout cut: told %s %s, %v; want unknown", s.outcome, s.reason, s.err)
	}
}

func TestSpoiltAnswersUnderLoadNeverReachAnotherCaller(t *testing.T) {
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
			c.together(t.Context(), f.CallerAddresses(), 240, 24, mixed)
			faults(func(f *worker.Faults) { *f = worker.Faults{} })
			c.check(t, f.Ledger)
			if c.count(answered) == 0 || c.count(unknown) == 0 {
				t.Errorf("%d answered, %d unknown: the fault was not brought about", c.count(answered), c.count(unknown))
			}
			if broken := c.count(""); broken > 0 {
				t.Errorf("%d callers got no whole response to a short answer", broken)
			}
		})
	}
}

// mixed gives views and payouts of services with and without required echo.
func mixed(i int) request {
	paths := []string{"/a", "/strict/a"}
	if i%3 == 0 {
		return payout([]string{"/payouts", "/strict/payouts"}[i/3%2])
	}
	return view(paths[i%2])
}
