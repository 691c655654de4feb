package platform

import "time"

// Counters count calls since the start, by what became of them. Calls is the
// sum over all kinds.
type Counters struct {
	Calls uint64 `json:"calls"`
	// ListFull, ListChanges, Index and Value are answered calls.
	ListFull    uint64 `json:"list_full"`
	ListChanges uint64 `json:"list_changes"`
	Index       uint64 `json:"index"`
	Value       uint64 `json:"value"`
	// Limited calls were answered 429.
	Limited uint64 `json:"limited"`
	// Failed calls met an outage.
	Failed uint64 `json:"failed"`
	// NotFound calls named a value or a path that there is not.
	NotFound uint64 `json:"not_found"`
	// Malformed calls were answered 400 or 405.
	Malformed uint64 `json:"malformed"`
	// PeakPerSecond is the largest number of calls within one second of the
	// clock, counted or refused.
	PeakPerSecond uint64 `json:"peak_per_second"`
}

// secondCount counts the calls of the current second.
type secondCount struct {
	second int64
	calls  uint64
}

// Counters returns the counters as they stand.
func (p *Platform) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// countCall counts one call of any kind at now. The caller holds the lock.
func (p *Platform) countCall(now time.Time) {
	p.counters.Calls++
	if s := now.Unix(); s != p.second.second {
		p.second = secondCount{second: s}
	}
	p.second.calls++
	p.counters.PeakPerSecond = max(p.counters.PeakPerSecond, p.second.calls)
}

// count adds one to a counter.
func (p *Platform) count(counter *uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	*counter++
}
