package owner

import (
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

func TestStartsUpToTheLimitThenQueuesThenRefuses(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	var waiting []*model.Attempt
	for range 4 {
		a := r.attempt()
		r.want(r.offer(a), enqueued)
		waiting = append(waiting, a)
	}
	r.want(r.offer(r.attempt()), refused(model.ReasonQueueFull, true))
	if got := r.o.Pending(); got != 6 {
		t.Errorf("%d pending", got)
	}
	r.wantDecisions(r.finish(running[0], Completion{Status: 200}), startDecision(waiting[0]))
}

func TestUpstreamOverrideAndConnectionsBoundTheLimit(t *testing.T) {
	tests := []struct {
		name string
		svc  bundle.Service
		want uint16
	}{
		{"service", bundle.Service{Slots: 20, Connections: 260}, 20},
		{"connections", bundle.Service{Slots: 20, Connections: 7}, 7},
		{"own override", bundle.Service{Slots: 20, Connections: 260, Upstreams: []bundle.Upstream{{Instance: testOwner, Slots: 3}}}, 3},
		{"another's override", bundle.Service{Slots: 20, Connections: 260, Upstreams: []bundle.Upstream{{Instance: "w2", Slots: 3}}}, 20},
		{"none", bundle.Service{}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, &tt.svc)
			if got := r.o.Report(r.now).Limit; got != tt.want {
				t.Errorf("limit %d, want %d", got, tt.want)
			}
		})
	}
}

func TestSlowStartRampsTheLimit(t *testing.T) {
	svc := testService()
	svc.Slots, svc.Connections, svc.WarmupMs = 20, 100, 1000
	r := newRig(t, svc)
	for _, step := range []struct {
		after time.Duration
		want  uint16
	}{{0, 2}, {250 * time.Millisecond, 6}, {250 * time.Millisecond, 11}, {500 * time.Millisecond, 20}, {time.Hour, 20}} {
		r.advance(step.after)
		if got := r.o.Report(r.now).Limit; got != step.want {
			t.Errorf("limit %d, want %d", got, step.want)
		}
	}
	r.o.SetState(r.now, model.StateCold)
	if got := r.o.Report(r.now).Limit; got != 0 {
		t.Errorf("limit %d while cold", got)
	}
	r.o.SetState(r.now, model.StateLive)
	if got := r.o.Report(r.now).Limit; got != 2 {
		t.Errorf("limit %d after the cold period", got)
	}
}

func TestQueueOrder(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	late, early, poor := r.attempt(), r.attempt(), r.attempt()
	early.Remaining = 500 * time.Millisecond
	poor.Worth, poor.Class = 1, "view"
	poor.Remaining = 400 * time.Millisecond
	for _, a := range []*model.Attempt{poor, late, early} {
		r.want(r.offer(a), enqueued)
	}
	r.wantDecisions(r.finish(running[0], Completion{Status: 200}), startDecision(early))
	r.wantDecisions(r.finish(running[1], Completion{Status: 200}), startDecision(late))
	r.wantDecisions(r.finish(early, Completion{Status: 200}), startDecision(poor))
}

func TestClassUnderItsShareGoesFirst(t *testing.T) {
	svc := testService()
	svc.Slots, svc.Connections, svc.QueueLimit = 4, 100, 20
	b := testBundle(svc)
	b.Classes[2].Share = 0.25
	r := newRig(t, svc)
	r.o.Configure(r.now, b, svc, 2)
	running := r.fill(4)
	rich, lookup, lookup2 := r.attempt(), r.attempt(), r.attempt()
	for _, a := range []*model.Attempt{lookup, lookup2} {
		a.Class, a.Worth = "lookup", 0
	}
	for _, a := range []*model.Attempt{rich, lookup, lookup2} {
		r.want(r.offer(a), enqueued)
	}
	r.wantDecisions(r.finish(running[0], Completion{Status: 200}), startDecision(lookup))
	r.wantDecisions(r.finish(running[1], Completion{Status: 200}), startDecision(rich))
	r.wantDecisions(r.finish(running[2], Completion{Status: 200}), startDecision(lookup2))
}

// A class without worth or share still gets its minimum share under endless work of more
// worth.
func TestWorthlessClassIsNotStarved(t *testing.T) {
	svc := testService()
	svc.Slots, svc.Connections, svc.QueueLimit = 10, 100, 40
	r := newRig(t, svc)
	running := r.fill(10)
	lookup := r.attempt()
	lookup.Class, lookup.Worth, lookup.Remaining = "lookup", 0, time.Hour
	r.want(r.offer(lookup), enqueued)
	for range 5 {
		r.offer(r.attempt())
	}
	const enough = int(2 / minShare)
	for range enough {
		a := r.attempt()
		r.want(r.offer(a), enqueued)
		ds := r.finish(running[0], Completion{Status: 200})
		running = running[1:]
		for _, d := range ds {
			if d.Attempt == lookup.ID {
				return
			}
			running = append(running, &model.Attempt{ID: d.Attempt})
		}
	}
	t.Fatalf("did not start within %d starts of others", enough)
}

func TestFullQueueDisplacesTheLeastValuable(t *testing.T) {
	r := newRig(t, testService())
	r.fill(2)
	var views []*model.Attempt
	for i := range 4 {
		a := r.attempt()
		a.Class, a.Worth = "view", 1
		a.Remaining += time.Duration(i) * time.Millisecond
		r.want(r.offer(a), enqueued)
		views = append(views, a)
	}
	equal := r.attempt()
	equal.Class, equal.Worth, equal.Remaining = "view", 1, 10*time.Millisecond
	r.want(r.offer(equal), refused(model.ReasonQueueFull, true))
	r.want(r.offer(r.attempt()), enqueued)
	r.wantDecisions(r.tick(0), refuseDecision(views[3], model.ReasonQueueFull))
	r.want(r.offer(views[3]), refused(model.ReasonFenced, true))
}

// A class keeps its share of the queue's places against attempts of higher worth.
func TestFullQueueKeepsPlacesOfEachClass(t *testing.T) {
	r := newRig(t, testService())
	r.fill(2)
	var rich []*model.Attempt
	for range 4 {
		a := r.attempt()
		r.want(r.offer(a), enqueued)
		rich = append(rich, a)
	}
	lookup := r.attempt()
	lookup.Class, lookup.Worth = "lookup", 0
	r.want(r.offer(lookup), enqueued)
	r.wantDecisions(r.tick(0), refuseDecision(rich[3], model.ReasonQueueFull))
	r.want(r.offer(r.attempt()), refused(model.ReasonQueueFull, true))
}

func TestTenantAtItsLimitYields(t *testing.T) {
	svc := testService()
	svc.Slots = 4
	b := testBundle(svc)
	b.Tenants = []bundle.Tenant{{Name: "big", MaxShare: 0.5}}
	r := newRig(t, svc)
	r.o.Configure(r.now, b, svc, 2)
	big := func() *model.Attempt { a := r.attempt(); a.Tenant = "big"; return a }
	var running []*model.Attempt
	for range 4 {
		a := big()
		r.want(r.offer(a), started)
		running = append(running, a)
	}
	next, small := big(), r.attempt()
	next.Worth = 100
	r.want(r.offer(next), enqueued)
	r.want(r.offer(small), enqueued)
	r.wantDecisions(r.finish(running[0], Completion{Status: 200}), startDecision(small))
	r.wantDecisions(r.finish(running[1], Completion{Status: 200}), startDecision(next))
}

func TestTenantRateIsThisOwnersPart(t *testing.T) {
	svc := testService()
	svc.Slots = 100
	svc.Connections = 100
	b := testBundle(svc)
	b.Tenants = []bundle.Tenant{{Name: "big", RatePerSecond: 40, Burst: 40, MaxShare: 1}}
	r := newRig(t, svc)
	r.o.Configure(r.now, b, svc, 4)
	count := func() (n int) {
		for range 50 {
			a := r.attempt()
			a.Tenant = "big"
			got := r.offer(a)
			if got.Kind == Start {
				n++
				continue
			}
			r.want(got, refused(model.ReasonTenantLimit, true))
		}
		return n
	}
	if got, want := count(), 13; got != want {
		t.Errorf("burst of %d, want %d (a quarter of 40, with slack)", got, want)
	}
	r.advance(400 * time.Millisecond)
	if got, want := count(), 5; got != want {
		t.Errorf("%d in 400 ms, want %d (12.5 a second)", got, want)
	}
	r.want(r.offer(r.attempt()), started)
}

func TestWorkThatCannotFinishIsRefusedEarly(t *testing.T) {
	r := newRig(t, testService())
	for _, a := range r.fill(2) {
		r.finish(a, Completion{Status: 200, ServiceTime: 100 * time.Millisecond})
	}
	r.fill(2)
	// One slot becomes free every 50 ms, and the service time is 100 ms.
	a, b := r.attempt(), r.attempt()
	a.Remaining = 149 * time.Millisecond
	b.Remaining = 151 * time.Millisecond
	got := r.offer(a)
	r.want(got, refused(model.ReasonOverloaded, true))
	if got.Refusal.RetryAfter < retryMin || got.Refusal.RetryAfter > retryMax {
		t.Errorf("retry after %v", got.Refusal.RetryAfter)
	}
	r.want(r.offer(b), enqueued)
}

// An estimate that has grown too long must not refuse every later attempt.
func TestOverlongEstimateDoesNotRefuseForever(t *testing.T) {
	r := newRig(t, testService())
	a := r.fill(1)[0]
	r.finish(a, Completion{Status: 200, ServiceTime: time.Hour})
	r.fill(1)
}

func TestQueuedWorkExpires(t *testing.T) {
	r := newRig(t, testService())
	r.fill(2)
	a := r.attempt()
	r.want(r.offer(a), enqueued)
	r.wantDecisions(r.tick(time.Second - 1))
	r.wantDecisions(r.tick(1), refuseDecision(a, model.ReasonExpired))
}

func TestLeavingAdmitsNothingAndFinishesPending(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	waiting := r.attempt()
	r.want(r.offer(waiting), enqueued)
	r.o.SetState(r.now, model.StateLeaving)
	r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
	for _, s := range []model.UpstreamState{model.StateLive, model.StateCold} {
		r.o.SetState(r.now, s)
		r.want(r.offer(r.attempt()), refused(model.ReasonLeaving, true))
	}
	r.wantDecisions(r.finish(running[0], Completion{Status: 200}), startDecision(waiting))
	r.finish(running[1], Completion{Status: 200})
	r.finish(waiting, Completion{Status: 200})
	if got := r.o.Pending(); got != 0 {
		t.Errorf("%d pending", got)
	}
}

func TestColdWorkerRefusesItsQueue(t *testing.T) {
	r := newRig(t, testService())
	r.fill(2)
	a := r.attempt()
	r.want(r.offer(a), enqueued)
	r.o.SetState(r.now, model.StateCold)
	r.wantDecisions(r.tick(coldGrace - 1))
	r.wantDecisions(r.tick(1), refuseDecision(a, model.ReasonNotReady))
}

func TestLeavingColdWorkerRefusesItsQueue(t *testing.T) {
	r := newRig(t, testService())
	r.fill(2)
	a := r.attempt()
	r.want(r.offer(a), enqueued)
	r.o.SetState(r.now, model.StateCold)
	r.wantDecisions(r.o.SetState(r.now, model.StateLeaving), refuseDecision(a, model.ReasonLeaving))
}

// Concurrent callers see at most the limit in flight, and one decision for each queued
// attempt; run with -race.
func TestConcurrentCallers(t *testing.T) {
	svc := testService()
	r := newRig(t, svc)
	var mu sync.Mutex
	waiting := map[model.AttemptID]bool{}
	running := make(chan model.AttemptID, 1000)
	take := func(ds []Decision) {
		mu.Lock()
		defer mu.Unlock()
		for _, d := range ds {
			waiting[d.Attempt] = false
			if d.Kind == Start {
				running <- d.Attempt
			}
		}
	}
	var group sync.WaitGroup
	for entry := range 8 {
		group.Go(func() {
			for i := range 200 {
				now := r.now.Add(time.Duration(i) * time.Millisecond)
				a := &model.Attempt{
					ID:    model.AttemptID{Entry: model.InstanceID(rune('a' + entry)), Incarnation: 1, Sequence: uint64(i)},
					Owner: testOwner, OwnerIncarnation: testIncarnation, Class: "view", Worth: float64(entry),
					Remaining: time.Second, OwnerClock: r.o.Report(now).Clock,
				}
				mu.Lock()
				v, _ := r.o.Offer(now, a, false)
				waiting[a.ID] = v == Queue
				mu.Unlock()
				if v == Start {
					running <- a.ID
				}
				if got := r.o.Report(now); int(got.InFlight) > svc.Slots {
					t.Errorf("%d in flight", got.InFlight)
				}
				select {
				case id := <-running:
					take(r.o.Finish(now, id, Completion{Status: 200}))
				default:
				}
			}
		})
	}
	group.Wait()
	take(r.o.Tick(r.now.Add(time.Minute)))
	for id, w := range waiting {
		if w {
			t.Errorf("%v is still queued", id)
		}
	}
}

func TestPause(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)
	short, long := r.attempt(), r.attempt()
	long.Remaining = 10 * time.Second
	r.want(r.offer(short), enqueued)
	r.want(r.offer(long), enqueued)
	r.advance(2 * time.Second)
	r.wantDecisions(r.o.ProcessPaused(r.now, 2*time.Second), refuseDecision(short, model.ReasonExpired))
	r.want(r.offer(r.attempt()), refused(model.ReasonPaused, true))
	if r.o.Confirm(r.now, running[0].ID) {
		t.Error("confirmed an attempt whose time ran out")
	}
	r.wantDecisions(r.finish(running[0], Completion{NotRun: true}))
	r.wantDecisions(r.tick(0), startDecision(long))
	unstamped := r.attempt()
	unstamped.Idempotent, unstamped.OwnerClock = true, 0
	r.want(r.offer(unstamped), refused(model.ReasonPaused, true))
}

func TestPauseBetweenStartAndConfirm(t *testing.T) {
	r := newRig(t, testService())
	a := r.attempt()
	r.want(r.offer(a), started)
	r.o.ProcessPaused(r.now, 500*time.Millisecond)
	if r.o.Confirm(r.now, a.ID) {
		t.Error("confirmed while starts are blocked after a pause")
	}
	r.tick(0)
	if !r.o.Confirm(r.now, a.ID) {
		t.Error("not confirmed after the pause, although in time")
	}
}

func TestPauseBlockEndsWithoutTick(t *testing.T) {
	r := newRig(t, testService())
	r.o.ProcessPaused(r.now, time.Second)
	r.advance(pauseBlock)
	r.want(r.offer(r.attempt()), started)
}
