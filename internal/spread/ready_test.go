package spread

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

// fleetOf is a view of n instances.
func fleetOf(n int) *model.Fleet { return &model.Fleet{Instances: make([]model.Instance, n)} }

func freshSingle(fleetSize int) *single {
	s := &single{board: &blackboard.Board{}, now: epoch}
	s.board.Fleet.Put(fleetOf(fleetSize))
	s.c = New(Config{Self: model.Instance{ID: "self"}, Trusted: trusted}, s.board, rand.New(rand.NewPCG(2, 2)))
	return s
}

func TestFreshNodeThatReachesNobodyIsNotReady(t *testing.T) {
	s := freshSingle(10)
	for range 600 {
		out := s.wait(control.TickInterval)
		if hasAction(out, control.ReadIndex{}) {
			s.handle(control.IndexReadFailed{})
		}
	}
	if s.c.Ready() || len(s.c.Missing()) == 0 || s.board.Bundles.Get() != nil {
		t.Errorf("ready %v, missing %v", s.c.Ready(), s.c.Missing())
	}
}

func TestFreshNodeOnThePlatformsWordAloneIsUnconfirmed(t *testing.T) {
	s := freshSingle(10)
	s.readIndex(model.BundleVersion{Name: "a", Version: 1})
	out := s.wait(2 * time.Second)
	if !hasAction(out, control.ReadValue{Name: "a"}) {
		t.Fatal("the value was not read")
	}
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 1, 0)})
	out = s.wait(aloneWait)
	if !s.c.Ready() || recorded(out, event.BundlesReadyAlone) != 1 || !s.c.Confirmed().IsZero() {
		t.Fatalf("ready %v, confirmed %s, missing %v", s.c.Ready(), s.c.Confirmed(), s.c.Missing())
	}
	s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	asked := sentTo[wire.BundleCompare](s.wait(2*compareInterval), "p")
	if len(asked) == 0 {
		t.Fatal("the peer was not asked")
	}
	last := asked[len(asked)-1]
	s.from("p", wire.BundleCompareReply{Nonce: last.Nonce, Digest: last.Digest, Settled: true})
	if s.c.Confirmed().IsZero() {
		t.Error("unconfirmed although a peer holds the same")
	}
}

func TestFreshNodeWaitsForWhatAPeerHolds(t *testing.T) {
	s := freshSingle(10)
	out := s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	nonce := sentTo[wire.BundleCompare](out, "p")[0].Nonce
	s.from("p", wire.BundleCompareReply{Nonce: nonce, Digest: 1, Settled: true, Buckets: append([]uint64{1}, make([]uint64, 63)...)})
	newest := wire.BundleList{Nonce: nonce, Buckets: 1, Held: []wire.HeldBundle{{Name: "a", Version: 2, Content: 1}}}
	if out := s.from("p", newest); len(sentTo[wire.BundleWant](out, "p")) != 1 {
		t.Fatal("the peer was not asked for its bundle")
	}
	s.readIndex(model.BundleVersion{Name: "a", Version: 1})
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 1, 0)})
	s.wait(5 * time.Second)
	if s.c.Ready() || s.board.Bundles.Get() != nil {
		t.Fatal("ready with the platform's older version")
	}
	s.from("p", packedBody("a", 2, signed("a", 2, 0)))
	if !s.c.Ready() || s.inForce() != 2 {
		t.Errorf("missing %v", s.c.Missing())
	}
}

func TestReadyWithPeersWhileThePlatformIsDown(t *testing.T) {
	f := settledFleet(t, 10)
	f.platform.down = true
	f.restart(f.nodes[4])
	f.linkSome(f.nodes[4], 4, f.nodes)
	f.wantAll(t, f.nodes, 1, bound)
}

func TestWholeFleetStartsOnThePlatformsWord(t *testing.T) {
	f := newFleet(10, 5)
	f.publish("a", 1, 1000)
	f.linkAll(4)
	f.wantAll(t, f.nodes, 1, bound)
	f.run(compareInterval * 2)
	for _, nd := range f.nodes {
		if age := f.now.Sub(nd.c.Confirmed()); age > 5*time.Second {
			t.Errorf("%s was confirmed %s ago", nd.id, age)
		}
	}
}
