package spread

import (
	"encoding/binary"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// maxPackedBytes bounds the bytes kept for passing bundles on. A bundle that
// would go over it is in force here but peers must get it elsewhere.
const maxPackedBytes = 48 << 20

// item is one bundle in force.
type item struct {
	bundle *bundle.Bundle
	// content is a hash of the signed bytes.
	content uint64
	// packed is what peers are sent; nil when the bound on memory was reached.
	packed []byte
	// since is when it came into force here.
	since time.Time
}

// holdings are the bundles in force with digests of their versions.
type holdings struct {
	items       map[model.BundleName]*item
	digest      uint64
	buckets     [wire.BundleBuckets]uint64
	packedBytes int
}

func newHoldings() *holdings {
	return &holdings{items: map[model.BundleName]*item{}}
}

// version returns the version in force, zero for none.
func (h *holdings) version(name model.BundleName) uint64 {
	if it := h.items[name]; it != nil {
		return it.bundle.Version
	}
	return 0
}

// put replaces the bundle of that name. It reports whether the packed bytes are
// kept.
func (h *holdings) put(it *item) (kept bool) {
	name := it.bundle.Name
	if old := h.items[name]; old != nil {
		h.toggle(old)
		h.packedBytes -= len(old.packed)
	}
	if h.packedBytes+len(it.packed) > maxPackedBytes {
		it.packed = nil
	}
	h.packedBytes += len(it.packed)
	h.items[name] = it
	h.toggle(it)
	return it.packed != nil
}

// toggle adds an entry to the digests or takes it out.
func (h *holdings) toggle(it *item) {
	sum := entryHash(it.bundle.VersionID(), it.content)
	h.digest ^= sum
	h.buckets[bucketOf(it.bundle.Name)] ^= sum
}

// inOrder returns the items in the order of names.
func (h *holdings) inOrder() []*item {
	all := make([]*item, 0, len(h.items))
	for _, it := range h.items {
		all = append(all, it)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].bundle.Name < all[j].bundle.Name })
	return all
}

// bundles returns what is in force in the order of names.
func (h *holdings) bundles() []*bundle.Bundle {
	all := make([]*bundle.Bundle, 0, len(h.items))
	for _, it := range h.inOrder() {
		all = append(all, it.bundle)
	}
	return all
}

// entryHash is a hash of name, version and content.
func entryHash(v model.BundleVersion, content uint64) uint64 {
	buf := make([]byte, 0, len(v.Name)+2*8)
	buf = append(buf, v.Name...)
	buf = binary.BigEndian.AppendUint64(buf, v.Version)
	buf = binary.BigEndian.AppendUint64(buf, content)
	return xxhash.Sum64(buf)
}

// bucketOf returns the part that a name belongs to, the same on every node.
func bucketOf(name model.BundleName) int {
	return int(xxhash.Sum64String(string(name)) % wire.BundleBuckets)
}
