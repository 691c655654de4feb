package member

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func (f *fleet) setState(n *node, s model.UpstreamState) {
	f.handle(n, control.SelfStateChanged{State: s})
}

func TestLeavingIsKnownEverywhereWithinASecond(t *testing.T) {
	f := newStableFleet(t, 100, 5, 20*time.Second)
	x := f.nodes[17]
	f.setState(x, model.StateLeaving)
	took := f.until(5*time.Second, func() bool { return f.count(x.inst.ID, model.StateLeaving) == 100 })
	if took > time.Second {
		t.Errorf("known by %d of 100 after %s", f.count(x.inst.ID, model.StateLeaving), took)
	}
}

func TestLeavingSurvivesMessageLossAndIsFinal(t *testing.T) {
	f := newStableFleet(t, 40, 4, 20*time.Second)
	f.loss = 0.3
	x := f.nodes[3]
	f.setState(x, model.StateLeaving)
	f.setState(x, model.StateLive)
	f.setListed(instance(3, 4, model.StateLive))
	f.run(40 * time.Second)
	if k := f.count(x.inst.ID, model.StateLeaving); k != 40 {
		t.Errorf("%d of 40 see it leaving", k)
	}
}

func TestLinksStayBounded(t *testing.T) {
	f := newStableFleet(t, 60, 3, 30*time.Second)
	for _, n := range f.nodes {
		out, in, other := 0, 0, 0
		for _, l := range n.c.Links() {
			if l.Outgoing {
				out++
			} else {
				in++
			}
			if f.byID[l.Peer].inst.DataCentre != n.inst.DataCentre {
				other++
			}
		}
		if out != outgoingLinks || in > incomingLinks || other == 0 {
			t.Errorf("%s: %d outgoing, %d incoming, %d to other data centres", n.inst.ID, out, in, other)
		}
	}
}

func TestNodeWithTooManyIncomingLinksRejectsMore(t *testing.T) {
	c, actions := newIsolatedController(t)
	for i := range incomingLinks + 1 {
		*actions = c.Handle(epoch, control.LinkUp{Peer: instance(i+1, 1, model.StateLive)})
	}
	var rejected []model.InstanceID
	for _, a := range *actions {
		if s, ok := a.(control.Send); ok && isReject(s.Message) {
			rejected = append(rejected, s.To)
		}
	}
	if diff := cmp.Diff([]model.InstanceID{instance(incomingLinks+1, 1, 0).ID}, rejected); diff != "" {
		t.Error(diff)
	}
}

func isReject(m wire.Message) bool {
	r, ok := m.(wire.LinkReject)
	return ok && len(r.Alternatives) > 0
}

// newIsolatedController returns a controller without peers.
func newIsolatedController(t *testing.T) (*Controller, *[]control.Action) {
	t.Helper()
	c := New(Config{Self: instance(0, 1, model.StateLive)}, &blackboard.Board{}, rand.New(rand.NewPCG(1, 1)))
	return c, &[]control.Action{}
}

func TestSeedsJoinUnlistedNodes(t *testing.T) {
	f := newFleet(1)
	f.listDown = true
	for i := range 10 {
		f.start(instance(i, 2, model.StateLive), instance(0, 2, 0).PeerAddress, "10.9.9.9:1")
	}
	if took := f.until(30*time.Second, func() bool { return f.converged(10) }); took >= 30*time.Second {
		t.Error("no common view after 30 s")
	}
}

func TestFreshNodeLoadsFleetInChunks(t *testing.T) {
	const n = 3*snapshotChunkRecords + 10
	f := newFleet(1)
	f.listDown = true
	old := f.start(instance(0, 3, model.StateLive))
	old.c.sync.loaded = true
	for i := 2; i < n; i++ {
		old.c.table.merge(recordOf(instance(i, 3, model.StateLive)))
	}
	f.start(instance(1, 3, model.StateLive), old.inst.PeerAddress)
	took := f.until(10*time.Second, func() bool { return f.byID[instance(1, 3, 0).ID].c.table.present == n })
	if took > 3*time.Second {
		t.Errorf("%d of %d known after %s", f.nodes[1].c.FleetSize(), n, took)
	}
}

func TestGreaterIncarnationAtPeersIsSuperseded(t *testing.T) {
	f := newStableFleet(t, 6, 2, 10*time.Second)
	x := f.nodes[2]
	ghost := recordOf(x.inst)
	ghost.Incarnation += 5
	f.handle(f.nodes[0], control.Received{From: f.nodes[0].c.Links()[0].Peer, Message: wire.Rumours{Records: []wire.MemberRecord{ghost}}})
	f.run(5 * time.Second)
	if x.inst.Incarnation <= ghost.Incarnation || x.events[event.IncarnationRaised] == 0 {
		t.Errorf("incarnation %d, peers remember %d", x.inst.Incarnation, ghost.Incarnation)
	}
	if !f.converged(6) || f.count(x.inst.ID, model.StateLive) != 6 {
		t.Error("no common view with it live")
	}
}

func TestMalformedRecordsAreDropped(t *testing.T) {
	good := recordOf(instance(1, 1, model.StateLive))
	cases := map[string]func(*wire.MemberRecord){
		"no id":            func(r *wire.MemberRecord) { r.ID = "" },
		"long id":          func(r *wire.MemberRecord) { r.ID = model.InstanceID(make([]byte, maxNameBytes+1)) },
		"long address":     func(r *wire.MemberRecord) { r.PeerAddress = string(make([]byte, maxAddressBytes+1)) },
		"unknown state":    func(r *wire.MemberRecord) { r.State = model.StateGone + 1 },
		"unknown status":   func(r *wire.MemberRecord) { r.ListStatus = wire.ListAbsent + 1 },
		"last incarnation": func(r *wire.MemberRecord) { r.Incarnation = ^model.Incarnation(0) },
	}
	for name, spoil := range cases {
		t.Run(name, func(t *testing.T) {
			c, _ := newIsolatedController(t)
			c.Handle(epoch, control.LinkUp{Peer: instance(2, 1, model.StateLive)})
			bad := good
			spoil(&bad)
			actions := c.Handle(epoch, control.Received{From: instance(2, 1, 0).ID, Message: wire.Rumours{Records: []wire.MemberRecord{bad}}})
			if c.FleetSize() != 2 || !recorded(actions, event.MemberMalformed) {
				t.Errorf("fleet of %d, actions %v", c.FleetSize(), actions)
			}
		})
	}
}

func recorded(actions []control.Action, id event.ID) bool {
	for _, a := range actions {
		if r, ok := a.(control.Record); ok && r.Event == id {
			return true
		}
	}
	return false
}

func TestFleetIsPublishedOnChangeOnly(t *testing.T) {
	f := newStableFleet(t, 8, 2, 20*time.Second)
	before := f.nodes[0].board.Fleet.Changes()
	f.run(30 * time.Second)
	if after := f.nodes[0].board.Fleet.Changes(); after != before {
		t.Errorf("published %d times without a change", after-before)
	}
}

func TestSameSeedGivesTheSameRun(t *testing.T) {
	trace := func() (total, reads int) {
		f := newStableFleet(t, 30, 3, 0)
		f.measure = true
		f.loss = 0.05
		f.run(15 * time.Second)
		for _, n := range f.nodes {
			total += n.bytes
		}
		return total, f.reads
	}
	bytes1, reads1 := trace()
	bytes2, reads2 := trace()
	if bytes1 != bytes2 || reads1 != reads2 {
		t.Errorf("%d bytes and %d reads, then %d and %d", bytes1, reads1, bytes2, reads2)
	}
}

func TestLinksRotateWithoutSuspicion(t *testing.T) {
	f := newStableFleet(t, 10, 2, 20*time.Second)
	before := f.nodes[0].c.Links()
	f.run(2 * rotateMax)
	outgoing := func(links []Link) (out []model.InstanceID) {
		for _, l := range links {
			if l.Outgoing {
				out = append(out, l.Peer)
			}
		}
		return out
	}
	if cmp.Equal(outgoing(before), outgoing(f.nodes[0].c.Links())) {
		t.Error("the outgoing links are the same half an hour later")
	}
	if k := f.eventCount(event.MemberSuspected) + f.eventCount(event.Isolated); k > 0 {
		t.Errorf("%d suspicions in a healthy fleet", k)
	}
}
