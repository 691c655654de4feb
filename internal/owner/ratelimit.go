package owner

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
)

// A worker in need names in its responses how many requests a second it takes from all
// machines together. All of them pass its owner, so the owner keeps the limit exactly: a
// token bucket bounds the starts, and what cannot start in time is refused with the time
// at which it could.

const (
	// minRateLimit is the lowest rate in use, in requests a second: only a response to a
	// request shows that a limit has ended, also one of zero.
	minRateLimit = 0.25
	// maxUnheardInFlight is how many attempts may be at the worker until it has responded to
	// one of them: it may have named a limit to the previous process of this node.
	maxUnheardInFlight = 5
)

// rateLimit limits the rate of starts at a worker that names a limit. Times are on the
// owner's clock.
type rateLimit struct {
	// mayBeNamed reports whether workers name rate limits at all.
	mayBeNamed bool
	// heard reports whether the worker has responded to a request since this process
	// started.
	heard bool
	// bucket holds the starts that are available; nil while the worker names no limit.
	bucket *rate.Limiter
	// perSecond is the limit that the worker names.
	perSecond float64
	// namedAt is when a response last named a limit.
	namedAt time.Duration
	// namedInHealth reports that a health response has named the limit.
	namedInHealth bool
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
		if r.named() && sentAt >= r.namedAt {
			r.reset()
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

// set records a limit that the worker names. The bucket of a new limit starts empty, as
// attempts have just been started without a limit or by a previous process.
func (r *rateLimit) set(t time.Duration, perSecond float64) RateLimitChange {
	first := !r.named()
	inUse := max(perSecond, minRateLimit)
	limit, burst := rate.Limit(inUse), model.RateBurst(inUse)
	if first {
		r.bucket = rate.NewLimiter(limit, burst)
		r.bucket.AllowN(bucketTime(t), burst)
	} else {
		r.bucket.SetLimitAt(bucketTime(t), limit)
		r.bucket.SetBurstAt(bucketTime(t), burst)
	}
	r.perSecond, r.namedAt = perSecond, t
	if !first && perSecond <= r.logged*loggedRateFactor && perSecond >= r.logged/loggedRateFactor {
		return RateLimitUnchanged
	}
	r.logged = perSecond
	return RateLimitSet
}

// bucketTime converts a time on the owner's clock to the form of the bucket.
func bucketTime(t time.Duration) time.Time { return time.Time{}.Add(t) }

// reset forgets the limit of a worker that has ended or names none any more.
func (r *rateLimit) reset() { *r = rateLimit{mayBeNamed: r.mayBeNamed, heard: r.heard} }

// named reports whether the worker names a limit.
func (r *rateLimit) named() bool { return r.bucket != nil }

// available returns how many attempts may start now, when inFlight are at the worker.
func (r *rateLimit) available(t time.Duration, inFlight int) int {
	n := math.MaxInt
	if r.named() {
		n = int(r.bucket.TokensAt(bucketTime(t)))
	}
	if r.mayBeNamed && !r.heard {
		n = min(n, maxUnheardInFlight-inFlight)
	}
	return n
}

// recordStart takes a start out of the bucket.
func (r *rateLimit) recordStart(t time.Duration) {
	if r.named() {
		r.bucket.AllowN(bucketTime(t), 1)
	}
}

// wait returns the time until the given number of attempts may have started.
func (r *rateLimit) wait(t time.Duration, attempts int) time.Duration {
	if !r.named() {
		return 0
	}
	return bucketWait(r.bucket, bucketTime(t), attempts)
}

// bucketWait returns the time until a bucket has tokens for a number of events.
func bucketWait(b *rate.Limiter, now time.Time, events int) time.Duration {
	missing := float64(events) - b.TokensAt(now)
	return time.Duration(max(missing, 0) / float64(b.Limit()) * float64(time.Second))
}

// limit returns how many of limit attempts the worker can have in flight at its rate, when
// one takes service.
func (r *rateLimit) limit(limit int, service time.Duration) int {
	if !r.named() {
		return limit
	}
	return limitAtRate(limit, float64(r.bucket.Limit()), service)
}

// limitAtRate returns how many of limit attempts are in flight at a rate of starts a
// second, when one takes service; at least 1.
func limitAtRate(limit int, perSecond float64, service time.Duration) int {
	return min(limit, max(int(math.Ceil(perSecond*service.Seconds())), 1))
}

// ObserveRateLimit records what the response to a request that was sent at sentAt says of
// the worker's rate limit, and returns decisions on queued attempts.
func (o *Owner) ObserveRateLimit(now, sentAt time.Time, l dialect.RateLimit) ([]Decision, RateLimitChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rateLimit.heard = true
	return o.observeRateLimit(now, sentAt, l)
}

// ObservePolledRateLimit is ObserveRateLimit for the response to a health poll. Such a
// response need not name the limit that requests are under, so without one it changes
// nothing, unless one before it did.
func (o *Owner) ObservePolledRateLimit(now, sentAt time.Time, l dialect.RateLimit) ([]Decision, RateLimitChange) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if l.Kind == dialect.RateLimitNone && !o.rateLimit.namedInHealth {
		return o.takeDecisions(), RateLimitUnchanged
	}
	if l.Kind == dialect.RateLimitNamed {
		o.rateLimit.namedInHealth = true
	}
	return o.observeRateLimit(now, sentAt, l)
}

// observeRateLimit is called with o.mu held.
func (o *Owner) observeRateLimit(now, sentAt time.Time, l dialect.RateLimit) ([]Decision, RateLimitChange) {
	t := o.clock(now)
	change := o.rateLimit.observe(t, sentAt.Sub(o.cfg.Started), l)
	o.dispatch(t)
	return o.takeDecisions(), change
}

// RateLimit returns the limit that the worker names, in requests a second; named is false
// while it names none.
func (o *Owner) RateLimit() (perSecond float64, named bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rateLimit.perSecond, o.rateLimit.named()
}

// rateRetryAfter returns the time until one attempt more than those queued may start, zero
// while the worker names no limit.
func (o *Owner) rateRetryAfter(t time.Duration) time.Duration {
	return min(o.rateLimit.wait(t, o.queue.length+1), retryRateLimit)
}
