package reach

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// fakeTable notes who is left out of choices.
type fakeTable struct {
	out   map[model.InstanceID]bool
	known map[model.InstanceID]bool
	heard map[model.InstanceID]bool
	// silent are the owners of which nothing was heard although they were sent to.
	silent []model.Instance
}

func (f *fakeTable) MarkUnreachable(_ time.Time, owner model.Instance) bool {
	if !f.known[owner.ID] {
		return false
	}
	f.out[owner.ID] = true
	return true
}

func (f *fakeTable) MarkReachable(id model.InstanceID) { delete(f.out, id) }

func (f *fakeTable) Owner(id model.InstanceID) (model.Instance, bool) { return owner(id), f.known[id] }

func (f *fakeTable) SilentOwners(time.Time, time.Duration) []model.Instance { return f.silent }

func (f *fakeTable) ReportedWithin(_ time.Time, id model.InstanceID, _ time.Duration) bool {
	return f.heard[id]
}

var epoch = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

var errNoAnswer = errors.New("no answer")

func owner(id model.InstanceID) model.Instance {
	return model.Instance{ID: id, PeerAddress: string(id) + ":1"}
}

func start(known ...model.InstanceID) (*Controller, *fakeTable) {
	f := &fakeTable{out: map[model.InstanceID]bool{}, known: map[model.InstanceID]bool{}, heard: map[model.InstanceID]bool{}}
	for _, id := range known {
		f.known[id] = true
	}
	return New("self", f, &blackboard.Board{}, rand.New(rand.NewPCG(1, 2))), f
}

// seen splits actions into the owners probed and the events recorded.
func seen(actions []control.Action) (probed []model.InstanceID, recorded []event.ID) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.ProbeReachability:
			probed = append(probed, a.Owner.ID)
		case control.Record:
			recorded = append(recorded, a.Event)
		}
	}
	return probed, recorded
}

func want(t *testing.T, what string, actions []control.Action, probes []model.InstanceID, events []event.ID) {
	t.Helper()
	probed, recorded := seen(actions)
	if diff := cmp.Diff(probes, probed); diff != "" {
		t.Errorf("%s: probes %s", what, diff)
	}
	if diff := cmp.Diff(events, recorded); diff != "" {
		t.Errorf("%s: events %s", what, diff)
	}
}

func TestAnOwnerWithoutAConnectionIsLeftOutUntilAProbeGetsThrough(t *testing.T) {
	c, f := start("w")
	now := epoch
	want(t, "doubted", c.Handle(now, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true}),
		[]model.InstanceID{"w"}, []event.ID{event.OwnerUnreachable})
	if !f.out["w"] {
		t.Fatal("still chosen")
	}
	want(t, "probe failed", c.Handle(now, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}), nil, nil)
	want(t, "too early", c.Handle(now.Add(interval/4), control.Tick{}), nil, nil)
	now = now.Add(2 * interval)
	want(t, "due", c.Handle(now, control.Tick{}), []model.InstanceID{"w"}, nil)
	want(t, "under way", c.Handle(now.Add(2*interval), control.Tick{}), nil, nil)
	want(t, "through", c.Handle(now, control.ReachabilityProbed{Owner: owner("w")}), nil, []event.ID{event.OwnerReachable})
	if f.out["w"] {
		t.Error("still left out")
	}
	want(t, "over", c.Handle(now.Add(time.Second), control.Tick{}), nil, nil)
}

func TestABrokenWayAloneLeavesNobodyOut(t *testing.T) {
	c, f := start("w")
	broke := control.OwnerUnresponsive{Owner: owner("w")}
	want(t, "doubted", c.Handle(epoch, broke), []model.InstanceID{"w"}, nil)
	if f.out["w"] {
		t.Error("left out before a probe failed")
	}
	want(t, "doubted again", c.Handle(epoch, broke), nil, nil)
	want(t, "through", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, nil)
	want(t, "doubted later", c.Handle(epoch, broke), []model.InstanceID{"w"}, nil)
	want(t, "probe failed", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}), nil, []event.ID{event.OwnerUnreachable})
	if !f.out["w"] {
		t.Error("still chosen after a failed probe")
	}
}

func TestAnOwnerThatIsHeardIsNotProbedForASlowWorker(t *testing.T) {
	c, f := start("w")
	f.heard["w"] = true
	want(t, "time ran out", c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w")}), nil, nil)
	want(t, "no connection", c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true}),
		[]model.InstanceID{"w"}, []event.ID{event.OwnerUnreachable})
}

func TestAnOwnerThatTheFleetNoLongerKnowsIsProbedNoMore(t *testing.T) {
	c, f := start("w")
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true})
	delete(f.known, "w")
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer})
	want(t, "later", c.Handle(epoch.Add(time.Second), control.Tick{}), nil, nil)
}

func TestTheProbesOfALostDataCentreAreBounded(t *testing.T) {
	var ids []model.InstanceID
	for i := range 10 * maxDoubted {
		ids = append(ids, model.InstanceID(fmt.Sprintf("w%d", i)))
	}
	c, _ := start(ids...)
	probes := 0
	for _, id := range ids {
		probed, _ := seen(c.Handle(epoch, control.OwnerUnresponsive{Owner: owner(id), NoConnection: true}))
		probes += len(probed)
	}
	if probes != maxDoubted {
		t.Errorf("%d probes at once, want %d", probes, maxDoubted)
	}
}

func TestWhatWasDoubtedBeforeAPauseIsForgotten(t *testing.T) {
	c, _ := start("w")
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w")})
	c.Handle(epoch, control.Paused{For: 3 * time.Second})
	want(t, "a probe from before the pause", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}), nil, nil)
}

func TestAPeersWordMakesANodeProbeAndNothingElse(t *testing.T) {
	c, f := start("w", "heard", "self")
	f.heard["heard"] = true
	said := control.OwnersReportedUnreachable{Owners: []model.InstanceID{"w", "heard", "self", "unknown"}}
	want(t, "said", c.Handle(epoch, said), []model.InstanceID{"w"}, nil)
	if f.out["w"] {
		t.Error("left out on a peer's word alone")
	}
	want(t, "through", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, nil)
	want(t, "said again at once", c.Handle(epoch.Add(soundAge/2), said), nil, nil)
	want(t, "said again later", c.Handle(epoch.Add(soundAge), said), []model.InstanceID{"w"}, nil)
}

func TestASilentOwnerIsProbed(t *testing.T) {
	c, f := start("w")
	f.silent = []model.Instance{owner("w")}
	want(t, "silent", c.Handle(epoch, control.Tick{}), []model.InstanceID{"w"}, nil)
	want(t, "through", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, nil)
	want(t, "still silent", c.Handle(epoch.Add(soundAge/2), control.Tick{}), nil, nil)
	want(t, "silent for long", c.Handle(epoch.Add(soundAge), control.Tick{}), []model.InstanceID{"w"}, nil)
}

func TestOwnersOutOfReachAreNamedToPeersUntilTheyAreBack(t *testing.T) {
	c, _ := start("v", "w")
	named := func() []model.InstanceID {
		if lost := c.board.Unreachable.Get(); lost != nil {
			return *lost
		}
		return nil
	}
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true})
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("v")})
	if diff := cmp.Diff([]model.InstanceID{"w"}, named()); diff != "" {
		t.Errorf("one is lost, one doubted: %s", diff)
	}
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("v"), Err: errNoAnswer})
	if diff := cmp.Diff([]model.InstanceID{"v", "w"}, named()); diff != "" {
		t.Errorf("both are lost: %s", diff)
	}
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("v")})
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")})
	if len(named()) != 0 {
		t.Errorf("none is lost: %v", named())
	}
}

func TestAttemptsAreToldOnceAProbeHasFailed(t *testing.T) {
	c, _ := start("w")
	told := func(actions []control.Action) int {
		n := 0
		for _, a := range actions {
			if a, ok := a.(control.OwnerUnreachable); ok && a.Owner == "w" {
				n++
			}
		}
		return n
	}
	failed := control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}
	if n := told(c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true})); n != 0 {
		t.Error("told for one request that could not connect")
	}
	if n := told(c.Handle(epoch, failed)); n != 1 {
		t.Errorf("told %d times after the probe failed", n)
	}
	if n := told(c.Handle(epoch, failed)); n != 0 {
		t.Error("told once more")
	}
}

func TestAnOwnerThatTakesNothingUpIsLeftOutUnlessItIsHeard(t *testing.T) {
	c, f := start("w", "heard")
	f.heard["heard"] = true
	silent := func(id model.InstanceID) control.OwnerUnresponsive {
		return control.OwnerUnresponsive{Owner: owner(id), NotAcknowledged: true}
	}
	want(t, "heard", c.Handle(epoch, silent("heard")), nil, nil)
	want(t, "silent", c.Handle(epoch, silent("w")), []model.InstanceID{"w"}, []event.ID{event.OwnerUnreachable})
	if f.out["heard"] || !f.out["w"] {
		t.Errorf("left out: %v", f.out)
	}
	want(t, "through", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, []event.ID{event.OwnerReachable})
	if f.out["w"] {
		t.Error("left out although it answers")
	}
}
