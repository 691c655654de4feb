package directory

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// requestsAndReads returns the peers that receive requests, and the number of directory
// reads.
func requestsAndReads(actions []control.Action) (peers []model.InstanceID, reads int) {
	for _, a := range actions {
		switch a := a.(type) {
		case control.RequestPeerDirectory:
			peers = append(peers, a.Peer.ID)
		case control.ReadDirectory:
			reads++
		}
	}
	return peers, reads
}

// tickFor advances the clock by d and returns the requests and reads of its ticks.
func (r *rig) tickFor(d time.Duration) (peers []model.InstanceID, reads int) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(control.TickInterval)
		p, n := requestsAndReads(r.handle(control.Tick{}))
		peers, reads = append(peers, p...), reads+n
	}
	return peers, reads
}

func TestNewNodeReadsAtOnce(t *testing.T) {
	r := newRig()
	if _, reads := requestsAndReads(r.handle(control.Tick{})); reads != 1 {
		t.Errorf("%d reads at the first tick, want 1", reads)
	}
}

func TestPeerFreshnessSuppressesReads(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	for range 50 {
		r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 300}})
		if peers, reads := r.tickFor(200 * time.Millisecond); reads != 0 || len(peers) != 0 {
			t.Fatalf("%d reads, requests to %v; want none", reads, peers)
		}
	}
	// Without further messages the node sends requests to peers, then reads the directory
	// itself.
	peers, reads := r.tickFor(5 * time.Second)
	if len(peers) == 0 || reads == 0 {
		t.Errorf("%d reads, requests to %v after messages stopped; want some of both", reads, peers)
	}
}

func TestNewerRevisionIsRequestedFromItsPeer(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	peers, _ := requestsAndReads(r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 9}}))
	if diff := cmp.Diff([]model.InstanceID{"10.0.0.2"}, peers); diff != "" {
		t.Fatalf("requests to (-want +got):\n%s", diff)
	}
	// A peer receives one request at a time.
	if peers, _ := requestsAndReads(r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 10}})); len(peers) != 0 {
		t.Errorf("requests to %v while a reply is awaited", peers)
	}
	draining := listing("w2", "10.0.0.2", 2, model.StateLeaving)
	draining.Revision = 9
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 9, Listed: []model.Listing{draining}}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLeaving})
	if got := r.board.Directory.Get().Revision; got.Number != 9 {
		t.Errorf("revision %d, want 9", got)
	}
}

func TestSlowPeerDoesNotBlockUpdates(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 9}})
	r.now = r.now.Add(requestGap)
	peers, _ := requestsAndReads(r.handle(control.PeerFreshnessReceived{From: "10.0.0.1", Freshness: model.DirectoryFreshness{Revision: 9}}))
	if diff := cmp.Diff([]model.InstanceID{"10.0.0.1"}, peers); diff != "" {
		t.Errorf("requests while the first peer does not reply (-want +got):\n%s", diff)
	}
	// Neither replies: the node reads the directory itself, although it has just read it.
	_, reads := r.tickFor(behindTimeout + control.TickInterval)
	if reads != 1 {
		t.Errorf("%d reads, want 1", reads)
	}
}

// An attempt may have been delayed by a broken link for seconds.
func TestUnknownAgeDoesNotSuppressReads(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	reads := 0
	for range 20 {
		r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: model.AgeUnknown}})
		_, n := r.tickFor(100 * time.Millisecond)
		reads += n
	}
	if reads == 0 {
		t.Error("no read in 2 s although nothing is known to be fresh")
	}
	if got := r.ConfirmedAt(); !got.Equal(epoch) {
		t.Errorf("confirmed %s after the last read, want 0", got.Sub(epoch))
	}
}

func TestReadReflectsStateAtItsStart(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.now = r.now.Add(2 * time.Second)
	read := twoWorkers()
	read.ReadDuration = 1500 * time.Millisecond
	r.handle(read)
	if got := r.now.Sub(r.ConfirmedAt()); got != read.ReadDuration {
		t.Errorf("confirmed %s ago, want %s", got, read.ReadDuration)
	}
	// The result is too old to suppress a read.
	if _, reads := r.tickFor(300 * time.Millisecond); reads == 0 {
		t.Error("no read although the last one started 1.5 s ago")
	}
}

func TestChangesAreAnnouncedAtOnce(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	if peers, _ := requestsAndReads(r.handle(twoWorkers())); len(peers) != 0 {
		t.Errorf("announced to %v without a change", peers)
	}
	peers, _ := requestsAndReads(r.handle(control.DirectoryRead{Revision: 3}))
	if want := slices.Repeat([]model.InstanceID{"10.0.0.2"}, announceFanOut); !slices.Equal(peers, want) {
		t.Errorf("announced to %v, want %v", peers, want)
	}
}

// A revision that no node has must not cause repeated reads.
func TestUnknownRevisionIsForgotten(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(twoWorkers())
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 1 << 60}})
	if _, reads := r.tickFor(behindTimeout + control.TickInterval); reads != 1 {
		t.Fatalf("%d reads, want 1", reads)
	}
	r.handle(control.DirectoryRead{Revision: 2})
	if _, reads := r.tickFor(behindTimeout + control.TickInterval); reads != 0 {
		t.Errorf("%d reads after a successful read, want none", reads)
	}
}

func TestOlderPeerDirectoryChangesNothing(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	late := listing("w2", "10.0.0.2", 2, model.StateLeaving)
	late.Revision = 8
	r.handle(control.DirectoryRead{Revision: 8, Listed: []model.Listing{late}})
	early := listing("w2", "10.0.0.2", 2, model.StateLive)
	early.Revision = 5
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 5, Listed: []model.Listing{early}}})
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 9, Listed: []model.Listing{early}}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLeaving})
}

func TestChangesAfterRevision(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	third := listing("w3", "10.0.0.3", 5, model.StateLive)
	third.Revision = 5
	raw := &model.RawConfig{Revision: 6, Packed: []byte("packed")}
	r.handle(control.DirectoryRead{
		Revision: 7, Listed: []model.Listing{third}, Unlisted: []model.Unlisted{{Worker: "w2", Revision: 7}},
		Config: raw, Bundle: &bundle.Bundle{Name: "operator", Version: 1},
	})
	d := r.board.Directory.Get()
	type summary struct {
		Full     bool
		Listed   []model.WorkerID
		Unlisted int
		Config   bool
	}
	got := map[uint64]summary{}
	for _, after := range []uint64{0, 2, 5, 6, 7} {
		c := Changes(d, knownAfter(after))
		l := summary{Full: c.Full, Unlisted: len(c.Unlisted), Config: c.Config != nil}
		for _, w := range c.Listed {
			l.Listed = append(l.Listed, w.Instance.Worker)
		}
		got[after] = l
	}
	want := map[uint64]summary{
		0: {Full: true, Listed: []model.WorkerID{"w1", "w3"}, Unlisted: 1, Config: true},
		2: {Listed: []model.WorkerID{"w3"}, Unlisted: 1, Config: true},
		5: {Unlisted: 1, Config: true},
		6: {Unlisted: 1},
		7: {},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes after a revision (-want +got):\n%s", diff)
	}
}

// knownAfter is the knowledge of a peer that has every change up to a revision and the
// newest configuration.
func knownAfter(revision uint64) Requested {
	return Requested{After: model.Revision{Number: revision}, Config: math.MaxUint64}
}

// syncFrom passes all changes after the receiver's revision from one node to another.
func syncFrom(from, to *rig) {
	changes := Changes(from.board.Directory.Get(), Requested{After: to.revision, Config: to.configVersion()})
	if changes.Config != nil && changes.Config.Version > 0 {
		changes.Bundle = newBundle(changes.Config.Version)
	}
	to.handle(control.PeerDirectoryReceived{From: "10.0.0.9", DirectoryRead: changes})
}

func TestFullReadPropagatesUnseenRemovals(t *testing.T) {
	stale, fresh := newRig(), newRig()
	stale.handle(twoWorkers())
	full := twoWorkers()
	full.Revision, full.Listed = 9, full.Listed[:1]
	fresh.handle(full)
	syncFrom(fresh, stale)
	stale.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

// A slow node that mistakes its own delay for an outage delays a removal; its peers must
// not delay it with it.
func TestPeersGraceDelaysNoRemovalHere(t *testing.T) {
	slow, peer := newRig(), newRig()
	slow.handle(twoWorkers())
	peer.handle(twoWorkers())
	// The peer receives fresh values all the while, the slow node none.
	for range 6 {
		slow.now, peer.now = slow.now.Add(time.Second), peer.now.Add(time.Second)
		peer.handle(control.PeerFreshnessReceived{From: "10.0.0.1", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	}
	full := twoWorkers()
	full.Revision, full.Listed = 9, full.Listed[:1]
	slow.handle(full)
	syncFrom(slow, peer)
	slow.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive})
	peer.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

// missingAfterOutage returns two nodes after an outage since which the directory lists w1
// only: one has read it, and the other was told.
func missingAfterOutage() (reader, peer *rig) {
	reader, peer = newRig(), newRig()
	reader.handle(twoWorkers())
	peer.handle(twoWorkers())
	for _, r := range []*rig{reader, peer} {
		r.now = r.now.Add(outageThreshold + time.Second)
	}
	full := twoWorkers()
	full.Revision, full.Listed = 9, full.Listed[:1]
	reader.handle(full)
	syncFrom(reader, peer)
	return reader, peer
}

func TestEachNodeDelaysRemovalsAfterOutage(t *testing.T) {
	reader, peer := missingAfterOutage()
	both := map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive}
	reader.want(t, both)
	peer.want(t, both)
	for _, r := range []*rig{reader, peer} {
		r.advance(relistGrace + 10*time.Millisecond)
		r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
	}
}

func TestRelistedWorkerIsKeptAfterOutage(t *testing.T) {
	reader, peer := missingAfterOutage()
	relisted := listing("w2", "10.0.0.2", 10, model.StateLive)
	relisted.Revision = 10
	reader.handle(control.DirectoryRead{Revision: 10, Listed: []model.Listing{relisted}})
	syncFrom(reader, peer)
	for _, r := range []*rig{reader, peer} {
		r.advance(relistGrace + 10*time.Millisecond)
		r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive})
	}
}

func TestEvictedRemovalsRaiseCompactedRevision(t *testing.T) {
	var r removals
	for i := range maxRemovals + 10 {
		r.add(removal{Unlisted: model.Unlisted{Worker: model.WorkerID(rune(i + 1)), Revision: uint64(i + 1)}})
	}
	if len(r.list) != maxRemovals || r.compactedRevision != 10 {
		t.Errorf("%d removals remembered above %d", len(r.list), r.compactedRevision)
	}
}
