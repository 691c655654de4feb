package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/model"
)

// Bounds of what is remembered. Callers can make up requests that end workers without end,
// and each end names all that was in hand.
const (
	// maxRecords bounds the records; about 460 bytes each.
	maxRecords = 1024
	// suspectMemory is how long a request that is not put aside is suspect after its last
	// change. A day has eleven ends by themselves on ten thousand workers, so that the same
	// innocent request is hardly in hand at three within an hour.
	suspectMemory = time.Hour
	// asideMemory is how long one that is put aside is remembered after its last change,
	// beyond its last trial.
	asideMemory = 7 * 24 * time.Hour
)

// trialPauses are the times from the last end to each trial of a request that is put
// aside. The first is for the sake of a request that workers which ended by themselves had
// in hand; three is all that a request gets, since each may end a worker, and hardly one
// that is put aside is innocent.
var trialPauses = [...]time.Duration{2 * time.Minute, 30 * time.Minute, 24 * time.Hour}

// table holds the records of one node. It is not safe for concurrent use.
type table struct {
	records map[model.Fingerprint]*record
	// lastEnds is when each owner's worker last ended under a request.
	lastEnds map[model.InstanceID]time.Time
	// changed: the records have changed since they were judged.
	changed bool
}

func newTable() table {
	return table{records: map[model.Fingerprint]*record{}, lastEnds: map[model.InstanceID]time.Time{}}
}

// get returns the record of a request, a new one when there is none.
func (t *table) get(now time.Time, content model.Fingerprint) *record {
	r := t.records[content]
	if r == nil {
		t.makeRoom()
		r = &record{content: content, changed: now}
		t.records[content] = r
	}
	return r
}

// makeRoom forgets the least severe record when there are too many, the oldest of these.
func (t *table) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var least *record
	for _, r := range t.records {
		if least == nil || r.severity() < least.severity() ||
			r.severity() == least.severity() && r.changed.Before(least.changed) {
			least = r
		}
	}
	t.forget(least)
}

func (t *table) forget(r *record) {
	delete(t.records, r.content)
	t.changed = true
}

// ended adds an end under a request.
func (t *table) ended(now time.Time, content model.Fingerprint, e end) {
	r := t.get(now, content)
	if t.add(r, e) {
		t.touch(r, e.at)
	}
}

// add adds an end to a record and reports whether it is new.
func (t *table) add(r *record, e end) bool {
	if !r.add(e) {
		return false
	}
	if e.at.After(t.lastEnds[e.owner]) {
		t.lastEnds[e.owner] = e.at
	}
	return true
}

// touch notes that a record changed at that time, and that peers have not been told. Until it
// is judged it counts as suspect, or the next one of the same end would take its place in a
// full table.
func (t *table) touch(r *record, at time.Time) {
	r.left = max(r.left, min(len(r.ends), 1))
	if at.After(r.changed) {
		r.changed = at
	}
	r.untold = true
	t.changed = true
}

// judged is a request that is put aside from now on, or no longer.
type judged struct {
	record *record
	aside  bool
}

// judge finds who is to be put aside and returns what has changed. The request with the most
// ends explains those ends: whoever else was in hand then is not suspect for them. One that
// was put aside before stays so, or several that end workers would release each other by
// turns; it may be tried at once. The verdict follows from the records alone, so that nodes
// with the same ones agree.
func (t *table) judge(now time.Time) []judged {
	if !t.changed {
		return nil
	}
	t.changed = false
	explained := map[CrashID]bool{}
	var out []judged
	for _, r := range t.byEnds() {
		was := r.aside
		r.judge(explained)
		if r.aside {
			for _, e := range r.ends {
				explained[e.id] = true
			}
		}
		if r.aside == was {
			continue
		}
		r.since = time.Time{}
		if r.aside {
			r.since = now
			r.untold = r.untold || !r.wide
			r.wide = true
		}
		out = append(out, judged{r, r.aside})
	}
	return out
}

// byEnds returns the records, those with the most ends first.
func (t *table) byEnds() []*record {
	out := slices.Collect(maps.Values(t.records))
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.ends), len(a.ends)), bytes.Compare(a.content[:], b.content[:]))
	})
	return out
}

// completed takes that a run of a request came to its end: it ends no workers. It reports
// whether there was anything to clear.
func (t *table) completed(now time.Time, content model.Fingerprint) (cleared bool) {
	r := t.records[content]
	if r == nil || len(r.ends) == 0 {
		return false
	}
	r.cleared++
	r.ends, r.barred = nil, false
	t.touch(r, now)
	return true
}

// memory returns how long a record is kept. Of one that was released only that is left.
func memory(wide bool, ends int) time.Duration {
	if wide && ends > 0 {
		return asideMemory
	}
	return suspectMemory
}

// expire forgets what is too old.
func (t *table) expire(now time.Time) {
	for _, r := range t.records {
		if now.Sub(r.changed) > memory(r.wide, len(r.ends)) {
			t.forget(r)
		}
	}
	for owner, at := range t.lastEnds {
		if now.Sub(at) > suspectMemory {
			delete(t.lastEnds, owner)
		}
	}
}

// nextTrial returns when a request that is put aside may be tried again; ok is false when
// it has had all its trials.
func (r *record) nextTrial() (at time.Time, ok bool) {
	if r.innocent() {
		return r.lastEnd(), true
	}
	failed := r.trials()
	if failed >= len(trialPauses) {
		return time.Time{}, false
	}
	return r.lastEnd().Add(trialPauses[failed]), true
}

// trialDue tells whether a trial may begin now. One that was let through and of which
// nothing is known counts for the first pause.
func (r *record) trialDue(now time.Time) bool {
	at, ok := r.nextTrial()
	return ok && !now.Before(at) && now.Sub(r.trialAt) >= trialPauses[0]
}

// trialHome returns the instance that tries a request: the same one in all views that are
// equal, so that one trial is made and not one by each owner.
func trialHome(content model.Fingerprint, owners []model.InstanceID) model.InstanceID {
	var home model.InstanceID
	var most uint64
	for _, id := range owners {
		if rank := xxhash.Sum64String(string(content[:]) + string(id)); home == "" || rank > most {
			home, most = id, rank
		}
	}
	return home
}
