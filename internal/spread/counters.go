package spread

import (
	"time"

	"gypsumstand/internal/event"
)

// Counters are totals since the start, for metrics.
type Counters struct {
	// Refused counts refused bodies by reason.
	Refused [reasonCount]uint64
	// RefusedAgain counts reads that found the same refused bytes.
	RefusedAgain uint64
	// ValueReads counts this node's own reads of values.
	ValueReads uint64
	// IndexFailures counts own index reads that failed, StaleIndexes those that
	// were behind what is in force.
	IndexFailures uint64
	StaleIndexes  uint64
	// Requests counts versions asked of peers, RequestTimeouts those not answered in time.
	Requests        uint64
	RequestTimeouts uint64
	// BodiesSent and BytesSent count what was sent to peers that asked, Declined
	// what was not, for lack of it or of room.
	BodiesSent uint64
	BytesSent  uint64
	Declined   uint64
	// BodiesReceived counts bodies from peers, Duplicates those not needed (any
	// source).
	BodiesReceived uint64
	Duplicates     uint64
	// Comparisons counts digest comparisons begun, Repairs those that found a
	// difference.
	Comparisons uint64
	Repairs     uint64
	// Malformed counts messages whose content is out of bounds.
	Malformed uint64
	// FetchesDropped counts versions not pursued: too many, or not to be had.
	FetchesDropped uint64
	// Contradictions counts those between bundles in force, at every change.
	Contradictions uint64
	// LogsSuppressed counts log lines that would have repeated.
	LogsSuppressed uint64
}

// Bounds of the log.
const (
	// logInterval is the least time between two lines of one event and subject.
	logInterval = 10 * time.Minute
	// maxLogSubjects bounds the memory of lines; above it none is written.
	maxLogSubjects = 2048
)

type logKey struct {
	event   event.ID
	subject string
}

// logLimiter holds back lines that repeat.
type logLimiter struct{ last map[logKey]time.Time }

func newLogLimiter() logLimiter { return logLimiter{last: map[logKey]time.Time{}} }

// allow reports whether a line may be written, and takes it as written.
func (l logLimiter) allow(now time.Time, id event.ID, subject string) bool {
	key := logKey{event: id, subject: subject}
	at, known := l.last[key]
	if known && now.Sub(at) < logInterval {
		return false
	}
	if !known && len(l.last) >= maxLogSubjects && !l.forget(now) {
		return false
	}
	l.last[key] = now
	return true
}

// forget drops what has run out and reports whether there is room.
func (l logLimiter) forget(now time.Time) bool {
	for key, at := range l.last {
		if now.Sub(at) >= logInterval {
			delete(l.last, key)
		}
	}
	return len(l.last) < maxLogSubjects
}

// reset lets the next line of this event and subject through.
func (l logLimiter) reset(id event.ID, subject string) {
	delete(l.last, logKey{event: id, subject: subject})
}

// bucket is a token bucket that may go into debt by one withdrawal.
type bucket struct {
	rate   float64 // per second
	burst  float64
	tokens float64
	at     time.Time
}

// refill adds what has come since the last call; the first call fills it.
func (b *bucket) refill(now time.Time) {
	if b.at.IsZero() {
		b.tokens = b.burst
	} else if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
	}
	b.at = now
}

// take withdraws n when the bucket is not in debt.
func (b *bucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= n
	return true
}

// takeAt withdraws one at a new rate and burst.
func (b *bucket) takeAt(now time.Time, rate, burst float64) bool {
	b.rate, b.burst = rate, burst
	return b.take(now, 1)
}

// wait returns the time until take succeeds again.
func (b *bucket) wait() time.Duration {
	if b.tokens > 0 {
		return 0
	}
	return time.Duration(-b.tokens/b.rate*float64(time.Second)) + time.Millisecond
}
