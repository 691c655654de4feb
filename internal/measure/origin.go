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
	// maxTracked bounds the upstreams that an Origin remembers.
	maxTracked = 4096
	// missedAfter is how long after its time a planned probe is given up and
	// planned anew; as long as the least pause of a process that is noticed.
	missedAfter = time.Second
	// jitterDivisor makes a node's probes of one upstream up to a quarter of the
	// period later than they might be.
	jitterDivisor = 4
	// pruneInterval is the least time between two searches for plans to forget.
	pruneInterval = time.Second
	// maxPeriod bounds the time between two probes of one upstream by one node.
	maxPeriod = time.Hour
)

// EntryCounts counts the probes of one entry node since its start.
type EntryCounts struct {
	// Sent were allowed; Deferred were wanted before their time; Untracked were
	// wanted while the bound on tracked upstreams was reached.
	Sent, Deferred, Untracked uint64
}

// EntryLimiter keeps an entry node's probes to its part of each upstream's budget:
// the probes' share, divided by the number of nodes that are likely to probe.
// Nodes that begin to want probes at one moment (a partition heals, a data
// centre starts, a service's traffic stops) must not send them at one moment, so
// the first probe is planned at a random time within its period, and the next a
// jittered period after it. A probe whose time passed unused, as over a pause of
// the process, is planned anew like a first one. It is safe for concurrent use.
type EntryLimiter struct {
	mu       sync.Mutex
	random   func() uint64
	upstream map[model.InstanceID]*plan
	pruned   time.Time
	counts   EntryCounts
}

// plan is the next probe of one upstream.
type plan struct {
	spacing *spacing
	// due is when the planned probe may be sent.
	due time.Time
	// used is when it was last asked for.
	used time.Time
}

// NewEntryLimiter returns an Origin that draws from random, uniform 64-bit values; nil
// means math/rand/v2's global source.
func NewEntryLimiter(random func() uint64) *EntryLimiter {
	if random == nil {
		random = rand.Uint64
	}
	return &EntryLimiter{random: random, upstream: map[model.InstanceID]*plan{}}
}

// Allow tells whether a probe of id may be sent now under m, with the given
// number of nodes likely to probe it. It is to be asked again and again while a
// probe is wanted: the first time plans one.
func (o *EntryLimiter) Allow(now time.Time, id model.InstanceID, m bundle.Measuring, probers int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := probeLimit(&m) / rate.Limit(max(1, probers))
	if limit <= 0 {
		o.counts.Deferred++
		return false
	}
	p := o.track(now, id, limit)
	if p == nil {
		o.counts.Untracked++
		return false
	}
	p.used = now
	p.spacing.setLimit(now, limit)
	if !o.take(now, p, period(limit)) {
		o.counts.Deferred++
		return false
	}
	o.counts.Sent++
	return true
}

// take uses the planned probe when its time has come, and plans one otherwise.
func (o *EntryLimiter) take(now time.Time, p *plan, period time.Duration) bool {
	if now.Sub(p.due) > missedAfter {
		p.due = now.Add(o.within(period))
	}
	if now.Before(p.due) || !p.spacing.allow(now) {
		return false
	}
	p.due = now.Add(period + o.within(period/jitterDivisor))
	return true
}

// track returns the plan of id, or nil when no more can be tracked.
func (o *EntryLimiter) track(now time.Time, id model.InstanceID, limit rate.Limit) *plan {
	p := o.upstream[id]
	if p != nil {
		return p
	}
	if len(o.upstream) >= maxTracked {
		o.prune(now)
	}
	if len(o.upstream) >= maxTracked {
		return nil
	}
	p = &plan{spacing: fullSpacing(limit)}
	o.upstream[id] = p
	return p
}

// prune forgets upstreams whose plan no longer binds, now and then.
func (o *EntryLimiter) prune(now time.Time) {
	if now.Sub(o.pruned) < pruneInterval {
		return
	}
	o.pruned = now
	for id, p := range o.upstream {
		limit := p.spacing.limiter.Limit()
		if limit <= 0 || now.Sub(p.used) > 2*period(limit) {
			delete(o.upstream, id)
		}
	}
}

// within returns a random part of a period.
func (o *EntryLimiter) within(period time.Duration) time.Duration {
	return time.Duration(o.random() % uint64(max(1, period)))
}

// Counts returns the counters.
func (o *EntryLimiter) Counts() EntryCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.counts
}

// period is the time between two messages at a rate.
func period(limit rate.Limit) time.Duration {
	d := float64(time.Second) / float64(limit)
	return max(1, time.Duration(min(d, float64(maxPeriod))))
}
