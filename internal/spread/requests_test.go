package spread

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

func TestVersionOnCallIsRequestedFromSender(t *testing.T) {
	seen := control.VersionSeen{From: "p", Version: model.BundleVersion{Name: "a", Version: 6}}
	request := wire.BundleRequest{Versions: []model.BundleVersion{{Name: "a", Version: 6}}}

	s := newSingleNode(t, "p", "q")
	if got := sentTo[wire.BundleRequest](s.handle(seen), "p"); len(got) != 1 || got[0].Versions[0] != request.Versions[0] {
		t.Errorf("requested %v from the linked sender", got)
	}
	s = newSingleNode(t, "q")
	if got := sentTo[wire.BundleRequest](s.handle(seen), "q"); len(got) != 1 {
		t.Errorf("requested %v from another link", got)
	}
	s = newSingleNode(t)
	s.handle(seen)
	if !hasAction(s.wait(2*peersFirst), control.ReadValue{Name: "a"}) {
		t.Error("the configuration service was not read although there is no link")
	}
}

func TestRequestTimeoutTriesAnotherPeer(t *testing.T) {
	s := newSingleNode(t, "p", "q")
	var versions []model.BundleVersion
	for i := range 8 {
		versions = append(versions, model.BundleVersion{Name: model.BundleName(fmt.Sprint(i)), Version: 1})
	}
	requestsTo := func(out []control.Action) (p, q []wire.BundleRequest) {
		return sentTo[wire.BundleRequest](out, "p"), sentTo[wire.BundleRequest](out, "q")
	}
	p, q := requestsTo(append(s.receive("p", wire.BundleAnnouncement{Versions: versions}), s.receive("q", wire.BundleAnnouncement{Versions: versions})...))
	if len(p) != 1 || len(p[0].Versions) != 8 || len(q) != 0 {
		t.Fatalf("requested %v and %v, want all from the first peer", p, q)
	}
	p, q = requestsTo(s.wait(requestTimeout + requestJitter))
	again := 0
	for _, m := range q {
		again += len(m.Versions)
	}
	if len(p) != 0 || again != 8 {
		t.Errorf("after the timeout, requested %v from the same peer and %d versions from the other", p, again)
	}
}

func TestLinkDownTriesAnotherPeer(t *testing.T) {
	newest := []model.BundleVersion{{Name: "a", Version: 6}}
	s := newSingleNode(t, "p", "q")
	s.receive("p", wire.BundleAnnouncement{Versions: newest})
	s.receive("q", wire.BundleAnnouncement{Versions: newest})
	if out := s.handle(control.LinkDown{Peer: "p"}); len(sentTo[wire.BundleRequest](out, "q")) != 1 {
		t.Error("no request to the other peer")
	}
}

func TestDeclinedRequestIsDelayed(t *testing.T) {
	newest := []model.BundleVersion{{Name: "a", Version: 6}}
	s := newSingleNode(t, "p")
	s.receive("p", wire.BundleAnnouncement{Versions: newest})
	if out := s.receive("p", wire.BundleDecline{Versions: newest}); len(sentTo[wire.BundleRequest](out, "p")) > 0 {
		t.Error("requested again at once")
	}
	if out := s.wait(2 * declineDelay); len(sentTo[wire.BundleRequest](out, "p")) == 0 {
		t.Error("never requested again")
	}
}

// Request and decline must not repeat as fast as the network allows.
func TestDeclinedRequestIsDelayedWhenHolderHasNoLink(t *testing.T) {
	newest := []model.BundleVersion{{Name: "a", Version: 6}}
	s := newSingleNode(t, "q")
	if out := s.handle(control.VersionSeen{From: "stranger", Version: newest[0]}); len(sentTo[wire.BundleRequest](out, "q")) != 1 {
		t.Fatal("no request to the peer")
	}
	if out := s.receive("q", wire.BundleDecline{Versions: newest}); len(sentTo[wire.BundleRequest](out, "q")) > 0 {
		t.Error("requested again at once")
	}
	if out := s.wait(2 * declineDelay); len(sentTo[wire.BundleRequest](out, "q")) == 0 {
		t.Error("never requested again")
	}
}

// valueReads returns the names whose values are to be read.
func valueReads(out []control.Action) (names []model.BundleName) {
	for _, a := range out {
		if r, ok := a.(control.ReadValue); ok {
			names = append(names, r.Name)
		}
	}
	return names
}

// failReads fails every value read for d and counts the reads.
func (s *singleNode) failReads(out []control.Action, d time.Duration) (reads int) {
	open := valueReads(out)
	for end := s.now.Add(d); s.now.Before(end); open = valueReads(s.wait(control.TickInterval)) {
		for ; len(open) > 0; open = open[1:] {
			reads++
			open = append(open, valueReads(s.handle(control.ValueReadFailed{Name: open[0]}))...)
		}
	}
	return reads
}

func TestValueReadsOfManyChangesAreBounded(t *testing.T) {
	versions := []model.BundleVersion{{Name: "a", Version: 5}}
	for i := range 1000 {
		versions = append(versions, model.BundleVersion{Name: model.BundleName(fmt.Sprint(i)), Version: 1})
	}
	silent := newSingleNode(t)
	if got := valueReads(append(silent.readIndex(versions...), silent.wait(2*time.Second)...)); len(got) != maxValueReads {
		t.Errorf("%d reads at once", len(got))
	}
	s := newSingleNode(t)
	reads := s.failReads(s.readIndex(versions...), time.Second)
	if reads < listedReadsBurst || reads > listedReadsBurst+listedReadsPerSecond+maxValueReads {
		t.Errorf("%d reads in a second", reads)
	}
}

func TestFleetMissingBodiesLimitsValueReads(t *testing.T) {
	s := newSingleNode(t)
	s.board.Fleet.Put(fleetOf(10_000))
	for i := range 100 {
		s.handle(control.VersionSeen{From: "p", Version: model.BundleVersion{Name: model.BundleName(fmt.Sprint(i)), Version: 1}})
	}
	before := s.c.Counters().ValueReads
	s.wait(fetchExpiry)
	most := otherReadsBurst + fleetReadsPerSecond*fetchExpiry.Seconds()/10_000 + 1
	if got := s.c.Counters().ValueReads - before; got == 0 || float64(got) > most {
		t.Errorf("%d reads in a minute, want at most %.0f", got, most)
	}
}

func TestFalseVersionDoesNotBlockGenuineOne(t *testing.T) {
	s := newSingleNode(t, "liar", "p")
	s.receive("liar", wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: "a", Version: 1 << 60}}})
	s.receive("p", wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: "a", Version: 6}}})
	out := s.wait(5 * time.Second)
	if len(sentTo[wire.BundleRequest](out, "p")) == 0 {
		t.Fatal("no request to the honest peer")
	}
	s.receive("p", packedBody("a", 6, signed("a", 6, 0)))
	out = s.wait(2 * fetchExpiry)
	if s.inForce() != 6 || len(s.c.fetches.list) > 0 || recorded(out, event.BundleUnobtainable) != 1 {
		t.Errorf("a@%d in force, %d fetches, %d alerts", s.inForce(), len(s.c.fetches.list), recorded(out, event.BundleUnobtainable))
	}
}
