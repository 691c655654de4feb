package spread

import (
	"fmt"
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

// fleetOf returns a fleet view of n instances.
func fleetOf(n int) *model.Fleet { return &model.Fleet{Instances: make([]model.Instance, n)} }

func newFreshNode(fleetSize int) *singleNode {
	s := &singleNode{board: &blackboard.Board{}, now: epoch}
	s.board.Fleet.Put(fleetOf(fleetSize))
	s.c = New(Config{Self: model.Instance{ID: "self"}, Trusted: trusted}, s.board, rand.New(rand.NewPCG(2, 2)))
	return s
}

func TestFreshNodeWithoutSourcesIsNotReady(t *testing.T) {
	s := newFreshNode(10)
	for range 600 {
		out := s.wait(control.TickInterval)
		if hasAction(out, control.ReadIndex{}) {
			s.handle(control.IndexReadFailed{})
		}
	}
	if s.c.Ready() || len(s.c.NotReadyReasons()) == 0 || s.board.Bundles.Get() != nil {
		t.Errorf("ready %v, missing %v", s.c.Ready(), s.c.NotReadyReasons())
	}
}

func TestFreshNodeReadyFromConfigServiceOnlyIsUnconfirmed(t *testing.T) {
	s := newFreshNode(10)
	s.readIndex(model.BundleVersion{Name: "a", Version: 1})
	out := s.wait(2 * time.Second)
	if !hasAction(out, control.ReadValue{Name: "a"}) {
		t.Fatal("the value was not read")
	}
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 1, 0)})
	out = s.wait(noPeerWait)
	if !s.c.Ready() || recorded(out, event.BundlesReadyUnconfirmed) != 1 || !s.c.ConfirmedAt().IsZero() {
		t.Fatalf("ready %v, confirmed %s, missing %v", s.c.Ready(), s.c.ConfirmedAt(), s.c.NotReadyReasons())
	}
	s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	comparisons := sentTo[wire.BundleCompare](s.wait(2*compareInterval), "p")
	if len(comparisons) == 0 {
		t.Fatal("no comparison with the peer")
	}
	last := comparisons[len(comparisons)-1]
	s.receive("p", wire.BundleCompareReply{Nonce: last.Nonce, Digest: last.Digest, Ready: true})
	if s.c.ConfirmedAt().IsZero() {
		t.Error("unconfirmed although a peer holds the same versions")
	}
}

func TestFreshNodeWaitsForNewerPeerVersion(t *testing.T) {
	s := newFreshNode(10)
	out := s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	nonce := sentTo[wire.BundleCompare](out, "p")[0].Nonce
	s.receive("p", wire.BundleCompareReply{Nonce: nonce, Digest: 1, Ready: true, Buckets: append([]uint64{1}, make([]uint64, 63)...)})
	newest := wire.BundleList{Nonce: nonce, Buckets: 1, Held: []wire.HeldBundle{{Name: "a", Version: 2, Content: 1}}}
	if out := s.receive("p", newest); len(sentTo[wire.BundleRequest](out, "p")) != 1 {
		t.Fatal("the peer's bundle was not requested")
	}
	s.readIndex(model.BundleVersion{Name: "a", Version: 1})
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 1, 0)})
	s.wait(5 * time.Second)
	if s.c.Ready() || s.board.Bundles.Get() != nil {
		t.Fatal("ready with the older version of the configuration service")
	}
	s.receive("p", packedBody("a", 2, signed("a", 2, 0)))
	if !s.c.Ready() || s.inForce() != 2 {
		t.Errorf("missing %v", s.c.NotReadyReasons())
	}
}

func TestReadyFromPeersDuringConfigOutage(t *testing.T) {
	f := newReadyFleet(t, 10)
	f.platform.down = true
	f.restart(f.nodes[4])
	f.linkSome(f.nodes[4], 4, f.nodes)
	f.checkInForce(t, f.nodes, 1, rollOutLimit)
}

func TestWholeFleetStartsFromConfigService(t *testing.T) {
	f := newFleet(10, 5)
	f.publish("a", 1, 1000)
	f.linkAll(4)
	f.checkInForce(t, f.nodes, 1, rollOutLimit)
	f.run(compareInterval * 2)
	for _, nd := range f.nodes {
		if age := f.now.Sub(nd.c.ConfirmedAt()); age > 5*time.Second {
			t.Errorf("%s was confirmed %s ago", nd.id, age)
		}
	}
}

func TestOneReadyPeerIsNotAQuorum(t *testing.T) {
	s := newFreshNode(10)
	reply := func(id model.InstanceID) {
		nonce := s.c.links.byID[id].compare.nonce
		s.receive(id, wire.BundleCompareReply{Nonce: nonce, Digest: s.c.inForce.digest, Ready: true})
	}
	s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	s.handle(control.LinkUp{Peer: model.Instance{ID: "q"}})
	reply("p")
	s.readIndex()
	if s.wait(epoch.Add(quorumWait).Sub(s.now) - control.TickInterval); s.c.Ready() {
		t.Error("ready before the other linked peer replied")
	}
	if reply("q"); !s.c.Ready() {
		t.Errorf("missing %v", s.c.NotReadyReasons())
	}
}

func TestFreshNodeAsksReadyPeersFirst(t *testing.T) {
	s := newFreshNode(10)
	out := s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	nonce := sentTo[wire.BundleCompare](out, "p")[0].Nonce
	s.receive("p", wire.BundleCompareReply{Nonce: nonce, Digest: s.c.inForce.digest, Ready: true})
	s.readIndex(model.BundleVersion{Name: "a", Version: 1})
	if out := s.wait(peersFirst - control.TickInterval); hasAction(out, control.ReadValue{Name: "a"}) {
		t.Error("read the configuration service at once")
	}
	if out := s.wait(time.Second); !hasAction(out, control.ReadValue{Name: "a"}) {
		t.Error("never read the configuration service")
	}
}

func TestIndexReadSpanningPauseConfirmsNothing(t *testing.T) {
	s := newSingleNode(t)
	for !hasAction(s.tick(), control.ReadIndex{}) {
		s.now = s.now.Add(control.TickInterval)
	}
	before := s.c.timer.LastSuccess()
	s.now = s.now.Add(time.Hour)
	s.handle(control.Paused{For: time.Hour})
	s.handle(control.IndexRead{Versions: []model.BundleVersion{{Name: "a", Version: 5}}})
	if got, timer := s.c.ConfirmedAt(), s.c.timer.LastSuccess(); !got.IsZero() || timer.After(before) {
		t.Errorf("confirmed as of %s, the timer as of %s, before %s", got, timer, before)
	}
	if n := recorded(s.tick(), event.ConfigUnconfirmed); n > 0 {
		t.Error("the pause itself raised an alert")
	}
	s.readIndex(model.BundleVersion{Name: "a", Version: 5})
	if got := s.c.ConfirmedAt(); !got.Equal(s.now) {
		t.Errorf("confirmed as of %s, now is %s", got, s.now)
	}
}

func TestPossiblyDelayedBeaconConfirmsNothing(t *testing.T) {
	events := map[string]control.Event{
		"pause":                     control.Paused{For: time.Hour},
		"link end reported wrongly": control.LinkDown{Peer: "p"},
	}
	for name, ev := range events {
		s := newSingleNode(t, "p")
		before := s.c.ConfirmedAt()
		s.now = s.now.Add(time.Minute)
		out := s.handle(ev)
		beacon := wire.BundleBeacon{ReadDigest: s.c.inForce.digest}
		out = append(out, s.receive("p", beacon)...)
		s.receive("p", wire.BundleCompareReply{Nonce: 1, Digest: s.c.inForce.digest})
		s.receive("p", beacon)
		if got := s.c.ConfirmedAt(); got.After(before) {
			t.Errorf("%s: confirmed as of %s", name, got)
		}
		nonce := sentTo[wire.BundleCompare](out, "p")[0].Nonce
		s.receive("p", wire.BundleCompareReply{Nonce: nonce, Digest: s.c.inForce.digest})
		s.receive("p", beacon)
		if got := s.c.ConfirmedAt(); !got.Equal(s.now) {
			t.Errorf("%s: confirmed as of %s, now is %s", name, got, s.now)
		}
	}
}

func TestBeaconCombinesAttemptAndSuccess(t *testing.T) {
	s := newSingleNode(t, "p")
	s.indexVersions = nil
	out := s.tick()
	for ; !hasAction(out, control.ReadIndex{}); out = s.tick() {
		s.now = s.now.Add(control.TickInterval)
	}
	s.now = s.now.Add(responseWait / 2)
	out = append(out, s.tick()...)
	if got := sentTo[wire.BundleBeacon](out, "p"); len(got) != 0 {
		t.Errorf("beacon of the attempt alone: %+v", got)
	}
	got := sentTo[wire.BundleBeacon](s.handle(control.IndexRead{Versions: []model.BundleVersion{{Name: "a", Version: 5}}}), "p")
	age := uint32((responseWait / 2).Milliseconds())
	want := []wire.BundleBeacon{{AttemptAgeMs: age, SuccessAgeMs: age, ReadAgeMs: age, ReadDigest: s.c.inForce.digest}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestVersionInstalledDuringReadDoesNotMakeItStale(t *testing.T) {
	s := newSingleNode(t, "p")
	for !hasAction(s.tick(), control.ReadIndex{}) {
		s.now = s.now.Add(control.TickInterval)
	}
	s.now = s.now.Add(time.Millisecond)
	s.receive("p", packedBody("a", 6, signed("a", 6, 0)))
	s.handle(control.IndexRead{Versions: []model.BundleVersion{{Name: "a", Version: 5}}})
	if got := s.c.Counters(); got.StaleIndexes != 0 || got.IndexFailures != 0 {
		t.Errorf("counters %+v", got)
	}
}

func TestReadingConfirmsOnlyNodesHoldingItsVersions(t *testing.T) {
	s := newSingleNode(t, "p")
	before := s.c.ConfirmedAt()
	s.readIndex(model.BundleVersion{Name: "a", Version: 6})
	if got := s.c.ConfirmedAt(); !got.Equal(before) {
		t.Errorf("confirmed as of %s by an own reading whose value is missing", got)
	}
	digest := s.c.inForce.digest ^ entryHash(s.c.inForce.items["a"].bundle.VersionID(), s.c.inForce.items["a"].content)
	raw := signed("a", 7, 0)
	got, err := checkSigned("a", raw, trusted)
	if err != nil {
		t.Fatal(err)
	}
	digest ^= entryHash(got.bundle.VersionID(), got.content)
	s.receive("p", wire.BundleBeacon{ReadDigest: digest})
	if got := s.c.ConfirmedAt(); !got.Equal(before) {
		t.Errorf("confirmed as of %s by a peer's reading whose value is missing", got)
	}
	s.receive("p", packedBody("a", 7, raw))
	if got := s.c.ConfirmedAt(); !got.Equal(s.now) {
		t.Errorf("confirmed as of %s, now is %s", got, s.now)
	}
}

func TestUnreadableValueDoesNotBlockReadiness(t *testing.T) {
	f := newFleet(3, 1)
	f.publish("a", 1, 0)
	f.platform.values["gone"] = platformValue{version: 1, fails: true}
	f.linkAll(2)
	f.run(fetchExpiry + 10*time.Second)
	for _, nd := range f.nodes {
		if nd.inForce("a") != 1 {
			t.Errorf("%s is not ready: %v", nd.id, nd.c.NotReadyReasons())
		}
	}
}

func TestNewLinkTriggersComparison(t *testing.T) {
	s := newSingleNode(t, "1", "2", "3", "4", "5", "6", "7", "8")
	s.wait(2 * compareInterval)
	s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	if got := sentTo[wire.BundleCompare](s.wait(compareInterval), "p"); len(got) == 0 {
		t.Error("not compared within the interval")
	}
}

func TestSupersededValueReadRaisesNoAlert(t *testing.T) {
	s := newSingleNode(t, "p")
	s.readIndex(model.BundleVersion{Name: "a", Version: 6})
	s.receive("p", packedBody("a", 7, signed("a", 7, 0)))
	if out := s.handle(control.ValueRead{Name: "a", Data: signed("a", 6, 0)}); recorded(out, event.BundleOlder) > 0 {
		t.Error("logged as an older bundle")
	}
}

func TestStartingReaderExceedsFleetShare(t *testing.T) {
	s := newFreshNode(10_000)
	s.handle(control.LinkUp{Peer: model.Instance{ID: "p"}})
	var versions []model.BundleVersion
	for i := range 200 {
		versions = append(versions, model.BundleVersion{Name: model.BundleName(fmt.Sprint(i)), Version: 1})
	}
	out := s.readIndex(versions...)
	reads := s.failReads(out, 4*time.Second)
	if reads < 2*startupReadsPerSecond || reads > startupReadsBurst+5*startupReadsPerSecond {
		t.Errorf("%d reads in 4 s", reads)
	}
}
