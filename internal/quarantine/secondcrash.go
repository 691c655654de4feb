package quarantine

import (
	"time"

	"gypsumstand/internal/model"
)

const (
	// maxChanceProbability is the highest probability of a chance crash at which a request
	// is quarantined after two crashes.
	maxChanceProbability = 0.01
	// initialCrashInterval is the time in which a worker is assumed to crash once by chance
	// before anything was observed.
	initialCrashInterval = 10 * time.Minute
	// minRunLength is the shortest length assumed for a failed run: its failure is noticed
	// with a small delay.
	minRunLength = 50 * time.Millisecond
)

// quarantineAtSecondCrash quarantines a request at its second crash if chance does not
// explain it: of all requests in flight at an earlier crash it alone has run again since,
// and the worker of that run crashed too.
func (q *Quarantine) quarantineAtSecondCrash(now time.Time, id CrashID, runs []Run) {
	suspect, only := soleKnownSuspect(runs)
	if !only {
		return
	}
	r := q.table.records[suspect.Content]
	if r == nil || len(r.crashes) < 2 {
		return
	}
	length := max(now.Sub(suspect.Started), minRunLength)
	if q.chanceProbability(now, r, id, length) <= maxChanceProbability {
		r.latched = true
		q.table.dirty = true
	}
}

// soleKnownSuspect returns the earliest run of the only request whose runs started when a
// crash under it was already known; only is false if there is none or several.
func soleKnownSuspect(runs []Run) (suspect Run, only bool) {
	for _, run := range runs {
		switch {
		case !run.AlreadySuspect || run.Trial || run.Content.IsZero():
		case suspect.Content.IsZero():
			suspect = run
		case run.Content != suspect.Content:
			return Run{}, false
		case run.Started.Before(suspect.Started):
			suspect = run
		}
	}
	return suspect, !suspect.Content.IsZero()
}

// chanceProbability returns the probability that this node's worker crashed by chance
// during a run of that length, for any of the requests that were in flight at an earlier
// crash.
func (q *Quarantine) chanceProbability(now time.Time, r *record, id CrashID, length time.Duration) float64 {
	others := int(q.crashesAttributed) - r.crashesAt(q.self.ID)
	observed := initialCrashInterval + now.Sub(q.started)
	rate := float64(1+max(others, 0)) / observed.Seconds()
	return rate * length.Seconds() * float64(q.table.countCoincident(r, id))
}

// countCoincident counts the requests, r included, that were in flight at a crash of r
// other than except.
func (t *table) countCoincident(r *record, except CrashID) int {
	n := 0
	for _, other := range t.records {
		if other.sharesCrash(r, except) {
			n++
		}
	}
	return n
}

// sharesCrash reports whether both requests were in flight at a crash other than except.
func (r *record) sharesCrash(other *record, except CrashID) bool {
	for i := range r.crashes {
		for k := range other.crashes {
			if id := r.crashes[i].id; id != except && id == other.crashes[k].id {
				return true
			}
		}
	}
	return false
}

// crashesAt counts the crashes of one owner's worker.
func (r *record) crashesAt(owner model.InstanceID) int {
	n := 0
	for i := range r.crashes {
		if r.crashes[i].owner == owner {
			n++
		}
	}
	return n
}
