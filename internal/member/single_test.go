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

// single is one controller whose peers are played by the test.
type single struct {
	c       *Controller
	board   *blackboard.Board
	now     time.Time
	actions []control.Action
}

// newSingle returns a controller that has links to instances 1 to linked, all of
// one data centre.
func newSingle(linked int) *single {
	s := &single{board: &blackboard.Board{}, now: epoch}
	s.c = New(Config{Self: instance(0, 1, model.StateLive)}, s.board, rand.New(rand.NewPCG(1, 1)))
	s.c.sync.loaded = true
	for i := 1; i <= linked; i++ {
		s.handle(control.LinkUp{Peer: instance(i, 1, model.StateLive), Outgoing: true})
	}
	return s
}

func id(i int) model.InstanceID { return instance(i, 1, 0).ID }

func (s *single) handle(ev control.Event) []control.Action {
	out := s.c.Handle(s.now, ev)
	s.actions = append(s.actions, out...)
	return out
}

// run ticks for d, with a heartbeat a second from each of the peers. Probes
// without a target are answered.
func (s *single) run(d time.Duration, peers ...int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(control.TickInterval)
		if s.now.Sub(epoch)%time.Second == 0 {
			for _, p := range peers {
				s.handle(control.Received{From: id(p), Message: wire.Heartbeat{Clock: 1}})
			}
		}
		for _, a := range s.handle(control.Tick{}) {
			s.answer(a)
		}
	}
}

func (s *single) answer(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		if a.Message == wire.Message(wire.Probe{}) {
			s.handle(control.Received{From: a.To, Message: wire.ProbeReply{}})
		}
	case control.OpenLink:
		s.handle(control.LinkDown{Peer: a.Peer, Failed: true})
	}
}

func (s *single) state(i int) model.UpstreamState { return (&node{board: s.board}).state(id(i)) }

func (s *single) accuse(by, target int) {
	a := wire.Accusation{Target: id(target), Incarnation: instance(target, 1, 0).Incarnation, Observer: id(by)}
	s.handle(control.Received{From: id(by), Message: wire.Rumours{Accusations: []wire.Accusation{a}}})
}

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
	s.handle(control.CallFailed{Peer: id(1)})
	s.run(2 * time.Second)
	if recorded(s.actions, event.MemberSuspected) || len(s.c.Links()) != 4 {
		t.Errorf("%d links and actions %v just after a pause", len(s.c.Links()), s.actions)
	}
}

func TestSecondFullListThatLacksMostRemovesNobody(t *testing.T) {
	s := newSingle(1)
	var all []model.Instance
	for i := range 9 {
		listed := instance(i+10, 1, model.StateLive)
		listed.Incarnation = 0
		all = append(all, listed)
	}
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: all})
	s.handle(control.ListRead{Revision: 2, Full: true, Instances: all[:5]})
	if len(s.c.reaper.due) > 0 || !recorded(s.actions, event.ListDistrusted) {
		t.Errorf("%d instances are to be removed", len(s.c.reaper.due))
	}
	s.handle(control.ListRead{Revision: 3, Full: true, Instances: all[:8]})
	if len(s.c.reaper.due) != 1 {
		t.Errorf("%d instances are to be removed, want 1", len(s.c.reaper.due))
	}
}

func TestFirstWordOfTheListDoesNotOverruleTheOwners(t *testing.T) {
	s := newSingle(1)
	s.handle(control.ListRead{Revision: 5, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLeaving)}})
	if s.state(1) != model.StateLive {
		t.Errorf("state %s by a list that may speak of an earlier life", s.state(1))
	}
}

func TestLinkSupportsAnInstanceThatTheListLacks(t *testing.T) {
	s := newSingle(2)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLive), instance(2, 1, model.StateLive)}})
	s.handle(control.ListRead{Revision: 2, Full: true, Instances: []model.Instance{instance(2, 1, model.StateLive)}})
	s.run(supportFor+2*reapSpread, 1, 2)
	if s.state(1) != model.StateLive {
		t.Errorf("state %s although its link shows it alive", s.state(1))
	}
}

func TestAgeOfABeaconIncludesItsWaitInABuffer(t *testing.T) {
	s := newSingle(1)
	s.run(time.Second, 1)
	sent := s.c.clock(s.now)
	s.run(3 * time.Second)
	s.c.list.timer.Own(s.now.Add(-time.Minute), true)
	s.handle(control.Received{From: id(1), Message: wire.ListBeacon{Echo: sent, List: wire.ListAges{Attempt: 1, Confirmed: 1}}})
	if age := s.now.Sub(s.c.ListConfirmed()); age < 3*time.Second {
		t.Errorf("confirmed %s ago by a message that was sent 3 s ago", age)
	}
}

func TestOwnerThatTheListLacksSaysThatItLives(t *testing.T) {
	s := newSingle(1)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(0, 1, model.StateLive)}})
	s.handle(control.ListRead{Revision: 2, Full: true})
	before := s.c.self().Counter
	s.run(2*reaffirmAfter, 1)
	if after := s.c.self().Counter; after == before || after > before+2 {
		t.Errorf("counter %d, %s later %d", before, 2*reaffirmAfter, after)
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
				for _, x := range r.Accusations {
					told[x.Target] = true
				}
			}
		}
	}
	if len(told) != maxSuspects {
		t.Errorf("%d accused were told on, want %d", len(told), maxSuspects)
	}
}

func TestNodeWithoutTheFleetServesNoSnapshot(t *testing.T) {
	s := newSingle(3)
	s.c.sync.loaded = false
	actions := s.handle(control.Received{From: id(1), Message: wire.SnapshotRequest{}})
	if piece := actions[0].(control.Send).Message.(wire.SnapshotPiece); !piece.Partial || len(piece.Records) > 0 {
		t.Errorf("served %+v", piece)
	}
}

func TestFreshNodeWithSeedsWaitsBeforeItReadsTheList(t *testing.T) {
	board := &blackboard.Board{}
	c := New(Config{Self: instance(0, 1, model.StateLive), Seeds: []string{"10.0.0.9:1"}}, board, rand.New(rand.NewPCG(1, 1)))
	s := &single{c: c, board: board, now: epoch}
	s.run(startGrace - control.TickInterval)
	if _, ok := s.readSince(); ok {
		t.Error("read the list before a peer could answer")
	}
	s.run(2 * time.Second)
	if since, ok := s.readSince(); !ok || since != 0 {
		t.Error("did not read the whole list without a peer")
	}
}

// readSince returns the revision that the first read of the list starts from.
func (s *single) readSince() (since uint64, ok bool) {
	for _, a := range s.actions {
		if r, ok := a.(control.ReadList); ok {
			return r.Since, true
		}
	}
	return 0, false
}

func TestReadStartsFromARevisionThatHasHadTimeToSpread(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		want uint64
	}{{settleTime / 4, 4}, {settleTime + time.Second, 9}} {
		s := newSingle(1)
		hear := func(revision uint64) {
			ages := wire.ListAges{Attempt: 1, Confirmed: 1, Revision: revision}
			s.handle(control.Received{From: id(1), Message: wire.Heartbeat{Clock: 1, List: ages}})
		}
		hear(4)
		s.now = s.now.Add(settleTime + time.Second)
		hear(9)
		s.now = s.now.Add(c.wait)
		hear(9)
		s.run(5*time.Second, 1)
		if since, ok := s.readSince(); !ok || since != c.want {
			t.Errorf("read since %d %s after revision 9 was heard of, want %d", since, c.wait, c.want)
		}
	}
}

func TestTombstoneIsKeptWhileTheListNamesTheInstance(t *testing.T) {
	s := newSingle(2)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLive)}})
	gone := recordOf(instance(1, 1, model.StateGone))
	s.handle(control.Received{From: id(2), Message: wire.Rumours{Records: []wire.MemberRecord{gone}}})
	s.run(tombstoneFor + time.Minute)
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{instance(1, 1, model.StateLive)}})
	if s.state(1) != model.StateGone {
		t.Errorf("state %s by a list that never changed", s.state(1))
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

func TestFloodOfMalformedRecordsIsLoggedOnceInAWhile(t *testing.T) {
	s := newSingle(1)
	for range 100 {
		s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{{}}}})
	}
	logged := 0
	for _, a := range s.actions {
		if r, ok := a.(control.Record); ok && r.Event == event.MemberMalformed {
			logged++
		}
	}
	if logged != 1 {
		t.Errorf("logged %d times", logged)
	}
}

func TestClosedOwnChannelKeepsThePeers(t *testing.T) {
	s := newSingle(1)
	s.handle(control.LinkUp{Peer: instance(1, 1, model.StateLive)})
	s.c.closeLink(s.now, s.c.links.get(id(1)))
	s.handle(control.LinkDown{Peer: id(1)})
	s.run(closingLimit+time.Second, 1)
	if links := s.c.Links(); len(links) != 1 || links[0].Outgoing {
		t.Errorf("links %+v, want the one that the peer opened", links)
	}
}

func TestLeavingInstancesAreLinkedWhenNoOtherIsLeft(t *testing.T) {
	s := newSingle(1)
	for _, i := range []int{2, 3} {
		r := recordOf(instance(i, 1, model.StateLeaving))
		s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{r}}})
	}
	s.run(3*time.Second, 1)
	opened := map[model.InstanceID]bool{}
	for _, a := range s.actions {
		if o, ok := a.(control.OpenLink); ok {
			opened[o.Peer] = true
		}
	}
	if !opened[id(2)] || !opened[id(3)] {
		t.Errorf("opened links to %v only, so a few serving nodes could be cut off", opened)
	}
}

func TestOneEndStandsForAllLinksToAPeer(t *testing.T) {
	s := newSingle(1)
	s.handle(control.LinkUp{Peer: instance(1, 1, model.StateLive)})
	s.handle(control.LinkDown{Peer: id(1)})
	if links := s.c.Links(); len(links) != 0 {
		t.Errorf("links %+v after the end of the last", links)
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

func TestListsRemovalKeepsWhatIsKnownOfAnInstance(t *testing.T) {
	s := newSingle(1)
	listed := instance(9, 1, model.StateLive)
	listed.Incarnation = 0
	s.handle(control.ListRead{Revision: 1, Full: true, Instances: []model.Instance{listed}})
	s.handle(control.ListRead{Revision: 2, Instances: []model.Instance{{ID: listed.ID, State: model.StateGone}}})
	r, _ := s.c.table.get(listed.ID)
	if r.PeerAddress != listed.PeerAddress || r.ListMark != wire.ListAbsent {
		t.Errorf("record %+v", r)
	}
}

func TestPeersOwnLinkIsUsedSoonAfterThisNodesWasClosed(t *testing.T) {
	s := newSingle(1)
	s.c.closeLink(s.now, s.c.links.get(id(1)))
	s.run(closingGrace+time.Second, 1)
	if links := s.c.Links(); len(links) != 1 || links[0].Outgoing {
		t.Errorf("links %+v, want the one that the peer opened", links)
	}
}

func TestHeartbeatThatOvertookALinksEndOpensNone(t *testing.T) {
	s := newSingle(1)
	s.handle(control.LinkDown{Peer: id(1)})
	s.handle(control.Received{From: id(1), Message: wire.Heartbeat{Clock: 1}})
	if links := s.c.Links(); len(links) != 0 {
		t.Errorf("links %+v after the end of the only one", links)
	}
}

func TestNewerListThatSaysLiveOverrulesAnOlderLeavingThatComesLate(t *testing.T) {
	s := newSingle(1)
	own := s.c.self()
	own.ListRevision, own.ListMark = 9, wire.ListLive
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{own}}})
	own.ListRevision, own.ListMark, own.State = 8, wire.ListLeaving, model.StateLeaving
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{own}}})
	if got := s.c.self(); got.State != model.StateLive || got.Incarnation <= own.Incarnation {
		t.Errorf("own record %+v", got)
	}
}

func TestOwnerThatTheListMarksLeavingStaysKnownWhenDeclaredGone(t *testing.T) {
	s := newSingle(1)
	own := s.c.self()
	own.ListRevision, own.ListMark, own.State = 8, wire.ListLeaving, model.StateLeaving
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{own}}})
	gone := own
	gone.State = model.StateGone
	s.handle(control.Received{From: id(1), Message: wire.Rumours{Records: []wire.MemberRecord{gone}}})
	if got := s.c.self(); got.State != model.StateLeaving || got.Incarnation <= own.Incarnation {
		t.Errorf("own record %+v", got)
	}
}
