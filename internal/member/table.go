package member

import (
	"math/rand/v2"
	"slices"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// maxInstances bounds the table; the target is a fleet of 10,000.
const maxInstances = 1 << 16

// entry is one known instance with its record's hash.
type entry struct {
	rec    wire.MemberRecord
	hash   uint64
	bucket uint16
}

// table holds the records of all known instances and tombstones, in the order
// of their ids, with the hashes that digests compare.
type table struct {
	entries map[model.InstanceID]*entry
	order   []model.InstanceID
	// buckets hold the exclusive or of the hashes of records that are not gone.
	buckets [wire.DigestBucketCount]uint64
	root    uint64
	// present counts the records that are not gone.
	present int
	// serving counts the records per data centre that are neither leaving nor gone.
	serving map[model.DataCentre]int
}

func newTable() *table {
	return &table{
		entries: map[model.InstanceID]*entry{},
		serving: map[model.DataCentre]int{},
	}
}

// merged tells what a merge did.
type merged struct {
	// old is the record before; known tells whether there was one.
	old   wire.MemberRecord
	known bool
	now   wire.MemberRecord
	// changed says that the table says something new.
	changed bool
	// behind says that the table knew a newer word of the owner than was merged.
	behind bool
	// refused says that the table is full.
	refused bool
}

// merge joins r into the table.
func (t *table) merge(r wire.MemberRecord) merged {
	e := t.entries[r.ID]
	if e == nil {
		return t.add(r)
	}
	m := merged{old: e.rec, known: true}
	m.behind = compareOwn(e.rec, r) > 0
	m.now = join(e.rec, r)
	if m.now == e.rec {
		return m
	}
	hash := hashRecord(m.now)
	m.changed = hash != e.hash
	t.discount(e)
	e.rec, e.hash = m.now, hash
	t.count(e)
	return m
}

func (t *table) add(r wire.MemberRecord) merged {
	if len(t.entries) >= maxInstances {
		return merged{now: r, refused: true}
	}
	e := &entry{rec: r, hash: hashRecord(r), bucket: uint16(bucketOf(r.ID))}
	t.entries[r.ID] = e
	at, _ := slices.BinarySearch(t.order, r.ID)
	t.order = slices.Insert(t.order, at, r.ID)
	t.count(e)
	return merged{now: r, changed: true}
}

// remove forgets an instance.
func (t *table) remove(id model.InstanceID) {
	e := t.entries[id]
	if e == nil {
		return
	}
	t.discount(e)
	delete(t.entries, id)
	at, _ := slices.BinarySearch(t.order, id)
	t.order = slices.Delete(t.order, at, at+1)
}

func (t *table) count(e *entry) {
	if e.rec.State == model.StateGone {
		return
	}
	t.present++
	t.toggle(e)
	if serving(e.rec.State) {
		t.serving[e.rec.DataCentre]++
	}
}

func (t *table) discount(e *entry) {
	if e.rec.State == model.StateGone {
		return
	}
	t.present--
	t.toggle(e)
	if !serving(e.rec.State) {
		return
	}
	t.serving[e.rec.DataCentre]--
	if t.serving[e.rec.DataCentre] == 0 {
		delete(t.serving, e.rec.DataCentre)
	}
}

func (t *table) toggle(e *entry) {
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

// after returns up to limit records whose id comes after id, tombstones too.
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

// inBuckets returns the entries of the marked buckets that are not gone, by id.
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

// sampleTries is how often pick draws at random before it looks at all.
const sampleTries = 32

// pick returns a random record that suits; ok is false when none does.
func (t *table) pick(rng *rand.Rand, suits func(wire.MemberRecord) bool) (r wire.MemberRecord, ok bool) {
	if len(t.order) == 0 {
		return wire.MemberRecord{}, false
	}
	for range sampleTries {
		id := t.order[rng.IntN(len(t.order))]
		if r := t.entries[id].rec; suits(r) {
			return r, true
		}
	}
	var all []wire.MemberRecord
	for _, id := range t.order {
		if r := t.entries[id].rec; suits(r) {
			all = append(all, r)
		}
	}
	if len(all) == 0 {
		return wire.MemberRecord{}, false
	}
	return all[rng.IntN(len(all))], true
}
