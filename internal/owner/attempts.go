package owner

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Bounds of the memory of attempts.
const (
	// barSlack is added to every bar for the drift between the clocks of entry
	// and owner over one deadline (maxRemaining at 200 ppm is under 1 s).
	barSlack = time.Second
	// defaultMemory is how long ended attempts are remembered before a bundle is
	// known.
	defaultMemory = 30 * time.Second
	// memorySlack is added to the longest deadline of the bundle's classes.
	memorySlack = 5 * time.Second
	// maxEnded bounds the remembered ended attempts. At the bound the one that
	// would lapse first is dropped: see drop.
	maxEnded = 1 << 17
	// maxEntries bounds the entry nodes that are remembered without any
	// remembered attempt.
	maxEntries = 1 << 14
	// forgetStep bounds the records that one call forgets.
	forgetStep = 4096
)

// ended is the record of an attempt that is no longer queued or started.
type ended uint8

const (
	// attemptNone: no record; the attempt was never seen.
	attemptNone ended = iota
	attemptDone
	// attemptBarred: not run, and never to be run.
	attemptBarred
	// attemptDuplicate: refused as its request id is running or done under
	// another attempt. Nothing is proved about the request.
	attemptDuplicate
)

// endedKey names an attempt compactly: the entry's index stands for its name
// and incarnation.
type endedKey struct {
	sequence uint64
	entry    uint32
}

type endedRecord struct {
	// at is the time of the record on the owner's clock; no stamp of the
	// attempt is later.
	at    time.Duration
	state ended
}

// ledger remembers ended attempts.
//
// A bar holds until the attempt's remaining time has passed, and that suffices.
// Let an entry send an attempt at time s with remaining time r and stamp c, a
// lower bound of the owner's clock at s. Its question (Settle) leaves at q >= s
// with remaining time r-(q-s) and arrives at a >= q; the bar lasts until
// a + r-(q-s) + barSlack >= s + r + barSlack. A copy that arrives after the bar
// arrives after s + r, so the owner's clock exceeds c by more than r: the age
// bound is over the remaining time and the copy is refused as stale. Only the
// lengths of two intervals are compared across clocks, so barSlack need cover no
// more than their drift over one deadline. A bar set by the owner's own refusal
// ends at c + r or later by the owner's clock alone. Attempts without a stamp
// (idempotent, or of this node's own entry) have no bounded age: their bars are
// true as long as no copy arrives later than the remaining time.
type ledger struct {
	// maxRecords and maxEntries bound the records and the entries' logs.
	maxRecords, maxEntries int
	// memory is how long ended attempts are remembered at least.
	memory  time.Duration
	records map[endedKey]endedRecord
	lapses  expiryHeap[endedKey]
	entries map[model.InstanceID]*entryLog
	// order lists the logs of entries; hand is where the search for an idle one
	// goes on.
	order []*entryLog
	hand  int
	// byIndex finds the log of a record.
	byIndex   map[uint32]*entryLog
	lastIndex uint32
	// floor: stamps up to it are refused, as a bar on such an attempt may have
	// been dropped before its time.
	floor time.Duration
	// unstampedUntil: attempts without a stamp are refused before it, for the
	// same reason.
	unstampedUntil time.Duration
	// lostAt is when the log of an idle entry was last dropped, negative for
	// never: an entry without a log may have had attempts here until then.
	lostAt time.Duration
}

func newLedger() ledger {
	return ledger{
		maxRecords: maxEnded,
		maxEntries: maxEntries,
		memory:     defaultMemory,
		records:    map[endedKey]endedRecord{},
		entries:    map[model.InstanceID]*entryLog{},
		byIndex:    map[uint32]*entryLog{},
		lostAt:     -1,
	}
}

// attemptMemory returns how long ended attempts are remembered: past the longest
// deadline, so that no question about an attempt still in time finds it
// forgotten.
func attemptMemory(classes []bundle.Class) time.Duration {
	longest := time.Duration(0)
	for i := range classes {
		longest = max(longest, classes[i].Deadline(), classes[i].MaxDeadline())
	}
	return min(longest, maxRemaining) + memorySlack
}

// find returns the record of an attempt. known is false when the ledger cannot
// tell whether it was seen. stamp is a lower bound of the time of its sending,
// zero when there is none. Two proofs tell that an attempt without a record was
// never seen: its sequence number, as those of one entry grow in the order of
// sending, and its stamp, when everything that was lost was lost before.
func (l *ledger) find(id model.AttemptID, stamp time.Duration) (state ended, known bool) {
	log := l.entries[id.Entry]
	if log == nil || id.Incarnation > log.incarnation {
		return attemptNone, stamp > l.lostAt
	}
	if id.Incarnation < log.incarnation {
		return attemptNone, false
	}
	if rec, ok := l.records[endedKey{id.Sequence, log.index}]; ok {
		return rec.state, true
	}
	return attemptNone, id.Sequence >= log.from && (id.Sequence >= log.since || stamp > log.lostAt)
}

// end remembers how an attempt ended, at least until its deadline and the
// ledger's memory have passed. It is called once for an item.
func (l *ledger) end(t time.Duration, it *item, state ended) {
	if it.log != nil {
		it.log.live--
	}
	until := it.deadline + barSlack
	if state != attemptBarred {
		until = max(until, t+l.memory)
	}
	l.add(l.log(it.id, it.stamp), it.id, endedRecord{at: t, state: state}, until)
	l.makeRoom(t)
}

// bar bars an attempt that was never seen, with stamps up to at.
func (l *ledger) bar(at time.Duration, id model.AttemptID, until time.Duration) {
	l.add(l.log(id, 0), id, endedRecord{at: at, state: attemptBarred}, until)
}

func (l *ledger) add(log *entryLog, id model.AttemptID, rec endedRecord, until time.Duration) {
	if log == nil {
		return
	}
	key := endedKey{id.Sequence, log.index}
	if _, exists := l.records[key]; exists {
		return
	}
	log.records++
	if len(l.records) >= l.maxRecords {
		l.drop()
	}
	l.records[key] = rec
	l.lapses.push(until, key)
}

// drop forgets the record that would lapse first before its time and pays with
// precision, not with truth: of a done attempt's entry nothing is known up to
// its sequence number, and stamps up to the time of a bar are refused.
func (l *ledger) drop() {
	first := l.lapses.pop()
	rec := l.records[first.key]
	if rec.state == attemptBarred {
		l.floor = max(l.floor, rec.at)
		l.unstampedUntil = max(l.unstampedUntil, first.until)
	}
	l.erase(first.key, rec)
}

// forget drops lapsed records.
func (l *ledger) forget(t time.Duration) {
	for n := 0; n < forgetStep && len(l.lapses) > 0 && l.lapses[0].until <= t; n++ {
		key := l.lapses.pop().key
		l.erase(key, l.records[key])
	}
	l.makeRoom(t)
}

// erase removes a record. That of a barred attempt needs no trace, as it did not
// run and its bar has held long enough; any other raises the entry's mark.
func (l *ledger) erase(key endedKey, rec endedRecord) {
	delete(l.records, key)
	log := l.byIndex[key.entry]
	log.records--
	if rec.state != attemptBarred {
		log.from = max(log.from, key.sequence+1)
	}
	if log.records == 0 && log.superseded {
		delete(l.byIndex, key.entry)
	}
}
