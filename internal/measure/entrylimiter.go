package measure

import (
	"math/rand/v2"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

const (
	// maxTracked bounds the upstreams that an EntryLimiter tracks.
	maxTracked = 4096
	// missedAfter is how long after its time a planned probe is dropped and a new one
	// planned; it equals the shortest process pause that is detected.
	missedAfter = time.Second
	// jitterDivisor sets the jitter: a node's probes of one upstream are sent up to a
	// quarter of the period late.
	jitterDivisor = 4
	// pruneInterval is the least time between two searches for expired plans.
	pruneInterval = time.Second
	// maxPeriod bounds the time between two probes of one upstream by one node.
	maxPeriod = time.Hour
)

// EntryCounts counts the probes of one entry node since its start.
type EntryCounts struct {
	// Sent were allowed; Deferred were requested before their time or without any budget;
	// Untracked were requested for an upstream beyond maxTracked.
	Sent, Deferred, Untracked uint64
}

// EntryLimiter limits an entry node's probes to its part of each upstream's budget: the
// probes' share, divided by the number of nodes that are likely to probe. Nodes that
// begin to need probes at the same time (when a partition heals, a data centre starts, or
// a service's traffic stops) must not send them at the same time. The first probe is
// therefore planned at a random time within its period, and the next a jittered period
// after it. A probe that was not sent at its time, for example because of a process
// pause, is planned like a first one. It is safe for concurrent use.
type EntryLimiter struct {
	mu       sync.Mutex
	random   func() uint64
	plans    map[model.InstanceID]*plan
	prunedAt time.Time
	counts   EntryCounts
}

// plan is the next probe of one upstream.
type plan struct {
	bucket *bucket
	// due is when the planned probe may be sent.
	due time.Time
	// lastWanted is when a probe was last requested.
	lastWanted time.Time
}

// NewEntryLimiter returns a limiter that draws its jitter from random, uniform 64-bit
// values; nil means the global source of math/rand/v2.
func NewEntryLimiter(random func() uint64) *EntryLimiter {
	if random == nil {
		random = rand.Uint64
	}
	return &EntryLimiter{random: random, plans: map[model.InstanceID]*plan{}}
}

// Allow reports whether a probe of id may be sent now under m, with the given number of
// nodes likely to probe it. Callers repeat the call while they want a probe: the first
// call plans one.
func (l *EntryLimiter) Allow(now time.Time, id model.InstanceID, m bundle.Measuring, probers int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := probeLimit(&m) / rate.Limit(max(1, probers))
	if limit <= 0 {
		l.counts.Deferred++
		return false
	}
	p := l.track(now, id, limit)
	if p == nil {
		l.counts.Untracked++
		return false
	}
	p.lastWanted = now
	p.bucket.setLimit(now, limit)
	if !l.takePlanned(now, p, period(limit)) {
		l.counts.Deferred++
		return false
	}
	l.counts.Sent++
	return true
}

// takePlanned uses the planned probe if it is due, and plans the next one.
func (l *EntryLimiter) takePlanned(now time.Time, p *plan, period time.Duration) bool {
	if now.Sub(p.due) > missedAfter {
		p.due = now.Add(l.randomWithin(period))
	}
	if now.Before(p.due) || !p.bucket.allow(now) {
		return false
	}
	p.due = now.Add(period + l.randomWithin(period/jitterDivisor))
	return true
}

// track returns the plan of id, or nil when no more upstreams can be tracked.
func (l *EntryLimiter) track(now time.Time, id model.InstanceID, limit rate.Limit) *plan {
	p := l.plans[id]
	if p != nil {
		return p
	}
	if len(l.plans) >= maxTracked {
		l.prune(now)
	}
	if len(l.plans) >= maxTracked {
		return nil
	}
	p = &plan{bucket: newFullBucket(limit)}
	l.plans[id] = p
	return p
}

// prune removes plans that no longer limit anything, at most once per pruneInterval.
func (l *EntryLimiter) prune(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	for id, p := range l.plans {
		limit := p.bucket.limiter.Limit()
		if limit <= 0 || now.Sub(p.lastWanted) > 2*period(limit) {
			delete(l.plans, id)
		}
	}
}

// randomWithin returns a random duration below period.
func (l *EntryLimiter) randomWithin(period time.Duration) time.Duration {
	return time.Duration(l.random() % uint64(max(1, period)))
}

// Counts returns the counters.
func (l *EntryLimiter) Counts() EntryCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// period is the time between two messages at the given rate.
func period(limit rate.Limit) time.Duration {
	d := float64(time.Second) / float64(limit)
	return max(1, time.Duration(min(d, float64(maxPeriod))))
}
