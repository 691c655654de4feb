package owner

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Bounds of the attempt records.
const (
	// fenceSlack extends every fence to cover the drift between the clocks of entry and
	// owner over one deadline (under 1 s for maxRemaining at 200 ppm).
	fenceSlack = time.Second
	// defaultAttemptMemory is how long ended attempts are remembered before the first
	// bundle arrives.
	defaultAttemptMemory = 30 * time.Second
	// memorySlack is added to the longest deadline of the bundle's classes.
	memorySlack = 5 * time.Second
	// maxAttemptRecords bounds the records of ended attempts. At the bound, the record
	// that would expire first is evicted; see evict.
	maxAttemptRecords = 1 << 17
	// maxEntryLogs bounds the entry nodes that are remembered without any attempt record.
	maxEntryLogs = 1 << 14
	// maxExpiredPerCall bounds the records that one call of expire removes.
	maxExpiredPerCall = 4096
)

// attemptOutcome is the recorded outcome of an attempt that is no longer queued or
// started.
type attemptOutcome uint8

const (
	// attemptNone means that there is no record: the attempt was never seen.
	attemptNone attemptOutcome = iota
	attemptDone
	// attemptFenced means that the attempt did not run and never will.
	attemptFenced
	// attemptDuplicate means that the attempt was refused because its request id is
	// running or done under another attempt. It proves nothing about the request.
	attemptDuplicate
)

// recordKey identifies an attempt compactly: the entry's index stands for its name and
// incarnation.
type recordKey struct {
	sequence uint64
	entry    uint32
}

type attemptRecord struct {
	// at is the owner's time of the record; no stamp of the attempt is later.
	at      time.Duration
	outcome attemptOutcome
}

// ledger remembers ended attempts.
//
// A fence holds until the attempt's remaining time has passed, which is long enough: let
// an entry send an attempt at time s with remaining time r and stamp c, a lower bound of
// the owner's clock at s. Its Resolve message leaves at q >= s with remaining time
// r-(q-s) and arrives at a >= q; the fence lasts until a + r-(q-s) + fenceSlack >= s + r
// + fenceSlack. A copy of the attempt that arrives after the fence expired arrives after
// s + r, so the owner's clock exceeds c by more than r: the bound of its age is over the
// remaining time and the copy is refused as stale. Only the lengths of two intervals are
// compared across clocks, so fenceSlack covers no more than their drift over one
// deadline. A fence set by the owner's own refusal ends at c + r or later by the owner's
// clock alone.
//
// Attempts without a stamp (idempotent, or from this node's own entry) have no bounded
// age: their fences hold as long as no copy arrives later than the remaining time.
type ledger struct {
	// maxRecords and maxEntryLogs bound records and logs.
	maxRecords, maxEntryLogs int
	// memory is the least time for which ended attempts are remembered.
	memory   time.Duration
	records  map[recordKey]attemptRecord
	expiries expiryHeap[recordKey]
	logs     map[model.InstanceID]*entryLog
	// order lists the logs in logs; cursor is where the search for an idle log continues.
	order  []*entryLog
	cursor int
	// byIndex finds the log of a record.
	byIndex   map[uint32]*entryLog
	lastIndex uint32
	// stampFloor: attempts stamped at or before it are refused, since the fence of such
	// an attempt may have been evicted before it expired.
	stampFloor time.Duration
	// refuseUnstampedUntil is the time before which attempts without a stamp are refused,
	// for the same reason.
	refuseUnstampedUntil time.Duration
	// logDroppedAt is when the log of an idle entry was last dropped, negative for never.
	// An entry without a log may have had attempts here until then.
	logDroppedAt time.Duration
}

func newLedger() ledger {
	return ledger{
		maxRecords:   maxAttemptRecords,
		maxEntryLogs: maxEntryLogs,
		memory:       defaultAttemptMemory,
		records:      map[recordKey]attemptRecord{},
		logs:         map[model.InstanceID]*entryLog{},
		byIndex:      map[uint32]*entryLog{},
		logDroppedAt: -1,
	}
}

// attemptMemory returns how long ended attempts are remembered: beyond the longest
// deadline, so that a Resolve for an attempt still in time always finds its record.
func attemptMemory(classes []bundle.Class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline(), classes[i].MaxDeadline())
	}
	return min(longest, maxRemaining) + memorySlack
}

// find returns the record of an attempt. known is false when the ledger cannot tell
// whether the attempt was seen. stamp is a lower bound of the time of its sending, zero
// when there is none. An attempt without a record is known to be unseen in two cases: its
// sequence number is above all that may have been removed, since the numbers of one entry
// grow in the order of sending; or its stamp is later than the last dropped log.
func (l *ledger) find(id model.AttemptID, stamp time.Duration) (outcome attemptOutcome, known bool) {
	log := l.logs[id.Entry]
	if log == nil || id.Incarnation > log.incarnation {
		return attemptNone, stamp > l.logDroppedAt
	}
	if id.Incarnation < log.incarnation {
		return attemptNone, false
	}
	if rec, ok := l.records[recordKey{id.Sequence, log.index}]; ok {
		return rec.outcome, true
	}
	return attemptNone, id.Sequence >= log.completeFrom && (id.Sequence >= log.loggedFrom || stamp > log.logDroppedAt)
}

// record stores how an attempt ended, at least until its deadline and the ledger's memory
// have passed. It is called once for each pending attempt.
func (l *ledger) record(t time.Duration, p *pendingAttempt, outcome attemptOutcome) {
	if p.log != nil {
		p.log.pending--
	}
	until := p.deadline + fenceSlack
	if outcome != attemptFenced {
		until = max(until, t+l.memory)
	}
	l.add(l.logFor(p.id, p.stamp), p.id, attemptRecord{at: t, outcome: outcome}, until)
	l.evictIdleLog(t)
}

// fence fences an attempt that was never seen, with stamps up to at.
func (l *ledger) fence(at time.Duration, id model.AttemptID, until time.Duration) {
	l.add(l.logFor(id, 0), id, attemptRecord{at: at, outcome: attemptFenced}, until)
}

func (l *ledger) add(log *entryLog, id model.AttemptID, rec attemptRecord, until time.Duration) {
	if log == nil {
		return
	}
	key := recordKey{id.Sequence, log.index}
	if _, exists := l.records[key]; exists {
		return
	}
	log.records++
	if len(l.records) >= l.maxRecords {
		l.evict()
	}
	l.records[key] = rec
	l.expiries.push(until, key)
}

// evict removes, before its time, the record that would expire first. The ledger then
// answers less precisely but never wrongly: for the entry of a done attempt nothing is
// known up to its sequence number, and stamps up to the time of an evicted fence are
// refused.
func (l *ledger) evict() {
	first := l.expiries.pop()
	rec := l.records[first.key]
	if rec.outcome == attemptFenced {
		l.stampFloor = max(l.stampFloor, rec.at)
		l.refuseUnstampedUntil = max(l.refuseUnstampedUntil, first.until)
	}
	l.remove(first.key, rec)
}

// expire removes expired records, at most maxExpiredPerCall.
func (l *ledger) expire(t time.Duration) {
	for n := 0; n < maxExpiredPerCall && len(l.expiries) > 0 && l.expiries[0].until <= t; n++ {
		key := l.expiries.pop().key
		l.remove(key, l.records[key])
	}
	l.evictIdleLog(t)
}

// remove deletes a record. A fenced attempt leaves no trace, as it did not run and its
// fence has held long enough; any other raises the entry's completeFrom.
func (l *ledger) remove(key recordKey, rec attemptRecord) {
	delete(l.records, key)
	log := l.byIndex[key.entry]
	log.records--
	if rec.outcome != attemptFenced {
		log.completeFrom = max(log.completeFrom, key.sequence+1)
	}
	if log.records == 0 && log.superseded {
		delete(l.byIndex, key.entry)
	}
}
