package failure

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/status"
)

// Callers of one service were refused for most of 20 s, three times in a day: one caller
// came back every now and then with a request under which the worker that ran it ended, at
// any entry. Each return was a new request to every node; its owner carried it to the
// worker, which ended with all that was in hand there, and entries then took it on to the
// next. Nobody remembered what a worker had ended under.
//
// Evidence: the same content was in hand at every end, under another id each time, and the
// ends went on for as long as the caller came (event 514). Ends came also one by one, each
// from a sending of its own, so that it was not one sending's retries alone; and workers
// with slots to spare ended, so that it was not the load on those that came back.

// Times of the tests of deadly requests.
const (
	// deadlyEvery is the time between two sendings of one deadly request.
	deadlyEvery = 150 * time.Millisecond
	deadlyFor   = 8 * time.Second
	// backAfter is how long a worker is away.
	backAfter = 700 * time.Millisecond
	// mustKnowAfter is how long after the third end the fleet must have learned.
	mustKnowAfter = 3 * time.Second
	// usualEvery is the time between two usual calls.
	usualEvery = 20 * time.Millisecond
)

// deaths records when deadly requests began to run.
type deaths struct {
	mu   sync.Mutex
	runs []time.Time
}

func (d *deaths) ran() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, time.Now())
}

// after returns the runs in all, and those later than mustKnowAfter after the third.
func (d *deaths) after() (all, late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, at := range d.runs {
		if i >= 3 && at.Sub(d.runs[2]) > mustKnowAfter {
			late++
		}
	}
	return len(d.runs), late
}

// deadlyFleet is a fleet of four workers that end under the requests that deadly picks.
func deadlyFleet(t *testing.T, d *deaths, deadly func(answer.Request) bool) *local.Fleet {
	t.Helper()
	return deadlyFleetOf(t, 4, d, deadly)
}

func deadlyFleetOf(t *testing.T, workers int, d *deaths, deadly func(answer.Request) bool) *local.Fleet {
	t.Helper()
	cfg := config(workers)
	s := &cfg.Services[0]
	s.CrashOn = func(r answer.Request) bool {
		if !deadly(r) {
			return false
		}
		d.ran()
		return true
	}
	s.CrashDelay, s.RestartDelay = 30*time.Millisecond, backAfter
	return startFleet(t, cfg)
}

// sendEvery sends requests to the nodes in turn until ctx ends, and waits for all answers.
func (c *callers) sendEvery(ctx context.Context, f *local.Fleet, every time.Duration, next func() request) {
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		address := f.CallerAddresses()[i%len(f.CallerAddresses())]
		r := next()
		wg.Go(func() { c.send(context.WithoutCancel(ctx), address, r) })
	}
}

// playDeadly sends a deadly request again and again beside usual ones. It fails the test
// unless the deadly one is kept from the workers in time, and returns the callers of the
// usual ones once it should have been.
func playDeadly(t *testing.T, f *local.Fleet, d *deaths, deadly, usual func() request) *callers {
	t.Helper()
	before, after, bad := newCallers(t), newCallers(t), newCallers(t)
	ctx, cancel := context.WithTimeout(t.Context(), deadlyFor)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { bad.sendEvery(ctx, f, deadlyEvery, deadly) })
	settled, stop := context.WithTimeout(ctx, mustKnowAfter+time.Second)
	defer stop()
	before.sendEvery(settled, f, usualEvery, usual)
	after.sendEvery(ctx, f, usualEvery, usual)
	wg.Wait()
	all, late := d.after()
	if all < 2 {
		t.Fatalf("%d deadly runs: the fault was not brought about", all)
	}
	if all > 3 || late > 0 {
		t.Errorf("a deadly request reached workers %d times, %d of them later than %s after the third; want 3 at most",
			all, late, mustKnowAfter)
	}
	for _, c := range []*callers{before, after, bad} {
		c.check(t, f.Ledger)
	}
	wantToldPutAside(t, f, bad)
	t.Logf("%d deadly runs, %d late; usual calls answered: %d of %d before, %d of %d after",
		all, late, before.count(answered), len(before.sendings()), after.count(answered), len(after.sendings()))
	return after
}

// wantToldPutAside fails the test unless the last sending of a deadly request was told that
// it has not run, and every node shows operators why.
func wantToldPutAside(t *testing.T, f *local.Fleet, c *callers) {
	t.Helper()
	sent := c.sendings()
	last := sent[len(sent)-1]
	if last.outcome != notRun || last.reason != model.ReasonQuarantined.String() || last.told.status != http.StatusServiceUnavailable {
		t.Errorf("the last sending of the deadly request: told %d %s %s", last.told.status, last.outcome, last.reason)
	}
	for _, m := range f.Members() {
		aside := asideAt(t, m)
		if len(aside.Requests) == 0 {
			t.Errorf("%s shows nothing that is put aside", m.ID)
			continue
		}
		if first := aside.Requests[0]; !first.Quarantined || len(first.Crashes) < 2 || first.NextTrial == nil {
			t.Errorf("%s shows %+v first; want the deadly request", m.ID, first)
		}
	}
}

// asideAt reads what a node shows operators.
func asideAt(t *testing.T, m *local.Member) status.Quarantine {
	t.Helper()
	resp, err := http.Get("http://" + m.Node.OperatorAddress() + status.QuarantinePath)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var out status.Quarantine
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// wantAllAnswered fails the test unless all were answered.
func wantAllAnswered(t *testing.T, c *callers) {
	t.Helper()
	for _, s := range c.sendings() {
		if !s.answered() {
			t.Errorf("%s %s: told %d %s %s, %v; want answered", s.method, s.path, s.told.status, s.outcome, s.reason, s.err)
		}
	}
}

func TestALookupThatEndsItsWorkersIsKeptFromThem(t *testing.T) {
	t.Parallel()
	const path = "/deadly?of=7"
	var d deaths
	f := deadlyFleet(t, &d, func(r answer.Request) bool { return r.Target == path })
	n := 0
	usual := func() request {
		n++
		// One in two is of one popular path, the others are all different; one path differs
		// from the deadly one in its query only.
		return view([]string{"/popular", fmt.Sprintf("/deadly?of=%d", 1000+n)}[n%2])
	}
	wantAllAnswered(t, playDeadly(t, f, &d, func() request { return view(path) }, usual))
}

func TestAPayoutThatEndsItsWorkersIsKeptFromThem(t *testing.T) {
	t.Parallel()
	var d deaths
	f := deadlyFleet(t, &d, func(r answer.Request) bool { return r.BodyHash == answer.Hash([]byte(deadlyBody)) })
	wantAllAnswered(t, playDeadly(t, f, &d, deadlyPayout, func() request { return payout("/payouts") }))
}

// Eight of eleven listed nodes, a data centre, never answer and are never declared gone. Who
// put a request aside told its neighbours only, and where all of these were silent the next
// two sendings ended the other two workers once more.
func TestADeadlyRequestIsKeptFromWorkersThoughMostListedNodesNeverAnswer(t *testing.T) {
	for first := range 3 {
		t.Run(fmt.Sprintf("first at node %d", first+1), func(t *testing.T) {
			t.Parallel()
			var d deaths
			f := deadlyFleetOf(t, 3, &d, func(r answer.Request) bool { return r.BodyHash == answer.Hash([]byte(deadlyBody)) })
			listSilent(f, "statements", 4)
			listSilent(f, "voucher-viewing", 4)
			awaitMembers(t, f, "all listed", func(m *local.Member) bool { return len(m.Node.Core().Board.Fleet.Get().Instances) == 11 })
			bad := newCallers(t)
			for n := range 30 {
				bad.send(t.Context(), f.CallerAddresses()[(first+n)%3], deadlyPayout())
				pause.For(t.Context(), deadlyEvery)
			}
			if all, late := d.after(); all > 3 || late != 0 {
				t.Errorf("a deadly request reached workers %d times, %d of them late; want 3 and 0 at most", all, late)
			}
		})
	}
}

// mostDown returns the most workers that were away at one moment, each from endsAfter after a
// run began for backAfter.
func (d *deaths) mostDown() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	most := 0
	for i, at := range d.runs {
		down := 1
		for _, before := range d.runs[:i] {
			if at.Sub(before) < backAfter {
				down++
			}
		}
		most = max(most, down)
	}
	return most
}

// All three workers of a service whose slots are mostly in use were away together: a request
// went on to the next one while the first was not back.
func TestADeadlyRequestLeavesABusyServiceAllWorkersButOne(t *testing.T) {
	t.Parallel()
	const path = "/deadly?of=9"
	var d deaths
	f := deadlyFleetOf(t, 3, &d, func(r answer.Request) bool { return r.Target == path })
	ctx, cancel := context.WithTimeout(t.Context(), deadlyFor)
	defer cancel()
	usual, bad := newCallers(t), newCallers(t)
	var wg sync.WaitGroup
	n := 0
	// Nine are in hand at once, where three workers have twelve slots.
	wg.Go(func() {
		usual.sendEvery(ctx, f, 33*time.Millisecond, func() request { n++; return view(fmt.Sprintf("/slow/usual?of=%d", n)) })
	})
	pause.For(ctx, 2*time.Second)
	bad.sendEvery(ctx, f, deadlyEvery, func() request { return view(path) })
	wg.Wait()
	all, late := d.after()
	if all < 2 {
		t.Fatalf("%d deadly runs: the fault was not brought about", all)
	}
	if down := d.mostDown(); down > 1 || all > 3 || late > 0 {
		t.Errorf("%d deadly runs, %d late, up to %d workers away at one moment; want 3, 0 and 1 at most", all, late, down)
	}
	t.Logf("%d deadly runs, up to %d workers away; usual calls answered: %d of %d", all, d.mostDown(), usual.count(answered), len(usual.sendings()))
	usual.check(t, f.Ledger)
	bad.check(t, f.Ledger)
}

// deadlyBody is the body of a payout that ends its worker.
const deadlyBody = "pay the one that ends workers"

// deadlyPayout has the path and the caller of all payouts, and a new key.
func deadlyPayout() request {
	r := payout("/payouts")
	r.body = deadlyBody
	return r
}

// listSilent lists nodes of a service at a data centre of their own, which never answer.
func listSilent(f *local.Fleet, service model.ServiceName, n int) {
	for i := range n {
		f.Platform.PutInstance(model.Instance{
			ID: model.InstanceID(fmt.Sprintf("%s-%d", service, i+1)), Service: service, DataCentre: "silent",
			PeerAddress: "127.0.0.2:1", State: model.StateLive,
		})
	}
}

// The worker ends 30 ms after the run began, when the caller has been told that its time is
// over and the run's connection is closed: no run breaks. Workers ended for as long as it came.
func TestADeadlyRequestIsKeptFromWorkersAlsoWhenItsCallerDoesNotWait(t *testing.T) {
	t.Parallel()
	const path = "/deadly?of=8"
	var d deaths
	f := deadlyFleet(t, &d, func(r answer.Request) bool { return r.Target == path })
	deadly := func() request {
		r := view(path)
		r.timeout = 15 * time.Millisecond
		return r
	}
	n := 0
	usual := func() request {
		n++
		return view(fmt.Sprintf("/usual?of=%d", n))
	}
	wantAllAnswered(t, playDeadly(t, f, &d, deadly, usual))
}

// A popular request is in hand at each end of workers that end by themselves: it must be
// served as if nothing had happened.
func TestAPopularRequestIsServedBesideWorkersThatEndByThemselves(t *testing.T) {
	t.Parallel()
	var d deaths
	f := deadlyFleet(t, &d, func(answer.Request) bool { return false })
	ctx, cancel := context.WithCancel(t.Context())
	c := newCallers(t)
	var wg sync.WaitGroup
	// Six are in hand at once, where three workers have twelve slots.
	wg.Go(func() { c.sendEvery(ctx, f, 50*time.Millisecond, func() request { return view("/slow/popular") }) })
	for i := range 11 {
		m := f.Members()[i%4]
		if err := m.Worker.ChangeFaults(func(f *worker.Faults) { f.Cold = worker.ColdRefuse }); err != nil {
			t.Fatal(err)
		}
		time.Sleep(400 * time.Millisecond)
		if err := m.Worker.ChangeFaults(func(f *worker.Faults) { f.Cold = worker.ColdNone }); err != nil {
			t.Fatal(err)
		}
		awaitMembers(t, f, "live again", local.Ready)
		time.Sleep(400 * time.Millisecond)
	}
	cancel()
	wg.Wait()
	wantAllAnswered(t, c)
	c.check(t, f.Ledger)
}
