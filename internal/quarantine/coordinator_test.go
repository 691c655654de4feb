package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// Parameters of the simulations.
const (
	// crashingRun is the length of a run that crashes its worker, workerDowntime how long
	// the worker is down afterwards.
	crashingRun    = 40 * time.Millisecond
	workerDowntime = 3 * time.Second
	// maxHops bounds the owners that one submission is offered to.
	maxHops = 6
)

// upstreams simulates the workers of a fleet's first service, which crash under some
// requests.
type upstreams struct {
	*fleet
	owners []*node
	down   map[*node]bool
	// maxDown is the largest number of workers that were down at one time; crashes counts
	// crashes by request.
	maxDown int
	crashes map[model.Fingerprint]int
	// refusals and runs count the outcomes of submissions.
	refusals, runs int
}

// newUpstreams returns n workers; use is the share of their slots in use.
func newUpstreams(n int, use float64) *upstreams {
	u := &upstreams{fleet: newFleet(n, 1), down: map[*node]bool{}, crashes: map[model.Fingerprint]int{}}
	u.owners = u.nodes
	for _, nd := range u.owners {
		nd.q.slotUse = func(time.Time) (float64, bool) {
			return min(use*float64(n)/float64(max(n-len(u.down), 1)), 1), !u.down[nd]
		}
	}
	u.simulate(10 * time.Second)
	return u
}

// send submits a request to a random owner whose worker is up and follows the owners'
// redirections. It returns the last decision.
func (u *upstreams) send(c model.Fingerprint, length time.Duration, crashes func() bool) Decision {
	first := u.owners[u.rng.IntN(len(u.owners))]
	for u.down[first] && len(u.down) < len(u.owners) {
		first = u.owners[u.rng.IntN(len(u.owners))]
	}
	return u.offer(first, c, length, crashes, Submission{}, 0)
}

// offer offers a submission to an owner and follows its redirections, at most maxHops.
func (u *upstreams) offer(to *node, c model.Fingerprint, length time.Duration, crashes func() bool, submission Submission, hops int) Decision {
	d := to.q.Evaluate(u.now, c, submission, "GET /")
	next := u.byID[d.OnlyOwner]
	switch {
	case d.Quarantined, d.Deferred && (next == nil || hops == maxHops):
		u.refusals++
	case d.Deferred:
		return u.offer(next, c, length, crashes, Submission{Granted: d.Granted}, hops+1)
	case u.down[to]:
		u.refusals++
	default:
		u.runs++
		u.run(to, c, length, d, crashes())
	}
	return d
}

// run runs a request, whose run crashes the worker at its end if crashing is set.
func (u *upstreams) run(at *node, c model.Fingerprint, length time.Duration, d Decision, crashing bool) {
	started := u.now
	u.after(length, func() {
		if u.down[at] {
			return
		}
		if !crashing {
			at.q.RunCompleted(u.now, c)
			u.wake(at)
			return
		}
		u.crashes[c]++
		u.crash(at, Run{Content: c, Started: started, AlreadySuspect: d.Crashes > 0, Trial: d.Trial})
	})
}

// crash makes a worker crash with requests in flight.
func (u *upstreams) crash(at *node, runs ...Run) {
	u.down[at] = true
	u.maxDown = max(u.maxDown, len(u.down))
	for _, r := range runs {
		at.q.RunFailed(u.now, r)
	}
	at.q.WorkerCrashed(u.now)
	u.wake(at)
	u.after(workerDowntime, func() {
		delete(u.down, at)
		at.q.WorkerRecovered(u.now)
	})
}

// wantOneAdmitting fails unless exactly one of the owners would run a request.
func (u *upstreams) wantOneAdmitting(t *testing.T, owners []*node, c model.Fingerprint) {
	t.Helper()
	admitting := 0
	for _, nd := range owners {
		if !nd.q.Evaluate(u.now, c, Submission{}, "").Deferred {
			admitting++
		}
	}
	if admitting != 1 {
		t.Errorf("%d of %d owners would run the request; want 1", admitting, len(owners))
	}
}

func always() bool { return true }
func never() bool  { return false }

// A crashing request that is passed on to other owners at once takes all workers of a small
// service down together.
func TestOneRequestStaysWithinSpareWorkers(t *testing.T) {
	for _, n := range []int{2, 3, 7, 20, 200} {
		for _, use := range []float64{0.3, 0.8} {
			t.Run(fmt.Sprintf("%d workers, %.1f in use", n, use), func(t *testing.T) {
				u := newUpstreams(n, use)
				for range 200 {
					u.send(content(1), crashingRun, always)
					u.simulate(100 * time.Millisecond)
				}
				spare := max(1, spareWorkers(n, n, use))
				if u.maxDown > min(spare, 2) {
					t.Errorf("%d workers were down at one time; %d can be spared", u.maxDown, spare)
				}
				if got := u.crashes[content(1)]; got != 2 {
					t.Errorf("%d crashes; want 2, as no other request was in flight at both", got)
				}
			})
		}
	}
}

// With a third of the slots of three workers in use, one worker down and another one risked
// leave all load to the third.
func TestSpareWorkersNeedRoomAtOthers(t *testing.T) {
	for _, tt := range []struct {
		up, all int
		use     float64
		want    int
	}{
		{2, 3, 0.33, 0}, {2, 3, 0.2, 1}, {1, 3, 0, 1}, {1, 2, 0.1, 0}, {6, 7, 0.32, 3}, {19, 20, 0.6, 3}, {19, 20, 0.9, 0},
	} {
		if got := spareWorkers(tt.up, tt.all, tt.use); got != tt.want {
			t.Errorf("%d of %d up, %.2f in use: %d can be spared; want %d", tt.up, tt.all, tt.use, got, tt.want)
		}
	}
}

// Several submissions at a time, of several crashing requests.
func TestSeveralCrashingRequestsStayWithinSpareWorkers(t *testing.T) {
	for _, n := range []int{3, 7, 20} {
		u := newUpstreams(n, 0.8)
		for i := range 300 {
			u.send(content(1+i%2), crashingRun, always)
			u.simulate(100 * time.Millisecond)
		}
		if limit := max(2, spareWorkers(n, n, 0.8)); u.maxDown > limit {
			t.Errorf("%d workers: %d were down at one time under two requests; %d can be spared", n, u.maxDown, limit)
		}
		for c, got := range u.crashes {
			if got > quarantineThreshold {
				t.Errorf("%d workers: %d crashes under %s", n, got, c)
			}
		}
	}
}

// A request that completed recently is served by all owners after a single crash, however
// small the service.
func TestPopularRequestRunsEverywhereAfterOneCrash(t *testing.T) {
	u := newUpstreams(3, 0.8)
	popular := content(1)
	for range 100 {
		u.send(popular, 200*time.Millisecond, never)
		u.simulate(50 * time.Millisecond)
	}
	u.crash(u.owners[0], Run{Content: popular, Started: u.now.Add(-time.Millisecond)})
	served, down := u.runs, 0
	for range 20 {
		for _, nd := range u.owners {
			switch d := nd.q.Evaluate(u.now, popular, Submission{}, ""); {
			case u.down[nd]:
				down++
			case d.Deferred:
				t.Fatalf("%s defers a popular request after a single crash", nd.instance.ID)
			}
		}
		u.send(popular, 200*time.Millisecond, never)
		u.simulate(50 * time.Millisecond)
	}
	if u.runs == served || down == 0 {
		t.Error("the simulation ran no requests")
	}
}

// If the service can spare workers, requests that were in flight at a crash run again at
// once.
func TestInFlightRequestsRerunWithSpareWorkers(t *testing.T) {
	u := newUpstreams(20, 0.6)
	var inFlight []Run
	for i := range 12 {
		inFlight = append(inFlight, Run{Content: content(10 + i), Started: u.now})
	}
	u.crash(u.owners[0], inFlight...)
	u.simulate(50 * time.Millisecond)
	for _, r := range inFlight {
		u.send(r.Content, 200*time.Millisecond, never)
	}
	if u.runs != len(inFlight) {
		t.Errorf("%d of %d requests ran again at once", u.runs, len(inFlight))
	}
}

// If it can spare none, they wait for the crashed worker and get its expected recovery as
// Retry-After.
func TestInFlightRequestsGetExpectedRecovery(t *testing.T) {
	u := newUpstreams(3, 0.9)
	for range 3 {
		u.crash(u.owners[0], Run{Content: content(99), Started: u.now})
		u.simulate(workerDowntime + time.Second)
		u.owners[0].q.RunCompleted(u.now, content(99))
	}
	u.crash(u.owners[0], Run{Content: content(7), Started: u.now})
	u.simulate(time.Second)
	d := u.owners[0].q.Evaluate(u.now, content(7), Submission{}, "")
	if d.Deferred || !d.Exclusive() || d.OnlyOwner != u.owners[0].instance.ID || d.RetryAfter != workerDowntime-time.Second {
		t.Errorf("decision %+v; want this owner as the only one, in %s", d, workerDowntime-time.Second)
	}
	if d := u.owners[1].q.Evaluate(u.now, content(7), Submission{}, ""); !d.Deferred || d.OnlyOwner != u.owners[0].instance.ID {
		t.Errorf("another owner's decision: %+v; want it deferred to %s", d, u.owners[0].instance.ID)
	}
	u.simulate(workerDowntime)
	before := u.runs
	u.send(content(7), time.Millisecond, never)
	u.simulate(time.Second)
	if d := u.owners[1].q.Evaluate(u.now, content(7), Submission{}, ""); u.runs != before+1 || d.Deferred {
		t.Errorf("after a completed run: %+v; want it admitted", d)
	}
}

// An entry may report a crash to an owner before the owner of the crashed worker does.
func TestOwnerDefersCrashReportedByEntry(t *testing.T) {
	u := newUpstreams(3, 0.9)
	if d := u.owners[1].q.Evaluate(u.now, content(5), Submission{Crashes: 1}, ""); !d.Deferred || d.OnlyOwner != "" || d.RetryAfter != initialRecovery {
		t.Errorf("decision %+v; want it deferred for %s", d, initialRecovery)
	}
	if d := u.owners[1].q.Evaluate(u.now, content(5), Submission{}, ""); d != (Decision{}) {
		t.Errorf("the next submission: %+v; want the zero decision, as this node has no record of it", d)
	}
}

// A worker that never recovers must not defer a request for ever.
func TestDeferralExpiresWhenWorkerNeverRecovers(t *testing.T) {
	u := newUpstreams(3, 0.9)
	at := u.owners[0]
	at.q.RunFailed(u.now, Run{Content: content(5), Started: u.now})
	at.q.WorkerCrashed(u.now)
	u.wake(at)
	u.simulate(maxDeferral + time.Second)
	u.wantOneAdmitting(t, u.owners, content(5))
}

// If the owner whose worker crashed last leaves as planned, another one coordinates and
// runs the request once that worker should have recovered.
func TestLeavingOwnerDefersNothing(t *testing.T) {
	u := newUpstreams(3, 0.9)
	u.crash(u.owners[0], Run{Content: content(5), Started: u.now})
	u.simulate(time.Second)
	u.view.Revision++
	u.view.Instances[0].State = model.StateLeaving
	u.simulate(time.Duration(downtimeMargin * float64(initialRecovery)))
	u.wantOneAdmitting(t, u.owners[1:], content(5))
}

// Two such requests crashed a worker each; without coordination both workers recover and
// crash together again.
func TestRequestsOfTwoOwnersCrashOneWorkerAtATime(t *testing.T) {
	u := newUpstreams(3, 0.8)
	u.crash(u.owners[0], Run{Content: content(1), Started: u.now})
	u.simulate(100 * time.Millisecond)
	u.crash(u.owners[1], Run{Content: content(2), Started: u.now})
	u.simulate(workerDowntime + 100*time.Millisecond)
	u.maxDown = 0
	for i := range 300 {
		u.send(content(1+i%2), crashingRun, always)
		u.simulate(100 * time.Millisecond)
	}
	if u.maxDown != 1 {
		t.Errorf("%d workers were down at one time; want 1", u.maxDown)
	}
	for c, got := range u.crashes {
		if got != 1 {
			t.Errorf("%d more crashes under %s; want 1", got, c)
		}
	}
	if len(u.crashes) != 2 {
		t.Errorf("%d of 2 requests ran again", len(u.crashes))
	}
}

// The worker has crashed and its owner has not checked its port yet: a request that may run
// elsewhere is granted at once, without waiting for a refused connection.
func TestOwnerGrantsBeforePortCheck(t *testing.T) {
	u := newUpstreams(4, 0.3)
	at := u.owners[0]
	at.q.RunFailed(u.now, Run{Content: content(5), Started: u.now})
	at.q.WorkerCrashed(u.now)
	if d := at.q.Evaluate(u.now, content(5), Submission{}, ""); !d.Granted {
		t.Errorf("decision %+v; want it granted", d)
	}
}

// While the owner of the crashed worker is unlisted another one coordinates, and must not
// risk its own worker meanwhile.
func TestRequestWaitsForUnlistedWorker(t *testing.T) {
	u := newUpstreams(3, 0.8)
	u.crash(u.owners[0], Run{Content: content(5), Started: u.now})
	u.simulate(time.Second)
	u.view.Revision++
	u.view.Instances = u.view.Instances[1:]
	for range 20 {
		u.send(content(5), crashingRun, always)
		u.simulate(100 * time.Millisecond)
	}
	if u.maxDown != 1 {
		t.Errorf("%d workers were down at one time; want 1", u.maxDown)
	}
	u.simulate(workerDowntime)
	before := u.runs
	u.send(content(5), crashingRun, never)
	if u.runs != before+1 {
		t.Error("the request does not run once the worker should have recovered")
	}
}

// Each of two owners learns of the other's crash late, takes it for the last one and refuses.
func TestOneOwnerRunsRequestAfterTwoCrashesTogether(t *testing.T) {
	for _, n := range []int{2, 3, 7} {
		for _, gap := range []time.Duration{0, time.Millisecond, 3 * time.Millisecond, 10 * time.Millisecond, 40 * time.Millisecond, time.Second} {
			for seed := range uint64(8) {
				t.Run(fmt.Sprintf("%d workers, %s apart, seed %d", n, gap, seed), func(t *testing.T) {
					u := newUpstreams(n, 0.8)
					u.rng = rand.New(rand.NewPCG(seed, 2))
					pair := u.rng.Perm(n)
					u.crashTogether(content(1), gap, u.owners[pair[0]], u.owners[pair[1]])
					u.wantOneAdmitting(t, u.owners, content(1))
					for _, first := range u.owners {
						before := u.runs
						u.offer(first, content(1), crashingRun, never, Submission{}, 0)
						if u.runs != before+1 {
							t.Errorf("a submission that %s receives first is refused", first.instance.ID)
						}
					}
				})
			}
		}
	}
}

// crashTogether makes two workers crash under runs of one request that began before either
// crash, and waits until no worker counts as down.
func (u *upstreams) crashTogether(c model.Fingerprint, gap time.Duration, first, second *node) {
	r := Run{Content: c, Started: u.now}
	u.simulate(crashingRun)
	u.crash(first, r)
	u.simulate(gap)
	u.crash(second, r)
	u.simulate(time.Duration(downtimeMargin*float64(workerDowntime)) + time.Second)
}
