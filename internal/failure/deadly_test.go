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

// The tests of deadly requests guard against this failure: a caller submits a request
// that crashes its worker again and again, at any entry and with a new id each time. Each
// submission is a new request to every node. Its owner runs it, the worker crashes with
// everything in flight there, and entries retry it at the next worker. While no node
// remembered which content crashed workers, most requests of the service were refused for
// as long as the caller went on.
//
// In the log (event 514), the same content was in flight at every crash, under another id
// each time. Crashes also came one at a time, each from its own submission, so retries of
// a single submission were not the only cause. Workers with free slots crashed too, so
// overload after a crash was not the cause either.

// Times of the tests of deadly requests.
const (
	// deadlyInterval is the time between two submissions of one deadly request.
	deadlyInterval = 150 * time.Millisecond
	deadlyDuration = 8 * time.Second
	// restartDelay is how long a crashed worker is down.
	restartDelay = 700 * time.Millisecond
	// learnTime is how long after the third deadly run the fleet must have quarantined
	// the request.
	learnTime = 3 * time.Second
	// normalInterval is the time between two normal calls.
	normalInterval = 20 * time.Millisecond
)

// deadlyRuns records when and where deadly requests began to run. It is safe for
// concurrent use.
type deadlyRuns struct {
	mu   sync.Mutex
	runs []deadlyRun
}

// deadlyRun is the start of one run of a deadly request.
type deadlyRun struct {
	at      time.Time
	worker  model.InstanceID
	request model.RequestID
}

func (d *deadlyRuns) record(worker model.InstanceID, request model.RequestID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runs = append(d.runs, deadlyRun{time.Now(), worker, request})
}

// logIfFailed logs the runs if the test failed.
func (d *deadlyRuns) logIfFailed(t *testing.T) {
	if !t.Failed() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, r := range d.runs {
		t.Logf("deadly run %d: began %s at %s, request %s", i+1, r.at.Format(logTimeFormat), r.worker, r.request)
	}
}

// counts returns the number of all runs and of those later than learnTime after the
// third.
func (d *deadlyRuns) counts() (all, late int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, r := range d.runs {
		if i >= 3 && r.at.Sub(d.runs[2].at) > learnTime {
			late++
		}
	}
	return len(d.runs), late
}

// deadlyFleet starts a fleet of four workers that crash under the requests that deadly
// selects.
func deadlyFleet(t *testing.T, d *deadlyRuns, deadly func(answer.Request) bool) *local.Fleet {
	t.Helper()
	return deadlyFleetWith(t, 4, d, deadly)
}

func deadlyFleetWith(t *testing.T, workers int, d *deadlyRuns, deadly func(answer.Request) bool) *local.Fleet {
	t.Helper()
	cfg := config(workers)
	s := &cfg.Services[0]
	s.CrashOn = func(worker model.InstanceID, r answer.Request) bool {
		if !deadly(r) {
			return false
		}
		d.record(worker, r.ID)
		return true
	}
	s.CrashDelay, s.RestartDelay = 30*time.Millisecond, restartDelay
	t.Cleanup(func() { d.logIfFailed(t) })
	return startFleet(t, cfg)
}

// sendEvery sends requests to the nodes in turn until ctx ends, and waits for all
// responses.
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

// runDeadlyLoad submits a deadly request again and again beside normal ones. The test
// fails unless the deadly request is quarantined in time. The returned callers hold the
// normal calls that were made after learnTime.
func runDeadlyLoad(t *testing.T, f *local.Fleet, d *deadlyRuns, deadly, normal func() request) *callers {
	t.Helper()
	before, after, deadlyCallers := newCallers(t), newCallers(t), newCallers(t)
	ctx, cancel := context.WithTimeout(t.Context(), deadlyDuration)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { deadlyCallers.sendEvery(ctx, f, deadlyInterval, deadly) })
	learning, cancelLearning := context.WithTimeout(ctx, learnTime+time.Second)
	defer cancelLearning()
	before.sendEvery(learning, f, normalInterval, normal)
	after.sendEvery(ctx, f, normalInterval, normal)
	wg.Wait()
	all, late := d.counts()
	if all < 2 {
		t.Fatalf("%d deadly runs: the fault was not injected", all)
	}
	if all > 3 || late > 0 {
		t.Errorf("a deadly request reached workers %d times, %d of them later than %s after the third; want 3 at most",
			all, late, learnTime)
	}
	for _, c := range []*callers{before, after, deadlyCallers} {
		c.check(t, f.Ledger)
	}
	wantQuarantined(t, f, deadlyCallers)
	t.Logf("%d deadly runs, %d late; normal calls answered: %d of %d before, %d of %d after",
		all, late, before.count(answered), len(before.submissions()), after.count(answered), len(after.submissions()))
	return after
}

// wantQuarantined fails the test unless the last submission of a deadly request had
// outcome not-run and every node reports the request as quarantined to operators.
func wantQuarantined(t *testing.T, f *local.Fleet, c *callers) {
	t.Helper()
	sent := c.submissions()
	last := sent[len(sent)-1]
	if last.outcome != notRun || last.reason != model.ReasonQuarantined.String() || last.result.status != http.StatusServiceUnavailable {
		t.Errorf("the last deadly submission: got %d %s %s", last.result.status, last.outcome, last.reason)
	}
	for _, m := range f.Members() {
		quarantined := quarantineStatus(t, m)
		if len(quarantined.Requests) == 0 {
			t.Errorf("%s shows no quarantined request", m.ID)
			continue
		}
		if first := quarantined.Requests[0]; !first.Quarantined || len(first.Crashes) < 2 || first.NextTrial == nil {
			t.Errorf("%s shows %+v first; want the deadly request", m.ID, first)
		}
	}
}

// quarantineStatus reads a node's list of quarantined requests from its operator port.
func quarantineStatus(t *testing.T, m *local.Member) status.Quarantine {
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

// wantAllAnswered fails the test unless all submissions were answered.
func wantAllAnswered(t *testing.T, c *callers) {
	t.Helper()
	for _, s := range c.submissions() {
		if !s.answered() {
			t.Errorf("%s %s: got %d %s %s, %v; want answered", s.method, s.path, s.result.status, s.outcome, s.reason, s.err)
		}
	}
}

func TestDeadlyLookupIsQuarantined(t *testing.T) {
	t.Parallel()
	const path = "/deadly?of=7"
	var d deadlyRuns
	f := deadlyFleet(t, &d, func(r answer.Request) bool { return r.Target == path })
	n := 0
	normal := func() request {
		n++
		// Every second call is of one popular path, the others all differ; their paths
		// differ from the deadly one only in the query.
		return view([]string{"/popular", fmt.Sprintf("/deadly?of=%d", 1000+n)}[n%2])
	}
	wantAllAnswered(t, runDeadlyLoad(t, f, &d, func() request { return view(path) }, normal))
}

func TestDeadlyPayoutIsQuarantined(t *testing.T) {
	t.Parallel()
	var d deadlyRuns
	f := deadlyFleet(t, &d, func(r answer.Request) bool { return r.BodyHash == answer.Hash([]byte(deadlyBody)) })
	wantAllAnswered(t, runDeadlyLoad(t, f, &d, deadlyPayout, func() request { return payout("/payouts") }))
}

// Eight of eleven listed nodes, a whole data centre, never answer and are never declared
// gone. When a node sent a suspect update to its neighbours only, and all of these were
// silent, the next two submissions crashed the other two workers as well.
func TestDeadlyRequestIsQuarantinedWhenMostListedNodesAreSilent(t *testing.T) {
	for first := range 3 {
		t.Run(fmt.Sprintf("first at node %d", first+1), func(t *testing.T) {
			t.Parallel()
			var d deadlyRuns
			f := deadlyFleetWith(t, 3, &d, func(r answer.Request) bool { return r.BodyHash == answer.Hash([]byte(deadlyBody)) })
			listSilentNodes(f, "statements", 4)
			listSilentNodes(f, "voucher-viewing", 4)
			awaitMembers(t, f, "all listed", func(m *local.Member) bool { return len(m.Node.Core().Board.Fleet.Get().Instances) == 11 })
			deadlyCallers := newCallers(t)
			for n := range 30 {
				deadlyCallers.send(t.Context(), f.CallerAddresses()[(first+n)%3], deadlyPayout())
				pause.For(t.Context(), deadlyInterval)
			}
			if all, late := d.counts(); all > 3 || late != 0 {
				t.Errorf("a deadly request reached workers %d times, %d of them late; want 3 and 0 at most", all, late)
			}
		})
	}
}

// maxDown returns the largest number of workers that were down at the same time. Each is
// taken as down for restartDelay from the start of its run.
func (d *deadlyRuns) maxDown() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	most := 0
	for i, r := range d.runs {
		down := 1
		for _, before := range d.runs[:i] {
			if r.at.Sub(before.at) < restartDelay {
				down++
			}
		}
		most = max(most, down)
	}
	return most
}

// When a deadly request was retried at the next worker before the first one had
// restarted, all three workers of a busy service were down at the same time.
func TestDeadlyRequestTakesDownAtMostOneWorkerOfBusyService(t *testing.T) {
	t.Parallel()
	const path = "/deadly?of=9"
	var d deadlyRuns
	f := deadlyFleetWith(t, 3, &d, func(r answer.Request) bool { return r.Target == path })
	ctx, cancel := context.WithTimeout(t.Context(), deadlyDuration)
	defer cancel()
	normalCallers, deadlyCallers := newCallers(t), newCallers(t)
	var wg sync.WaitGroup
	n := 0
	// Nine are in flight at once; three workers have twelve slots.
	wg.Go(func() {
		normalCallers.sendEvery(ctx, f, 33*time.Millisecond, func() request { n++; return view(fmt.Sprintf("/slow/usual?of=%d", n)) })
	})
	pause.For(ctx, 2*time.Second)
	deadlyCallers.sendEvery(ctx, f, deadlyInterval, func() request { return view(path) })
	wg.Wait()
	all, late := d.counts()
	if all < 2 {
		t.Fatalf("%d deadly runs: the fault was not injected", all)
	}
	if down := d.maxDown(); down > 1 || all > 3 || late > 0 {
		t.Errorf("%d deadly runs, %d late, up to %d workers down at the same time; want 3, 0 and 1 at most", all, late, down)
	}
	t.Logf("%d deadly runs, up to %d workers down; normal calls answered: %d of %d", all, d.maxDown(), normalCallers.count(answered), len(normalCallers.submissions()))
	normalCallers.check(t, f.Ledger)
	deadlyCallers.check(t, f.Ledger)
}

// deadlyBody is the body of a payout that crashes its worker.
const deadlyBody = "pay the one that ends workers"

// deadlyPayout returns a payout with the usual path and caller, deadlyBody and a new id.
func deadlyPayout() request {
	r := payout("/payouts")
	r.body = deadlyBody
	return r
}

// listSilentNodes lists n nodes of a service in a separate data centre; they never
// answer.
func listSilentNodes(f *local.Fleet, service model.ServiceName, n int) {
	for i := range n {
		f.Platform.PutInstance(model.Instance{
			ID: model.InstanceID(fmt.Sprintf("%s-%d", service, i+1)), Service: service, DataCentre: "silent",
			PeerAddress: "127.0.0.2:1", State: model.StateLive,
		})
	}
}

// The worker crashes 30 ms after the run began, when the caller has already received a
// timeout and the run's connection is closed. No run fails, so the crash could not be
// linked to the request, and workers crashed for as long as the caller went on.
func TestDeadlyRequestIsQuarantinedWhenCallerTimesOutFirst(t *testing.T) {
	t.Parallel()
	const path = "/deadly?of=8"
	var d deadlyRuns
	f := deadlyFleet(t, &d, func(r answer.Request) bool { return r.Target == path })
	deadly := func() request {
		r := view(path)
		r.timeout = 15 * time.Millisecond
		return r
	}
	n := 0
	normal := func() request {
		n++
		return view(fmt.Sprintf("/usual?of=%d", n))
	}
	wantAllAnswered(t, runDeadlyLoad(t, f, &d, deadly, normal))
}

// A popular request is in flight at each of several unrelated crashes. It must not be
// quarantined.
func TestPopularRequestIsServedDuringUnrelatedCrashes(t *testing.T) {
	t.Parallel()
	var d deadlyRuns
	f := deadlyFleet(t, &d, func(answer.Request) bool { return false })
	ctx, cancel := context.WithCancel(t.Context())
	c := newCallers(t)
	var wg sync.WaitGroup
	// Six are in flight at once; three workers have twelve slots.
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
