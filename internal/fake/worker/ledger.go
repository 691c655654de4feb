package worker

import (
	"sort"
	"sync"

	"gypsumstand/internal/model"
)

// defaultLedgerSize is the number of request ids that a ledger remembers.
const defaultLedgerSize = 1 << 20

// RunCount is the number of times a request ran.
type RunCount struct {
	ID   model.RequestID `json:"id"`
	Runs int             `json:"runs"`
}

// Ledger counts runs by request id. It remembers at least the newest size/2 ids, at most
// size. It is safe for concurrent use.
type Ledger struct {
	size int

	mu        sync.Mutex
	newer     map[model.RequestID]int
	older     map[model.RequestID]int
	forgotten uint64
}

// NewLedger returns a ledger for size ids; zero means the default of 1 << 20.
func NewLedger(size int) *Ledger {
	if size <= 0 {
		size = defaultLedgerSize
	}
	return &Ledger{size: size, newer: map[model.RequestID]int{}, older: map[model.RequestID]int{}}
}

// add counts a run of id.
func (l *Ledger) add(id model.RequestID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := l.newer[id] + l.older[id]
	delete(l.older, id)
	l.newer[id] = runs + 1
	if len(l.newer) >= max(1, l.size/2) {
		l.forgotten += uint64(len(l.older))
		l.older, l.newer = l.newer, map[model.RequestID]int{}
	}
}

// Runs returns how often the request id ran, zero if the id is unknown or forgotten.
func (l *Ledger) Runs(id model.RequestID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newer[id] + l.older[id]
}

// Duplicates returns the ids that ran more than once, sorted. It does not know which
// requests are allowed to run twice.
func (l *Ledger) Duplicates() []RunCount {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []RunCount
	for _, part := range []map[model.RequestID]int{l.newer, l.older} {
		for id, runs := range part {
			if runs > 1 {
				out = append(out, RunCount{ID: id, Runs: runs})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// Forgotten returns the number of ids that the ledger has dropped. If it is above zero,
// the counts of old ids may be too low.
func (l *Ledger) Forgotten() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.forgotten
}
