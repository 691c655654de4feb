package quarantine

import (
	"time"

	"gypsumstand/internal/model"
)

// SuspectRequest is a request under which workers crashed, as shown to operators.
type SuspectRequest struct {
	Content model.Fingerprint
	// Label describes the request; empty if this node has never received it.
	Label string
	// Quarantined reports whether the request is kept from workers, on this node since
	// Since. NextTrial is when it may be tried; zero if it has no trials left.
	Quarantined bool
	Since       time.Time
	NextTrial   time.Time
	Crashes     []Crash
}

// Crash is one worker crash under a request.
type Crash struct {
	Owner model.InstanceID
	At    time.Time
}

// Counts holds the values of the quarantine metrics.
type Counts struct {
	// Suspects counts all suspect requests, Quarantined those of them that are kept from
	// workers.
	Suspects, Quarantined int
	// Crashes counts this node's worker crashes with requests in flight.
	Crashes uint64
}

// Suspects returns the suspect requests, quarantined ones first.
func (q *Quarantine) Suspects() []SuspectRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	records := q.table.matching(func(r *record) bool { return r.unexplained > 0 })
	out := make([]SuspectRequest, len(records))
	for i, r := range records {
		out[i] = r.view()
	}
	return out
}

func (r *record) view() SuspectRequest {
	s := SuspectRequest{Content: r.content, Label: r.label, Quarantined: r.quarantined, Since: r.since}
	if s.Quarantined {
		s.NextTrial, _ = r.nextTrial()
	}
	for _, c := range r.crashes {
		s.Crashes = append(s.Crashes, Crash{c.owner, c.at})
	}
	return s
}

// Counts returns the current counts.
func (q *Quarantine) Counts() Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := Counts{Crashes: q.crashesAttributed}
	for _, r := range q.table.records {
		if r.unexplained > 0 {
			c.Suspects++
		}
		if r.quarantined {
			c.Quarantined++
		}
	}
	return c
}
