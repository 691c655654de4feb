package owner

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// entryLog holds what is known of one entry node's attempts. Sequence numbers grow in the
// order of sending, so one number bounds the attempts that may have been forgotten.
type entryLog struct {
	entry       model.InstanceID
	index       uint32
	incarnation model.Incarnation
	// completeFrom is the lowest sequence number from which the records are complete.
	// Below it, records that do not prove "not run" may have been removed.
	completeFrom uint64
	// loggedFrom: of attempts with a lower sequence number, only those stamped after
	// logDroppedAt are known not to have arrived before this log existed; see
	// ledger.logDroppedAt.
	loggedFrom   uint64
	logDroppedAt time.Duration
	// records counts the entry's ended attempts in the ledger, pending its admitted ones.
	records, pending int
	// superseded: a newer incarnation of the entry has a log.
	superseded bool
	// orderIndex is the log's index in ledger.order.
	orderIndex int
}

// logAdmitted returns the log of an admitted attempt's entry and counts the attempt as
// pending; nil when the attempt is from an older incarnation of the entry.
func (l *ledger) logAdmitted(id model.AttemptID, stamp time.Duration) *entryLog {
	log := l.logFor(id, stamp)
	if log != nil {
		log.pending++
	}
	return log
}

// logFor returns the log of an attempt's entry and creates it if needed; nil when the
// attempt is from an older incarnation of the entry.
func (l *ledger) logFor(id model.AttemptID, stamp time.Duration) *entryLog {
	old := l.logs[id.Entry]
	if old != nil && old.incarnation == id.Incarnation {
		return old
	}
	if old != nil && old.incarnation > id.Incarnation {
		return nil
	}
	l.lastIndex++
	log := &entryLog{entry: id.Entry, index: l.lastIndex, incarnation: id.Incarnation, logDroppedAt: l.logDroppedAt}
	switch {
	case l.logDroppedAt < 0:
	case stamp > l.logDroppedAt:
		log.loggedFrom = id.Sequence
	default:
		log.loggedFrom = math.MaxUint64
	}
	l.addLog(log, old)
	return log
}

// addLog stores a log. If it replaces the log of an older incarnation, that one is kept
// only for its records.
func (l *ledger) addLog(log, old *entryLog) {
	l.logs[log.entry] = log
	l.byIndex[log.index] = log
	if old == nil {
		log.orderIndex = len(l.order)
		l.order = append(l.order, log)
		return
	}
	log.orderIndex = old.orderIndex
	l.order[log.orderIndex] = log
	old.superseded = true
	if old.records == 0 {
		delete(l.byIndex, old.index)
	}
}

// maxIdleProbes bounds the search for an idle entry.
const maxIdleProbes = 64

// evictIdleLog drops the log of one entry without attempts when there are too many logs.
// If it finds none, the table stays over its bound; each of its entries then has a record
// or a pending attempt, so it stays within their bounds.
func (l *ledger) evictIdleLog(t time.Duration) {
	if len(l.logs) <= l.maxEntryLogs {
		return
	}
	for range min(maxIdleProbes, len(l.order)) {
		l.cursor = (l.cursor + 1) % len(l.order)
		if log := l.order[l.cursor]; log.records == 0 && log.pending == 0 {
			l.dropLog(t, log)
			return
		}
	}
}

// dropLog removes the log of an idle entry.
func (l *ledger) dropLog(t time.Duration, log *entryLog) {
	delete(l.logs, log.entry)
	delete(l.byIndex, log.index)
	last := l.order[len(l.order)-1]
	l.order[log.orderIndex] = last
	last.orderIndex = log.orderIndex
	l.order = l.order[:len(l.order)-1]
	l.logDroppedAt = t
}
