package entry

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
)

// A refused caller retries with what is left of its time, and its latency counts from its
// first submission. Where most callers of a class send about the same timeout, a shorter one
// identifies a caller retry. If retries were served as if they had just arrived, they would
// fill the queue with responses that are late for their callers: in a burst of 2 times the
// capacity the responses within the objective fell from 0.53 to 0.48 of the lookups' worth.
const (
	// timeoutSamples is the number of submissions over which the usual timeout and its share
	// are smoothed.
	timeoutSamples = 32
	// minUsualShare is the share of submissions that must have the usual timeout for a
	// shorter one to count as a caller retry. It is a half if every request is refused and
	// retried once. Where callers vary their timeouts, few submissions share any value.
	minUsualShare = 0.25
	// usualTolerance is how far a usual timeout may be below the longest one, as a share of
	// the longest. A caller retry has lost the time of a refusal, its Retry-After and two
	// network paths, which is mostly more.
	usualTolerance = 0.2
	// usualTTL is the time after which a usual timeout that is no longer sent is dropped, as
	// after a new release of a caller.
	usualTTL = 5 * time.Second
)

// callerTimeout learns the timeout that most callers of a class send. It is safe for
// concurrent use.
type callerTimeout struct {
	mu sync.Mutex
	// longest is the longest timeout sent recently; longestSeenAt is when a timeout within
	// usualTolerance of it was last sent.
	longest       time.Duration
	longestSeenAt time.Time
	// mean is the smoothed mean of those timeouts, in nanoseconds, and share the smoothed
	// share of submissions that had one.
	mean, share float64
}

// observe adds the timeout of a submission, and returns an estimate of how long its caller
// had waited before; zero for a first submission.
func (c *callerTimeout) observe(now time.Time, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.longestSeenAt) > usualTTL || float64(timeout) > (1+usualTolerance)*float64(c.longest) {
		c.longest, c.mean, c.share = 0, float64(timeout), 0
	}
	c.longest = max(c.longest, timeout)
	if float64(timeout) >= (1-usualTolerance)*float64(c.longest) {
		c.longestSeenAt = now
		c.mean += (float64(timeout) - c.mean) / timeoutSamples
		c.share += (1 - c.share) / timeoutSamples
		return 0
	}
	c.share -= c.share / timeoutSamples
	if c.share < minUsualShare {
		return 0
	}
	return max(time.Duration(c.mean)-timeout, 0)
}

// callerTimeoutFor returns the usual timeout of a class's callers.
func (e *Engine) callerTimeoutFor(t *bundle.Target) *callerTimeout {
	key := classKey{t.Service.Name, t.Class.Name}
	return e.callerTimeouts.get(key, func() *callerTimeout { return &callerTimeout{} })
}
