package spread

import (
	"time"

	"gypsumstand/internal/event"
)

// Counters are totals since the start, for metrics.
type Counters struct {
	// Refused counts refused bodies by reason.
	Refused [reasonCount]uint64
	// RefusedAgain counts value reads that returned the same refused bytes again.
	RefusedAgain uint64
	// ValueReads counts this node's own value reads.
	ValueReads uint64
	// IndexFailures counts own index reads that failed, StaleIndexes those that were
	// older than what is in force.
	IndexFailures uint64
	StaleIndexes  uint64
	// Requests counts versions requested from peers, RequestTimeouts those without a
	// timely response.
	Requests        uint64
	RequestTimeouts uint64
	// BodiesSent and BytesSent count what was sent to peers on request. Declined counts
	// requested versions that were not sent, because they are not held or exceed the
	// upload limit.
	BodiesSent uint64
	BytesSent  uint64
	Declined   uint64
	// BodiesReceived counts bodies from peers, Duplicates bodies from any source that
	// were not needed.
	BodiesReceived uint64
	Duplicates     uint64
	// Comparisons counts digest comparisons started, Repairs those that found a
	// difference.
	Comparisons uint64
	Repairs     uint64
	// Malformed counts messages with content outside its limits.
	Malformed uint64
	// FetchesDropped counts fetches given up: too many at once, or unobtainable.
	FetchesDropped uint64
	// Contradictions counts contradictions between bundles in force, at every change.
	Contradictions uint64
	// LogsSuppressed counts log lines suppressed as repetitions.
	LogsSuppressed uint64
}

// Limits on the log.
const (
	// logInterval is the minimum time between two lines of one event and subject.
	logInterval = 10 * time.Minute
	// maxLogSubjects bounds the stored events and subjects; above it, new ones are not
	// logged.
	maxLogSubjects = 2048
)

type logKey struct {
	event   event.ID
	subject string
}

// logLimiter suppresses repeated log lines.
type logLimiter struct{ last map[logKey]time.Time }

func newLogLimiter() logLimiter { return logLimiter{last: map[logKey]time.Time{}} }

// allow reports whether a line may be written, and counts it as written.
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

// forget drops expired entries and reports whether there is room for another.
func (l logLimiter) forget(now time.Time) bool {
	for key, at := range l.last {
		if now.Sub(at) >= logInterval {
			delete(l.last, key)
		}
	}
	return len(l.last) < maxLogSubjects
}

// reset allows the next line of this event and subject.
func (l logLimiter) reset(id event.ID, subject string) {
	delete(l.last, logKey{event: id, subject: subject})
}

// tokenBucket is a token bucket that one withdrawal may overdraw.
type tokenBucket struct {
	rate   float64 // per second
	burst  float64
	tokens float64
	at     time.Time
}

// refill adds the tokens since the last call; the first call fills the bucket.
func (b *tokenBucket) refill(now time.Time) {
	if b.at.IsZero() {
		b.tokens = b.burst
	} else if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*d.Seconds())
	}
	b.at = now
}

// take withdraws n unless the bucket is overdrawn.
func (b *tokenBucket) take(now time.Time, n float64) bool {
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= n
	return true
}

// takeAt sets a new rate and burst and withdraws one token.
func (b *tokenBucket) takeAt(now time.Time, rate, burst float64) bool {
	b.rate, b.burst = rate, burst
	return b.take(now, 1)
}

// wait returns the time until take succeeds again.
func (b *tokenBucket) wait() time.Duration {
	if b.tokens > 0 {
		return 0
	}
	return time.Duration(-b.tokens/b.rate*float64(time.Second)) + time.Millisecond
}
