package spread

import (
	"crypto/ed25519"
	"fmt"
	"gypsumstand/internal/packed"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// single is one controller, ready on the platform's word, with bundle a@5 in
// force and links to the given peers.
type single struct {
	c     *Controller
	board *blackboard.Board
	now   time.Time
	// index is what wait answers reads of the index with; nil for nothing.
	index []model.BundleVersion
}

func newSingle(t *testing.T, peers ...model.InstanceID) *single {
	t.Helper()
	s := &single{board: &blackboard.Board{}, now: epoch}
	s.c = New(Config{Self: model.Instance{ID: "self"}, Trusted: trusted}, s.board, rand.New(rand.NewPCG(1, 1)))
	for !hasAction(s.tick(), control.ReadIndex{}) {
		s.now = s.now.Add(control.TickInterval)
	}
	s.handle(control.IndexRead{Versions: []model.BundleVersion{{Name: "a", Version: 5}}})
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 5, 0)})
	s.index = []model.BundleVersion{{Name: "a", Version: 5}}
	s.wait(aloneWait)
	if !s.c.Ready() {
		t.Fatalf("not ready: %v", s.c.Missing())
	}
	for _, id := range peers {
		s.handle(control.LinkUp{Peer: model.Instance{ID: id}})
	}
	return s
}

func (s *single) handle(ev control.Event) []control.Action { return s.c.Handle(s.now, ev) }

func (s *single) from(peer model.InstanceID, m wire.Message) []control.Action {
	return s.handle(control.Received{From: peer, Message: m})
}

func (s *single) tick() []control.Action { return s.handle(control.Tick{}) }

// wait ticks for d and returns all actions.
func (s *single) wait(d time.Duration) (out []control.Action) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(control.TickInterval)
		got := s.tick()
		if s.index != nil && hasAction(got, control.ReadIndex{}) {
			got = append(got, s.handle(control.IndexRead{Versions: s.index})...)
		}
		out = append(out, got...)
	}
	return out
}

// readIndex lets the timer fire and answers with the given versions.
func (s *single) readIndex(versions ...model.BundleVersion) []control.Action {
	for !hasAction(s.tick(), control.ReadIndex{}) {
		s.now = s.now.Add(control.TickInterval)
	}
	return s.handle(control.IndexRead{Versions: versions})
}

func (s *single) inForce() uint64 { return s.board.Bundles.Get().Bundle("a").Version }

func hasAction(actions []control.Action, want control.Action) bool {
	for _, a := range actions {
		if cmp.Equal(a, want) {
			return true
		}
	}
	return false
}

func recorded(actions []control.Action, id event.ID) (n int) {
	for _, a := range actions {
		if r, ok := a.(control.Record); ok && r.Event == id {
			n++
		}
	}
	return n
}

// sentTo returns the messages of type M to a peer.
func sentTo[M wire.Message](actions []control.Action, to model.InstanceID) (out []M) {
	for _, a := range actions {
		if s, ok := a.(control.Send); ok && s.To == to {
			if m, ok := s.Message.(M); ok {
				out = append(out, m)
			}
		}
	}
	return out
}

func packedBody(name model.BundleName, version uint64, raw []byte) wire.BundleBody {
	body, err := packed.Pack(raw)
	if err != nil {
		panic(err)
	}
	return wire.BundleBody{Version: model.BundleVersion{Name: name, Version: version}, Packed: body}
}

func marshal(s bundle.Signed) []byte {
	raw, err := wire.Marshal(s)
	if err != nil {
		panic(err)
	}
	return raw
}

var badBodies = map[string]struct {
	raw    []byte
	reason Reason
}{
	"no CBOR":        {[]byte("hello"), ReasonMalformed},
	"unsigned":       {marshal(bundle.Signed{Signer: "ana", Bundle: bundleText("a", 6, 0)}), ReasonUnsigned},
	"unknown signer": {marshal(bundle.Sign("eve", testKey, bundleText("a", 6, 0))), ReasonUnknownSigner},
	"foreign key": {marshal(bundle.Sign("ana", ed25519.NewKeyFromSeed(make([]byte, ed25519.SeedSize)),
		bundleText("a", 6, 0))), ReasonAltered},
	"no TOML":       {signedText([]byte("name = ")), ReasonContradictory},
	"contradictory": {signedText([]byte("name = \"a\"\n")), ReasonContradictory},
	"another name":  {signed("b", 6, 0), ReasonWrongName},
	"older":         {signed("a", 4, 0), ReasonOlder},
	"second sign-off": {signedText(append(bundleText("a", 5, 0),
		"# other\n"...)), ReasonConflict},
	"over a megabyte": {make([]byte, bundle.MaxBytes+1), ReasonTooLarge},
}

func TestBadBodyIsRefusedAndTheOneInForceStays(t *testing.T) {
	for name, bad := range badBodies {
		t.Run(name, func(t *testing.T) {
			s := newSingle(t, "p", "q")
			s.from("p", wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: "a", Version: 6}}})
			out := s.from("p", packedBody("a", 6, bad.raw))
			if got := s.c.Counters().Refused; got[bad.reason] != 1 {
				t.Errorf("refusals %v, want one for %s", got, bad.reason)
			}
			logged := recorded(out, event.BundleRefused) + recorded(out, event.BundleOlder) + recorded(out, event.BundleConflict)
			if logged != 1 {
				t.Errorf("%d events logged, want 1", logged)
			}
			s.from("p", wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: "a", Version: 6}}})
			later := s.wait(badPeerPause - time.Second)
			if len(sentTo[wire.BundleRequest](later, "p")) > 0 {
				t.Error("asked the peer again at once")
			}
			if s.inForce() != 5 {
				t.Errorf("version %d in force, want 5", s.inForce())
			}
		})
	}
}

func TestBadValueOfThePlatformIsLoggedOnceAndMayBeMended(t *testing.T) {
	for name, bad := range badBodies {
		t.Run(name, func(t *testing.T) {
			s := newSingle(t)
			reads, logs, begun := 0, 0, s.now
			for range 60 {
				out := s.readIndex(model.BundleVersion{Name: "a", Version: 6})
				if hasAction(out, control.ReadValue{Name: "a"}) {
					reads++
					out = append(out, s.handle(control.ValueRead{Name: "a", Data: bad.raw})...)
				}
				if age := s.now.Sub(s.c.Confirmed()); age > time.Second {
					t.Fatalf("the rest was confirmed %s ago", age)
				}
				logs += recorded(out, event.BundleRefused) + recorded(out, event.BundleOlder) + recorded(out, event.BundleConflict)
				s.wait(time.Second)
			}
			most := int(s.now.Sub(begun)/refusedPause) + 1
			if reads == 0 || reads > most || logs != 1 {
				t.Errorf("%d reads and %d log lines, want 1 to %d and 1", reads, logs, most)
			}
			if got := s.c.Counters().Refused[bad.reason]; got != 1 {
				t.Errorf("the same bytes were checked %d times", got)
			}
			if s.inForce() != 5 {
				t.Errorf("version %d in force, want 5", s.inForce())
			}
			mended := s.now
			for s.inForce() != 6 && s.now.Sub(mended) < bound {
				if out := s.readIndex(model.BundleVersion{Name: "a", Version: 6}); hasAction(out, control.ReadValue{Name: "a"}) {
					s.handle(control.ValueRead{Name: "a", Data: signed("a", 6, 0)})
				}
				s.wait(control.TickInterval)
			}
			if s.inForce() != 6 {
				t.Errorf("the same version, mended, is not in force after %s", bound)
			}
		})
	}
}

func TestSecondSignOffIsFoundByComparison(t *testing.T) {
	s := newSingle(t, "p")
	out := append(s.wait(2*compareInterval), s.from("p", wire.BundleCompare{Nonce: 1})...)
	asked := sentTo[wire.BundleCompare](out, "p")
	reply := sentTo[wire.BundleCompareReply](out, "p")
	if len(asked) == 0 || len(reply) != 1 {
		t.Fatalf("%d questions and %d replies", len(asked), len(reply))
	}
	nonce := asked[len(asked)-1].Nonce
	buckets := append([]uint64(nil), reply[0].Buckets...)
	buckets[bucketOf("a")] ^= 1
	ask := sentTo[wire.BundleListRequest](s.from("p", wire.BundleCompareReply{Nonce: nonce, Digest: 1, Ready: true, Buckets: buckets}), "p")
	want := []wire.BundleListRequest{{Nonce: nonce, Buckets: 1 << bucketOf("a")}}
	if diff := cmp.Diff(want, ask); diff != "" {
		t.Fatal(diff)
	}
	held := []wire.HeldBundle{{Name: "a", Version: 5, Content: 1}}
	out = s.from("p", wire.BundleList{Nonce: nonce, Buckets: want[0].Buckets, Held: held})
	if recorded(out, event.BundleConflict) != 1 || s.inForce() != 5 {
		t.Errorf("%d conflicts logged, version %d in force", recorded(out, event.BundleConflict), s.inForce())
	}
}

func TestComparisonTellsThePeerWhatItLacks(t *testing.T) {
	s := newSingle(t, "p")
	asked := sentTo[wire.BundleCompare](s.wait(2*compareInterval), "p")
	nonce := asked[len(asked)-1].Nonce
	s.from("p", wire.BundleCompareReply{Nonce: nonce, Ready: true, Buckets: make([]uint64, wire.BundleBuckets)})
	out := s.from("p", wire.BundleList{Nonce: nonce, Buckets: 1 << bucketOf("a")})
	want := []wire.BundleAnnouncement{{Versions: []model.BundleVersion{{Name: "a", Version: 5}}}}
	if diff := cmp.Diff(want, sentTo[wire.BundleAnnouncement](out, "p")); diff != "" {
		t.Error(diff)
	}
}

func TestBundlesContradictGoesToTheFirstName(t *testing.T) {
	text := strings.Replace(string(bundleText("a", 9, 0)), `name = "a"`, `name = "0first"`, 1)
	twin := signedText([]byte(text))
	s := newSingle(t)
	s.readIndex(model.BundleVersion{Name: "0first", Version: 9}, model.BundleVersion{Name: "a", Version: 5})
	out := s.handle(control.ValueRead{Name: "0first", Data: twin})
	out = append(out, s.wait(control.TickInterval)...)
	if recorded(out, event.BundlesContradict) != 1 {
		t.Error("no event")
	}
	if _, b := s.board.Bundles.Get().Service("a"); b.Name != "0first" {
		t.Errorf("bundle %s governs the service", b.Name)
	}
}

func TestUploadIsBounded(t *testing.T) {
	s := newSingle(t, "p")
	s.readIndex(model.BundleVersion{Name: "a", Version: 6})
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 6, 100_000)})
	body := float64(s.c.held.packedBytes)
	ask := wire.BundleRequest{Versions: []model.BundleVersion{{Name: "a", Version: 6}}}
	sent, declined := 0, []wire.BundleDecline{}
	for range 1000 {
		out := s.from("p", ask)
		sent += len(sentTo[wire.BundleBody](out, "p"))
		declined = append(declined, sentTo[wire.BundleDecline](out, "p")...)
	}
	if most := int(uploadBurstBytes/body) + 1; sent == 0 || sent > most {
		t.Errorf("%d bodies at once, want at most %d", sent, most)
	}
	if len(declined) != 1000-sent || declined[0].RetryAfterMs == 0 {
		t.Errorf("%d declined, first %+v", len(declined), declined[0])
	}
	s.wait(time.Minute)
	if out := s.from("p", ask); len(sentTo[wire.BundleBody](out, "p")) != 1 {
		t.Error("no body after a minute")
	}
}

func TestMessagesOutOfBoundsAreCountedAndHarmless(t *testing.T) {
	long := model.BundleName(make([]byte, maxNameBytes+1))
	many := make([]model.BundleVersion, 10*maxVersions)
	for i := range many {
		many[i] = model.BundleVersion{Name: model.BundleName(fmt.Sprint(i)), Version: 1}
	}
	for _, m := range []wire.Message{
		wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: long, Version: 1}}},
		wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: "a", Version: 0}}},
		wire.BundleAnnouncement{Versions: many},
		wire.BundleRequest{Versions: many},
		wire.BundleBody{Version: model.BundleVersion{Name: long, Version: 9}},
	} {
		s := newSingle(t, "p")
		if s.from("p", m); s.c.Counters().Malformed == 0 || len(s.c.wants.list) > maxVersions {
			t.Errorf("%T: counted %d, wants %d", m, s.c.Counters().Malformed, len(s.c.wants.list))
		}
	}
}

func TestPackedBombIsRefused(t *testing.T) {
	s := newSingle(t, "p")
	s.from("p", packedBody("a", 6, make([]byte, 2*bundle.MaxBytes)))
	if s.c.Counters().Refused[ReasonTooLarge] != 1 {
		t.Errorf("refusals %v", s.c.Counters().Refused)
	}
}
