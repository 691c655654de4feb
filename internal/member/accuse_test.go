package member

import (
	"testing"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func TestAccusersMustBeTwo(t *testing.T) {
	s := newSingle(4)
	for _, a := range s.handle(control.LinkDown{Peer: id(1), Failed: true}) {
		s.answer(a)
	}
	s.run(5*time.Second, 2, 3, 4)
	if !recorded(s.actions, event.MemberSuspected) || s.state(1) != model.StateLive {
		t.Fatalf("one accuser, itself: state %s", s.state(1))
	}
	s.accuse(2, 1)
	s.run(refuteWindow/2, 2, 3, 4)
	if s.state(1) != model.StateLive {
		t.Fatal("declared before it could object")
	}
	s.run(refuteWindow, 2, 3, 4)
	if s.state(1) != model.StateGone {
		t.Errorf("two accusers: state %s", s.state(1))
	}
}

func TestRepeatedAccusationOfOneObserverCountsOnce(t *testing.T) {
	s := newSingle(4)
	for range 3 {
		s.accuse(2, 1)
	}
	s.run(5*time.Second, 1, 2, 3, 4)
	if s.state(1) != model.StateLive || len(s.c.checks.accusedOf(id(1)).observers) != 1 {
		t.Errorf("state %s with one accuser", s.state(1))
	}
}

func TestOnlyObserversDeclare(t *testing.T) {
	s := newSingle(4)
	s.accuse(2, 1)
	s.accuse(3, 1)
	s.run(10*time.Second, 1, 2, 3, 4)
	if s.state(1) != model.StateLive {
		t.Error("declared by a node that reaches it")
	}
}

func TestNewerWordOfTheAccusedRefutes(t *testing.T) {
	s := newSingle(4)
	for _, a := range s.handle(control.LinkDown{Peer: id(1), Failed: true}) {
		s.answer(a)
	}
	s.run(300*time.Millisecond, 2, 3, 4)
	s.accuse(2, 1)
	r := recordOf(instance(1, 1, model.StateLive))
	r.Counter = 1
	s.handle(control.Received{From: id(3), Message: wire.Rumours{Records: []wire.MemberRecord{r}}})
	s.run(5*time.Second, 2, 3, 4)
	if s.state(1) != model.StateLive {
		t.Error("declared although it objected")
	}
}

func TestAccusationAgainstItselfIsRefuted(t *testing.T) {
	s := newSingle(2)
	s.accuse(1, 0)
	if got := s.c.self().Counter; got != 1 || !recorded(s.actions, event.SuspicionRefuted) {
		t.Errorf("counter %d", got)
	}
}

func TestWokenNodeSuspectsNobodyAndKeepsItsLinks(t *testing.T) {
	s := newSingle(4)
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

func TestAccusationsWithinADataCentreAreBounded(t *testing.T) {
	s := newSingle(2*maxSuspects + 2)
	for target := 3; target <= 2*maxSuspects+2; target++ {
		s.accuse(2, target)
	}
	told := map[model.InstanceID]bool{}
	for _, a := range s.handle(control.Tick{}) {
		if send, ok := a.(control.Send); ok {
			if r, ok := send.Message.(wire.Rumours); ok {
				for _, x := range r.Suspicions {
					told[x.Target] = true
				}
			}
		}
	}
	if len(told) != maxSuspects {
		t.Errorf("%d accused were told on, want %d", len(told), maxSuspects)
	}
}

func TestTwoProcessesOfOneNameDoNotOutbidEachOtherWithoutEnd(t *testing.T) {
	s := newSingle(2)
	const minutes = 3
	for range minutes * 60 {
		ghost := s.c.self()
		ghost.Incarnation++
		s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{ghost}}})
		s.run(time.Second, 1, 2)
	}
	raised := 0
	for _, a := range s.actions {
		if _, ok := a.(control.AdoptIncarnation); ok {
			raised++
		}
	}
	if raised < 2 || raised > 10 {
		t.Errorf("raised %d times in %d minutes", raised, minutes)
	}
}

func TestListsAbsenceConfirmsWhatObserversSay(t *testing.T) {
	s := newSingle(4)
	var all []model.Instance
	for i := range 5 {
		all = append(all, instance(i, 1, model.StateLive))
	}
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: all})
	all[1].State = model.StateGone
	s.handle(control.ListRead{Revision: 2, Instances: all[1:2]})
	for _, target := range []int{1, 2} {
		for _, a := range s.handle(control.LinkDown{Peer: id(target), Failed: true}) {
			s.answer(a)
		}
		s.run(300*time.Millisecond, 3, 4)
		s.accuse(3, target)
	}
	s.run(5*time.Second, 3, 4)
	if s.state(1) != model.StateGone || s.state(2) != model.StateLive {
		t.Errorf("states %s and %s of two accused among four, want gone and live", s.state(1), s.state(2))
	}
}

func TestEndOfAPeersShortLinkIsNoCauseForSuspicion(t *testing.T) {
	for _, c := range []struct {
		age  time.Duration
		want bool
	}{{shortLink / 2, false}, {2 * shortLink, true}} {
		s := newSingle(2)
		s.handle(control.LinkUp{Peer: instance(3, 1, model.StateLive)})
		s.run(c.age, 1, 2, 3)
		s.handle(control.LinkDown{Peer: id(3), Failed: true})
		if got := s.c.checks.find(id(3)) != nil; got != c.want {
			t.Errorf("checked %t when a link ended after %s", got, c.age)
		}
	}
}
