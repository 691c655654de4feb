package directory

import (
	"fmt"
	"slices"
	"testing"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

func evacuation(dc model.DataCentre, revision uint64) model.Evacuation {
	return model.Evacuation{DataCentre: dc, Revision: revision}
}

func restored(dc model.DataCentre, revision uint64) model.Evacuation {
	return model.Evacuation{DataCentre: dc, Revision: revision, Ended: true}
}

func (r *rig) wantEvacuated(t *testing.T, when string, want ...model.DataCentre) {
	t.Helper()
	if got := r.board.Fleet.Get().Evacuated; !slices.Equal(got, want) {
		t.Errorf("%s: evacuated %q, want %q", when, got, want)
	}
}

func changeRead(revision uint64, changes ...model.Evacuation) control.DirectoryRead {
	return control.DirectoryRead{Revision: revision, Evacuations: changes}
}

func fullRead(revision uint64, listed ...model.Evacuation) control.DirectoryRead {
	return control.DirectoryRead{Revision: revision, Full: true, Evacuations: listed}
}

func TestLatestEvacuationRevisionCounts(t *testing.T) {
	r := newRig()
	r.handle(fullRead(10, evacuation("a", 4)))
	r.wantEvacuated(t, "a node that starts", "a")
	r.handle(changeRead(12, evacuation("b", 12)))
	r.wantEvacuated(t, "two evacuations at a time", "a", "b")
	r.handle(changeRead(14, restored("a", 14)))
	r.wantEvacuated(t, "one evacuation ended", "b")
	r.handle(changeRead(14, evacuation("a", 4)))
	r.wantEvacuated(t, "an older evacuation received again", "b")
	r.handle(changeRead(20, evacuation("a", 18)))
	r.wantEvacuated(t, "a data centre evacuated again", "a", "b")
	r.handle(changeRead(21, restored("a", 14)))
	r.wantEvacuated(t, "the end of an earlier evacuation", "a", "b")
}

// A full list is not a snapshot: an entry that is written while its pages are read may be
// on a later page or missing.
func TestFullReadEndsMissingEvacuations(t *testing.T) {
	r := newRig()
	r.handle(fullRead(10, evacuation("a", 4), evacuation("b", 5)))
	r.handle(changeRead(30, evacuation("c", 30)))
	r.handle(fullRead(28, evacuation("b", 5)))
	r.wantEvacuated(t, "full list after lost history", "b", "c")
	r.handle(changeRead(31, evacuation("a", 4)))
	r.wantEvacuated(t, "an evacuation that was missing from the list", "b", "c")
	r.handle(fullRead(40))
	r.wantEvacuated(t, "an empty list")
}

func TestPeersReceiveEvacuationsAndEnds(t *testing.T) {
	sender := newRig()
	sender.handle(fullRead(10, evacuation("a", 4), evacuation("b", 5)))
	sender.handle(changeRead(12, restored("a", 12)))
	known := sender.board.Directory.Get()

	fresh := newRig()
	fresh.handle(control.PeerDirectoryReceived{From: "p", DirectoryRead: Changes(known, knownAfter(0))})
	fresh.wantEvacuated(t, "a node that starts", "b")

	behind := newRig()
	behind.handle(fullRead(10, evacuation("a", 4), evacuation("b", 5)))
	behind.handle(control.PeerDirectoryReceived{From: "p", DirectoryRead: Changes(known, knownAfter(10))})
	behind.wantEvacuated(t, "a node that is behind", "b")
}

func TestEvictedEvacuationEndsNeedFullList(t *testing.T) {
	sender := newRig()
	sender.handle(fullRead(10, evacuation("old", 4)))
	sender.handle(changeRead(11, restored("old", 11)))
	for i := range uint64(maxEvacuationEnds + 1) {
		dc := model.DataCentre(fmt.Sprint("dc", i))
		sender.handle(changeRead(100+2*i, evacuation(dc, 100+2*i)))
		sender.handle(changeRead(101+2*i, restored(dc, 101+2*i)))
	}
	if n := len(sender.evacuated.latest); n > maxEvacuationEnds+1 {
		t.Errorf("%d evacuations and ends are remembered", n)
	}
	behind := newRig()
	behind.handle(fullRead(10, evacuation("old", 4)))
	behind.handle(control.PeerDirectoryReceived{From: "p", DirectoryRead: Changes(sender.board.Directory.Get(), knownAfter(10))})
	behind.wantEvacuated(t, "a node that is far behind")
}

func TestWarmingUntilIsPublished(t *testing.T) {
	r := newRig()
	l := listing("w1", "10.0.0.2", 1, model.StateLive)
	l.Revision, l.WarmingMs = 3, 2000
	r.handle(control.DirectoryRead{Revision: 3, Full: true, Listed: []model.Listing{l}})
	if got := r.board.Fleet.Get().Instances[0].WarmingUntil; !got.Equal(r.now.Add(2e9)) {
		t.Errorf("warming until %s, want 2 s from now", got)
	}
	l.Revision, l.WarmingMs = 5, 0
	r.handle(control.DirectoryRead{Revision: 5, Listed: []model.Listing{l}})
	if got := r.board.Fleet.Get().Instances[0].WarmingUntil; !got.IsZero() {
		t.Errorf("warming until %s although the worker reports that it is warm", got)
	}
}
