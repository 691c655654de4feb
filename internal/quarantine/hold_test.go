package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// Times of the plays.
const (
	// deadlyRun is how long a run lasts that ends its worker, awayFor how long the worker is
	// away then.
	deadlyRun = 40 * time.Millisecond
	awayFor   = 3 * time.Second
	// mostHops bounds the owners that one sending is offered to.
	mostHops = 6
)

// upstreams are the workers of a fleet's first service, which end under some requests.
type upstreams struct {
	*fleet
	owners []*node
	down   map[*node]bool
	// mostDown is how many were away at one moment, ends counts ends by request.
	mostDown int
	ends     map[model.Fingerprint]int
	// refusals and runs count what became of sendings.
	refusals, runs int
}

// newUpstreams returns n workers with that part of their slots in use.
func newUpstreams(n int, use float64) *upstreams {
	u := &upstreams{fleet: newFleet(n, 1), down: map[*node]bool{}, ends: map[model.Fingerprint]int{}}
	u.owners = u.nodes
	for _, nd := range u.owners {
		nd.q.usage = func(time.Time) (float64, bool) {
			return min(use*float64(n)/float64(max(n-len(u.down), 1)), 1), !u.down[nd]
		}
	}
	u.play(10 * time.Second)
	return u
}

// send brings a sending to a random owner with a worker, and goes on as owners say. It returns the last
// verdict.
func (u *upstreams) send(c model.Fingerprint, length time.Duration, deadly func() bool) Decision {
	first := u.owners[u.rng.IntN(len(u.owners))]
	for u.down[first] && len(u.down) < len(u.owners) {
		first = u.owners[u.rng.IntN(len(u.owners))]
	}
	return u.offer(first, c, length, deadly, Submission{}, 0)
}

func (u *upstreams) offer(to *node, c model.Fingerprint, length time.Duration, deadly func() bool, s Submission, hops int) Decision {
	v := to.q.Evaluate(u.now, c, s, "GET /")
	next := u.byID[v.OnlyOwner]
	switch {
	case v.Quarantined, v.Deferred && (next == nil || hops == mostHops):
		u.refusals++
	case v.Deferred:
		return u.offer(next, c, length, deadly, Submission{Granted: v.Granted}, hops+1)
	case u.down[to]:
		u.refusals++
	default:
		u.runs++
		u.run(to, c, length, v, deadly())
	}
	return v
}

func (u *upstreams) run(at *node, c model.Fingerprint, length time.Duration, v Decision, deadly bool) {
	began := u.now
	u.after(length, func() {
		if u.down[at] {
			return
		}
		if !deadly {
			at.q.RunCompleted(u.now, c)
			u.wake(at)
			return
		}
		u.ends[c]++
		u.end(at, Run{Content: c, Started: began, AlreadySuspect: v.Crashes > 0, Trial: v.Trial})
	})
}

// end ends a worker with requests in hand.
func (u *upstreams) end(at *node, runs ...Run) {
	u.down[at] = true
	u.mostDown = max(u.mostDown, len(u.down))
	for _, r := range runs {
		at.q.RunFailed(u.now, r)
	}
	at.q.WorkerCrashed(u.now)
	u.wake(at)
	u.after(awayFor, func() {
		delete(u.down, at)
		at.q.WorkerRecovered(u.now)
	})
}

// wantOneFree fails unless exactly one of the owners would run a request.
func (u *upstreams) wantOneFree(t *testing.T, owners []*node, c model.Fingerprint) {
	t.Helper()
	free := 0
	for _, nd := range owners {
		if !nd.q.Evaluate(u.now, c, Submission{}, "").Deferred {
			free++
		}
	}
	if free != 1 {
		t.Errorf("%d of %d owners would run it; want one", free, len(owners))
	}
}

func always() bool { return true }
func never() bool  { return false }

// A request that ends its workers was sent on to the next ones at once: it took all workers of
// a small service away together.
func TestOneRequestTakesNoMoreWorkersThanTheServiceCanSpare(t *testing.T) {
	for _, n := range []int{2, 3, 7, 20, 200} {
		for _, use := range []float64{0.3, 0.8} {
			t.Run(fmt.Sprintf("%d workers, %.1f in use", n, use), func(t *testing.T) {
				u := newUpstreams(n, use)
				for range 200 {
					u.send(content(1), deadlyRun, always)
					u.play(100 * time.Millisecond)
				}
				most := max(1, spareWorkers(n, n, use))
				if u.mostDown > min(most, 2) {
					t.Errorf("%d workers were away at one moment; %d can be spared", u.mostDown, most)
				}
				if got := u.ends[content(1)]; got != 2 {
					t.Errorf("%d ends; want 2, as nothing else was in hand at both", got)
				}
			})
		}
	}
}

// A third of the slots of three workers was in use: one was away and another one lent, which
// left all to the third.
func TestWorkersAreSparedOnlyWhereTheOthersHaveRoom(t *testing.T) {
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

// Several sendings at a time, and several such requests.
func TestSeveralDeadlyRequestsTakeNoMoreWorkersThanThereAreOfThem(t *testing.T) {
	for _, n := range []int{3, 7, 20} {
		u := newUpstreams(n, 0.8)
		for i := range 300 {
			u.send(content(1+i%2), deadlyRun, always)
			u.play(100 * time.Millisecond)
		}
		if most := max(2, spareWorkers(n, n, 0.8)); u.mostDown > most {
			t.Errorf("%d workers: %d were away at one moment under two requests; %d can be spared", n, u.mostDown, most)
		}
		for c, got := range u.ends {
			if got > endsToPutAside {
				t.Errorf("%d workers: %d ends under %s", n, got, c)
			}
		}
	}
}

// One that ran whole lately is served on by all owners after a plain end, however small the
// service.
func TestAPopularRequestIsServedOnByAllAfterAPlainEnd(t *testing.T) {
	u := newUpstreams(3, 0.8)
	popular := content(1)
	for range 100 {
		u.send(popular, 200*time.Millisecond, never)
		u.play(50 * time.Millisecond)
	}
	u.end(u.owners[0], Run{Content: popular, Started: u.now.Add(-time.Millisecond)})
	served, away := u.runs, 0
	for range 20 {
		for _, nd := range u.owners {
			switch v := nd.q.Evaluate(u.now, popular, Submission{}, ""); {
			case u.down[nd]:
				away++
			case v.Deferred:
				t.Fatalf("%s holds a popular request back after a plain end", nd.instance.ID)
			}
		}
		u.send(popular, 200*time.Millisecond, never)
		u.play(50 * time.Millisecond)
	}
	if u.runs == served || away == 0 {
		t.Error("nothing was played")
	}
}

// Where the service can spare workers, what was in hand at an end runs again at once.
func TestWhatWasInHandRunsAgainAtOnceWhereWorkersCanBeSpared(t *testing.T) {
	u := newUpstreams(20, 0.6)
	var inHand []Run
	for i := range 12 {
		inHand = append(inHand, Run{Content: content(10 + i), Started: u.now})
	}
	u.end(u.owners[0], inHand...)
	u.play(50 * time.Millisecond)
	for _, r := range inHand {
		u.send(r.Content, 200*time.Millisecond, never)
	}
	if u.runs != len(inHand) {
		t.Errorf("%d of %d ran again at once", u.runs, len(inHand))
	}
}

// Where it can spare none they wait for the worker that ended, and are told how long.
func TestWhatWasInHandIsToldWhenTheWorkerIsExpectedBack(t *testing.T) {
	u := newUpstreams(3, 0.9)
	for range 3 {
		u.end(u.owners[0], Run{Content: content(99), Started: u.now})
		u.play(awayFor + time.Second)
		u.owners[0].q.RunCompleted(u.now, content(99))
	}
	u.end(u.owners[0], Run{Content: content(7), Started: u.now})
	u.play(time.Second)
	v := u.owners[0].q.Evaluate(u.now, content(7), Submission{}, "")
	if v.Deferred || !v.Exclusive() || v.OnlyOwner != u.owners[0].instance.ID || v.RetryAfter != awayFor-time.Second {
		t.Errorf("%+v; want this owner in %s", v, awayFor-time.Second)
	}
	if v := u.owners[1].q.Evaluate(u.now, content(7), Submission{}, ""); !v.Deferred || v.OnlyOwner != u.owners[0].instance.ID {
		t.Errorf("another owner: %+v; want it held back for %s", v, u.owners[0].instance.ID)
	}
	u.play(awayFor)
	before := u.runs
	u.send(content(7), time.Millisecond, never)
	u.play(time.Second)
	if v := u.owners[1].q.Evaluate(u.now, content(7), Submission{}, ""); u.runs != before+1 || v.Deferred {
		t.Errorf("after a whole run: %+v; want it free", v)
	}
}

// An entry tells an owner of an end before the owner whose worker ended does.
func TestAnOwnerHoldsBackWhatItsEntrySawEndAWorker(t *testing.T) {
	u := newUpstreams(3, 0.9)
	if v := u.owners[1].q.Evaluate(u.now, content(5), Submission{Crashes: 1}, ""); !v.Deferred || v.OnlyOwner != "" || v.RetryAfter != firstReturn {
		t.Errorf("%+v; want it held back for %s", v, firstReturn)
	}
	if v := u.owners[1].q.Evaluate(u.now, content(5), Submission{}, ""); v != (Decision{}) {
		t.Errorf("the next sending: %+v; nothing is known of it", v)
	}
}

// A worker that is gone for good holds nothing back for ever.
func TestARequestIsHeldBackForAWorkerThatNeverReturnsForAWhileOnly(t *testing.T) {
	u := newUpstreams(3, 0.9)
	at := u.owners[0]
	at.q.RunFailed(u.now, Run{Content: content(5), Started: u.now})
	at.q.WorkerCrashed(u.now)
	u.wake(at)
	u.play(longestHold + time.Second)
	u.wantOneFree(t, u.owners, content(5))
}

// The owner whose worker ended last leaves as planned: another one decides, and runs the request
// once that worker should be back.
func TestARequestIsNotHeldBackForAnOwnerThatLeaves(t *testing.T) {
	u := newUpstreams(3, 0.9)
	u.end(u.owners[0], Run{Content: content(5), Started: u.now})
	u.play(time.Second)
	u.view.Revision++
	u.view.Instances[0].State = model.StateLeaving
	u.play(time.Duration(downMargin * float64(firstReturn)))
	u.wantOneFree(t, u.owners[1:], content(5))
}

// Two such requests ended a worker each; both workers were back, and both ended together again.
func TestRequestsOfTwoOwnersEndTheirWorkersOneAfterTheOther(t *testing.T) {
	u := newUpstreams(3, 0.8)
	u.end(u.owners[0], Run{Content: content(1), Started: u.now})
	u.play(100 * time.Millisecond)
	u.end(u.owners[1], Run{Content: content(2), Started: u.now})
	u.play(awayFor + 100*time.Millisecond)
	u.mostDown = 0
	for i := range 300 {
		u.send(content(1+i%2), deadlyRun, always)
		u.play(100 * time.Millisecond)
	}
	if u.mostDown != 1 {
		t.Errorf("%d workers were away at one moment; want 1", u.mostDown)
	}
	for c, got := range u.ends {
		if got != 1 {
			t.Errorf("%d more ends under %s; want 1", got, c)
		}
	}
	if len(u.ends) != 2 {
		t.Errorf("%d of 2 requests ran again", len(u.ends))
	}
}

// The worker has ended, and its owner has not asked its port yet: a request that may run
// elsewhere is lent at once, and does not wait for a connection that is refused.
func TestAnOwnerLendsBeforeItsWorkersPortIsAsked(t *testing.T) {
	u := newUpstreams(4, 0.3)
	at := u.owners[0]
	at.q.RunFailed(u.now, Run{Content: content(5), Started: u.now})
	at.q.WorkerCrashed(u.now)
	if v := at.q.Evaluate(u.now, content(5), Submission{}, ""); !v.Granted {
		t.Errorf("%+v; want it lent", v)
	}
}

// The owner whose worker ended is not listed while that is away: another one decides, and ended
// its own worker beside it.
func TestARequestWaitsAlsoForAWorkerThatIsNotListedMeanwhile(t *testing.T) {
	u := newUpstreams(3, 0.8)
	u.end(u.owners[0], Run{Content: content(5), Started: u.now})
	u.play(time.Second)
	u.view.Revision++
	u.view.Instances = u.view.Instances[1:]
	for range 20 {
		u.send(content(5), deadlyRun, always)
		u.play(100 * time.Millisecond)
	}
	if u.mostDown != 1 {
		t.Errorf("%d workers were away at one moment; want 1", u.mostDown)
	}
	u.play(awayFor)
	before := u.runs
	u.send(content(5), deadlyRun, never)
	if u.runs != before+1 {
		t.Error("it does not run once the worker should be back")
	}
}
