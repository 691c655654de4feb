package owner

import (
	"sort"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// retrySealed is the Retry-After of a refusal while the last changes of the request ids are
// being handed over: a round trip between distant data centres. An entry asks twice more.
const retrySealed = 100 * time.Millisecond

// keyTransfer is the state of an owner that hands over its request ids because its node
// leaves, before any other node may know that.
type keyTransfer struct {
	active bool
	// admits reports that new attempts are still admitted.
	admits bool
	// sealed: no new request id is registered.
	sealed bool
	// changed holds, for the ids that have changed since the last export, the record before
	// the change; it is needed for ids that were freed.
	changed map[model.RequestID]keyRecord
}

// admitsAttempts reports whether the handover, if there is one, lets new attempts be admitted.
func (k *keyTransfer) admitsAttempts() bool { return !k.active || k.admits }

// noteChange records that an id's record changes from rec.
func (k *keyTable) noteChange(id model.RequestID, rec keyRecord) {
	if k.transfer.active {
		k.transfer.changed[id] = rec
	}
}

// noteRemoval records that an id becomes free.
func (k *keyTable) noteRemoval(id model.RequestID) {
	if rec, ok := k.byID[id]; ok {
		k.noteChange(id, rec)
	}
}

// BeginKeyTransfer begins the handover of the request ids and returns their records,
// sorted by id. Ids go on being registered until SealKeys. With admit false, no new attempt
// is admitted, but the refusal does not say that the owner leaves.
func (o *Owner) BeginKeyTransfer(now time.Time, admit bool) []wire.KeyRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.state == model.StateCold {
		o.delegateQueuedKeys(t)
	}
	o.keys.transfer = keyTransfer{active: true, admits: admit, changed: map[model.RequestID]keyRecord{}}
	return o.exportKeys(t)
}

// delegateQueuedKeys delegates the queued attempts that hold a caller's key, so that their
// records are handed over as such. SetState would refuse them as "leaving" after the
// handover, and their next homes would take them for running.
func (o *Owner) delegateQueuedKeys(t time.Duration) {
	r := model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: retryNotReady}
	for _, p := range o.queue.filter(func(p *pendingAttempt) bool { return p.keyed }) {
		o.refuseQueued(t, p, r)
	}
}

// KeyChanges returns the number of ids that have changed since the last export.
func (o *Owner) KeyChanges() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.keys.transfer.changed)
}

// ChangedKeys returns the records that have changed since the last export, sorted by id.
func (o *Owner) ChangedKeys(now time.Time) []wire.KeyRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	out := make([]wire.KeyRecord, 0, len(o.keys.transfer.changed))
	for id, before := range o.keys.transfer.changed {
		rec, taken := o.keys.byID[id]
		if !taken {
			rec = before
		}
		r := o.exportKey(t, id, rec)
		r.Freed = !taken
		out = append(out, r)
	}
	clear(o.keys.transfer.changed)
	sortKeys(out)
	return out
}

// SealKeys ends the registration of new ids: attempts that would register one are refused
// as paused, so that their entries ask again, until the owner's state is StateLeaving.
func (o *Owner) SealKeys() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys.transfer.sealed = true
}

// EndKeyTransfer ends the recording of changes. The owner's state must be StateLeaving.
func (o *Owner) EndKeyTransfer() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.keys.transfer = keyTransfer{}
}

// ExportKeys returns the records that this owner holds as the home of callers' request
// ids, sorted by id, for their next homes.
func (o *Owner) ExportKeys(now time.Time) []wire.KeyRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.exportKeys(o.clock(now))
}

func (o *Owner) exportKeys(t time.Duration) []wire.KeyRecord {
	out := make([]wire.KeyRecord, 0, len(o.keys.byID))
	for id, rec := range o.keys.byID {
		if rec.state == keyRunning || rec.until > t {
			out = append(out, o.exportKey(t, id, rec))
		}
	}
	sortKeys(out)
	return out
}

func (o *Owner) exportKey(t time.Duration, id model.RequestID, rec keyRecord) wire.KeyRecord {
	remaining := rec.until - t
	if rec.state == keyRunning {
		remaining = o.keys.memory
	}
	return wire.KeyRecord{
		Request:   id,
		Done:      rec.state == keyDone,
		Attempt:   rec.attempt,
		Remaining: remaining,
		Regions:   rec.regions,
	}
}

func sortKeys(records []wire.KeyRecord) {
	sort.Slice(records, func(i, j int) bool { return records[i].Request < records[j].Request })
}

// ImportKeys stores the request ids of a home that leaves. A record of this owner's own is
// kept; one that was imported from the same home is replaced by a version with a greater
// number (see wire.KeyHandover). Ids that are expired, too long or beyond the bound of the
// table are dropped; it returns how many.
func (o *Owner) ImportKeys(now time.Time, from model.InstanceID, m wire.KeyHandover) (dropped int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	origin := keyOrigin{home: from, number: m.Number}
	for i := range m.Keys {
		if !o.importKey(t, &m.Keys[i], origin) {
			dropped++
		}
	}
	return dropped
}

// keyOrigin is the message with which a record was imported; zero for an owner's own
// records.
type keyOrigin struct {
	home   model.InstanceID
	number uint64
}

// replaces reports whether a record from origin n replaces one from origin o.
func (n keyOrigin) replaces(o keyOrigin) bool {
	return n.home == o.home && n.number > o.number
}

func (o *Owner) importKey(t time.Duration, r *wire.KeyRecord, origin keyOrigin) bool {
	if len(r.Request) > maxKeyBytes {
		return false
	}
	rec, known := o.keys.byID[r.Request]
	if known && !origin.replaces(rec.origin) {
		return true
	}
	if r.Freed {
		o.keys.noteRemoval(r.Request)
		delete(o.keys.byID, r.Request)
		return true
	}
	if r.Remaining <= 0 || !known && len(o.keys.byID) >= o.keys.max {
		return false
	}
	state := keyDelegated
	if r.Done {
		state = keyDone
	}
	until := t + min(r.Remaining, maxRemaining)
	o.keys.storeExpiring(r.Request, keyRecord{state: state, attempt: r.Attempt, until: until, regions: r.Regions, origin: origin})
	return true
}
