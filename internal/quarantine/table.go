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

// Limits of the table. Callers can send new crashing requests without limit, and each crash
// adds all requests that were in flight.
const (
	// maxRecords bounds the records, of about 460 bytes each.
	maxRecords = 1024
	// suspectRetention is how long a request that is not quarantined stays suspect after
	// its last change. Ten thousand workers have eleven chance crashes a day, so the same
	// harmless request is hardly in flight at three within an hour.
	suspectRetention = time.Hour
	// quarantineRetention is how long a quarantined request is kept after its last change;
	// it exceeds the time of the last trial.
	quarantineRetention = 7 * 24 * time.Hour
)

// trialDelays are the times from the last crash to each trial of a quarantined request. The
// first trial serves requests that were in flight at chance crashes. A request gets no more
// than three, since each may crash a worker and few quarantined requests are harmless.
var trialDelays = [...]time.Duration{2 * time.Minute, 30 * time.Minute, 24 * time.Hour}

// table holds the records of one node. It is not safe for concurrent use.
type table struct {
	records map[model.Fingerprint]*record
	// lastCrashes is when each owner's worker last crashed under a request.
	lastCrashes map[model.InstanceID]time.Time
	// dirty reports that records have changed since they were classified.
	dirty bool
}

func newTable() table {
	return table{records: map[model.Fingerprint]*record{}, lastCrashes: map[model.InstanceID]time.Time{}}
}

// get returns the record of a request and creates it if necessary.
func (t *table) get(now time.Time, content model.Fingerprint) *record {
	r := t.records[content]
	if r == nil {
		t.makeRoom()
		r = &record{content: content, changedAt: now}
		t.records[content] = r
	}
	return r
}

// makeRoom evicts the least severe record when the table is full, the oldest one of these.
func (t *table) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var least *record
	for _, r := range t.records {
		if least == nil || r.severity() < least.severity() ||
			r.severity() == least.severity() && r.changedAt.Before(least.changedAt) {
			least = r
		}
	}
	t.forget(least)
}

func (t *table) forget(r *record) {
	delete(t.records, r.content)
	t.dirty = true
}

// addCrash adds a crash under a request.
func (t *table) addCrash(now time.Time, content model.Fingerprint, c crash) {
	r := t.get(now, content)
	if t.addTo(r, c) {
		t.touch(r, c.at)
	}
}

// addTo adds a crash to a record and reports whether it is new.
func (t *table) addTo(r *record, c crash) bool {
	if !r.add(c) {
		return false
	}
	if c.at.After(t.lastCrashes[c.owner]) {
		t.lastCrashes[c.owner] = c.at
	}
	return true
}

// touch marks a record as changed at a time and unsent. Until the record is classified it
// counts as suspect; otherwise the next request of the same crash would evict it from a
// full table.
func (t *table) touch(r *record, at time.Time) {
	r.unexplained = max(r.unexplained, min(len(r.crashes), 1))
	if at.After(r.changedAt) {
		r.changedAt = at
	}
	r.unsent = true
	t.dirty = true
}

// transition is a request that is quarantined from now on, or released.
type transition struct {
	record      *record
	quarantined bool
}

// classify recomputes which requests are quarantined and returns the changes. The request
// with the most crashes explains those crashes: other requests that were in flight are not
// suspect because of them. A request that is already quarantined stays so, since several
// crashing requests would otherwise release each other in turn; instead a trial of it may
// start at once. The result depends on the records alone, so nodes with equal records
// agree.
func (t *table) classify(now time.Time) []transition {
	if !t.dirty {
		return nil
	}
	t.dirty = false
	explained := map[CrashID]bool{}
	var out []transition
	for _, r := range t.byCrashCount() {
		was := r.quarantined
		r.classify(explained)
		if r.quarantined {
			for _, c := range r.crashes {
				explained[c.id] = true
			}
		}
		if r.quarantined == was {
			continue
		}
		r.since = time.Time{}
		if r.quarantined {
			r.since = now
			r.unsent = r.unsent || !r.fleetWide
			r.fleetWide = true
		}
		out = append(out, transition{r, r.quarantined})
	}
	return out
}

// byCrashCount returns the records sorted by their number of crashes, highest first.
func (t *table) byCrashCount() []*record {
	out := slices.Collect(maps.Values(t.records))
	slices.SortFunc(out, func(a, b *record) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), bytes.Compare(a.content[:], b.content[:]))
	})
	return out
}

// clear removes the crashes of a request that has completed a run, as it does not crash
// workers. It reports whether there were any.
func (t *table) clear(now time.Time, content model.Fingerprint) (cleared bool) {
	r := t.records[content]
	if r == nil || len(r.crashes) == 0 {
		return false
	}
	r.cleared++
	r.crashes, r.latched = nil, false
	t.touch(r, now)
	return true
}

// retention returns how long a record is kept. A released record holds nothing but its
// clearing count, so suspectRetention is enough for it.
func retention(fleetWide bool, crashes int) time.Duration {
	if fleetWide && crashes > 0 {
		return quarantineRetention
	}
	return suspectRetention
}

// expire removes expired records.
func (t *table) expire(now time.Time) {
	for _, r := range t.records {
		if now.Sub(r.changedAt) > retention(r.fleetWide, len(r.crashes)) {
			t.forget(r)
		}
	}
	for owner, at := range t.lastCrashes {
		if now.Sub(at) > suspectRetention {
			delete(t.lastCrashes, owner)
		}
	}
}

// nextTrial returns when the next trial of a quarantined request is due; ok is false if it
// has had all its trials.
func (r *record) nextTrial() (at time.Time, ok bool) {
	if r.fullyExplained() {
		return r.lastCrashTime(), true
	}
	failed := r.failedTrials()
	if failed >= len(trialDelays) {
		return time.Time{}, false
	}
	return r.lastCrashTime().Add(trialDelays[failed]), true
}

// trialDue reports whether a trial may start now. After a trial that was admitted and whose
// outcome is unknown, the next one waits for the first delay.
func (r *record) trialDue(now time.Time) bool {
	at, ok := r.nextTrial()
	return ok && !now.Before(at) && now.Sub(r.lastTrial) >= trialDelays[0]
}

// rendezvousOwner selects one owner for a request by rendezvous hashing. Nodes with equal
// views select the same one, so that for example one trial is made and not one by each
// owner.
func rendezvousOwner(content model.Fingerprint, owners []model.InstanceID) model.InstanceID {
	var owner model.InstanceID
	var highest uint64
	for _, id := range owners {
		if rank := xxhash.Sum64String(string(content[:]) + string(id)); owner == "" || rank > highest {
			owner, highest = id, rank
		}
	}
	return owner
}
