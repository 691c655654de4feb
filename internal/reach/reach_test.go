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

// fakeTable records which owners are excluded from choices.
type fakeTable struct {
	excluded map[model.InstanceID]bool
	known    map[model.InstanceID]bool
	recent   map[model.InstanceID]bool
	// silent are the owners without reports despite attempts in flight.
	silent []model.Instance
}

func (f *fakeTable) MarkUnreachable(_ time.Time, owner model.Instance) bool {
	if !f.known[owner.ID] {
		return false
	}
	f.excluded[owner.ID] = true
	return true
}

func (f *fakeTable) MarkReachable(id model.InstanceID) { delete(f.excluded, id) }

func (f *fakeTable) Owner(id model.InstanceID) (model.Instance, bool) { return owner(id), f.known[id] }

func (f *fakeTable) SilentOwners(time.Time, time.Duration) []model.Instance { return f.silent }

func (f *fakeTable) ReportedWithin(_ time.Time, id model.InstanceID, _ time.Duration) bool {
	return f.recent[id]
}

var epoch = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

var errNoAnswer = errors.New("no answer")

func owner(id model.InstanceID) model.Instance {
	return model.Instance{ID: id, PeerAddress: string(id) + ":1"}
}

func start(known ...model.InstanceID) (*Controller, *fakeTable) {
	f := &fakeTable{excluded: map[model.InstanceID]bool{}, known: map[model.InstanceID]bool{}, recent: map[model.InstanceID]bool{}}
	for _, id := range known {
		f.known[id] = true
	}
	return New("self", f, &blackboard.Board{}, rand.New(rand.NewPCG(1, 2))), f
}

// splitActions returns the owners probed and the events recorded by actions.
func splitActions(actions []control.Action) (probed []model.InstanceID, recorded []event.ID) {
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

func wantActions(t *testing.T, what string, actions []control.Action, probes []model.InstanceID, events []event.ID) {
	t.Helper()
	probed, recorded := splitActions(actions)
	if diff := cmp.Diff(probes, probed); diff != "" {
		t.Errorf("%s: probes %s", what, diff)
	}
	if diff := cmp.Diff(events, recorded); diff != "" {
		t.Errorf("%s: events %s", what, diff)
	}
}

func TestUnreachableOwnerIsExcludedUntilProbeSucceeds(t *testing.T) {
	c, f := start("w")
	now := epoch
	wantActions(t, "unresponsive", c.Handle(now, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true}),
		[]model.InstanceID{"w"}, []event.ID{event.OwnerUnreachable})
	if !f.excluded["w"] {
		t.Fatal("an owner that cannot be connected to is not excluded")
	}
	wantActions(t, "probe failed", c.Handle(now, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}), nil, nil)
	wantActions(t, "before the next probe is due", c.Handle(now.Add(probeInterval/4), control.Tick{}), nil, nil)
	now = now.Add(2 * probeInterval)
	wantActions(t, "next probe due", c.Handle(now, control.Tick{}), []model.InstanceID{"w"}, nil)
	wantActions(t, "probe in flight", c.Handle(now.Add(2*probeInterval), control.Tick{}), nil, nil)
	wantActions(t, "probe succeeded", c.Handle(now, control.ReachabilityProbed{Owner: owner("w")}), nil, []event.ID{event.OwnerReachable})
	if f.excluded["w"] {
		t.Error("still excluded after a successful probe")
	}
	wantActions(t, "after the probe succeeded", c.Handle(now.Add(time.Second), control.Tick{}), nil, nil)
}

func TestBrokenConnectionAloneExcludesNoOwner(t *testing.T) {
	c, f := start("w")
	broken := control.OwnerUnresponsive{Owner: owner("w")}
	wantActions(t, "unresponsive", c.Handle(epoch, broken), []model.InstanceID{"w"}, nil)
	if f.excluded["w"] {
		t.Error("excluded before a probe failed")
	}
	wantActions(t, "unresponsive again", c.Handle(epoch, broken), nil, nil)
	wantActions(t, "probe succeeded", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, nil)
	wantActions(t, "unresponsive later", c.Handle(epoch, broken), []model.InstanceID{"w"}, nil)
	wantActions(t, "probe failed", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}), nil, []event.ID{event.OwnerUnreachable})
	if !f.excluded["w"] {
		t.Error("not excluded after a failed probe")
	}
}

func TestSlowWorkerDoesNotCauseProbe(t *testing.T) {
	c, f := start("w")
	f.recent["w"] = true
	wantActions(t, "attempt timed out", c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w")}), nil, nil)
	wantActions(t, "no connection", c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true}),
		[]model.InstanceID{"w"}, []event.ID{event.OwnerUnreachable})
}

func TestRemovedOwnerIsNotProbed(t *testing.T) {
	c, f := start("w")
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true})
	delete(f.known, "w")
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer})
	wantActions(t, "later", c.Handle(epoch.Add(time.Second), control.Tick{}), nil, nil)
}

func TestConcurrentProbesAreBounded(t *testing.T) {
	var ids []model.InstanceID
	for i := range 10 * maxProbed {
		ids = append(ids, model.InstanceID(fmt.Sprintf("w%d", i)))
	}
	c, _ := start(ids...)
	probes := 0
	for _, id := range ids {
		probed, _ := splitActions(c.Handle(epoch, control.OwnerUnresponsive{Owner: owner(id), NoConnection: true}))
		probes += len(probed)
	}
	if probes != maxProbed {
		t.Errorf("%d probes at once, want %d", probes, maxProbed)
	}
}

func TestPauseDropsUncertainOwners(t *testing.T) {
	c, _ := start("w")
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w")})
	c.Handle(epoch, control.Paused{For: 3 * time.Second})
	wantActions(t, "a probe from before the pause", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}), nil, nil)
}

func TestPeerReportOnlyCausesProbe(t *testing.T) {
	c, f := start("w", "recent", "self")
	f.recent["recent"] = true
	peerReport := control.OwnersReportedUnreachable{Owners: []model.InstanceID{"w", "recent", "self", "unknown"}}
	wantActions(t, "reported by a peer", c.Handle(epoch, peerReport), []model.InstanceID{"w"}, nil)
	if f.excluded["w"] {
		t.Error("excluded because of a peer's report alone")
	}
	wantActions(t, "probe succeeded", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, nil)
	wantActions(t, "reported again at once", c.Handle(epoch.Add(reachableAge/2), peerReport), nil, nil)
	wantActions(t, "reported again later", c.Handle(epoch.Add(reachableAge), peerReport), []model.InstanceID{"w"}, nil)
}

func TestSilentOwnerIsProbed(t *testing.T) {
	c, f := start("w")
	f.silent = []model.Instance{owner("w")}
	wantActions(t, "silent", c.Handle(epoch, control.Tick{}), []model.InstanceID{"w"}, nil)
	wantActions(t, "probe succeeded", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, nil)
	wantActions(t, "still silent", c.Handle(epoch.Add(reachableAge/2), control.Tick{}), nil, nil)
	wantActions(t, "silent after reachableAge", c.Handle(epoch.Add(reachableAge), control.Tick{}), []model.InstanceID{"w"}, nil)
}

func TestUnreachableOwnersArePublished(t *testing.T) {
	c, _ := start("v", "w")
	published := func() []model.InstanceID {
		if unreachable := c.board.Unreachable.Get(); unreachable != nil {
			return *unreachable
		}
		return nil
	}
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true})
	c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("v")})
	if diff := cmp.Diff([]model.InstanceID{"w"}, published()); diff != "" {
		t.Errorf("one unreachable, one uncertain: %s", diff)
	}
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("v"), Err: errNoAnswer})
	if diff := cmp.Diff([]model.InstanceID{"v", "w"}, published()); diff != "" {
		t.Errorf("both unreachable: %s", diff)
	}
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("v")})
	c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")})
	if len(published()) != 0 {
		t.Errorf("none unreachable: %v", published())
	}
}

func TestAttemptsAreNotifiedOnceAfterProbeFails(t *testing.T) {
	c, _ := start("w")
	notified := func(actions []control.Action) int {
		n := 0
		for _, a := range actions {
			if a, ok := a.(control.OwnerUnreachable); ok && a.Owner == "w" {
				n++
			}
		}
		return n
	}
	failed := control.ReachabilityProbed{Owner: owner("w"), Err: errNoAnswer}
	if n := notified(c.Handle(epoch, control.OwnerUnresponsive{Owner: owner("w"), NoConnection: true})); n != 0 {
		t.Error("attempts notified because of one request that could not connect")
	}
	if n := notified(c.Handle(epoch, failed)); n != 1 {
		t.Errorf("attempts notified %d times after the probe failed, want once", n)
	}
	if n := notified(c.Handle(epoch, failed)); n != 0 {
		t.Error("attempts notified again")
	}
}

func TestUnacknowledgedAttemptExcludesSilentOwner(t *testing.T) {
	c, f := start("w", "recent")
	f.recent["recent"] = true
	silent := func(id model.InstanceID) control.OwnerUnresponsive {
		return control.OwnerUnresponsive{Owner: owner(id), NotAcknowledged: true}
	}
	wantActions(t, "recent report", c.Handle(epoch, silent("recent")), nil, nil)
	wantActions(t, "silent", c.Handle(epoch, silent("w")), []model.InstanceID{"w"}, []event.ID{event.OwnerUnreachable})
	if f.excluded["recent"] || !f.excluded["w"] {
		t.Errorf("excluded: %v, want the silent owner only", f.excluded)
	}
	wantActions(t, "probe succeeded", c.Handle(epoch, control.ReachabilityProbed{Owner: owner("w")}), nil, []event.ID{event.OwnerReachable})
	if f.excluded["w"] {
		t.Error("excluded although its probe succeeded")
	}
}
