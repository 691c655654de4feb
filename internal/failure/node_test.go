package failure

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// gate is a worker whose payouts wait until it is opened; all else is answered
// at once.
type gate struct {
	runs runCounts
	// entered gets the worker's address when a payout's run begins.
	entered chan string
	open    chan struct{}
}

func (g *gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := model.RequestID(r.Header.Get(wire.HeaderIdempotencyKey))
	g.runs.add(id)
	if r.Method == http.MethodPost {
		g.entered <- localAddress(r)
		<-g.open
	}
	out := answer.Make(answer.Request{ID: id, Target: r.URL.RequestURI(), BodyHash: answer.Hash(body)}, smallAnswer)
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out) // the node is gone when this fails
}

func TestANodeKilledWithAPayoutInFlightRunsItOnceAtMost(t *testing.T) {
	t.Parallel()
	g := &gate{entered: make(chan string, 8), open: make(chan struct{})}
	cfg := config(1)
	cfg.Services = []local.Service{{Name: "raw", Workers: 4, Handler: g}}
	f := startFleet(t, cfg)
	members := f.Members()
	entry, other := members[0], members[1]
	c := newKeepAliveCallers(t)

	stop := make(chan struct{})
	var background sync.WaitGroup
	for _, m := range []*local.Member{entry, other} {
		background.Go(func() {
			c.keepCalling(t.Context(), stop, m.Node.CallerAddress(), func() request { return view("/raw/a") })
		})
	}
	// Payouts until the owner of one is neither of the nodes with callers.
	var calls sync.WaitGroup
	var owner *local.Member
	for owner == nil || owner == entry || owner == other {
		calls.Go(func() {
			r := payout("/raw/payouts")
			r.timeout = 3 * time.Second
			c.send(t.Context(), entry.Node.CallerAddress(), r)
		})
		owner = memberOf(t, f, <-g.entered)
	}
	owner.Node.Kill()
	before := c.count(answered)
	await(t, "callers at other nodes served on", func() bool { return c.count(answered) > before+50 })
	close(stop)
	background.Wait()
	close(g.open)
	calls.Wait()
	f.Kill(owner)

	paid := 0
	for _, s := range c.sendings() {
		if fault := s.fault(g.runs.count(s.id)); fault != "" {
			t.Errorf("%s %s: %s", s.method, s.id, fault)
		}
		if s.once && s.outcome == unknown {
			paid++
		}
		if s.once && s.err != nil {
			t.Errorf("%s: the entry was not killed, and its caller got %v", s.id, s.err)
		}
	}
	if paid == 0 {
		t.Error("no payout was lost with its owner: the fault was not brought about")
	}
}

func TestAnEntryKilledWithAPayoutInFlightRunsItOnceAtMost(t *testing.T) {
	t.Parallel()
	g := &gate{entered: make(chan string, 8), open: make(chan struct{})}
	cfg := config(1)
	cfg.Services = []local.Service{{Name: "raw", Workers: 3, Handler: g}}
	f := startFleet(t, cfg)
	entry, other := f.Members()[0], f.Members()[1]
	c := newCallers(t)
	r := payout("/raw/payouts")
	done := make(chan told, 1)
	go func() { done <- c.send(t.Context(), entry.Node.CallerAddress(), r) }()
	<-g.entered
	f.Kill(entry)
	if got := <-done; got.err == nil {
		t.Errorf("told %d %s by a killed entry", got.status, got.outcome)
	}
	close(g.open)
	// The caller comes back with the same id elsewhere. The home has it on record
	// unless it was the killed node's, so a second run must not be seen here.
	again := c.send(t.Context(), other.Node.CallerAddress(), r)
	if again.err != nil || again.outcome == notRun && g.runs.count(r.id) > 0 {
		t.Errorf("again: told %d %s %s, %v after %d runs", again.status, again.outcome, again.reason, again.err, g.runs.count(r.id))
	}
	for _, m := range f.Members() {
		if m != entry {
			awaitIdle(t, m)
			awaitAnswer(t, c, m.Node.CallerAddress(), "/raw/a")
		}
	}
}
