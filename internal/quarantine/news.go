package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// put puts records into a message.
func put(now time.Time, records []*record, news *wire.SuspectUpdate) {
	index := map[CrashID]int{}
	for _, r := range records {
		s := wire.Suspect{Content: r.content, Cleared: r.cleared, Quarantined: r.barred, AgeMs: age(now, r.changed)}
		for _, e := range r.ends {
			at, known := index[e.id]
			if !known {
				at = len(news.Crashes)
				index[e.id] = at
				news.Crashes = append(news.Crashes, wire.SuspectCrash{ID: uint64(e.id), Owner: e.owner, AgeMs: age(now, e.at)})
			}
			s.Crashes = append(s.Crashes, wire.NewCrashRef(at, e.doubted, e.trial))
		}
		news.Records = append(news.Records, s)
	}
}

// endsOf returns the ends of a record in a message.
func endsOf(now time.Time, news *wire.SuspectUpdate, s *wire.Suspect) []end {
	out := make([]end, len(s.Crashes))
	for i, ref := range s.Crashes {
		e := &news.Crashes[ref.Index()]
		out[i] = end{CrashID(e.ID), e.Owner, before(now, e.AgeMs), ref.AlreadySuspect(), ref.Trial()}
	}
	return out
}

const maxAgeMs = 1<<32 - 1

func age(now, then time.Time) uint32 {
	return uint32(min(max(now.Sub(then).Milliseconds(), 0), maxAgeMs))
}

func before(now time.Time, ageMs uint32) time.Time {
	return now.Add(-time.Duration(ageMs) * time.Millisecond)
}

// merge takes a peer's record. Records of one request are joined: of different counts of
// clearings the greater one's ends hold, of equal ones those of both. Order and repetition
// do not matter. passOn tells that other peers are to be told.
func (t *table) merge(now time.Time, s *wire.Suspect, ends []end, wide, passOn bool) {
	changed := before(now, s.AgeMs)
	if now.Sub(changed) > memory(wide, len(ends)) {
		return
	}
	r := t.records[s.Content]
	if r == nil {
		r = t.get(now, s.Content)
		r.changed = changed
	}
	if s.Cleared < r.cleared {
		return
	}
	news := wide && !r.wide
	r.wide = r.wide || wide
	if s.Cleared > r.cleared {
		r.cleared = s.Cleared
		r.ends, r.barred = nil, false
		news = true
	}
	if s.Quarantined && !r.barred {
		r.barred, news = true, true
	}
	for _, e := range ends {
		news = t.add(r, e) || news
	}
	if !news {
		return
	}
	told := !r.untold
	t.touch(r, changed)
	if told && !passOn {
		r.untold = false
	}
}

// digests returns hashes of all wide records, or of all others, by parts; nil when there
// are none.
func (t *table) digests(wide bool) []uint64 {
	var out []uint64
	for _, r := range t.records {
		if r.wide != wide {
			continue
		}
		if out == nil {
			out = make([]uint64, wire.SuspectBuckets)
		}
		out[wire.SuspectBucket(r.content)] ^= r.digest()
	}
	return out
}

// differing returns the parts in which two nodes' digests differ.
func differing(a, b []uint64) (parts [wire.SuspectBuckets]bool, any bool) {
	for i := range parts {
		parts[i] = digestOf(a, i) != digestOf(b, i)
		any = any || parts[i]
	}
	return parts, any
}

func digestOf(digests []uint64, part int) uint64 {
	if len(digests) == 0 {
		return 0
	}
	return digests[part]
}

// holds tells whether there are wide records, or others.
func (t *table) holds(wide bool) bool {
	for _, r := range t.records {
		if r.wide == wide {
			return true
		}
	}
	return false
}

// untold takes what peers have not been told, at most most records, the severest first.
func (t *table) untold(wide bool, most int) []*record {
	out := t.where(func(r *record) bool { return r.untold && r.wide == wide })
	out = out[:min(len(out), most)]
	for _, r := range out {
		r.untold, r.asideHere = false, false
	}
	return out
}

// untoldHere tells whether peers have not been told of a request that was put aside here: the
// owners of its service are told at once, since it comes back to them.
func (t *table) untoldHere() bool {
	for _, r := range t.records {
		if r.untold && r.wide && r.asideHere {
			return true
		}
	}
	return false
}

// where returns the records that match, the severest first.
func (t *table) where(match func(*record) bool) []*record {
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

// ring returns the neighbours of self among ids, which are in order: those one, two, four
// and so on places further. News so reaches n nodes in log n steps, each node tells log n
// others, always the same ones, and no few lost nodes part the rest. A node that is not
// listed, as while its worker is down, has its place all the same.
func ring(self model.InstanceID, ids []model.InstanceID) []model.InstanceID {
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
