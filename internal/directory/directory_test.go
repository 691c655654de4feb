package directory

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

var epoch = time.Unix(1_700_000_000, 0)

// rig drives one controller on a fake clock.
type rig struct {
	*Controller
	board *blackboard.Board
	now   time.Time
}

func newRig() *rig {
	board := &blackboard.Board{}
	board.Bundles.Put(bundle.NewSet(nil))
	return &rig{Controller: New(Config{Self: model.Instance{ID: "10.0.0.1", Service: "shop", DataCentre: "a"}}, board, rand.New(rand.NewPCG(1, 2))), board: board, now: epoch}
}

func (r *rig) handle(ev control.Event) []control.Action { return r.Handle(r.now, ev) }

// advance moves the clock by d and ends with one tick.
func (r *rig) advance(d time.Duration) {
	r.now = r.now.Add(d)
	r.handle(control.Tick{})
}

func listing(worker model.WorkerID, at model.InstanceID, created uint64, state model.UpstreamState) model.Listing {
	return model.Listing{Created: created, Instance: model.Instance{ID: at, Service: "shop", Worker: worker, State: state}}
}

// fleet returns the states of the workers in the fleet's view.
func (r *rig) fleet() map[model.WorkerID]model.UpstreamState {
	out := map[model.WorkerID]model.UpstreamState{}
	for _, in := range r.board.Fleet.Get().Instances {
		out[in.Worker] = in.State
	}
	return out
}

// removalOf returns the removal of a worker at a high revision.
func removalOf(id model.WorkerID) []model.Unlisted {
	return []model.Unlisted{{Worker: id, Revision: 100}}
}

func (r *rig) want(t *testing.T, want map[model.WorkerID]model.UpstreamState) {
	t.Helper()
	if diff := cmp.Diff(want, r.fleet()); diff != "" {
		t.Errorf("fleet (-want +got):\n%s", diff)
	}
}

func twoWorkers() control.DirectoryRead {
	return control.DirectoryRead{Full: true, Revision: 2, Listed: []model.Listing{
		listing("w1", "10.0.0.1", 1, model.StateLive), listing("w2", "10.0.0.2", 2, model.StateLive),
	}}
}

func TestRemovalAppliesAtOnceWithoutOutage(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryRead{Unlisted: removalOf("w2")})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

func TestExpiredWorkerMayRelistAfterOutage(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryReadFailed{Err: errors.New("down")})
	r.advance(outageThreshold + time.Second)
	// The directory has recovered and lists neither worker.
	r.handle(control.DirectoryRead{Full: true, Revision: 50})
	relisted := listing("w1", "10.0.0.1", 60, model.StateLive)
	relisted.Revision = 60
	both := map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive}
	r.advance(relistGrace - 100*time.Millisecond)
	r.want(t, both)
	r.handle(control.DirectoryRead{Listed: []model.Listing{relisted}})
	r.advance(200 * time.Millisecond)
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

// An own read that failed nine seconds ago must not make an owner delay the removal of its
// worker while peers keep the view fresh.
func TestFailedReadDelaysNoRemovalWhilePeersRead(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryReadFailed{Err: errors.New("turned away")})
	for range 9 {
		r.advance(time.Second)
		r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 2, AgeMs: 10}})
	}
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 100, Unlisted: removalOf("w1")}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w2": model.StateLive})
}

// Isolated nodes must not go on using a worker whose lease expired after it had left.
func TestMissingWorkerIsUnlistedWithPeerReadsOnly(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryReadFailed{Err: errors.New("cut off")})
	r.advance(outageThreshold + time.Second)
	r.handle(control.PeerDirectoryReceived{From: "10.0.0.2", DirectoryRead: control.DirectoryRead{Revision: 100, Unlisted: removalOf("w2")}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive})
	for range int(relistGrace / control.TickInterval) {
		r.advance(control.TickInterval)
		r.handle(control.PeerFreshnessReceived{From: "10.0.0.2", Freshness: model.DirectoryFreshness{Revision: 100, AgeMs: 10}})
	}
	r.advance(control.TickInterval)
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

func TestDrainedWorkerIsUnlistedAtOnceAfterOutage(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryRead{Listed: []model.Listing{listing("w2", "10.0.0.2", 2, model.StateLeaving)}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLeaving})
	r.handle(control.DirectoryReadFailed{Err: errors.New("down")})
	r.handle(control.DirectoryRead{Full: true, Revision: 50, Listed: twoWorkers().Listed[:1]})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

func TestOutageAloneChangesNothing(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	for range 100 {
		r.handle(control.DirectoryReadFailed{Err: errors.New("down")})
		r.advance(time.Second)
	}
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive})
}

func TestNewestWorkerOfInstanceCounts(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryRead{Listed: []model.Listing{listing("w3", "10.0.0.2", 7, model.StateLive)}})
	want := map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w3": model.StateLive}
	r.want(t, want)
	r.handle(control.DirectoryRead{Unlisted: removalOf("w2")})
	r.want(t, want)
}

func TestOlderConfigurationIsNeverApplied(t *testing.T) {
	r := newRig()
	for _, version := range []uint64{3, 7, 5, 7, 6} {
		r.handle(control.DirectoryRead{Bundle: &bundle.Bundle{Name: "operator", Version: version}})
	}
	if got := r.board.Bundles.Get().Bundle("operator").Version; got != 7 {
		t.Errorf("version %d is in force, want 7", got)
	}
}

func TestNotReadyReasonsNameDirectoryAndConfiguration(t *testing.T) {
	r := newRig()
	var got [][]string
	got = append(got, r.NotReadyReasons())
	r.handle(twoWorkers())
	got = append(got, r.NotReadyReasons())
	r.handle(control.DirectoryRead{Bundle: &bundle.Bundle{Name: "operator", Version: 1}})
	got = append(got, r.NotReadyReasons())
	want := [][]string{{"an answer of the directory"}, {"a configuration"}, nil}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("missing (-want +got):\n%s", diff)
	}
}

func TestListedFollowsDirectory(t *testing.T) {
	r := newRig()
	type result struct{ Listed, Known bool }
	var got []result
	note := func() {
		listed, known := r.Listed()
		got = append(got, result{listed, known})
	}
	note()
	r.handle(twoWorkers())
	note()
	r.handle(control.DirectoryRead{Unlisted: removalOf("w1")})
	note()
	if diff := cmp.Diff([]result{{false, false}, {true, true}, {false, true}}, got); diff != "" {
		t.Errorf("listed (-want +got):\n%s", diff)
	}
}

// An entry replaced by another writer is not an expired lease, so no grace period applies.
func TestReplacedEntryIsRemovedAtOnceAfterOutage(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryReadFailed{Err: errors.New("down")})
	r.advance(outageThreshold + time.Second)
	r.handle(control.DirectoryRead{Revision: 50, Unlisted: []model.Unlisted{{Worker: "w2", Revision: 50, Replaced: true}}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive})
}

func TestUnknownServiceEntryReplacesNoWorker(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	r.handle(control.DirectoryRead{Revision: 3, Bundle: &bundle.Bundle{Name: "operator", Version: 1, Services: []bundle.Service{{Name: "shop"}}}})
	foreign := listing("w3", "10.0.0.2", 4, model.StateLive)
	foreign.Instance.Service = "nobody's"
	r.handle(control.DirectoryRead{Revision: 4, Listed: []model.Listing{foreign}})
	both := map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive}
	r.want(t, both)
	// A later configuration may define the service.
	r.handle(control.DirectoryRead{Revision: 5, Bundle: &bundle.Bundle{Name: "operator", Version: 2, Services: []bundle.Service{{Name: "shop"}, {Name: "nobody's"}}}})
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w3": model.StateLive})
}

func TestRestartUnderSameIDIsNewIncarnation(t *testing.T) {
	r := newRig()
	r.handle(twoWorkers())
	// The worker's lease expired during an outage, and it returns as a new incarnation.
	r.handle(control.DirectoryReadFailed{Err: errors.New("down")})
	r.advance(outageThreshold + time.Second)
	r.handle(control.DirectoryRead{Revision: 50, Unlisted: []model.Unlisted{{Worker: "w2", Revision: 50}}})
	restarted := listing("w2", "10.0.0.2", 60, model.StateLive)
	restarted.Revision = 60
	restarted.Instance.WorkerStarted = 1783600000123
	var listed int
	for _, a := range r.handle(control.DirectoryRead{Revision: 60, Listed: []model.Listing{restarted}}) {
		if rec, ok := a.(control.Record); ok && rec.Event == event.WorkerListed {
			listed++
		}
	}
	if listed != 1 {
		t.Errorf("%d events of a listed worker, want 1", listed)
	}
	r.advance(2 * relistGrace)
	r.want(t, map[model.WorkerID]model.UpstreamState{"w1": model.StateLive, "w2": model.StateLive})
	in, _ := r.instance("10.0.0.2")
	if want := (model.WorkerIncarnation{ID: "w2", Started: 1783600000123}); in.WorkerIncarnation() != want {
		t.Errorf("incarnation %+v, want %+v", in.WorkerIncarnation(), want)
	}
}
