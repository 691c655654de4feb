package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// suspect returns the form of a record that peers are told.
func (r *record) suspect(now time.Time) wire.Suspect {
	s := wire.Suspect{Content: r.content, Cleared: r.cleared, AgeMs: age(now, r.changed)}
	for _, e := range r.ends {
		s.Ends = append(s.Ends, wire.SuspectEnd{
			ID: uint64(e.id), Owner: e.owner, AgeMs: age(now, e.at), Doubted: e.doubted, Trial: e.trial,
		})
	}
	return s
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
// do not matter. It reports whether that put the request aside, and whether it released it.
func (t *table) merge(now time.Time, s wire.Suspect, wide bool) (putAside, released bool) {
	if now.Sub(before(now, s.AgeMs)) > asideMemory || !wide && now.Sub(before(now, s.AgeMs)) > suspectMemory {
		return false, false
	}
	r := t.records[s.Content]
	if r == nil {
		if s.Cleared == 0 && t.allExplained(s.Ends) {
			return false, false
		}
		r = t.get(now, s.Content)
		r.changed = before(now, s.AgeMs)
	}
	if s.Cleared < r.cleared {
		return false, false
	}
	was := r.aside()
	news := wide && !r.wide
	r.wide = r.wide || wide
	if s.Cleared > r.cleared {
		r.cleared = s.Cleared
		r.ends = nil
		news = true
	}
	for _, e := range s.Ends {
		if !t.explained[EndID(e.ID)] || was {
			news = r.add(end{EndID(e.ID), e.Owner, before(now, e.AgeMs), e.Doubted, e.Trial}) || news
		}
	}
	if !news {
		return false, false
	}
	r.changed = later(r.changed, before(now, s.AgeMs))
	r.untold = true
	putAside = t.judge(now, r, was)
	return putAside, was && !r.aside()
}

func (t *table) allExplained(ends []wire.SuspectEnd) bool {
	return !slices.ContainsFunc(ends, func(e wire.SuspectEnd) bool { return !t.explained[EndID(e.ID)] })
}

// digest returns a hash of all wide records, or of all others.
func (t *table) digest(wide bool) uint64 {
	var sum uint64
	for _, r := range t.records {
		if r.wide == wide {
			sum ^= r.digest()
		}
	}
	return sum
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
		r.untold = false
	}
	return out
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

func suspects(now time.Time, records []*record) []wire.Suspect {
	out := make([]wire.Suspect, len(records))
	for i, r := range records {
		out[i] = r.suspect(now)
	}
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
