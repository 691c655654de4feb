package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// asked returns the peers that actions ask, and whether they read the directory.
func asked(actions []control.Action) (peers []model.InstanceID, reads int) {
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

// ticks lets d pass and returns what its ticks asked.
func (r *rig) ticks(d time.Duration) (peers []model.InstanceID, reads int) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(control.TickInterval)
		p, n := asked(r.handle(control.Tick{}))
		peers, reads = append(peers, p...), reads+n
	}
	return peers, reads
}

func TestAFreshNodeReadsAtOnce(t *testing.T) {
	r := newRig()
	if _, reads := asked(r.handle(control.Tick{})); reads != 1 {
		t.Errorf("%d reads at the first tick, want 1", reads)
	}
}

func TestFreshMarksOfPeersKeepANodeFromReading(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	for range 50 {
		r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 300}})
		if peers, reads := r.ticks(200 * time.Millisecond); reads != 0 || len(peers) != 0 {
			t.Fatalf("%d reads, asked %v", reads, peers)
		}
	}
	// Nothing is heard any more: the node asks peers, then reads itself.
	peers, reads := r.ticks(5 * time.Second)
	if len(peers) == 0 || reads == 0 {
		t.Errorf("%d reads, asked %v after silence", reads, peers)
	}
}

func TestANewerRevisionIsAskedOfThePeerThatKnowsIt(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	peers, _ := asked(r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 9}}))
	if diff := cmp.Diff([]model.InstanceID{"10.0.0.2"}, peers); diff != "" {
		t.Fatalf("asked (-want +got):\n%s", diff)
	}
	// One question at a time to one peer.
	if peers, _ := asked(r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 10}})); len(peers) != 0 {
		t.Errorf("asked %v while an answer is awaited", peers)
	}
	draining := listing("w2", "10.0.0.2", 2, model.StateLeaving)
	draining.Revision = 9
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 9, Listed: []model.Listing{draining}}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLeaving})
	if got := r.board.Directory.Get().Revision; got != 9 {
		t.Errorf("revision %d, want 9", got)
	}
}

func TestASlowPeerKeepsNobodyFromNews(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 9}})
	r.now = r.now.Add(askGap)
	peers, _ := asked(r.handle(control.PeerFreshnessReceived{From: "10.0.0.1", Freshness: model.DirectoryFreshness{Revision: 9}}))
	if diff := cmp.Diff([]model.InstanceID{"10.0.0.1"}, peers); diff != "" {
		t.Errorf("asked while the first does not answer (-want +got):\n%s", diff)
	}
	// Neither answers: the node reads the directory itself, although it has been read
	// a moment ago.
	_, reads := r.ticks(behindLimit + control.TickInterval)
	if reads != 1 {
		t.Errorf("%d reads, want 1", reads)
	}
}

// What an attempt carries may have waited behind a cut link for seconds.
func TestAMarkOfUnknownAgeKeepsNobodyFromReading(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	reads := 0
	for range 20 {
		r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: model.AgeUnknown}})
		_, n := r.ticks(100 * time.Millisecond)
		reads += n
	}
	if reads == 0 {
		t.Error("no read in 2 s although nothing is known to be fresh")
	}
	if got := r.ConfirmedAt(); !got.Equal(epoch) {
		t.Errorf("confirmed %s after the last reading", got.Sub(epoch))
	}
}

func TestAReadingTellsWhatHeldAtItsStart(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.now = r.now.Add(2 * time.Second)
	read := two()
	read.ReadDuration = 1500 * time.Millisecond
	r.handle(read)
	if got := r.now.Sub(r.ConfirmedAt()); got != read.ReadDuration {
		t.Errorf("confirmed %s ago, want %s", got, read.ReadDuration)
	}
	// It is too old to keep this node from reading.
	if _, reads := r.ticks(300 * time.Millisecond); reads == 0 {
		t.Error("no read although the last began 1.5 s ago")
	}
}

func TestNewsAreToldToPeersAtOnce(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	if peers, _ := asked(r.handle(two())); len(peers) != 0 {
		t.Errorf("told %v of what is not news", peers)
	}
	peers, _ := asked(r.handle(control.DirectoryRead{Revision: 3}))
	if want := slices.Repeat([]model.InstanceID{"10.0.0.2"}, newsFanOut); !slices.Equal(peers, want) {
		t.Errorf("told %v, want %v", peers, want)
	}
}

// A revision that nobody holds must not make a node read again and again.
func TestARevisionThatTheDirectoryLacksIsForgotten(t *testing.T) {
	r := newRig()
	r.handle(control.Tick{})
	r.handle(two())
	r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 1 << 60}})
	if _, reads := r.ticks(behindLimit + control.TickInterval); reads != 1 {
		t.Fatalf("%d reads, want 1", reads)
	}
	r.handle(control.DirectoryRead{Revision: 2})
	if _, reads := r.ticks(behindLimit + control.TickInterval); reads != 0 {
		t.Errorf("%d reads after the directory has answered, want none", reads)
	}
}

func TestAnOlderWordOfAPeerChangesNothing(t *testing.T) {
	r := newRig()
	r.handle(two())
	late := listing("w2", "10.0.0.2", 2, model.StateLeaving)
	late.Revision = 8
	r.handle(control.DirectoryRead{Revision: 8, Listed: []model.Listing{late}})
	early := listing("w2", "10.0.0.2", 2, model.StateLive)
	early.Revision = 5
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 5, Listed: []model.Listing{early}}})
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 9, Listed: []model.Listing{early}}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLeaving})
}

func TestChangesAreWhatAPeerLacks(t *testing.T) {
	r := newRig()
	r.handle(two())
	third := listing("w3", "10.0.0.3", 5, model.StateLive)
	third.Revision = 5
	raw := &model.RawConfig{Revision: 6, Packed: []byte("packed")}
	r.handle(control.DirectoryRead{
		Revision: 7, Listed: []model.Listing{third}, Unlisted: []model.Unlisted{{Worker: "w2", Revision: 7}},
		Config: raw, Bundle: &bundle.Bundle{Name: "operator", Version: 1},
	})
	d := r.board.Directory.Get()
	type lack struct {
		Whole  bool
		Listed []model.WorkerID
		Gone   int
		Config bool
	}
	got := map[uint64]lack{}
	for _, after := range []uint64{0, 2, 5, 6, 7} {
		c := Changes(d, after)
		l := lack{Whole: c.Full, Gone: len(c.Unlisted), Config: c.Config != nil}
		for _, w := range c.Listed {
			l.Listed = append(l.Listed, w.Instance.Worker)
		}
		got[after] = l
	}
	want := map[uint64]lack{
		0: {Whole: true, Listed: []model.WorkerID{"w1", "w3"}, Gone: 1, Config: true},
		2: {Listed: []model.WorkerID{"w3"}, Gone: 1, Config: true},
		5: {Gone: 1, Config: true},
		6: {Gone: 1},
		7: {},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes after a revision (-want +got):\n%s", diff)
	}
}

// tell hands everything that one node knows beyond the other's revision over.
func tell(from, to *rig) {
	changes := Changes(from.board.Directory.Get(), to.revision)
	to.handle(control.PeerDirectoryReceived{From: "10.0.0.9", DirectoryRead: changes})
}

func TestANodeThatReadTheWholeTellsOfRemovalsItNeverSaw(t *testing.T) {
	old, fresh := newRig(), newRig()
	old.handle(two())
	whole := two()
	whole.Revision, whole.Listed = 9, whole.Listed[:1]
	fresh.handle(whole)
	tell(fresh, old)
	old.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

// A machine that was five times slower took its own lateness for an
// outage, held a removal back, and had every peer hold it back with it for 2.2 s.
func TestAPeersDoubtHoldsNothingBackHere(t *testing.T) {
	slow, peer := newRig(), newRig()
	slow.handle(two())
	peer.handle(two())
	// The peer hears of fresh news all the while, the slow one of nothing.
	for range 6 {
		slow.now, peer.now = slow.now.Add(time.Second), peer.now.Add(time.Second)
		peer.handle(control.PeerFreshnessReceived{From: "10.0.0.1", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	}
	whole := two()
	whole.Revision, whole.Listed = 9, whole.Listed[:1]
	slow.handle(whole)
	tell(slow, peer)
	slow.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive})
	peer.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

func TestEachNodeHoldsRemovalsBackAfterAnOutage(t *testing.T) {
	reader, peer := newRig(), newRig()
	reader.handle(two())
	peer.handle(two())
	for _, r := range []*rig{reader, peer} {
		r.now = r.now.Add(outageGap + time.Second)
	}
	whole := two()
	whole.Revision, whole.Listed = 9, whole.Listed[:1]
	reader.handle(whole)
	tell(reader, peer)
	both := map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive}
	reader.want(t, both)
	peer.want(t, both)
	for _, r := range []*rig{reader, peer} {
		r.pass(relistTime + 10*time.Millisecond)
		r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
	}
}

func TestAWorkerListedAgainAfterAnOutageIsKept(t *testing.T) {
	reader, peer := newRig(), newRig()
	reader.handle(two())
	peer.handle(two())
	for _, r := range []*rig{reader, peer} {
		r.now = r.now.Add(outageGap + time.Second)
	}
	whole := two()
	whole.Revision, whole.Listed = 9, whole.Listed[:1]
	reader.handle(whole)
	tell(reader, peer)
	again := listing("w2", "10.0.0.2", 10, model.StateLive)
	again.Revision = 10
	reader.handle(control.DirectoryRead{Revision: 10, Listed: []model.Listing{again}})
	tell(reader, peer)
	for _, r := range []*rig{reader, peer} {
		r.pass(relistTime + 10*time.Millisecond)
		r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive})
	}
}

func TestForgottenRemovalsMakeTheAnswerWhole(t *testing.T) {
	var r removals
	for i := range maxRemovals + 10 {
		r.note(model.Unlisted{Worker: model.WorkerID(rune(i + 1)), Revision: uint64(i + 1)})
	}
	if len(r.list) != maxRemovals || r.floor != 10 {
		t.Errorf("%d removals remembered above %d", len(r.list), r.floor)
	}
}
