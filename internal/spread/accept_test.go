package spread

import (
	"crypto/ed25519"
	"fmt"
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
	"gypsumstand/internal/packed"
	"gypsumstand/internal/wire"
)

// singleNode is one controller that became ready from the configuration service, with
// bundle a@5 in force and links to the given peers.
type singleNode struct {
	c     *Controller
	board *blackboard.Board
	now   time.Time
	// indexVersions is the response of wait to index reads; nil for no response.
	indexVersions []model.BundleVersion
}

func newSingleNode(t *testing.T, peers ...model.InstanceID) *singleNode {
	t.Helper()
	s := &singleNode{board: &blackboard.Board{}, now: epoch}
	s.c = New(Config{Self: model.Instance{ID: "self"}, Trusted: trusted}, s.board, rand.New(rand.NewPCG(1, 1)))
	for !hasAction(s.tick(), control.ReadIndex{}) {
		s.now = s.now.Add(control.TickInterval)
	}
	s.handle(control.IndexRead{Versions: []model.BundleVersion{{Name: "a", Version: 5}}})
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 5, 0)})
	s.indexVersions = []model.BundleVersion{{Name: "a", Version: 5}}
	s.wait(noPeerWait)
	if !s.c.Ready() {
		t.Fatalf("not ready: %v", s.c.NotReadyReasons())
	}
	for _, id := range peers {
		s.handle(control.LinkUp{Peer: model.Instance{ID: id}})
	}
	return s
}

func (s *singleNode) handle(ev control.Event) []control.Action { return s.c.Handle(s.now, ev) }

func (s *singleNode) receive(peer model.InstanceID, m wire.Message) []control.Action {
	return s.handle(control.Received{From: peer, Message: m})
}

func (s *singleNode) tick() []control.Action { return s.handle(control.Tick{}) }

// wait ticks for d and returns all actions.
func (s *singleNode) wait(d time.Duration) (out []control.Action) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(control.TickInterval)
		got := s.tick()
		if s.indexVersions != nil && hasAction(got, control.ReadIndex{}) {
			got = append(got, s.handle(control.IndexRead{Versions: s.indexVersions})...)
		}
		out = append(out, got...)
	}
	return out
}

// readIndex ticks until an index read starts and responds with the given versions.
func (s *singleNode) readIndex(versions ...model.BundleVersion) []control.Action {
	for !hasAction(s.tick(), control.ReadIndex{}) {
		s.now = s.now.Add(control.TickInterval)
	}
	return s.handle(control.IndexRead{Versions: versions})
}

func (s *singleNode) inForce() uint64 { return s.board.Bundles.Get().Bundle("a").Version }

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

// sentTo returns the messages of type M sent to a peer.
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

func TestBadBodyIsRefused(t *testing.T) {
	for name, bad := range badBodies {
		t.Run(name, func(t *testing.T) {
			s := newSingleNode(t, "p", "q")
			s.receive("p", wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: "a", Version: 6}}})
			out := s.receive("p", packedBody("a", 6, bad.raw))
			if got := s.c.Counters().Refused; got[bad.reason] != 1 {
				t.Errorf("refusals %v, want one for %s", got, bad.reason)
			}
			logged := recorded(out, event.BundleRefused) + recorded(out, event.BundleOlder) + recorded(out, event.BundleConflict)
			if logged != 1 {
				t.Errorf("%d events logged, want 1", logged)
			}
			s.receive("p", wire.BundleAnnouncement{Versions: []model.BundleVersion{{Name: "a", Version: 6}}})
			later := s.wait(badPeerPeriod - time.Second)
			if len(sentTo[wire.BundleRequest](later, "p")) > 0 {
				t.Error("requested from the peer again at once")
			}
			if s.inForce() != 5 {
				t.Errorf("version %d in force, want 5", s.inForce())
			}
		})
	}
}

func TestBadConfigValueIsLoggedOnceAndCanBeRepublished(t *testing.T) {
	for name, bad := range badBodies {
		t.Run(name, func(t *testing.T) {
			s := newSingleNode(t)
			reads, logs, begun := 0, 0, s.now
			for range 60 {
				out := s.readIndex(model.BundleVersion{Name: "a", Version: 6})
				if hasAction(out, control.ReadValue{Name: "a"}) {
					reads++
					out = append(out, s.handle(control.ValueRead{Name: "a", Data: bad.raw})...)
				}
				if age := s.now.Sub(s.c.ConfirmedAt()); age > time.Second {
					t.Fatalf("the other bundles were confirmed %s ago", age)
				}
				logs += recorded(out, event.BundleRefused) + recorded(out, event.BundleOlder) + recorded(out, event.BundleConflict)
				s.wait(time.Second)
			}
			most := int(s.now.Sub(begun)/refusedReadDelay) + 1
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
			for s.inForce() != 6 && s.now.Sub(mended) < rollOutLimit {
				if out := s.readIndex(model.BundleVersion{Name: "a", Version: 6}); hasAction(out, control.ReadValue{Name: "a"}) {
					s.handle(control.ValueRead{Name: "a", Data: signed("a", 6, 0)})
				}
				s.wait(control.TickInterval)
			}
			if s.inForce() != 6 {
				t.Errorf("the same version, republished with a valid body, is not in force after %s", rollOutLimit)
			}
		})
	}
}

func TestComparisonFindsConflictingSignOff(t *testing.T) {
	s := newSingleNode(t, "p")
	out := append(s.wait(2*compareInterval), s.receive("p", wire.BundleCompare{Nonce: 1})...)
	comparisons := sentTo[wire.BundleCompare](out, "p")
	reply := sentTo[wire.BundleCompareReply](out, "p")
	if len(comparisons) == 0 || len(reply) != 1 {
		t.Fatalf("%d comparisons and %d replies", len(comparisons), len(reply))
	}
	nonce := comparisons[len(comparisons)-1].Nonce
	buckets := append([]uint64(nil), reply[0].Buckets...)
	buckets[bucketOf("a")] ^= 1
	listRequest := sentTo[wire.BundleListRequest](s.receive("p", wire.BundleCompareReply{Nonce: nonce, Digest: 1, Ready: true, Buckets: buckets}), "p")
	want := []wire.BundleListRequest{{Nonce: nonce, Buckets: 1 << bucketOf("a")}}
	if diff := cmp.Diff(want, listRequest); diff != "" {
		t.Fatal(diff)
	}
	held := []wire.HeldBundle{{Name: "a", Version: 5, Content: 1}}
	out = s.receive("p", wire.BundleList{Nonce: nonce, Buckets: want[0].Buckets, Held: held})
	if recorded(out, event.BundleConflict) != 1 || s.inForce() != 5 {
		t.Errorf("%d conflicts logged, version %d in force", recorded(out, event.BundleConflict), s.inForce())
	}
}

func TestComparisonNotifiesPeerOfNewerVersions(t *testing.T) {
	s := newSingleNode(t, "p")
	comparisons := sentTo[wire.BundleCompare](s.wait(2*compareInterval), "p")
	nonce := comparisons[len(comparisons)-1].Nonce
	s.receive("p", wire.BundleCompareReply{Nonce: nonce, Ready: true, Buckets: make([]uint64, wire.BundleBuckets)})
	out := s.receive("p", wire.BundleList{Nonce: nonce, Buckets: 1 << bucketOf("a")})
	want := []wire.BundleAnnouncement{{Versions: []model.BundleVersion{{Name: "a", Version: 5}}}}
	if diff := cmp.Diff(want, sentTo[wire.BundleAnnouncement](out, "p")); diff != "" {
		t.Error(diff)
	}
}

func TestContradictingServiceGoesToFirstBundleName(t *testing.T) {
	text := strings.Replace(string(bundleText("a", 9, 0)), `name = "a"`, `name = "0first"`, 1)
	twin := signedText([]byte(text))
	s := newSingleNode(t)
	s.readIndex(model.BundleVersion{Name: "0first", Version: 9}, model.BundleVersion{Name: "a", Version: 5})
	out := s.handle(control.ValueRead{Name: "0first", Data: twin})
	out = append(out, s.wait(control.TickInterval)...)
	if recorded(out, event.BundlesContradict) != 1 {
		t.Error("no BundlesContradict event")
	}
	if _, b := s.board.Bundles.Get().Service("a"); b.Name != "0first" {
		t.Errorf("bundle %s applies to the service", b.Name)
	}
}

func TestUploadIsBounded(t *testing.T) {
	s := newSingleNode(t, "p")
	s.readIndex(model.BundleVersion{Name: "a", Version: 6})
	s.handle(control.ValueRead{Name: "a", Data: signed("a", 6, 100_000)})
	body := float64(s.c.inForce.packedBytes)
	request := wire.BundleRequest{Versions: []model.BundleVersion{{Name: "a", Version: 6}}}
	sent, declined := 0, []wire.BundleDecline{}
	for range 1000 {
		out := s.receive("p", request)
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
	if out := s.receive("p", request); len(sentTo[wire.BundleBody](out, "p")) != 1 {
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
		s := newSingleNode(t, "p")
		if s.receive("p", m); s.c.Counters().Malformed == 0 || len(s.c.fetches.list) > maxVersions {
			t.Errorf("%T: %d malformed, %d fetches", m, s.c.Counters().Malformed, len(s.c.fetches.list))
		}
	}
}

func TestDecompressionBombIsRefused(t *testing.T) {
	s := newSingleNode(t, "p")
	s.receive("p", packedBody("a", 6, make([]byte, 2*bundle.MaxBytes)))
	if s.c.Counters().Refused[ReasonTooLarge] != 1 {
		t.Errorf("refusals %v", s.c.Counters().Refused)
	}
}
