package quarantine

import (
	"encoding/binary"
	"sync"

	"gypsumstand/internal/model"
)

// Size of wholeRuns: 4,096 runs are some minutes of a worker with eighteen slots.
const (
	wholeSets = 1024
	wholeWays = 4
)

// wholeRuns remembers the requests that came to their end at the own worker of late: one of
// them that is in hand when a worker ends is hardly the cause. It is safe for concurrent use;
// the zero value is empty.
type wholeRuns struct {
	mu sync.Mutex
	// sets hold parts of fingerprints, the newest first.
	sets [wholeSets][wholeWays]uint64
}

// split returns a request's set and what stands for it there.
func split(content model.Fingerprint) (set int, mark uint64) {
	mark = binary.BigEndian.Uint64(content[:8])
	return int(binary.BigEndian.Uint64(content[8:]) % wholeSets), max(mark, 1)
}

// add notes a whole run.
func (w *wholeRuns) add(content model.Fingerprint) {
	at, mark := split(content)
	w.mu.Lock()
	defer w.mu.Unlock()
	set := &w.sets[at]
	i := 0
	for i < wholeWays-1 && set[i] != mark {
		i++
	}
	copy(set[1:i+1], set[:i])
	set[0] = mark
}

// has tells whether a run of the request came to its end of late.
func (w *wholeRuns) has(content model.Fingerprint) bool {
	at, mark := split(content)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.sets[at] {
		if m == mark {
			return true
		}
	}
	return false
}
