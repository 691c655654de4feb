// Package measure enforces the measuring budget of the bundle: how many messages that
// only measure an upstream (its owner's polls of the worker, entry nodes' probes of the
// owner) may reach it in a second. The budget is enforced twice. OwnerLimiter, at the
// owner, is exact for its upstream. EntryLimiter, at each entry node, keeps the sum of
// what many nodes send near the probes' part of the budget, so that few probes are
// refused. Design: docs/DESIGN.md, "Measuring budget".
//
// Few probes are needed. The published reference for probing, Prequal (NSDI 2024), probes
// at a rate tied to that of the requests, keeps a pool of results and reuses each a
// bounded number of times, since its clients have no other way to learn the load. Here
// the owner knows slots and queue exactly, and its report is part of every response and
// refusal. Each call is thus a probe without an extra message, and frequently called
// upstreams are known best. Probes are left for upstreams that traffic has not reached
// for some time: cold, in backoff, or of a rarely called service. The reuse of a result
// is bounded as for reports: each of the node's own attempts after a report adds to the
// reported load, and the report's age limits it further (package route).
package measure

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/bundle"
)

// rateMargin keeps the time between messages just above its nominal value, so that a
// second that begins with one message does not end with one too many.
const rateMargin = 1e-3

// perSecond returns the rate that keeps every second within the budget. With evenly
// spaced messages a second holds the rate rounded up, so a budget of 2.5 gives 2. A
// budget below 1 is kept: one message in 1/budget seconds.
func perSecond(budget float64) rate.Limit {
	if math.IsNaN(budget) || budget <= 0 {
		return 0
	}
	if budget >= 1 {
		budget = math.Floor(budget)
	}
	return rate.Limit(budget * (1 - rateMargin))
}

// pollLimit returns the polls' part of the budget.
func pollLimit(m *bundle.Measuring) rate.Limit {
	return perSecond(m.PerUpstreamPerSecond) * rate.Limit(clamp(m.PollShare))
}

// probeLimit returns the probes' part of the budget: the rest.
func probeLimit(m *bundle.Measuring) rate.Limit {
	return perSecond(m.PerUpstreamPerSecond) * rate.Limit(1-clamp(m.PollShare))
}

func clamp(share float64) float64 { return min(1, max(0, share)) }

// bucket is a token bucket of depth one that starts empty. After a pause or a restart it
// lets one message through, not several. No two messages are closer than 1/rate, also not
// the last of one process and the first of the next.
type bucket struct {
	limiter *rate.Limiter
	latest  time.Time
}

func newEmptyBucket(now time.Time, limit rate.Limit) *bucket {
	b := newFullBucket(limit)
	b.allow(now)
	return b
}

// newFullBucket returns a bucket that starts with its one token.
func newFullBucket(limit rate.Limit) *bucket {
	return &bucket{limiter: rate.NewLimiter(limit, 1)}
}

// ready reports whether allow would succeed.
func (b *bucket) ready(now time.Time) bool {
	return b.limiter.Limit() > 0 && b.limiter.TokensAt(b.clock(now)) >= 1
}

// allow takes the token, and reports whether there was one.
func (b *bucket) allow(now time.Time) bool {
	return b.limiter.AllowN(b.clock(now), 1)
}

// clock keeps time from running backwards: x/time/rate would otherwise add tokens twice
// for the same time.
func (b *bucket) clock(now time.Time) time.Time {
	if now.After(b.latest) {
		b.latest = now
	}
	return b.latest
}

func (b *bucket) setLimit(now time.Time, limit rate.Limit) {
	b.limiter.SetLimitAt(b.clock(now), limit)
}
