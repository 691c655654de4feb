package measure

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
)

// pollGrace is how many message spacings a poll that found no token goes before
// probes.
const pollGrace = 3

// OwnerCounts counts the messages at one owner since its start.
type OwnerCounts struct {
	// PollsSent reached the worker, PollsDeferred were not sent for the budget.
	PollsSent, PollsDeferred uint64
	// ProbesAnswered were answered, ProbesRefused were over the budget.
	ProbesAnswered, ProbesRefused uint64
}

// OwnerLimiter admits what measures one upstream, at its owner. Polls and probes
// together stay within the budget in any second; each kind keeps its share. It
// is safe for concurrent use.
type OwnerLimiter struct {
	mu            sync.Mutex
	total         *spacing
	polls, probes *spacing
	// pollFirst is until when a poll that found no token goes before probes.
	pollFirst time.Time
	counts    OwnerCounts
}

// NewOwnerLimiter returns a Landing that admits nothing at first: the life before a
// restart may have used the budget up to now.
func NewOwnerLimiter(now time.Time, m bundle.Measuring) *OwnerLimiter {
	return &OwnerLimiter{
		total:  newSpacing(now, perSecond(m.PerUpstreamPerSecond)),
		polls:  newSpacing(now, pollLimit(&m)),
		probes: newSpacing(now, probeLimit(&m)),
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

// AllowPoll tells whether the owner may poll its worker now. Each message to
// the worker asks for itself, right before it is sent: a permission kept over a
// pause of the process would be a message too many. A poll within its share that
// finds the budget used up by a probe goes before later probes.
func (l *OwnerLimiter) AllowPoll(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.polls.ready(now) {
		l.counts.PollsDeferred++
		return false
	}
	if !l.total.allow(now) {
		l.pollFirst = now.Add(l.grace())
		l.counts.PollsDeferred++
		return false
	}
	l.polls.allow(now)
	l.pollFirst = time.Time{}
	l.counts.PollsSent++
	return true
}

// AllowProbe tells whether a probe of an entry node is answered. One that is
// not is dropped without any work.
func (l *OwnerLimiter) AllowProbe(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Before(l.pollFirst) || !l.probes.ready(now) || !l.total.allow(now) {
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

func (l *OwnerLimiter) grace() time.Duration {
	limit := float64(l.total.limiter.Limit())
	return time.Duration(pollGrace / limit * float64(time.Second))
}
