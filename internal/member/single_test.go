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
	a := wire.Suspicion{Target: id(target), Incarnation: instance(target, 1, 0).Incarnation, Observer: id(by)}
	s.handle(control.Received{From: id(by), Message: wire.Rumours{Suspicions: []wire.Suspicion{a}}})
}

func TestNodeWithoutTheFleetServesNoSnapshot(t *testing.T) {
	s := newSingle(3)
	s.c.sync.loaded = false
	actions := s.handle(control.Received{From: id(1), Message: wire.SnapshotRequest{}})
	if piece := actions[0].(control.Send).Message.(wire.SnapshotChunk); !piece.Partial || len(piece.Records) > 0 {
		t.Errorf("served %+v", piece)
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
