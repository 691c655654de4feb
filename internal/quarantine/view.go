package quarantine

import (
	"time"

	"gypsumstand/internal/model"
)

// SuspectRequest is a request under which workers ended, as operators are shown it.
type SuspectRequest struct {
	Content model.Fingerprint
	// Label is what it asked for; empty where this node has never seen it.
	Label string
	// Quarantined tells whether it is kept from workers, for how long at this node, and when
	// it may be tried; NextTrial is zero when it is not any more.
	Quarantined bool
	Since       time.Time
	NextTrial   time.Time
	Crashes     []Crash
}

// WorkerCrashed is one end of a worker's life under a request.
type Crash struct {
	Owner model.InstanceID
	At    time.Time
}

// Counts are numbers for metrics.
type Counts struct {
	// Suspects are all requests that are suspect, Quarantined those of them that are kept
	// from workers.
	Suspects, Quarantined int
	// Crashes counts the own worker's ends with requests in hand.
	Crashes uint64
}

// Suspects returns the requests that are suspect, those that are put aside first.
func (q *Quarantine) Suspects() []SuspectRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	records := q.table.where(func(r *record) bool { return r.left > 0 })
	out := make([]SuspectRequest, len(records))
	for i, r := range records {
		out[i] = r.view()
	}
	return out
}

func (r *record) view() SuspectRequest {
	s := SuspectRequest{Content: r.content, Label: r.label, Quarantined: r.aside, Since: r.since}
	if s.Quarantined {
		s.NextTrial, _ = r.nextTrial()
	}
	for _, e := range r.ends {
		s.Crashes = append(s.Crashes, Crash{e.owner, e.at})
	}
	return s
}

// Counts returns the numbers.
func (q *Quarantine) Counts() Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := Counts{Crashes: q.noticed}
	for _, r := range q.table.records {
		if r.left > 0 {
			c.Suspects++
		}
		if r.aside {
			c.Quarantined++
		}
	}
	return c
}
