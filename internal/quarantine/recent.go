package quarantine

import (
	"encoding/binary"
	"sync"

	"gypsumstand/internal/model"
)

// Size of recentRuns: 4,096 runs are some minutes of a worker with eighteen slots.
const (
	recentSets = 1024
	recentWays = 4
)

// recentRuns remembers the requests that recently completed at this node's worker: one of
// them is hardly the cause when it is in flight at a crash. It is a set-associative cache,
// safe for concurrent use; the zero value is empty.
type recentRuns struct {
	mu sync.Mutex
	// sets holds parts of fingerprints, newest first.
	sets [recentSets][recentWays]uint64
}

// setAndTag returns the set of a request and its tag in that set.
func setAndTag(content model.Fingerprint) (set int, tag uint64) {
	tag = binary.BigEndian.Uint64(content[:8])
	return int(binary.BigEndian.Uint64(content[8:]) % recentSets), max(tag, 1)
}

// add records a completed run.
func (r *recentRuns) add(content model.Fingerprint) {
	at, tag := setAndTag(content)
	r.mu.Lock()
	defer r.mu.Unlock()
	set := &r.sets[at]
	i := 0
	for i < recentWays-1 && set[i] != tag {
		i++
	}
	copy(set[1:i+1], set[:i])
	set[0] = tag
}

// has reports whether a run of the request completed recently.
func (r *recentRuns) has(content model.Fingerprint) bool {
	at, tag := setAndTag(content)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.sets[at] {
		if m == tag {
			return true
		}
	}
	return false
}
