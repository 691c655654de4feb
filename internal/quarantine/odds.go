package quarantine

import (
	"time"

	"gypsumstand/internal/model"
)

const (
	// mostByChance is how likely it may be that chance alone explains why a request is put
	// aside after two ends.
	mostByChance = 0.01
	// firstPlainEnd is the time in which a worker is taken to end by itself once, before
	// anything was seen.
	firstPlainEnd = 10 * time.Minute
	// shortestRun is the least length of a run that broke: its end is noticed a little late.
	shortestRun = 50 * time.Millisecond
)

// convict puts a request aside at its second end where chance does not explain it: of all that
// were in hand at an end before, it alone has run again since, and that run's worker ended too.
func (q *Quarantine) convict(now time.Time, id CrashID, runs []Run) {
	suspect, only := onlyDoubted(runs)
	if !only {
		return
	}
	r := q.table.records[suspect.Content]
	if r == nil || len(r.ends) < 2 {
		return
	}
	length := max(now.Sub(suspect.Started), shortestRun)
	if q.byChance(now, r, id, length) <= mostByChance {
		r.barred = true
		q.table.changed = true
	}
}

// onlyDoubted returns the only request of which runs began when an end under it was known, by
// the run that began first.
func onlyDoubted(runs []Run) (suspect Run, only bool) {
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

// byChance returns how likely it is that the own worker ended by itself during a run of that
// length, for any of the requests that were in hand at an end before.
func (q *Quarantine) byChance(now time.Time, r *record, id CrashID, length time.Duration) float64 {
	others := int(q.noticed) - r.endsAt(q.self.ID)
	each := firstPlainEnd + now.Sub(q.started)
	rate := float64(1+max(others, 0)) / each.Seconds()
	return rate * length.Seconds() * float64(q.table.together(r, id))
}

// together counts the requests, this one included, that were in hand at an end of it other
// than one.
func (t *table) together(r *record, except CrashID) int {
	n := 0
	for _, other := range t.records {
		if other.shares(r, except) {
			n++
		}
	}
	return n
}

// shares tells whether both were in hand at an end other than one.
func (r *record) shares(other *record, except CrashID) bool {
	for i := range r.ends {
		for k := range other.ends {
			if id := r.ends[i].id; id != except && id == other.ends[k].id {
				return true
			}
		}
	}
	return false
}

// endsAt counts the ends of one owner's worker.
func (r *record) endsAt(owner model.InstanceID) int {
	n := 0
	for i := range r.ends {
		if r.ends[i].owner == owner {
			n++
		}
	}
	return n
}
