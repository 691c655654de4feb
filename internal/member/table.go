package member

import (
	"math/rand/v2"
	"slices"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// maxInstances bounds the table; the design target is a fleet of 10,000.
const maxInstances = 1 << 16

// entry is one known instance with the hash of its record.
type entry struct {
	rec    wire.MemberRecord
	hash   uint64
	bucket uint16
}

// table holds the records of all known instances, tombstones included, sorted by id, with
// the hashes that digests compare.
type table struct {
	entries map[model.InstanceID]*entry
	order   []model.InstanceID
	// buckets hold the XOR of the hashes of records that are not gone; root is the XOR of
	// all buckets.
	buckets [wire.DigestBucketCount]uint64
	root    uint64
	// present counts the records that are not gone.
	present int
	// serving counts, per data centre, the records that are neither leaving nor gone.
	serving map[model.DataCentre]int
}

func newTable() *table {
	return &table{
		entries: map[model.InstanceID]*entry{},
		serving: map[model.DataCentre]int{},
	}
}

// mergeResult describes the effect of a merge.
type mergeResult struct {
	// before is the previous record; existed reports whether there was one.
	before  wire.MemberRecord
	existed bool
	after   wire.MemberRecord
	// changed reports whether the hashed part of the record changed.
	changed bool
	// stale reports whether the table had a newer announcement of the instance than the
	// merged one.
	stale bool
	// tableFull reports whether the record was refused because the table is full.
	tableFull bool
}

// merge joins r with the table's record of the same instance.
func (t *table) merge(r wire.MemberRecord) mergeResult {
	e := t.entries[r.ID]
	if e == nil {
		return t.add(r)
	}
	m := mergeResult{before: e.rec, existed: true}
	m.stale = compareAnnouncedFields(e.rec, r) > 0
	m.after = join(e.rec, r)
	if m.after == e.rec {
		return m
	}
	hash := hashRecord(m.after)
	m.changed = hash != e.hash
	t.removeCounts(e)
	e.rec, e.hash = m.after, hash
	t.addCounts(e)
	return m
}

func (t *table) add(r wire.MemberRecord) mergeResult {
	if len(t.entries) >= maxInstances {
		return mergeResult{after: r, tableFull: true}
	}
	e := &entry{rec: r, hash: hashRecord(r), bucket: uint16(bucketOf(r.ID))}
	t.entries[r.ID] = e
	at, _ := slices.BinarySearch(t.order, r.ID)
	t.order = slices.Insert(t.order, at, r.ID)
	t.addCounts(e)
	return mergeResult{after: r, changed: true}
}

// remove deletes an instance's record.
func (t *table) remove(id model.InstanceID) {
	e := t.entries[id]
	if e == nil {
		return
	}
	t.removeCounts(e)
	delete(t.entries, id)
	at, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Delete(t.order, at, at+1)
}

func (t *table) addCounts(e *entry) {
	if e.rec.State == model.StateGone {
		return
	}
	t.present++
	t.toggleHash(e)
	if serving(e.rec.State) {
		t.serving[e.rec.DataCentre]++
	}
}

func (t *table) removeCounts(e *entry) {
	if e.rec.State == model.StateGone {
		return
	}
	t.present--
	t.toggleHash(e)
	if !serving(e.rec.State) {
		return
	}
	t.serving[e.rec.DataCentre]--
	if t.serving[e.rec.DataCentre] == 0 {
		delete(t.serving, e.rec.DataCentre)
	}
}

func (t *table) toggleHash(e *entry) {
	t.buckets[e.bucket] ^= e.hash
	t.root ^= e.hash
}

// get returns the record of id; ok is false when there is none.
func (t *table) get(id model.InstanceID) (r wire.MemberRecord, ok bool) {
	e := t.entries[id]
	if e == nil {
		return wire.MemberRecord{}, false
	}
	return e.rec, true
}

// instances returns all instances that are not gone, sorted by id.
func (t *table) instances() []model.Instance {
	out := make([]model.Instance, 0, t.present)
	for _, id := range t.order {
		if r := t.entries[id].rec; r.State != model.StateGone {
			out = append(out, instanceOf(r))
		}
	}
	return out
}

// after returns up to limit records, tombstones included, whose ids follow id; last
// reports whether none follow them.
func (t *table) after(id model.InstanceID, limit int) (records []wire.MemberRecord, last bool) {
	at, found := slices.BinarySearch(t.order, id)
	if found {
		at++
	}
	end := min(at+limit, len(t.order))
	for _, next := range t.order[at:end] {
		records = append(records, t.entries[next].rec)
	}
	return records, end == len(t.order)
}

// bucketSet marks buckets by their index.
type bucketSet [wire.DigestBucketCount]bool

// inBuckets returns the entries of the marked buckets that are not gone, sorted by id.
func (t *table) inBuckets(marked *bucketSet) []*entry {
	var out []*entry
	for _, id := range t.order {
		e := t.entries[id]
		if marked[e.bucket] && e.rec.State != model.StateGone {
			out = append(out, e)
		}
	}
	return out
}

// maxSamples is how many random records pick tries before it scans the whole table.
const maxSamples = 32

// pick returns a random record that matches; ok is false when none does.
func (t *table) pick(rng *rand.Rand, match func(wire.MemberRecord) bool) (r wire.MemberRecord, ok bool) {
	if len(t.order) == 0 {
		return wire.MemberRecord{}, false
	}
	for range maxSamples {
		id := t.order[rng.IntN(len(t.order))]
		if r := t.entries[id].rec; match(r) {
			return r, true
		}
	}
	var all []wire.MemberRecord
	for _, id := range t.order {
		if r := t.entries[id].rec; match(r) {
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return wire.MemberRecord{}, false
	}
	return all[rng.IntN(len(all))], true
}
