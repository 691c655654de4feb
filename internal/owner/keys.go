package owner

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Bounds of the memory of request ids.
const (
	// maxKeys bounds the remembered request ids. At the bound, new attempts with
	// a caller's key are refused: a live record is never forgotten for them.
	// 2184 new ids a second fill it at the default memory of 120 s.
	maxKeys = 1 << 18
	// maxKeyBytes bounds the length of a request id that is registered.
	maxKeyBytes = 512
	// defaultKeyMemory holds until a bundle is known.
	defaultKeyMemory = 2 * time.Minute
)

// When a request id is delegated in place of being queued at its home: the
// predicted wait is over delegateWait, or over the remaining time divided by
// delegateShare.
const (
	delegateWait  = 100 * time.Millisecond
	delegateShare = 4
)

// keyState is the state of a caller's own request id at its home.
type keyState uint8

const (
	// keyRunning: queued or at the worker here.
	keyRunning keyState = iota
	// keyDelegated: an entry was sent elsewhere with it.
	keyDelegated
	// keyDone: run here, or known to have been run elsewhere.
	keyDone
)

type keyRecord struct {
	state keyState
	// attempt is the one that holds the id.
	attempt model.AttemptID
	// until is when the record lapses; not used while running.
	until time.Duration
	// regions are those of the request, which name its next homes.
	regions model.Regions
}

// keyTable remembers the callers' own ids of non-idempotent requests whose home
// is this owner. Ids lapse the bundle's key memory after their end.
type keyTable struct {
	// max bounds the remembered ids.
	max    int
	memory time.Duration
	byID   map[model.RequestID]keyRecord
	// lapses has an entry for every change to done or delegated; entries whose
	// time is not the record's are out of date.
	lapses expiryHeap[model.RequestID]
}

func newKeyTable() keyTable {
	return keyTable{max: maxKeys, memory: defaultKeyMemory, byID: map[model.RequestID]keyRecord{}}
}

// refuseKey refuses an attempt whose request id is taken, or for which there is
// no room. A taken id's request is running or has run, so "not run" is not
// claimed, and the attempt is remembered as proving nothing.
func (o *Owner) refuseKey(t time.Duration, it *item) model.Refusal {
	if !it.keyed {
		return model.Refusal{}
	}
	rec, taken := o.keys.byID[it.request]
	if taken {
		o.keys.renew(t, it.request, rec)
	}
	switch {
	case taken && rec.state == keyDone:
		o.attempts.end(t, it, attemptDuplicate)
		return model.Refusal{Reason: model.ReasonDuplicateDone}
	case taken:
		o.attempts.end(t, it, attemptDuplicate)
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	case len(o.keys.byID) >= o.keys.max:
		o.attempts.end(t, it, attemptBarred)
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: retryKeysFull}
	}
	return model.Refusal{}
}

// FinishDelegated takes the end of a request that this owner, as its home, delegated.
// Only the entry that it was delegated to may end it: an outcome of "not run"
// frees the id, an answer makes it done, unknown leaves it until it lapses.
func (o *Owner) FinishDelegated(now time.Time, r wire.KeyResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	rec, ok := o.keys.byID[r.Request]
	if !ok || rec.state != keyDelegated || !sameLineage(rec.attempt, r.Attempt) {
		return
	}
	switch r.Outcome {
	case model.OutcomeNotRun:
		delete(o.keys.byID, r.Request)
	case model.OutcomeAnswered:
		o.keys.lapse(r.Request, keyRecord{state: keyDone, attempt: rec.attempt, until: t + o.keys.memory, regions: rec.regions})
	}
}

// sameLineage tells whether b is a or a later attempt of the same life of the
// same entry.
func sameLineage(a, b model.AttemptID) bool {
	return a.Entry == b.Entry && a.Incarnation == b.Incarnation && a.Sequence <= b.Sequence
}

// run registers the id of an attempt that was admitted.
func (k *keyTable) run(it *item) {
	if it.keyed {
		k.byID[it.request] = keyRecord{state: keyRunning, attempt: it.id, regions: it.regions}
	}
}

// done remembers that the attempt's request has run.
func (k *keyTable) done(t time.Duration, it *item) {
	if it.keyed {
		k.lapse(it.request, keyRecord{state: keyDone, attempt: it.id, until: t + k.memory, regions: it.regions})
	}
}

// delegate remembers that the attempt's entry places the request elsewhere;
// false when there is no room for the id.
func (k *keyTable) delegate(t time.Duration, it *item) bool {
	if _, taken := k.byID[it.request]; !taken && len(k.byID) >= k.max {
		return false
	}
	k.lapse(it.request, keyRecord{state: keyDelegated, attempt: it.id, until: max(t, it.deadline) + k.memory, regions: it.regions})
	return true
}

// renew remembers an id that was sent again for another key memory: a caller that
// keeps sending it must not see it forgotten.
func (k *keyTable) renew(t time.Duration, id model.RequestID, rec keyRecord) {
	if rec.state == keyRunning || rec.until >= t+k.memory {
		return
	}
	rec.until = t + k.memory
	k.lapse(id, rec)
}

// free forgets the id of an attempt that did not run.
func (k *keyTable) free(it *item) {
	if it.keyed {
		delete(k.byID, it.request)
	}
}

// lapse stores a record that ends by itself.
func (k *keyTable) lapse(id model.RequestID, rec keyRecord) {
	k.byID[id] = rec
	k.lapses.push(rec.until, id)
	if len(k.lapses) > 2*len(k.byID)+forgetStep {
		k.rebuild()
	}
}

// rebuild drops the heap's entries that are out of date.
func (k *keyTable) rebuild() {
	k.lapses = k.lapses[:0]
	for id, rec := range k.byID {
		if rec.state != keyRunning {
			k.lapses.push(rec.until, id)
		}
	}
}

// forget drops lapsed records.
func (k *keyTable) forget(t time.Duration) {
	for n := 0; n < forgetStep && len(k.lapses) > 0 && k.lapses[0].until <= t; n++ {
		first := k.lapses.pop()
		if rec, ok := k.byID[first.key]; ok && rec.state != keyRunning && rec.until == first.until {
			delete(k.byID, first.key)
		}
	}
}
