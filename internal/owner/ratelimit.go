package owner

import (
	"time"

	"gypsumstand/internal/dialect"
)

// rateLimit is the rate limit that the worker names in its responses. Times are on the
// owner's clock.
type rateLimit struct {
	named bool
	// perSecond is the limit in requests a second.
	perSecond float64
	// namedAt is when a response last named a limit.
	namedAt time.Duration
	// malformed reports that the last response that named a limit could not be used.
	malformed bool
	// logged is the limit that was last reported as a change.
	logged float64
}

// loggedRateFactor is the factor by which a limit must differ from the last one that was
// logged to be logged as well: a worker may name another one in each response.
const loggedRateFactor = 1.5

// RateLimitChange is a change of the worker's rate limit.
type RateLimitChange uint8

// Values of RateLimitChange.
const (
	RateLimitUnchanged RateLimitChange = iota
	// RateLimitSet: the worker named a limit, or one that differs much from the last.
	RateLimitSet
	// RateLimitEnded: the worker names no limit any more.
	RateLimitEnded
	// RateLimitUnusable: the worker named a limit that cannot be used, so the one before
	// stays.
	RateLimitUnusable
)

// String returns the change's name in log lines.
func (c RateLimitChange) String() string {
	switch c {
	case RateLimitSet:
		return "set"
	case RateLimitEnded:
		return "ended"
	case RateLimitUnusable:
		return "unusable"
	}
	return "unchanged"
}

// observe records what a response says of the limit. sentAt is when its request was sent:
// a limit ends only with a response to a request that was sent after the limit was last
// named, as responses on other connections may have been overtaken.
func (r *rateLimit) observe(t, sentAt time.Duration, l dialect.RateLimit) RateLimitChange {
	switch l.Kind {
	case dialect.RateLimitNamed:
		r.malformed = false
		return r.set(t, l.PerSecond)
	case dialect.RateLimitNone:
		if r.named && sentAt >= r.namedAt {
			*r = rateLimit{}
			return RateLimitEnded
		}
	case dialect.RateLimitMalformed:
		if !r.malformed {
			r.malformed = true
			return RateLimitUnusable
		}
	}
	return RateLimitUnchanged
}

// set records a limit that the worker names.
func (r *rateLimit) set(t time.Duration, perSecond float64) RateLimitChange {
	first := !r.named
	r.named, r.perSecond, r.namedAt = true, perSecond, t
	if !first && perSecond <= r.logged*loggedRateFactor && perSecond >= r.logged/loggedRateFactor {
		return RateLimitUnchanged
	}
	r.logged = perSecond
	return RateLimitSet
}

// ObserveRateLimit records what the response to a request or poll that was sent at sentAt
// says of the worker's rate limit.
func (o *Owner) ObserveRateLimit(now, sentAt time.Time, l dialect.RateLimit) RateLimitChange {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rateLimit.observe(o.clock(now), sentAt.Sub(o.cfg.Started), l)
}

// RateLimit returns the limit that the worker names, in requests a second; named is false
// while it names none.
func (o *Owner) RateLimit() (perSecond float64, named bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rateLimit.perSecond, o.rateLimit.named
}
