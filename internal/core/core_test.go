package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

var epoch = time.Unix(1_700_000_000, 0)

const testBundle = `
name = "test"
version = 1
[measuring]
per_upstream_per_second = 100.0
[[class]]
name = "view"
worth = 1.0
deadline_ms = 1000
[[service]]
name = "ledger"
slots = 20
connections = 40
[[service.route]]
path = "/ledger"
class = "view"
[[service]]
name = "vouchers"
slots = 20
connections = 40
[[service.route]]
path = "/"
class = "view"
`

// instances returns n live instances of a service as in the platform's list.
func instances(service model.ServiceName, n int) []model.Instance {
	out := make([]model.Instance, n)
	for i := range out {
		out[i] = model.Instance{
			ID: model.InstanceID(fmt.Sprintf("%s-%05d", service, i)), Service: service, DataCentre: "dc",
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7000", i>>8, i&0xff), State: model.StateLive,
		}
	}
	return out
}

// testNode is the node ledger-00000 on a fake clock.
type testNode struct {
	*Node
	now time.Time
}

// newTestNode returns a live node that has read the test bundle and the list.
func newTestNode(t *testing.T, list ...model.Instance) *testNode {
	t.Helper()
	self := instances("ledger", 1)[0]
	self.State = model.StateCold
	self.Incarnation = 1
	random := uint64(0)
	r := &testNode{now: epoch, Node: New(Config{Self: self, Started: epoch, Random: func() uint64 { random += 1 << 57; return random }})}
	b, err := bundle.Parse("test.toml", []byte(testBundle))
	if err != nil {
		t.Fatal(err)
	}
	r.Board.Bundles.Put(bundle.NewSet([]*bundle.Bundle{b}))
	r.Handle(r.now, control.SelfStateChanged{State: model.StateLive})
	r.Handle(r.now, control.ListRead{Revision: 1, Full: true, Instances: append(instances("ledger", 1), list...)})
	r.advance(2 * time.Second)
	return r
}

// advance moves the clock by d and returns the actions of the last tick.
func (r *testNode) advance(d time.Duration) []control.Action {
	var last []control.Action
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(control.TickInterval)
		last = r.Handle(r.now, control.Tick{}).Actions
	}
	return last
}

func TestLargeFleetDelaysRebuild(t *testing.T) {
	for _, tt := range []struct {
		known int
		wait  time.Duration
	}{{10, 0}, {10_000, 500 * time.Millisecond}} {
		t.Run(fmt.Sprint(tt.known), func(t *testing.T) {
			r := newTestNode(t, instances("vouchers", tt.known-1)...)
			first, late := instances("first", 1)[0], instances("late", 1)[0]
			routedAt := func(in model.Instance, revision uint64) time.Time {
				r.Handle(r.now, control.ListRead{Revision: revision, Instances: []model.Instance{in}})
				for end := r.now.Add(time.Minute); r.now.Before(end); r.advance(control.TickInterval) {
					if _, ok := r.Table.Pick(r.now, &route.Query{Service: in.Service}); ok {
						return r.now
					}
				}
				t.Fatalf("no request is routed to %s after a minute", in.ID)
				return time.Time{}
			}
			before := routedAt(first, 2)
			gap := routedAt(late, 3).Sub(before)
			if gap < tt.wait || gap > tt.wait+2*control.TickInterval {
				t.Errorf("the next rebuild took %s, want %s plus at most two ticks", gap, tt.wait)
			}
		})
	}
}

func TestGreaterIncarnationIsAdopted(t *testing.T) {
	r := newTestNode(t, instances("vouchers", 1)...)
	peer := r.Board.Fleet.Get().Instances[1]
	r.Handle(r.now, control.LinkUp{Peer: peer, Outgoing: true})
	stale := wire.MemberRecord{ID: "ledger-00000", Service: "ledger", DataCentre: "dc", PeerAddress: "10.0.0.0:7000", Incarnation: 7, State: model.StateGone, Counter: 3}
	out := r.Handle(r.now, control.Received{From: peer.ID, Message: wire.Rumours{Records: []wire.MemberRecord{stale}}})
	for _, a := range out.Actions {
		if adopt, ok := a.(control.AdoptIncarnation); ok {
			t.Errorf("the core returned %+v as an action", adopt)
		}
	}
	self := r.Board.Self.Get().Instance
	target, _ := r.Board.Bundles.Get().Match("GET", "/ledger")
	call := r.Engine.Begin(r.now, entry.Request{ID: "r1", Target: target, Timeout: time.Second})
	got := []model.Incarnation{self.Incarnation, r.Owner.Report(r.now).Incarnation, call.Next(r.now).Attempt.OwnerIncarnation}
	if diff := cmp.Diff([]model.Incarnation{8, 8, 8}, got); diff != "" {
		t.Errorf("incarnations in the board, the owner's report and an attempt (-want +got):\n%s", diff)
	}
	if self.State != model.StateLive {
		t.Errorf("state %s, want live", self.State)
	}
}

func TestProbesGoToCalledServicesOnly(t *testing.T) {
	r := newTestNode(t, append(instances("ledger", 5)[1:], instances("vouchers", 40)...)...)
	probed := map[model.InstanceID]bool{}
	for range 200 {
		r.Table.Sent(r.now, "ledger-00001")
		for _, a := range r.advance(control.TickInterval) {
			direct, ok := a.(control.SendDirect)
			if !ok {
				continue
			}
			if _, ok := direct.Message.(wire.LoadProbe); ok {
				probed[direct.To.ID] = true
			}
		}
	}
	want := map[model.InstanceID]bool{"ledger-00001": true, "ledger-00002": true, "ledger-00003": true, "ledger-00004": true}
	if diff := cmp.Diff(want, probed); diff != "" {
		t.Errorf("probed in 20 s (-want +got):\n%s", diff)
	}
}

func TestLeavingHomeNodeHandsOverKeys(t *testing.T) {
	const keys = 1200
	r := newTestNode(t, instances("ledger", 3)[1:]...)
	for i := range keys {
		a := model.Attempt{
			ID: model.AttemptID{Entry: "vouchers-00000", Incarnation: 1, Sequence: uint64(i)}, Request: model.RequestID(fmt.Sprintf("payout-%04d", i)),
			CallerKey: true, OwnerIncarnation: 1, OwnerClock: r.Owner.Report(r.now).Clock, Class: "view", Remaining: time.Second, Worth: 1,
		}
		if v, refusal := r.Owner.Offer(r.now, &a, false); v != owner.Start {
			t.Fatalf("offer: %v %+v", v, refusal)
		}
		r.Owner.Finish(r.now, a.ID, owner.Completion{Status: 200, ServiceTime: time.Millisecond})
	}
	out := r.Handle(r.now, control.SelfStateChanged{State: model.StateLeaving})
	handedOver := map[model.RequestID]bool{}
	for _, a := range out.Actions {
		direct, ok := a.(control.SendDirect)
		if !ok {
			continue
		}
		batch, ok := direct.Message.(wire.KeyHandover)
		if !ok {
			continue
		}
		if n := len(batch.Keys); n > wire.MaxHandoverKeys {
			t.Errorf("%d keys in one message", n)
		}
		for _, k := range batch.Keys {
			home, _ := r.Table.NextHome(r.now, &route.Query{Service: "ledger"}, k.Request, []model.InstanceID{"ledger-00000"})
			if direct.To.ID != home.Instance.ID || handedOver[k.Request] {
				t.Fatalf("key %s sent to %s, home node %s, sent before: %v", k.Request, direct.To.ID, home.Instance.ID, handedOver[k.Request])
			}
			handedOver[k.Request] = true
		}
	}
	if len(handedOver) != keys {
		t.Errorf("%d keys handed over, want %d", len(handedOver), keys)
	}
}

// listedIncarnation returns a directory read that lists the test node's worker.
func listedIncarnation(id model.WorkerID, started int64, created, revision uint64) control.DirectoryRead {
	in := instances("ledger", 1)[0]
	in.Worker = id
	in.WorkerStarted = started
	return control.DirectoryRead{Revision: revision, Listed: []model.Listing{{Created: created, Revision: revision, Instance: in}}}
}

func TestNewWorkerIncarnationWarmsUp(t *testing.T) {
	self := instances("ledger", 1)[0]
	self.State, self.Incarnation = model.StateCold, 1
	n := New(Config{Self: self, Started: epoch, FollowsDirectory: true})
	now := epoch
	handle := func(ev control.Event) { n.Handle(now, ev) }
	b := &bundle.Bundle{Name: "operator", Version: 1, Services: []bundle.Service{{Name: "ledger", Slots: 20, QueueLimit: 10, WarmupMs: 2000}}}
	handle(control.SelfStateChanged{State: model.StateLive})
	handle(control.DirectoryRead{Revision: 1, Bundle: b})
	limits := []uint16{}
	for i, read := range []control.DirectoryRead{
		listedIncarnation("w1", 0, 2, 2),
		listedIncarnation("w1", 0, 2, 3),
		listedIncarnation("w1", 17, 2, 4),
		listedIncarnation("w2", 17, 5, 5),
		listedIncarnation("w2", 17, 5, 6),
	} {
		now = epoch.Add(time.Duration(i+1) * 10 * time.Second)
		handle(read)
		limits = append(limits, n.Owner.Report(now).Limit)
	}
	if diff := cmp.Diff([]uint16{20, 20, 2, 2, 20}, limits); diff != "" {
		t.Errorf("limits after each directory read (-want +got):\n%s", diff)
	}
}

// directoryNode returns a live node that follows a directory, and a function that returns its
// owner's state after an event.
func directoryNode() (*Node, func(control.Event) model.UpstreamState) {
	self := instances("ledger", 1)[0]
	self.State, self.Incarnation = model.StateCold, 1
	n := New(Config{Self: self, Started: epoch, FollowsDirectory: true})
	now := epoch
	state := func(ev control.Event) model.UpstreamState {
		now = now.Add(10 * time.Second)
		n.Handle(now, ev)
		return n.Owner.Report(now).State
	}
	state(control.SelfStateChanged{State: model.StateLive})
	state(control.DirectoryRead{Revision: 1, Bundle: &bundle.Bundle{
		Name: "operator", Version: 1, Services: []bundle.Service{{Name: "ledger", Slots: 20, QueueLimit: 10}, {Name: "vouchers", Slots: 20}},
	}})
	return n, state
}

func TestUnlistedReplacementWorkerGetsNothing(t *testing.T) {
	_, state := directoryNode()
	got := []model.UpstreamState{
		state(listedIncarnation("w1", 0, 2, 2)),
		state(control.WorkerIdentified{Worker: "w1"}),
		state(control.WorkerIdentified{Worker: "w2"}),
		state(control.Tick{}),
		state(listedIncarnation("w2", 0, 3, 3)),
		// The ID that the worker reported before the directory's latest change no longer
		// counts.
		state(listedIncarnation("w3", 0, 4, 4)),
	}
	live, cold := model.StateLive, model.StateCold
	if diff := cmp.Diff([]model.UpstreamState{live, live, cold, cold, live, live}, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}

// An owner took a worker of another service, which had been given the address of its own
// worker, for its own: that worker ran requests of processes with an older view.
func TestWorkerOfAnotherServiceAtOwnAddressIsNotUsed(t *testing.T) {
	n, state := directoryNode()
	foreign := listedIncarnation("w2", 0, 4, 4)
	foreign.Listed[0].Instance.Service = "vouchers"
	foreign.Unlisted = []model.Unlisted{{Worker: "w1", Revision: 3}}
	got := []model.UpstreamState{
		state(listedIncarnation("w1", 0, 2, 2)),
		state(control.WorkerIdentified{Worker: "w2"}),
		state(foreign),
		state(control.Tick{}),
	}
	live, cold := model.StateLive, model.StateCold
	if diff := cmp.Diff([]model.UpstreamState{live, cold, cold, cold}, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	// An attempt that was admitted before still names the worker that it was meant for.
	if got := n.Worker(); got != "w1" {
		t.Errorf("attempts name worker %q, want %q", got, "w1")
	}
}
