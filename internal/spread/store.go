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

// maxPackedBytes bounds the packed bytes kept to serve peers. A bundle that would exceed
// it is in force here, but peers must get it elsewhere.
const maxPackedBytes = 48 << 20

// item is one bundle in force.
type item struct {
	bundle *bundle.Bundle
	// content is a hash of the signed bytes.
	content uint64
	// packed is the form sent to peers; nil when packing failed or maxPackedBytes was
	// reached.
	packed []byte
	// since is when the bundle came into force here.
	since time.Time
}

// bundleStore holds the bundles in force, with digests of their versions.
type bundleStore struct {
	items       map[model.BundleName]*item
	digest      uint64
	buckets     [wire.BundleBuckets]uint64
	packedBytes int
}

func newBundleStore() *bundleStore {
	return &bundleStore{items: map[model.BundleName]*item{}}
}

// version returns the version in force; zero for none.
func (s *bundleStore) version(name model.BundleName) uint64 {
	if it := s.items[name]; it != nil {
		return it.bundle.Version
	}
	return 0
}

// put replaces the bundle of that name and reports whether its packed bytes are kept.
func (s *bundleStore) put(it *item) (kept bool) {
	name := it.bundle.Name
	if old := s.items[name]; old != nil {
		s.toggleHash(old)
		s.packedBytes -= len(old.packed)
	}
	if s.packedBytes+len(it.packed) > maxPackedBytes {
		it.packed = nil
	}
	s.packedBytes += len(it.packed)
	s.items[name] = it
	s.toggleHash(it)
	return it.packed != nil
}

// toggleHash adds an item to the digests, or removes it.
func (s *bundleStore) toggleHash(it *item) {
	sum := entryHash(it.bundle.VersionID(), it.content)
	s.digest ^= sum
	s.buckets[bucketOf(it.bundle.Name)] ^= sum
}

// inOrder returns the items sorted by name.
func (s *bundleStore) inOrder() []*item {
	all := make([]*item, 0, len(s.items))
	for _, it := range s.items {
		all = append(all, it)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].bundle.Name < all[j].bundle.Name })
	return all
}

// bundles returns the bundles in force, sorted by name.
func (s *bundleStore) bundles() []*bundle.Bundle {
	all := make([]*bundle.Bundle, 0, len(s.items))
	for _, it := range s.inOrder() {
		all = append(all, it.bundle)
	}
	return all
}

// entryHash returns a hash of name, version and content.
func entryHash(v model.BundleVersion, content uint64) uint64 {
	buf := make([]byte, 0, len(v.Name)+2*8)
	buf = append(buf, v.Name...)
	buf = binary.BigEndian.AppendUint64(buf, v.Version)
	buf = binary.BigEndian.AppendUint64(buf, content)
	return xxhash.Sum64(buf)
}

// bucketOf returns the bucket of a name, which is the same on every node.
func bucketOf(name model.BundleName) int {
	return int(xxhash.Sum64String(string(name)) % wire.BundleBuckets)
}
