// Package quarantine finds requests under which workers end. It does no I/O.
// Design: docs/DESIGN.md, "Requests that end their workers".
package quarantine

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// Quarantine is one node's part. Its methods are safe for concurrent use.
type Quarantine struct {
	self     model.InstanceID
	life     uint64
	evidence Evidence

	mu sync.Mutex
	// ends counts the own worker's ends.
	ends uint64
	// notes are log lines that Notes has not taken.
	notes []control.Record
}

// New returns the quarantine of the node self, whose process started then.
func New(self model.InstanceID, started time.Time) *Quarantine {
	return &Quarantine{self: self, life: uint64(started.UnixNano())}
}

// Broke takes a run that broke at the own worker; known tells that the worker is known to
// have ended under it. Otherwise Ended may say so later.
func (q *Quarantine) Broke(now time.Time, r Run) (known bool) {
	end := q.evidence.Broke(now, r)
	if end == 0 {
		return false
	}
	q.inHand(end, []Run{r})
	return true
}

// Ended takes the word that the own worker's life has ended, not as planned. It may come
// more than once for one end.
func (q *Quarantine) Ended(now time.Time) {
	q.mu.Lock()
	next := q.nextEnd()
	q.mu.Unlock()
	if runs := q.evidence.Ended(now, next); len(runs) > 0 {
		q.inHand(next, runs)
	}
}

// nextEnd names the next end of the own worker; no other node's has the same name.
func (q *Quarantine) nextEnd() EndID {
	q.ends++
	return EndID(max(xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", q.self, q.life, q.ends)), 1))
}

// maxNamed bounds the runs that one log line names.
const maxNamed = 32

// inHand notes the runs under which the worker ended.
func (q *Quarantine) inHand(end EndID, runs []Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	var names []string
	for _, r := range runs[:min(len(runs), maxNamed)] {
		names = append(names, r.Content.String()+" "+r.Label)
	}
	q.note(event.WorkerEnded, fmt.Sprintf("%016x", uint64(end)), fmt.Sprintf("%d in hand: %s", len(runs), strings.Join(names, ", ")))
}

// maxNotes bounds the log lines that wait.
const maxNotes = 64

func (q *Quarantine) note(id event.ID, subject, detail string) {
	if len(q.notes) < maxNotes {
		q.notes = append(q.notes, control.Record{Event: id, Subject: subject, Detail: detail})
	}
}

// Notes returns the log lines since the last call.
func (q *Quarantine) Notes() []control.Record {
	q.mu.Lock()
	defer q.mu.Unlock()
	notes := q.notes
	q.notes = nil
	return notes
}
