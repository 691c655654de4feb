package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/model"
)

// Thresholds for the number of crashes.
const (
	// quarantineThreshold is the number of crashes after which a request is quarantined.
	// Two would include requests that happen to be in flight when two workers crash by
	// chance.
	quarantineThreshold = 3
	// exclusiveThreshold is the number of crashes from which a request runs without other
	// such suspects at the same worker, so that the next crash shows which of them caused
	// it.
	exclusiveThreshold = 2
	// maxCrashes bounds the crashes kept of one request; more add no evidence.
	maxCrashes = 8
)

// crash is one worker crash with a request in flight.
type crash struct {
	id    CrashID
	owner model.InstanceID
	at    time.Time
	// alreadySuspect reports whether the run started after another crash under the same
	// request was known.
	alreadySuspect bool
	// trial reports whether the run was a trial of a quarantined request.
	trial bool
}

// weight orders the crashes of one request by the strength of their evidence.
func (c *crash) weight() int {
	switch {
	case c.trial:
		return 2
	case c.alreadySuspect:
		return 1
	}
	return 0
}

// record holds what is known of one request.
type record struct {
	content model.Fingerprint
	// cleared counts the completed runs that cleared the request of all earlier crashes.
	cleared uint32
	// crashes holds the crashes since the last clearing, sorted by ID.
	crashes []crash
	// latched reports that the request has been quarantined since the last clearing. It
	// stays quarantined until the next one, since it may have caused even the crashes that
	// another request explains later.
	latched bool
	// fleetWide reports that the request has been quarantined at some time, so that all
	// nodes of the fleet keep its record. Other records are kept by the nodes of their
	// service.
	fleetWide bool
	// changedAt is when the record last changed on any node.
	changedAt time.Time
	// label describes the request; empty if this node has never received it.
	label string
	// quarantined reports whether the request is quarantined, and since from when on this
	// node. unexplained counts its crashes that no other request explains. All three are
	// recomputed after each change.
	quarantined bool
	since       time.Time
	unexplained int
	// lastTrial is when this node last admitted a trial.
	lastTrial time.Time
	// unsent reports changes that peers have not received; quarantinedHere that a crash of
	// this node's worker quarantined the request.
	unsent, quarantinedHere bool
}

// classify recomputes whether the request is quarantined, from its crashes that no other
// request explains. It must have quarantineThreshold of them, at least one of them under a
// run that started after another crash under it was known: the loss of a rack crashes many
// workers at once under a popular request, and only a request whose next run crashes its
// worker again differs from that.
func (r *record) classify(explained map[CrashID]bool) {
	count, alreadySuspect := r.countUnexplained(explained)
	r.unexplained = count
	r.latched = r.latched || count >= quarantineThreshold && alreadySuspect
	r.quarantined = r.latched && len(r.crashes) > 0
}

// fullyExplained reports whether a quarantined request may have been in flight by chance:
// other requests explain all its crashes, and no trial has failed.
func (r *record) fullyExplained() bool {
	return r.quarantined && r.unexplained == 0 && r.failedTrials() == 0
}

// countUnexplained counts the unexplained crashes and reports whether the request was
// already suspect when one of their runs started.
func (r *record) countUnexplained(explained map[CrashID]bool) (count int, alreadySuspect bool) {
	for i := range r.crashes {
		if c := &r.crashes[i]; !explained[c.id] {
			count++
			alreadySuspect = alreadySuspect || c.alreadySuspect
		}
	}
	return count, alreadySuspect
}

// coordinatingCrash returns the crash whose owner coordinates the request: of those with
// the strongest evidence, which as a rule are the latest ones, the one with the greatest
// ID. All nodes that hold the same crashes return the same one, and no two owners return
// each other's. Times are not compared, as each node learns those of its peers' crashes
// with a different error.
func (r *record) coordinatingCrash() crash {
	var out crash
	for _, c := range r.crashes {
		if cmp.Or(cmp.Compare(c.weight(), out.weight()), cmp.Compare(c.id, out.id)) > 0 {
			out = c
		}
	}
	return out
}

// lastCrash returns the latest crash under the request.
func (r *record) lastCrash() crash {
	var last crash
	for _, c := range r.crashes {
		if c.at.After(last.at) {
			last = c
		}
	}
	return last
}

// lastCrashTime returns when a worker last crashed under the request.
func (r *record) lastCrashTime() time.Time { return r.lastCrash().at }

// provisionalRecord returns a record for a request whose crashes only an entry has reported
// so far.
func provisionalRecord(now time.Time, content model.Fingerprint, crashes int) *record {
	return &record{content: content, crashes: []crash{{at: now}}, unexplained: crashes}
}

// add adds a crash and reports whether it is new. Beyond maxCrashes it keeps those with the
// strongest evidence, the same ones on every node.
func (r *record) add(c crash) bool {
	at, known := slices.BinarySearchFunc(r.crashes, c.id, func(x crash, id CrashID) int { return cmp.Compare(x.id, id) })
	if known {
		return false
	}
	r.crashes = slices.Insert(r.crashes, at, c)
	if len(r.crashes) <= maxCrashes {
		return true
	}
	drop := 0
	for i := range r.crashes {
		if r.crashes[i].weight() <= r.crashes[drop].weight() {
			drop = i
		}
	}
	dropped := r.crashes[drop].id
	r.crashes = slices.Delete(r.crashes, drop, drop+1)
	return dropped != c.id
}

// failedTrials counts the trials that crashed workers.
func (r *record) failedTrials() int {
	n := 0
	for _, c := range r.crashes {
		if c.trial {
			n++
		}
	}
	return n
}

// severity orders records: those with greater severity are sent first and evicted last.
func (r *record) severity() int {
	switch {
	case r.quarantined:
		return 2 * maxCrashes
	case r.fleetWide:
		return maxCrashes
	}
	return r.unexplained
}

// digest returns a hash of the state that peers agree on.
func (r *record) digest() uint64 {
	b := make([]byte, 0, len(r.content)+4+8*len(r.crashes))
	b = append(b, r.content[:]...)
	b = binary.BigEndian.AppendUint32(b, r.cleared)
	if r.latched {
		b = append(b, 1)
	}
	for _, c := range r.crashes {
		b = binary.BigEndian.AppendUint64(b, uint64(c.id))
	}
	return xxhash.Sum64(b)
}
