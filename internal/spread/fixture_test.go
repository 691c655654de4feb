package spread

import (
	"crypto/ed25519"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

var (
	epoch   = time.Unix(1_700_000_000, 0)
	testKey = ed25519.NewKeyFromSeed([]byte("a seed of thirty-two bytes, fixed"[:ed25519.SeedSize]))
	trusted = []bundle.Signer{{Name: "ana", Key: testKey.Public().(ed25519.PublicKey)}}
)

// bundleText returns a valid bundle of about size bytes.
func bundleText(name string, version uint64, size int) []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "name = %q\nversion = %d\n\n", name, version)
	b.WriteString("[[class]]\nname = \"std\"\nworth = 1.0\ndeadline_ms = 500\n\n")
	fmt.Fprintf(&b, "[[service]]\nname = %q\nslots = 20\nconnections = 260\n\n", name)
	fmt.Fprintf(&b, "[[service.route]]\npath = \"/%s/\"\nclass = \"std\"\n", name)
	rng := rand.New(rand.NewPCG(xxhash.Sum64String(name), 0))
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "\n[[service.upstream]]\ninstance = \"%s-%04x-%d\"\nslots = %d\nconnections = %d\n",
			name, rng.Uint32()&0xffff, i, 10+rng.IntN(20), 200+rng.IntN(100))
	}
	return []byte(b.String())
}

// signed returns the CBOR form of a signed bundle.
func signed(name string, version uint64, size int) []byte {
	return signedText(bundleText(name, version, size))
}

func signedText(text []byte) []byte {
	raw, err := bundle.Sign("ana", testKey, text).Marshal()
	if err != nil {
		panic(err)
	}
	return raw
}

// fakePlatform simulates the configuration service.
type fakePlatform struct {
	values map[model.BundleName]platformValue
	stale  map[model.BundleName]platformValue
	down   bool
	reads  int
	perSec map[int64]int
}

type platformValue struct {
	version uint64
	raw     []byte
	// fails makes every read of the value fail.
	fails bool
}

func (p *fakePlatform) current() map[model.BundleName]platformValue {
	if p.stale != nil {
		return p.stale
	}
	return p.values
}

func (f *fleet) publish(name string, version uint64, size int) {
	f.platform.values[model.BundleName(name)] = platformValue{version: version, raw: signed(name, version, size)}
}

func (f *fleet) countRead() {
	f.platform.reads++
	f.platform.perSec[f.now.Unix()]++
}

func (f *fleet) readIndex(nd *node) {
	f.countRead()
	if f.platform.down {
		f.post(nd, 5*time.Millisecond, control.IndexReadFailed{})
		return
	}
	var versions []model.BundleVersion
	for name, v := range f.platform.current() {
		versions = append(versions, model.BundleVersion{Name: name, Version: v.version})
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i].Name < versions[j].Name })
	f.post(nd, 2*time.Millisecond, control.IndexRead{Versions: versions})
}

func (f *fleet) readValue(nd *node, name model.BundleName) {
	f.countRead()
	v, ok := f.platform.current()[name]
	if f.platform.down || !ok || v.fails {
		f.post(nd, 5*time.Millisecond, control.ValueReadFailed{Name: name})
		return
	}
	nd.hops = 0
	f.post(nd, 12*time.Millisecond, control.ValueRead{Name: name, Data: v.raw})
}
