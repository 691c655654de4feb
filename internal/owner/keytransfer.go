package owner

import (
	"sort"
	"time"

	"gypsumstand/internal/wire"
)

// ExportKeys returns the records that this owner holds as the home of callers' request
// ids, sorted by id, for their next homes. It is called when the owner begins to leave,
// after which it registers no more ids.
func (o *Owner) ExportKeys(now time.Time) []wire.KeyRecord {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	out := make([]wire.KeyRecord, 0, len(o.keys.byID))
	for id, rec := range o.keys.byID {
		remaining := rec.until - t
		if rec.state == keyRunning {
			remaining = o.keys.memory
		}
		out = append(out, wire.KeyRecord{
			Request:   id,
			Done:      rec.state == keyDone,
			Attempt:   rec.attempt,
			Remaining: remaining,
			Regions:   rec.regions,
		})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Request < out[j].Request })
	return out
}

// ImportKeys stores the request ids of a home that leaves. Existing records are kept. Ids
// that are expired, too long or beyond the bound of the table are dropped; it returns how
// many.
func (o *Owner) ImportKeys(now time.Time, records []wire.KeyRecord) (dropped int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	for i := range records {
		if !o.importKey(t, &records[i]) {
			dropped++
		}
	}
	return dropped
}

func (o *Owner) importKey(t time.Duration, r *wire.KeyRecord) bool {
	if len(r.Request) > maxKeyBytes || r.Remaining <= 0 {
		return false
	}
	if _, known := o.keys.byID[r.Request]; known {
		return true
	}
	if len(o.keys.byID) >= maxKeys {
		return false
	}
	state := keyDelegated
	if r.Done {
		state = keyDone
	}
	until := t + min(r.Remaining, maxRemaining)
	o.keys.storeExpiring(r.Request, keyRecord{state: state, attempt: r.Attempt, until: until, regions: r.Regions})
	return true
}
