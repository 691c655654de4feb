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

// gatedWorker holds payouts until release is closed and answers all other requests at
// once.
type gatedWorker struct {
	runs runCounts
	// started receives the worker's address when a payout's run begins.
	started chan string
	release chan struct{}
}

func (g *gatedWorker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := model.RequestID(r.Header.Get(wire.HeaderIdempotencyKey))
	g.runs.add(id)
	if r.Method == http.MethodPost {
		g.started <- serverAddress(r)
		<-g.release
	}
	out := answer.Make(answer.Request{ID: id, Target: r.URL.RequestURI(), BodyHash: answer.Hash(body)}, smallAnswer)
	w.Header().Set(wire.HeaderAttempt, r.Header.Get(wire.HeaderAttempt))
	w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	_, _ = w.Write(out) // an error means that the node was killed
}

func TestKilledOwnerRunsPayoutAtMostOnce(t *testing.T) {
	t.Parallel()
	g := &gatedWorker{started: make(chan string, 8), release: make(chan struct{})}
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
			c.sendUntil(t.Context(), stop, m.Node.CallerAddress(), func() request { return view("/raw/a") })
		})
	}
	// Send payouts until one has an owner other than the two nodes with callers.
	var calls sync.WaitGroup
	var owner *local.Member
	for owner == nil || owner == entry || owner == other {
		calls.Go(func() {
			r := payout("/raw/payouts")
			r.timeout = 3 * time.Second
			c.send(t.Context(), entry.Node.CallerAddress(), r)
		})
		owner = memberByWorker(t, f, <-g.started)
	}
	owner.Node.Kill()
	before := c.count(answered)
	await(t, "callers at other nodes still served", func() bool { return c.count(answered) > before+50 })
	close(stop)
	background.Wait()
	close(g.release)
	calls.Wait()
	f.Kill(owner)

	lost := 0
	for _, s := range c.submissions() {
		if broken := s.violation(g.runs.count(s.id)); broken != "" {
			t.Errorf("%s %s: %s", s.method, s.id, broken)
		}
		if s.atMostOnce && s.outcome == unknown {
			lost++
		}
		if s.atMostOnce && s.err != nil {
			t.Errorf("%s: the entry was not killed, but its caller got error %v", s.id, s.err)
		}
	}
	if lost == 0 {
		t.Error("no payout was lost with its owner: the fault was not injected")
	}
}

func TestKilledEntryRunsPayoutAtMostOnce(t *testing.T) {
	t.Parallel()
	g := &gatedWorker{started: make(chan string, 8), release: make(chan struct{})}
	cfg := config(1)
	cfg.Services = []local.Service{{Name: "raw", Workers: 3, Handler: g}}
	f := startFleet(t, cfg)
	entry, other := f.Members()[0], f.Members()[1]
	c := newCallers(t)
	r := payout("/raw/payouts")
	done := make(chan result, 1)
	go func() { done <- c.send(t.Context(), entry.Node.CallerAddress(), r) }()
	<-g.started
	f.Kill(entry)
	if got := <-done; got.err == nil {
		t.Errorf("got %d %s from a killed entry", got.status, got.outcome)
	}
	close(g.release)
	// The caller resubmits the id at another node. The home node has it on record, unless
	// the killed node was the home, so the caller must not get not-run after a run.
	again := c.send(t.Context(), other.Node.CallerAddress(), r)
	if again.err != nil || again.outcome == notRun && g.runs.count(r.id) > 0 {
		t.Errorf("resubmission: got %d %s %s, %v after %d runs", again.status, again.outcome, again.reason, again.err, g.runs.count(r.id))
	}
	for _, m := range f.Members() {
		if m != entry {
			awaitIdle(t, m)
			awaitAnswer(t, c, m.Node.CallerAddress(), "/raw/a")
		}
	}
}
