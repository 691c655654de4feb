package owner

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// entryLog is what is known of one entry node's attempts. Sequence numbers grow
// in the order of sending, so one number tells which may have been forgotten.
type entryLog struct {
	entry       model.InstanceID
	index       uint32
	incarnation model.Incarnation
	// from is the least sequence number of which the records tell everything:
	// below it, records that do not prove "not run" have been forgotten.
	from uint64
	// since: of sequence numbers below it, only attempts sent after lostAt are
	// known not to have come before the log was made; see ledger.lostAt.
	since  uint64
	lostAt time.Duration
	// records is the number of ended attempts remembered, live that of admitted
	// ones.
	records, live int
	// superseded: a newer incarnation of the entry has a log.
	superseded bool
	// slot is the log's place in ledger.order.
	slot int
}

// seen returns the log of an admitted attempt's entry and counts it as live;
// nil when the attempt is of an older incarnation of the entry.
func (l *ledger) seen(id model.AttemptID, stamp time.Duration) *entryLog {
	log := l.log(id, stamp)
	if log != nil {
		log.live++
	}
	return log
}

// log returns the log of an attempt's entry; nil when the attempt is of an older
// incarnation of the entry.
func (l *ledger) log(id model.AttemptID, stamp time.Duration) *entryLog {
	old := l.entries[id.Entry]
	if old != nil && old.incarnation == id.Incarnation {
		return old
	}
	if old != nil && old.incarnation > id.Incarnation {
		return nil
	}
	l.lastIndex++
	log := &entryLog{entry: id.Entry, index: l.lastIndex, incarnation: id.Incarnation, lostAt: l.lostAt}
	switch {
	case l.lostAt < 0:
	case stamp > l.lostAt:
		log.since = id.Sequence
	default:
		log.since = math.MaxUint64
	}
	l.put(log, old)
	return log
}

// put lists a log, in place of that of an older incarnation if there is one,
// which is kept only for its records.
func (l *ledger) put(log, old *entryLog) {
	l.entries[log.entry] = log
	l.byIndex[log.index] = log
	if old == nil {
		log.slot = len(l.order)
		l.order = append(l.order, log)
		return
	}
	log.slot = old.slot
	l.order[log.slot] = log
	old.superseded = true
	if old.records == 0 {
		delete(l.byIndex, old.index)
	}
}

// idleProbes bounds the search for an idle entry.
const idleProbes = 64

// makeRoom forgets one entry without attempts when there are too many. When none
// is found the table stays over its bound; each of its entries then holds a
// record or a live attempt, so it stays within their bounds.
func (l *ledger) makeRoom(t time.Duration) {
	if len(l.entries) <= l.maxEntries {
		return
	}
	for range min(idleProbes, len(l.order)) {
		l.hand = (l.hand + 1) % len(l.order)
		if log := l.order[l.hand]; log.records == 0 && log.live == 0 {
			l.dropEntry(t, log)
			return
		}
	}
}

// dropEntry forgets an idle entry's log.
func (l *ledger) dropEntry(t time.Duration, log *entryLog) {
	delete(l.entries, log.entry)
	delete(l.byIndex, log.index)
	last := l.order[len(l.order)-1]
	l.order[log.slot] = last
	last.slot = log.slot
	l.order = l.order[:len(l.order)-1]
	l.lostAt = t
}
