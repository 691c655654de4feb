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

func takenBack(dc model.DataCentre, revision uint64) model.Evacuation {
	return model.Evacuation{DataCentre: dc, Revision: revision, Ended: true}
}

func (r *rig) wantEvacuated(t *testing.T, when string, want ...model.DataCentre) {
	t.Helper()
	if got := r.board.Fleet.Get().Evacuated; !slices.Equal(got, want) {
		t.Errorf("%s: evacuated %q, want %q", when, got, want)
	}
}

func changed(revision uint64, words ...model.Evacuation) control.DirectoryRead {
	return control.DirectoryRead{Revision: revision, Evacuations: words}
}

func whole(revision uint64, words ...model.Evacuation) control.DirectoryRead {
	return control.DirectoryRead{Revision: revision, Full: true, Evacuations: words}
}

func TestTheNewestWordOnADataCentreHolds(t *testing.T) {
	r := newRig()
	r.handle(whole(10, evacuation("a", 4)))
	r.wantEvacuated(t, "a node that starts", "a")
	r.handle(changed(12, evacuation("b", 12)))
	r.wantEvacuated(t, "two at a time", "a", "b")
	r.handle(changed(14, takenBack("a", 14)))
	r.wantEvacuated(t, "one taken back", "b")
	r.handle(changed(14, evacuation("a", 4)))
	r.wantEvacuated(t, "an older word again", "b")
	r.handle(changed(20, evacuation("a", 18)))
	r.wantEvacuated(t, "evacuated once more", "a", "b")
	r.handle(changed(21, takenBack("a", 14)))
	r.wantEvacuated(t, "the end of the one before", "a", "b")
}

// Pages are no snapshot: what is put while they are read may stand on a later one or not.
func TestAWholeListEndsWhatItLacksUnlessThatIsNewer(t *testing.T) {
	r := newRig()
	r.handle(whole(10, evacuation("a", 4), evacuation("b", 5)))
	r.handle(changed(30, evacuation("c", 30)))
	r.handle(whole(28, evacuation("b", 5)))
	r.wantEvacuated(t, "after lost history", "b", "c")
	r.handle(changed(31, evacuation("a", 4)))
	r.wantEvacuated(t, "the word that the list lacked", "b", "c")
	r.handle(whole(40))
	r.wantEvacuated(t, "a list that names none")
}

func TestPeersAreToldOfEvacuationsAndTheirEnds(t *testing.T) {
	teller := newRig()
	teller.handle(whole(10, evacuation("a", 4), evacuation("b", 5)))
	teller.handle(changed(12, takenBack("a", 12)))
	known := teller.board.Directory.Get()

	fresh := newRig()
	fresh.handle(control.PeerDirectoryReceived{From: "p", DirectoryRead: Changes(known, 0)})
	fresh.wantEvacuated(t, "a node that starts", "b")

	behind := newRig()
	behind.handle(whole(10, evacuation("a", 4), evacuation("b", 5)))
	behind.handle(control.PeerDirectoryReceived{From: "p", DirectoryRead: Changes(known, 10)})
	behind.wantEvacuated(t, "a node that is behind", "b")
}

func TestForgottenEndsOfEvacuationsAreToldByTheWholeList(t *testing.T) {
	teller := newRig()
	teller.handle(whole(10, evacuation("old", 4)))
	teller.handle(changed(11, takenBack("old", 11)))
	for i := range uint64(maxEvacuationEnds + 1) {
		dc := model.DataCentre(fmt.Sprint("dc", i))
		teller.handle(changed(100+2*i, evacuation(dc, 100+2*i)))
		teller.handle(changed(101+2*i, takenBack(dc, 101+2*i)))
	}
	if n := len(teller.evacuated.newest); n > maxEvacuationEnds+1 {
		t.Errorf("%d words are remembered", n)
	}
	behind := newRig()
	behind.handle(whole(10, evacuation("old", 4)))
	behind.handle(control.PeerDirectoryReceived{From: "p", DirectoryRead: Changes(teller.board.Directory.Get(), 10)})
	behind.wantEvacuated(t, "a node that is far behind")
}

func TestAWarmingWorkerIsShownUntilItIsWarm(t *testing.T) {
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
		t.Errorf("warming until %s although the worker says that it is warm", got)
	}
}
