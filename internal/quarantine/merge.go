package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// appendRecords appends records and the crashes they refer to to an update.
func appendRecords(now time.Time, records []*record, update *wire.SuspectUpdate) {
	index := map[CrashID]int{}
	for _, r := range records {
		s := wire.Suspect{Content: r.content, Cleared: r.cleared, Quarantined: r.latched, AgeMs: age(now, r.changedAt)}
		for _, c := range r.crashes {
			at, known := index[c.id]
			if !known {
				at = len(update.Crashes)
				index[c.id] = at
				update.Crashes = append(update.Crashes, wire.SuspectCrash{ID: uint64(c.id), Owner: c.owner, AgeMs: age(now, c.at)})
			}
			s.Crashes = append(s.Crashes, wire.NewCrashRef(at, c.alreadySuspect, c.trial))
		}
		update.Records = append(update.Records, s)
	}
}

// crashesOf returns the crashes of one record of an update.
func crashesOf(now time.Time, update *wire.SuspectUpdate, s *wire.Suspect) []crash {
	out := make([]crash, len(s.Crashes))
	for i, ref := range s.Crashes {
		c := &update.Crashes[ref.Index()]
		out[i] = crash{CrashID(c.ID), c.Owner, timeOf(now, c.AgeMs), ref.AlreadySuspect(), ref.Trial()}
	}
	return out
}

const maxAgeMs = 1<<32 - 1

// age returns the milliseconds from then to now, limited to the range of its type.
func age(now, then time.Time) uint32 {
	return uint32(min(max(now.Sub(then).Milliseconds(), 0), maxAgeMs))
}

func timeOf(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// merge merges a peer's record. Of two records of one request with different clearing
// counts the one with the greater count replaces the other; with equal counts their crashes
// are joined. Order and repetition do not matter. relay reports whether the changes are
// passed on to other peers.
func (t *table) merge(now time.Time, peer *wire.Suspect, crashes []crash, fleetWide, relay bool) {
	changed := timeOf(now, peer.AgeMs)
	if now.Sub(changed) > retention(fleetWide, len(crashes)) {
		return
	}
	r := t.records[peer.Content]
	if r == nil {
		r = t.get(now, peer.Content)
		r.changedAt = changed
	}
	if peer.Cleared < r.cleared {
		return
	}
	isNew := fleetWide && !r.fleetWide
	r.fleetWide = r.fleetWide || fleetWide
	if peer.Cleared > r.cleared {
		r.cleared = peer.Cleared
		r.crashes, r.latched = nil, false
		isNew = true
	}
	if peer.Quarantined && !r.latched {
		r.latched, isNew = true, true
	}
	for _, c := range crashes {
		isNew = t.addTo(r, c) || isNew
	}
	if !isNew {
		return
	}
	wasSent := !r.unsent
	t.touch(r, changed)
	if wasSent && !relay {
		r.unsent = false
	}
}

// digests returns hashes of all fleet-wide records, or of all others, by bucket; nil if
// there are none.
func (t *table) digests(fleetWide bool) []uint64 {
	var out []uint64
	for _, r := range t.records {
		if r.fleetWide != fleetWide {
			continue
		}
		if out == nil {
			out = make([]uint64, wire.SuspectBuckets)
		}
		out[wire.SuspectBucket(r.content)] ^= r.digest()
	}
	return out
}

// differingBuckets returns the buckets in which the digests of two nodes differ.
func differingBuckets(a, b []uint64) (buckets [wire.SuspectBuckets]bool, any bool) {
	for i := range buckets {
		buckets[i] = digestOf(a, i) != digestOf(b, i)
		any = any || buckets[i]
	}
	return buckets, any
}

func digestOf(digests []uint64, bucket int) uint64 {
	if len(digests) == 0 {
		return 0
	}
	return digests[bucket]
}

// hasRecords reports whether there are records of a kind.
func (t *table) hasRecords(fleetWide bool) bool {
	for _, r := range t.records {
		if r.fleetWide == fleetWide {
			return true
		}
	}
	return false
}

// takeUnsent returns records that peers have not received, most severe first and at most
// limit, and marks them as sent.
func (t *table) takeUnsent(fleetWide bool, limit int) []*record {
	out := t.matching(func(r *record) bool { return r.unsent && r.fleetWide == fleetWide })
	out = out[:min(len(out), limit)]
	for _, r := range out {
		r.unsent, r.quarantinedHere = false, false
	}
	return out
}

// hasUnsentQuarantinedHere reports whether peers have not received a request that was
// quarantined here. The owners of its service are notified at once, since callers resubmit
// it to them.
func (t *table) hasUnsentQuarantinedHere() bool {
	for _, r := range t.records {
		if r.unsent && r.fleetWide && r.quarantinedHere {
			return true
		}
	}
	return false
}

// matching returns the records that match, most severe first.
func (t *table) matching(match func(*record) bool) []*record {
	var out []*record
	for _, r := range t.records {
		if match(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), slices.Compare(a.content[:], b.content[:]))
	})
	return out
}

// ringNeighbours returns the neighbours of self among ids, which are sorted: those 1, 2, 4
// and so on places further on the ring. An update reaches n nodes in log n steps, each node
// sends to log n fixed others, and a few failed nodes do not partition the rest. A node
// that is not listed, for example while its worker is down, still has a place on the ring.
func ringNeighbours(self model.InstanceID, ids []model.InstanceID) []model.InstanceID {
	at, listed := slices.BinarySearch(ids, self)
	if !listed {
		ids = slices.Insert(slices.Clone(ids), at, self)
	}
	var out []model.InstanceID
	for step := 1; step < len(ids); step *= 2 {
		out = append(out, ids[(at+step)%len(ids)])
	}
	return out
}
