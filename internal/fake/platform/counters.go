package platform

import "time"

// Counters count calls since the platform was created, by outcome. Calls counts all of
// them.
type Counters struct {
	Calls uint64 `json:"calls"`
	// ListFull, ListChanges, Index and Value are successful calls by kind.
	ListFull    uint64 `json:"list_full"`
	ListChanges uint64 `json:"list_changes"`
	Index       uint64 `json:"index"`
	Value       uint64 `json:"value"`
	// Limited calls were answered with 429.
	Limited uint64 `json:"limited"`
	// Failed calls were hit by an outage.
	Failed uint64 `json:"failed"`
	// NotFound calls named an unknown value or path.
	NotFound uint64 `json:"not_found"`
	// Malformed calls were answered with 400 or 405.
	Malformed uint64 `json:"malformed"`
	// PeakPerSecond is the largest number of calls within one second of the clock,
	// rate-limited ones included.
	PeakPerSecond uint64 `json:"peak_per_second"`
}

// secondCount counts the calls of the current second.
type secondCount struct {
	second int64
	calls  uint64
}

// Counters returns a snapshot of the counters.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// countCall counts one call of any kind at now; the caller holds p.mu.
func (p *Platform) countCall(now time.Time) {
	p.counters.Calls++
	if s := now.Unix(); s != p.currentSecond.second {
		p.currentSecond = secondCount{second: s}
	}
	p.currentSecond.calls++
	p.counters.PeakPerSecond = max(p.counters.PeakPerSecond, p.currentSecond.calls)
}

// count increments a counter.
func (p *Platform) count(counter *uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}
