package member

import (
	"testing"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func TestOneObserverDeclaresNobodyGone(t *testing.T) {
	s := newSingleNode(4)
	for _, a := range s.handle(control.LinkDown{Peer: id(1), Failed: true}) {
		s.reply(a)
	}
	s.run(5*time.Second, 2, 3, 4)
	if !recorded(s.actions, event.MemberSuspected) || s.state(1) != model.StateLive {
		t.Fatalf("state %s with this node as the only observer", s.state(1))
	}
	s.suspect(2, 1)
	s.run(refutationWindow/2, 2, 3, 4)
	if s.state(1) != model.StateLive {
		t.Fatal("declared gone before it could refute")
	}
	s.run(refutationWindow, 2, 3, 4)
	if s.state(1) != model.StateGone {
		t.Errorf("state %s with two observers", s.state(1))
	}
}

func TestRepeatedSuspicionOfOneObserverCountsOnce(t *testing.T) {
	s := newSingleNode(4)
	for range 3 {
		s.suspect(2, 1)
	}
	s.run(5*time.Second, 1, 2, 3, 4)
	if s.state(1) != model.StateLive || len(s.c.checks.suspicionOf(id(1)).observers) != 1 {
		t.Errorf("state %s with one observer", s.state(1))
	}
}

func TestNodeThatReachesSuspectedMemberDeclaresNothing(t *testing.T) {
	s := newSingleNode(4)
	s.suspect(2, 1)
	s.suspect(3, 1)
	s.run(10*time.Second, 1, 2, 3, 4)
	if s.state(1) != model.StateLive {
		t.Error("declared gone by a node that reaches it")
	}
}

func TestNewerRecordOfSuspectedMemberRefutes(t *testing.T) {
	s := newSingleNode(4)
	for _, a := range s.handle(control.LinkDown{Peer: id(1), Failed: true}) {
		s.reply(a)
	}
	s.run(300*time.Millisecond, 2, 3, 4)
	s.suspect(2, 1)
	r := recordOf(instance(1, 1, model.StateLive))
	r.Counter = 1
	s.handle(control.Received{From: id(3), Message: wire.Rumours{Records: []wire.MemberRecord{r}}})
	s.run(5*time.Second, 2, 3, 4)
	if s.state(1) != model.StateLive {
		t.Error("declared gone although it refuted")
	}
}

func TestOwnSuspicionIsRefuted(t *testing.T) {
	s := newSingleNode(2)
	s.suspect(1, 0)
	if got := s.c.self().Counter; got != 1 || !recorded(s.actions, event.SuspicionRefuted) {
		t.Errorf("counter %d", got)
	}
}

func TestPausedNodeSuspectsNobodyAndKeepsLinks(t *testing.T) {
	s := newSingleNode(4)
	s.run(time.Second, 1, 2, 3, 4)
	s.now = s.now.Add(time.Minute)
	s.actions = nil
	s.handle(control.Paused{For: time.Minute})
	s.handle(control.OwnerUnresponsive{Owner: instance(1, 1, 0), NoConnection: true})
	s.run(2 * time.Second)
	if recorded(s.actions, event.MemberSuspected) || len(s.c.Links()) != 4 {
		t.Errorf("%d links and actions %v just after a pause", len(s.c.Links()), s.actions)
	}
}

func TestSuspicionsPerDataCentreAreBounded(t *testing.T) {
	s := newSingleNode(2*maxSuspectedPerDataCentre + 2)
	for target := 3; target <= 2*maxSuspectedPerDataCentre+2; target++ {
		s.suspect(2, target)
	}
	gossiped := map[model.InstanceID]bool{}
	for _, a := range s.handle(control.Tick{}) {
		if send, ok := a.(control.Send); ok {
			if r, ok := send.Message.(wire.Rumours); ok {
				for _, x := range r.Suspicions {
					gossiped[x.Target] = true
				}
			}
		}
	}
	if len(gossiped) != maxSuspectedPerDataCentre {
		t.Errorf("%d suspicions were gossiped, want %d", len(gossiped), maxSuspectedPerDataCentre)
	}
}

func TestDuplicateInstanceIDsSupersedeAtBoundedRate(t *testing.T) {
	s := newSingleNode(2)
	const minutes = 3
	for range minutes * 60 {
		ghost := s.c.self()
		ghost.Incarnation++
		s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{ghost}}})
		s.run(time.Second, 1, 2)
	}
	adopted := 0
	for _, a := range s.actions {
		if _, ok := a.(control.AdoptIncarnation); ok {
			adopted++
		}
	}
	if adopted < 2 || adopted > 10 {
		t.Errorf("adopted %d incarnations in %d minutes", adopted, minutes)
	}
}

func TestUnlistedSuspectedMemberIsDeclaredGoneDespitePartitionLimit(t *testing.T) {
	s := newSingleNode(4)
	var all []model.Instance
	for i := range 5 {
		all = append(all, instance(i, 1, model.StateLive))
	}
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: all})
	all[1].State = model.StateGone
	s.handle(control.ListRead{Revision: 2, Instances: all[1:2]})
	for _, target := range []int{1, 2} {
		for _, a := range s.handle(control.LinkDown{Peer: id(target), Failed: true}) {
			s.reply(a)
		}
		s.run(300*time.Millisecond, 3, 4)
		s.suspect(3, target)
	}
	s.run(5*time.Second, 3, 4)
	if s.state(1) != model.StateGone || s.state(2) != model.StateLive {
		t.Errorf("states %s and %s of two suspected among four, want gone and live", s.state(1), s.state(2))
	}
}

func TestShortIncomingLinkEndStartsNoCheck(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{shortLinkAge / 2, false}, {2 * shortLinkAge, true}} {
		s := newSingleNode(2)
		s.handle(control.LinkUp{Peer: instance(3, 1, model.StateLive)})
		s.run(c.age, 1, 2, 3)
		s.handle(control.LinkDown{Peer: id(3), Failed: true})
		if got := s.c.checks.find(id(3)) != nil; got != c.want {
			t.Errorf("checked %t when a link ended after %s", got, c.age)
		}
	}
}
