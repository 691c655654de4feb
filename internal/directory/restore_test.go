package directory

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// entry returns a worker's entry at a revision, written after a number of heartbeats.
func entry(worker model.WorkerID, at model.InstanceID, state model.UpstreamState, revision, heartbeats uint64) model.Listing {
	l := listing(worker, at, 1, state)
	l.Revision, l.Heartbeats = revision, heartbeats
	return l
}

// content returns the complete content of a directory with a configuration.
func content(era, revision, version uint64, listed ...model.Listing) control.DirectoryRead {
	return control.DirectoryRead{
		Era: era, Revision: revision, Full: true, Listed: listed,
		Config: &model.RawConfig{Revision: revision, Version: version}, Bundle: newBundle(version),
	}
}

const (
	live    = model.StateLive
	leaving = model.StateLeaving
)

// firstEra is the content of the first era, at revision 100 with version 49.
func firstEra() control.DirectoryRead {
	return content(1, 100, 49, entry("w1", "10.0.0.1", live, 95, 5), entry("w2", "10.0.0.2", live, 96, 6))
}

// newRestoredRig returns a node that knows the first era.
func newRestoredRig() *rig {
	r := newRig()
	r.handle(firstEra())
	return r
}

func (r *rig) version(t *testing.T, want uint64) {
	t.Helper()
	if b := r.board.Bundles.Get().Bundle("operator"); b == nil || b.Version != want {
		t.Errorf("configuration %+v in force, want version %d", b, want)
	}
}

// The restored directory's revisions are lower than those known: 53 was written again at 89,
// and w2 says at 90 that it is leaving.
func TestRestoredDirectoryReplacesTheViewAndIsPassedOn(t *testing.T) {
	reader, peer := newRestoredRig(), newRestoredRig()
	reader.handle(content(2, 90, 53, entry("w1", "10.0.0.1", live, 40, 4), entry("w2", "10.0.0.2", leaving, 90, 8)))
	want := map[model.WorkerID]model.UpstreamState{"w1": live, "w2": leaving}
	reader.want(t, want)
	reader.version(t, 53)
	fresh := reader.board.Directory.Get().Freshness(reader.now)
	if fresh.At() != (model.Revision{Era: 2, Number: 90}) {
		t.Errorf("the node calls itself at %s", fresh.At())
	}
	if peers, _ := requestsAndReads(peer.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: fresh})); len(peers) == 0 {
		t.Error("a peer of the earlier era requests nothing")
	}
	syncFrom(reader, peer)
	peer.want(t, want)
	peer.version(t, 53)
}

func TestViewOfEarlierEraConfirmsNothing(t *testing.T) {
	r := newRestoredRig()
	r.handle(content(2, 90, 49, entry("w1", "10.0.0.1", live, 40, 4)))
	confirmed := r.ConfirmedAt()
	r.advance(time.Second)
	for _, earlier := range []model.DirectoryFreshness{{Era: 1, Revision: 90}, {Era: 1, Revision: 500}, {Revision: 500}} {
		r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: earlier})
	}
	behind := newRestoredRig()
	behind.handle(control.DirectoryRead{Era: 1, Revision: 120, Unlisted: []model.Unlisted{{Worker: "w1", Revision: 120}}})
	syncFrom(behind, r)
	if !r.ConfirmedAt().Equal(confirmed) {
		t.Error("a view of an earlier era confirmed this one")
	}
	if _, listed := r.fleet()["w1"]; !listed {
		t.Error("a removal of an earlier era was applied")
	}
}

// The copy holds entries that workers wrote before they left.
func TestLeavingIsFinalAcrossRestores(t *testing.T) {
	r := newRestoredRig()
	r.handle(control.DirectoryRead{Era: 1, Revision: 101, Listed: []model.Listing{entry("w1", "10.0.0.1", leaving, 101, 7)}})
	r.handle(control.DirectoryRead{Era: 1, Revision: 103, Listed: []model.Listing{entry("w2", "10.0.0.2", leaving, 102, 9)}, Unlisted: removalAt("w2", 103)})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": leaving})
	copied := content(2, 96, 49, entry("w1", "10.0.0.1", live, 95, 5), entry("w2", "10.0.0.2", live, 96, 6))
	r.handle(copied)
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": leaving, "w2": leaving})
	r.handle(control.DirectoryRead{Era: 2, Revision: 99, Listed: []model.Listing{entry("w1", "10.0.0.1", live, 99, 20)}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": leaving, "w2": leaving})
	copied.Era = 3
	r.handle(copied)
	r.advance(time.Minute)
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": leaving, "w2": leaving})
}

func removalAt(id model.WorkerID, revision uint64) []model.Unlisted {
	return []model.Unlisted{{Worker: id, Revision: revision}}
}

func TestRemovedWorkerComesBackWithANewerEntry(t *testing.T) {
	r := newRestoredRig()
	r.handle(control.DirectoryRead{Era: 1, Revision: 101, Unlisted: removalAt("w2", 101)})
	r.handle(content(2, 90, 49, entry("w1", "10.0.0.1", live, 40, 4), entry("w2", "10.0.0.2", live, 90, 7)))
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": live, "w2": live})
}

// Its entry in the copy may only be there until it expires.
func TestRemovedWorkerInCopyIsNotUsedUntilItsLeaseWouldHaveExpired(t *testing.T) {
	r, alsoListed := newRestoredRig(), newRestoredRig()
	copied := content(2, 96, 49, entry("w1", "10.0.0.1", live, 95, 5), entry("w2", "10.0.0.2", live, 96, 6))
	for _, node := range []*rig{r, alsoListed} {
		node.handle(control.DirectoryRead{Era: 1, Revision: 101, Unlisted: removalAt("w2", 101)})
		node.handle(copied)
	}
	onlyW1 := map[model.WorkerID]model.UpstreamState{"w1": live}
	r.advance(departedHold - 100*time.Millisecond)
	r.want(t, onlyW1)
	if got := Changes(r.board.Directory.Get(), Requested{}).Listed; len(got) != 2 {
		t.Errorf("%d workers are passed on, want the 2 that the directory lists", len(got))
	}
	r.handle(control.DirectoryRead{Era: 2, Revision: 97, Unlisted: removalAt("w2", 97)})
	r.advance(time.Second)
	r.want(t, onlyW1)
	alsoListed.advance(departedHold)
	alsoListed.want(t, map[model.WorkerID]model.UpstreamState{"w1": live, "w2": live})
}

func TestWorkerThatTheCopyLacksHasTimeToListItselfAgain(t *testing.T) {
	r := newRestoredRig()
	both := map[model.WorkerID]model.UpstreamState{"w1": live, "w2": live}
	r.handle(content(2, 60, 49, entry("w1", "10.0.0.1", live, 50, 3)))
	r.advance(relistGrace - 100*time.Millisecond)
	r.want(t, both)
	r.handle(control.DirectoryRead{Era: 2, Revision: 61, Listed: []model.Listing{entry("w2", "10.0.0.2", live, 61, 9)}})
	r.advance(time.Minute)
	r.want(t, both)
	r.handle(content(3, 30, 49, entry("w1", "10.0.0.1", live, 20, 2)))
	r.advance(relistGrace)
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": live})
}

func TestConfigurationStaysInForceWhereTheCopyHasAnOlderOne(t *testing.T) {
	r := newRestoredRig()
	r.handle(content(1, 110, 53, entry("w1", "10.0.0.1", live, 95, 5)))
	r.handle(content(2, 90, 49, entry("w1", "10.0.0.1", live, 95, 5)))
	r.version(t, 53)
	fresh := newRig()
	fresh.handle(content(2, 90, 49, entry("w1", "10.0.0.1", live, 95, 5), entry("w2", "10.0.0.2", live, 80, 5)))
	fresh.version(t, 49)
	peers, _ := requestsAndReads(fresh.handle(control.VersionSeen{From: "10.0.0.2", Version: model.BundleVersion{Name: "operator", Version: 53}}))
	if len(peers) != 1 {
		t.Errorf("requests to %v after a newer version was heard of", peers)
	}
	syncFrom(r, fresh)
	fresh.version(t, 53)
	// A node of an earlier era knows it as well.
	earlier, later := newRestoredRig(), newRig()
	earlier.handle(content(1, 120, 55, entry("w1", "10.0.0.1", live, 95, 5)))
	later.handle(content(2, 90, 49, entry("w1", "10.0.0.1", live, 95, 5)))
	syncFrom(earlier, later)
	later.version(t, 55)
	later.want(t, map[model.WorkerID]model.UpstreamState{"w1": live})
}

func TestEvacuationsStayInForceUntilWrittenAgain(t *testing.T) {
	r := newRestoredRig()
	evacuated := func(want ...model.DataCentre) {
		t.Helper()
		if diff := cmp.Diff(want, r.board.Fleet.Get().Evacuated); diff != "" {
			t.Errorf("evacuated (-want +got):\n%s", diff)
		}
	}
	r.handle(control.DirectoryRead{Era: 1, Revision: 103, Evacuations: []model.Evacuation{
		{DataCentre: "a", Revision: 101, Ended: true}, {DataCentre: "b", Revision: 102}, {DataCentre: "c", Revision: 103},
	}})
	evacuated("b", "c")
	// The copy was made while a was evacuated, and before b and c were.
	restored := content(2, 90, 49, entry("w1", "10.0.0.1", live, 95, 5), entry("w2", "10.0.0.2", live, 80, 5))
	restored.Evacuations = []model.Evacuation{{DataCentre: "a", Revision: 70}}
	r.handle(restored)
	evacuated("b", "c")
	r.advance(time.Second)
	r.handle(control.DirectoryRead{Era: 2, Revision: 91, Evacuations: []model.Evacuation{{DataCentre: "b", Revision: 91}}})
	evacuated("b", "c")
	r.advance(relistGrace)
	evacuated("a", "b")
	r.handle(control.DirectoryRead{Era: 2, Revision: 92, Evacuations: []model.Evacuation{{DataCentre: "a", Revision: 92, Ended: true}}})
	evacuated("b")
}

func TestNodeCutOffForTwoErasCatchesUp(t *testing.T) {
	behind, ahead := newRestoredRig(), newRestoredRig()
	for era := uint64(2); era <= 3; era++ {
		ahead.handle(content(era, 100-10*era, 50+era, entry("w1", "10.0.0.1", live, 10, 4), entry("w3", "10.0.0.3", live, 11, 1)))
		ahead.advance(time.Minute)
	}
	syncFrom(ahead, behind)
	behind.version(t, 53)
	behind.advance(time.Minute)
	behind.want(t, map[model.WorkerID]model.UpstreamState{"w1": live, "w3": live})
}

// A read that began before peers told of the restore ends after it.
func TestOwnReadOfEarlierEraIsNotApplied(t *testing.T) {
	r, peer := newRestoredRig(), newRestoredRig()
	peer.handle(content(2, 90, 53, entry("w1", "10.0.0.1", live, 40, 4)))
	syncFrom(peer, r)
	r.handle(content(1, 130, 49, entry("w1", "10.0.0.1", leaving, 130, 4)))
	if got := r.board.Directory.Get().Revision; got != (model.Revision{Era: 2, Number: 90}) {
		t.Errorf("at %s", got)
	}
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": live, "w2": live})
}

func TestSmallFleetReadsEverythingAtOnceAfterARestore(t *testing.T) {
	r := newRestoredRig()
	for _, a := range r.handle(control.DirectoryRead{Era: 2, Restored: true}) {
		if read, ok := a.(control.ReadDirectory); ok && read.After.IsZero() {
			return
		}
	}
	t.Error("nothing is read")
}

// Earlier builds of nodes tell no era and ask with none.
func TestPeerWithoutErasIsNeitherBelievedNorMisled(t *testing.T) {
	r := newRestoredRig()
	r.handle(content(2, 90, 53, entry("w1", "10.0.0.1", live, 40, 4), entry("w2", "10.0.0.2", live, 41, 4)))
	r.advance(time.Second)
	confirmed := r.ConfirmedAt()
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 130, Unlisted: removalAt("w1", 130)}})
	if _, listed := r.fleet()["w1"]; !listed || !r.ConfirmedAt().Equal(confirmed) {
		t.Error("a reply without an era was taken")
	}
}

// Creations are counted anew with each era.
func TestWorkerListedSinceARestoreTakesThePlaceOfOneThatTheCopyLacks(t *testing.T) {
	r := newRig()
	before := entry("w9", "10.0.0.1", live, 95, 5)
	before.Created = 95
	r.handle(content(1, 100, 49, before))
	since := entry("w10", "10.0.0.1", live, 61, 1)
	since.Created = 61
	r.handle(content(2, 61, 49, since))
	r.want(t, map[model.WorkerID]model.UpstreamState{"w10": live})
}
