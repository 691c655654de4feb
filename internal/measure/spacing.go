// Package measure keeps the measuring budget of the bundle: how many messages
// that only measure an upstream (its owner's polls of the worker, entry nodes'
// probes of the owner) may reach it in a second. The budget is enforced twice:
// Landing, at the owner, is exact for its upstream; Origin, at each entry node,
// keeps the sum of what many nodes send near the probes' part of the budget, so
// that little is refused. Design: docs/DESIGN.md, "Measuring budget".
//
// Probes are needed little here. The published reference for probing, Prequal
// (NSDI 2024), probes at a rate tied to the requests', keeps a pool of results
// and reuses each a bounded number of times, since a client there learns load in
// no other way. Here the owner knows slots and queue exactly and its report
// rides on every answer and refusal, so each call is a probe that costs no
// message, and what is called often is known best. What is left for probes are
// upstreams that traffic has not reached for a while: cold, backed off, or of a
// service seldom called. Reuse is bounded by the same means that bounds it for
// reports: each own attempt after a report adds to the load that it told, and
// its age takes the rest (package route).
package measure

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/bundle"
)

// margin keeps the spacing of messages just above its nominal value, so that a
// second that begins with one message does not end with one too many.
const margin = 1e-3

// perSecond returns the rate that keeps every second within the budget. With
// messages evenly spaced, a second holds the rate rounded up; so a budget of 2.5
// gives 2. Budgets below 1 are kept as they are: one message in 1/budget seconds.
func perSecond(budget float64) rate.Limit {
	if math.IsNaN(budget) || budget <= 0 {
		return 0
	}
	if budget >= 1 {
		budget = math.Floor(budget)
	}
	return rate.Limit(budget * (1 - margin))
}

// pollLimit and probeLimit part the budget.
func pollLimit(m *bundle.Measuring) rate.Limit {
	return perSecond(m.PerUpstreamPerSecond) * rate.Limit(clamp(m.PollShare))
}

func probeLimit(m *bundle.Measuring) rate.Limit {
	return perSecond(m.PerUpstreamPerSecond) * rate.Limit(1-clamp(m.PollShare))
}

func clamp(share float64) float64 { return min(1, max(0, share)) }

// spacing is a token bucket of depth one that starts empty. A bucket that is
// full after a pause or a restart thus lets through one message, not several,
// and no two messages are ever closer than one over the rate; nor are the last
// of a process's life and the first of the next.
type spacing struct {
	limiter *rate.Limiter
	latest  time.Time
}

func newSpacing(now time.Time, limit rate.Limit) *spacing {
	s := fullSpacing(limit)
	s.allow(now)
	return s
}

// fullSpacing starts with its one token.
func fullSpacing(limit rate.Limit) *spacing {
	return &spacing{limiter: rate.NewLimiter(limit, 1)}
}

// ready tells whether allow would succeed.
func (s *spacing) ready(now time.Time) bool {
	return s.limiter.Limit() > 0 && s.limiter.TokensAt(s.clock(now)) >= 1
}

// allow takes the token if there is one.
func (s *spacing) allow(now time.Time) bool {
	return s.limiter.AllowN(s.clock(now), 1)
}

// clock keeps time from running backwards: x/time/rate would give tokens twice
// for the time between.
func (s *spacing) clock(now time.Time) time.Time {
	if now.After(s.latest) {
		s.latest = now
	}
	return s.latest
}

func (s *spacing) setLimit(now time.Time, limit rate.Limit) {
	s.limiter.SetLimitAt(s.clock(now), limit)
}
