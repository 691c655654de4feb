package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func TestFullListMissingTooManyRemovesNobody(t *testing.T) {
	s := newSingleNode(1)
	var all []model.Instance
	for i := range 9 {
		listed := instance(i+10, 1, model.StateLive)
		listed.Incarnation = 0
		all = append(all, listed)
	}
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: all})
	s.handle(control.ListRead{Revision: 2, Full: true, Instances: all[:5]})
	if len(s.c.reaper.due) > 0 || !recorded(s.actions, event.ListIncomplete) {
		t.Errorf("%d instances are to be removed", len(s.c.reaper.due))
	}
	s.handle(control.ListRead{Revision: 3, Full: true, Instances: all[:8]})
	if len(s.c.reaper.due) != 1 {
		t.Errorf("%d instances are to be removed, want 1", len(s.c.reaper.due))
	}
}

func TestFirstListStatusDoesNotOverrideOwner(t *testing.T) {
	s := newSingleNode(1)
	s.handle(control.ListRead{Revision: 5, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLeaving)}})
	if s.state(1) != model.StateLive {
		t.Errorf("state %s after a list that may refer to an earlier incarnation", s.state(1))
	}
}

func TestLinkedUnlistedInstanceIsKept(t *testing.T) {
	s := newSingleNode(2)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLive), instance(2, 1, model.StateLive)}})
	s.handle(control.ListRead{Revision: 2, Full: true, Instances: []model.Instance{instance(2, 1, model.StateLive)}})
	s.run(unlistedTTL+2*reapSpread, 1, 2)
	if s.state(1) != model.StateLive {
		t.Errorf("state %s although its link shows it alive", s.state(1))
	}
}

func TestListBeaconAgeIncludesTransitTime(t *testing.T) {
	s := newSingleNode(1)
	s.run(time.Second, 1)
	sent := s.c.clock(s.now)
	s.run(3 * time.Second)
	s.c.list.timer.ReadDone(s.now.Add(-time.Minute), true)
	s.handle(control.Received{From: id(1), Message: wire.ListBeacon{Echo: sent, List: wire.ListAges{Attempt: 1, Confirmed: 1}}})
	if age := s.now.Sub(s.c.ListConfirmedAt()); age < 3*time.Second {
		t.Errorf("confirmed %s ago by a message sent 3 s ago", age)
	}
}

func TestUnlistedInstanceReaffirmsItself(t *testing.T) {
	s := newSingleNode(1)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(0, 1, model.StateLive)}})
	s.handle(control.ListRead{Revision: 2, Full: true})
	before := s.c.self().Counter
	s.run(2*reaffirmInterval, 1)
	if after := s.c.self().Counter; after == before || after > before+2 {
		t.Errorf("counter %d, %s later %d", before, 2*reaffirmInterval, after)
	}
}

func TestFreshNodeWithSeedsWaitsBeforeItReadsTheList(t *testing.T) {
	board := &blackboard.Board{}
	c := New(Config{Self: instance(0, 1, model.StateLive), Seeds: []string{"10.0.0.9:1"}}, board, rand.New(rand.NewPCG(1, 1)))
	s := &singleNode{c: c, board: board, now: epoch}
	s.run(startGrace - control.TickInterval)
	if _, ok := s.firstListRead(); ok {
		t.Error("read the list before a peer could answer")
	}
	s.run(2 * time.Second)
	if since, ok := s.firstListRead(); !ok || since != 0 {
		t.Error("did not read the whole list without a peer")
	}
}

// firstListRead returns the revision that the first read of the list starts from.
func (s *singleNode) firstListRead() (since uint64, ok bool) {
	for _, a := range s.actions {
		if r, ok := a.(control.ReadList); ok {
			return r.Since, true
		}
	}
	return 0, false
}

func TestListReadStartsFromSpreadRevision(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		want uint64
	}{{revisionSpreadTime / 4, 4}, {revisionSpreadTime + time.Second, 9}} {
		s := newSingleNode(1)
		hear := func(revision uint64) {
			ages := wire.ListAges{Attempt: 1, Confirmed: 1, Revision: revision}
			s.handle(control.Received{From: id(1), Message: wire.Heartbeat{Clock: 1, List: ages}})
		}
		hear(4)
		s.now = s.now.Add(revisionSpreadTime + time.Second)
		hear(9)
		s.now = s.now.Add(c.wait)
		hear(9)
		s.run(5*time.Second, 1)
		if since, ok := s.firstListRead(); !ok || since != c.want {
			t.Errorf("read since %d %s after revision 9 was received, want %d", since, c.wait, c.want)
		}
	}
}

func TestTombstoneIsKeptWhileListed(t *testing.T) {
	s := newSingleNode(2)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLive)}})
	gone := recordOf(instance(1, 1, model.StateGone))
	s.handle(control.Received{From: id(2), Message: wire.Rumours{Records: []wire.MemberRecord{gone}}})
	s.run(tombstoneTTL + time.Minute)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLive)}})
	if s.state(1) != model.StateGone {
		t.Errorf("state %s after an unchanged list", s.state(1))
	}
}

func TestListRemovalKeepsRecordFields(t *testing.T) {
	s := newSingleNode(1)
	listed := instance(9, 1, model.StateLive)
	listed.Incarnation = 0
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{listed}})
	s.handle(control.ListRead{Revision: 2, Instances: []model.Instance{{ID: listed.ID, State: model.StateGone}}})
	r, _ := s.c.table.get(listed.ID)
	if r.PeerAddress != listed.PeerAddress || r.ListStatus != wire.ListAbsent {
		t.Errorf("record %+v", r)
	}
}

func TestNewerLiveStatusOverridesLateLeaving(t *testing.T) {
	s := newSingleNode(1)
	own := s.c.self()
	own.ListRevision, own.ListStatus = 9, wire.ListLive
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{own}}})
	own.ListRevision, own.ListStatus, own.State = 8, wire.ListLeaving, model.StateLeaving
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{own}}})
	if got := s.c.self(); got.State != model.StateLive || got.Incarnation <= own.Incarnation {
		t.Errorf("own record %+v", got)
	}
}

func TestOwnerMarkedLeavingSupersedesGone(t *testing.T) {
	s := newSingleNode(1)
	own := s.c.self()
	own.ListRevision, own.ListStatus, own.State = 8, wire.ListLeaving, model.StateLeaving
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{own}}})
	gone := own
	gone.State = model.StateGone
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{gone}}})
	if got := s.c.self(); got.State != model.StateLeaving || got.Incarnation <= own.Incarnation {
		t.Errorf("own record %+v", got)
	}
}
