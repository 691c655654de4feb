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

// singleNode is one controller whose peers are simulated by the test.
type singleNode struct {
	c       *Controller
	board   *blackboard.Board
	now     time.Time
	actions []control.Action
}

// newSingleNode returns a controller with links to instances 1 to linked, all in one data
// centre.
func newSingleNode(linked int) *singleNode {
	s := &singleNode{board: &blackboard.Board{}, now: epoch}
	s.c = New(Config{Self: instance(0, 1, model.StateLive)}, s.board, rand.New(rand.NewPCG(1, 1)))
	s.c.sync.loaded = true
	for i := 1; i <= linked; i++ {
		s.handle(control.LinkUp{Peer: instance(i, 1, model.StateLive), Outgoing: true})
	}
	return s
}

func id(i int) model.InstanceID { return instance(i, 1, 0).ID }

func (s *singleNode) handle(ev control.Event) []control.Action {
	out := s.c.Handle(s.now, ev)
	s.actions = append(s.actions, out...)
	return out
}

// run ticks for d, with one heartbeat per second from each of the given peers. Probes
// without a target are answered.
func (s *singleNode) run(d time.Duration, peers ...int) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(control.TickInterval)
		if s.now.Sub(epoch)%time.Second == 0 {
			for _, p := range peers {
				s.handle(control.Received{From: id(p), Message: wire.Heartbeat{Clock: 1}})
			}
		}
		for _, a := range s.handle(control.Tick{}) {
			s.reply(a)
		}
	}
}

func (s *singleNode) reply(a control.Action) {
	switch a := a.(type) {
	case control.Send:
		if a.Message == wire.Message(wire.Probe{}) {
			s.handle(control.Received{From: a.To, Message: wire.ProbeReply{}})
		}
	case control.OpenLink:
		s.handle(control.LinkDown{Peer: a.Peer, Failed: true})
	}
}

func (s *singleNode) state(i int) model.UpstreamState { return (&node{board: s.board}).state(id(i)) }

func (s *singleNode) suspect(by, target int) {
	a := wire.Suspicion{Target: id(target), Incarnation: instance(target, 1, 0).Incarnation, Observer: id(by)}
	s.handle(control.Received{From: id(by), Message: wire.Rumours{Suspicions: []wire.Suspicion{a}}})
}

func TestNodeWithoutTheFleetServesNoSnapshot(t *testing.T) {
	s := newSingleNode(3)
	s.c.sync.loaded = false
	actions := s.handle(control.Received{From: id(1), Message: wire.SnapshotRequest{}})
	if chunk := actions[0].(control.Send).Message.(wire.SnapshotChunk); !chunk.Partial || len(chunk.Records) > 0 {
		t.Errorf("served %+v", chunk)
	}
}

func TestMalformedRecordEventsAreRateLimited(t *testing.T) {
	s := newSingleNode(1)
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

func TestClosingOwnLinkKeepsPeersLink(t *testing.T) {
	s := newSingleNode(1)
	s.handle(control.LinkUp{Peer: instance(1, 1, model.StateLive)})
	s.c.closeLink(s.now, s.c.links.get(id(1)))
	s.handle(control.LinkDown{Peer: id(1)})
	s.run(closedLinkMemory+time.Second, 1)
	if links := s.c.Links(); len(links) != 1 || links[0].Outgoing {
		t.Errorf("links %+v, want the one that the peer opened", links)
	}
}

func TestLeavingInstancesAreLinkedAsLastResort(t *testing.T) {
	s := newSingleNode(1)
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

func TestLinkDownEndsAllLinksToPeer(t *testing.T) {
	s := newSingleNode(1)
	s.handle(control.LinkUp{Peer: instance(1, 1, model.StateLive)})
	s.handle(control.LinkDown{Peer: id(1)})
	if links := s.c.Links(); len(links) != 0 {
		t.Errorf("links %+v after the end of the last", links)
	}
}

func TestPeersLinkIsUsedAfterOwnLinkCloses(t *testing.T) {
	s := newSingleNode(1)
	s.c.closeLink(s.now, s.c.links.get(id(1)))
	s.run(closingGrace+time.Second, 1)
	if links := s.c.Links(); len(links) != 1 || links[0].Outgoing {
		t.Errorf("links %+v, want the one that the peer opened", links)
	}
}

func TestLateHeartbeatAfterLinkDownOpensNoLink(t *testing.T) {
	s := newSingleNode(1)
	s.handle(control.LinkDown{Peer: id(1)})
	s.handle(control.Received{From: id(1), Message: wire.Heartbeat{Clock: 1}})
	if links := s.c.Links(); len(links) != 0 {
		t.Errorf("links %+v after the end of the only one", links)
	}
}
