package measure

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
)

// pollPrioritySpacings is how long a poll that found the budget used up has priority over
// probes, in multiples of the time between two messages.
const pollPrioritySpacings = 3

// OwnerCounts counts the messages at one owner since its start.
type OwnerCounts struct {
	// PollsSent were sent to the worker, PollsDeferred were not sent because of the
	// budget.
	PollsSent, PollsDeferred uint64
	// ProbesAnswered were answered, ProbesRefused exceeded the budget.
	ProbesAnswered, ProbesRefused uint64
}

// OwnerLimiter limits the messages that measure one upstream, at its owner. Polls and
// probes together stay within the budget in any second, and each kind keeps its share. It
// is safe for concurrent use.
type OwnerLimiter struct {
	mu            sync.Mutex
	total         *bucket
	polls, probes *bucket
	// pollPriorityUntil is the time until which probes are refused in favour of a poll
	// that found the budget used up.
	pollPriorityUntil time.Time
	counts            OwnerCounts
}

// NewOwnerLimiter returns a limiter that admits nothing at first, as the process before a
// restart may have used up the budget.
func NewOwnerLimiter(now time.Time, m bundle.Measuring) *OwnerLimiter {
	return &OwnerLimiter{
		total:  newEmptyBucket(now, perSecond(m.PerUpstreamPerSecond)),
		polls:  newEmptyBucket(now, pollLimit(&m)),
		probes: newEmptyBucket(now, probeLimit(&m)),
	}
}

// Configure applies another bundle's budget to later messages.
func (l *OwnerLimiter) Configure(now time.Time, m bundle.Measuring) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total.setLimit(now, perSecond(m.PerUpstreamPerSecond))
	l.polls.setLimit(now, pollLimit(&m))
	l.probes.setLimit(now, probeLimit(&m))
}

// AllowPoll reports whether the owner may poll its worker now. It is called for each
// message to the worker right before it is sent: a permission that is kept over a pause
// of the process would exceed the budget. A poll within its share that finds the budget
// used up by a probe has priority over later probes.
func (l *OwnerLimiter) AllowPoll(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.polls.ready(now) {
		l.counts.PollsDeferred++
		return false
	}
	if !l.total.allow(now) {
		l.pollPriorityUntil = now.Add(l.pollPriority())
		l.counts.PollsDeferred++
		return false
	}
	l.polls.allow(now)
	l.pollPriorityUntil = time.Time{}
	l.counts.PollsSent++
	return true
}

// AllowProbe reports whether a probe from an entry node is answered. A refused probe is
// dropped without any work.
func (l *OwnerLimiter) AllowProbe(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.pollPriorityUntil) || !l.probes.ready(now) || !l.total.allow(now) {
		l.counts.ProbesRefused++
		return false
	}
	l.probes.allow(now)
	l.counts.ProbesAnswered++
	return true
}

// Counts returns the counters.
func (l *OwnerLimiter) Counts() OwnerCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

func (l *OwnerLimiter) pollPriority() time.Duration {
	limit := float64(l.total.limiter.Limit())
	return time.Duration(pollPrioritySpacings / limit * float64(time.Second))
}
