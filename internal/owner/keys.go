package owner

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Bounds of the request id table.
const (
	// maxKeys bounds the remembered request ids. At the bound, new attempts with a
	// caller's key are refused; a live record is never evicted for them. At the default
	// memory of 120 s, 2184 new ids a second fill the table.
	maxKeys = 1 << 18
	// maxKeyBytes bounds the length of a registered request id.
	maxKeyBytes = 512
	// defaultKeyMemory applies until the first bundle arrives.
	defaultKeyMemory = 2 * time.Minute
)

// A home delegates a request instead of queueing it when the predicted wait is over
// delegateWait, or over the remaining time divided by delegateShare, or when its worker is
// failing; see refusePredictedLate.
const (
	delegateWait  = 100 * time.Millisecond
	delegateShare = 4
)

// keyState is the state of a caller's request id at its home.
type keyState uint8

const (
	// keyRunning: queued or at the worker here.
	keyRunning keyState = iota
	// keyDelegated: an entry was allowed to place the request elsewhere.
	keyDelegated
	// keyDone: run here, or known to have run elsewhere.
	keyDone
)

type keyRecord struct {
	state keyState
	// attempt is the one that holds the id.
	attempt model.AttemptID
	// until is when the record expires; unused while running.
	until time.Duration
	// regions are those of the request; they determine its next homes.
	regions model.Regions
	// origin is set for a record that was imported from another home and is unchanged here.
	origin keyOrigin
}

// keyTable remembers the callers' ids of non-idempotent requests whose home is this
// owner. An id expires after the bundle's key memory, counted from the end of its
// request.
type keyTable struct {
	// max bounds the remembered ids.
	max    int
	memory time.Duration
	byID   map[model.RequestID]keyRecord
	// expiries has an element for every change to done or delegated. An element whose
	// time differs from that of the record is stale.
	expiries expiryHeap[model.RequestID]
	// transfer is the handover in progress.
	transfer keyTransfer
}

func newKeyTable() keyTable {
	return keyTable{max: maxKeys, memory: defaultKeyMemory, byID: map[model.RequestID]keyRecord{}}
}

// refuseKey refuses an attempt whose request id is taken, or for which the table has no
// room. When the id is taken, its request is running or has run, so the refusal does not
// claim "not run" and the attempt is recorded as proving nothing.
func (o *Owner) refuseKey(t time.Duration, p *pendingAttempt) model.Refusal {
	if !p.keyed {
		return model.Refusal{}
	}
	rec, taken := o.keys.byID[p.request]
	if taken {
		o.keys.renew(t, p.request, rec)
	}
	switch {
	case taken && rec.state == keyDone:
		o.attempts.record(t, p, attemptDuplicate)
		return model.Refusal{Reason: model.ReasonDuplicateDone}
	case taken:
		o.attempts.record(t, p, attemptDuplicate)
		return model.Refusal{Reason: model.ReasonDuplicateRunning}
	case len(o.keys.byID) >= o.keys.max:
		o.attempts.record(t, p, attemptFenced)
		return model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: retryKeysFull}
	case o.keys.transfer.sealed && !o.leaving():
		o.attempts.record(t, p, attemptFenced)
		return model.Refusal{Reason: model.ReasonPaused, NotRun: true, RetryAfter: retrySealed}
	}
	return model.Refusal{}
}

// FinishDelegated records the outcome of a request that this owner, as its home,
// delegated. Only the entry to which it was delegated may report it: "not run" frees the
// id, "answered" makes it done, and after "unknown" it stays until it expires.
func (o *Owner) FinishDelegated(now time.Time, r wire.KeyResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	rec, ok := o.keys.byID[r.Request]
	if !ok || rec.state != keyDelegated || !sameEntryRun(rec.attempt, r.Attempt) {
		return
	}
	switch r.Outcome {
	case model.OutcomeNotRun:
		o.keys.noteRemoval(r.Request)
		delete(o.keys.byID, r.Request)
	case model.OutcomeAnswered:
		o.keys.storeExpiring(r.Request, keyRecord{state: keyDone, attempt: rec.attempt, until: t + o.keys.memory, regions: rec.regions})
	}
}

// sameEntryRun reports whether b is a, or a later attempt of the same incarnation of the
// same entry.
func sameEntryRun(a, b model.AttemptID) bool {
	return a.Entry == b.Entry && a.Incarnation == b.Incarnation && a.Sequence <= b.Sequence
}

// setRunning registers the id of an admitted attempt.
func (k *keyTable) setRunning(p *pendingAttempt) {
	if p.keyed {
		rec := keyRecord{state: keyRunning, attempt: p.id, regions: p.regions}
		k.byID[p.request] = rec
		k.noteChange(p.request, rec)
	}
}

// setDone records that the attempt's request has run.
func (k *keyTable) setDone(t time.Duration, p *pendingAttempt) {
	if p.keyed {
		k.storeExpiring(p.request, keyRecord{state: keyDone, attempt: p.id, until: t + k.memory, regions: p.regions})
	}
}

// setDelegated records that the attempt's entry may place the request elsewhere; false
// when the table has no room for the id.
func (k *keyTable) setDelegated(t time.Duration, p *pendingAttempt) bool {
	if _, taken := k.byID[p.request]; !taken && len(k.byID) >= k.max {
		return false
	}
	k.storeExpiring(p.request, keyRecord{state: keyDelegated, attempt: p.id, until: max(t, p.deadline) + k.memory, regions: p.regions})
	return true
}

// renew extends the record of a resubmitted id by another key memory, so that an id is
// remembered as long as its caller keeps submitting it.
func (k *keyTable) renew(t time.Duration, id model.RequestID, rec keyRecord) {
	if rec.state == keyRunning || rec.until >= t+k.memory {
		return
	}
	rec.until = t + k.memory
	k.storeExpiring(id, rec)
}

// remove deletes the id of an attempt that did not run.
func (k *keyTable) remove(p *pendingAttempt) {
	if p.keyed {
		k.noteRemoval(p.request)
		delete(k.byID, p.request)
	}
}

// storeExpiring stores a record that expires at rec.until.
func (k *keyTable) storeExpiring(id model.RequestID, rec keyRecord) {
	k.byID[id] = rec
	k.noteChange(id, rec)
	k.expiries.push(rec.until, id)
	if len(k.expiries) > 2*len(k.byID)+maxExpiredPerCall {
		k.rebuildExpiries()
	}
}

// rebuildExpiries removes stale elements from the heap.
func (k *keyTable) rebuildExpiries() {
	k.expiries = k.expiries[:0]
	for id, rec := range k.byID {
		if rec.state != keyRunning {
			k.expiries.push(rec.until, id)
		}
	}
}

// expire removes expired records, at most maxExpiredPerCall.
func (k *keyTable) expire(t time.Duration) {
	for n := 0; n < maxExpiredPerCall && len(k.expiries) > 0 && k.expiries[0].until <= t; n++ {
		first := k.expiries.pop()
		if rec, ok := k.byID[first.key]; ok && rec.state != keyRunning && rec.until == first.until {
			delete(k.byID, first.key)
		}
	}
}
