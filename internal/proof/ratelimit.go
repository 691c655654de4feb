package proof

import (
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/window"
)

// Bounds of workers that name a rate limit, in plans with RateLimits set.
const (
	// maxRateLimit is the highest limit that a worker names, in requests a second. Bursts
	// have several times as many requests.
	maxRateLimit = 6
	// maxRateLimitTime is the longest time for which a worker names a limit.
	maxRateLimitTime = 12 * time.Second
	// rateLimitWindow is the time in which requests at a limited worker are counted. It may
	// get rateLimitTolerance times what its limit allows in that, and rateLimitSlack
	// requests.
	rateLimitWindow    = 4 * time.Second
	rateLimitTolerance = 1.5
	rateLimitSlack     = 5
)

// rateLimitAction is added to the steps of plans with RateLimits set.
var rateLimitAction = action{"worker names a rate limit", (*world).limitWorker}

// limitWorker makes a worker name a rate limit in its responses for a while. Half of the
// workers also name it in their health responses.
func (w *world) limitWorker(c chooser) {
	w.ledger.count("limited workers")
	wk := w.pickNode(c).worker
	wk.startRateLimit(float64(c.pick("rate limit", 4*maxRateLimit+1))/4, w.pickDuration(c, "limited", maxRateLimitTime))
	wk.limitInHealth = c.pick("limit in health", 2) == 0
}

// startRateLimit makes the worker name a limit until d has passed.
func (wk *worker) startRateLimit(perSecond float64, d time.Duration) {
	wk.rateLimit, wk.limitedUntil = perSecond, wk.node.w.now.Add(d)
	wk.limitHeard, wk.limitedArrivals = false, window.NewCounter(rateLimitWindow)
}

// namedRateLimit returns what a response says of the worker's rate limit.
func (wk *worker) namedRateLimit() dialect.RateLimit {
	if !wk.limited() {
		return dialect.RateLimit{Kind: dialect.RateLimitNone}
	}
	return dialect.RateLimit{Kind: dialect.RateLimitNamed, PerSecond: wk.rateLimit}
}

func (wk *worker) limited() bool { return wk.node.w.now.Before(wk.limitedUntil) }

// rateLimitInHealth returns what a health response says of the worker's rate limit.
func (wk *worker) rateLimitInHealth() dialect.RateLimit {
	if !wk.limitInHealth {
		return dialect.RateLimit{}
	}
	return wk.namedRateLimit()
}

// observeRateLimit passes what the response to a request says of the worker's rate limit to
// the owner.
func (p *process) observeRateLimit(sent time.Time, l dialect.RateLimit) {
	p.hearRateLimit(sent, l, p.core.Owner.ObserveRateLimit)
}

// observePolledRateLimit is observeRateLimit for a health response.
func (p *process) observePolledRateLimit(sent time.Time, l dialect.RateLimit) {
	p.hearRateLimit(sent, l, p.core.Owner.ObservePolledRateLimit)
}

// hearRateLimit passes a rate limit to the owner by one of its methods.
func (p *process) hearRateLimit(sent time.Time, l dialect.RateLimit, observe func(now, sentAt time.Time, l dialect.RateLimit) ([]owner.Decision, owner.RateLimitChange)) {
	if p.w.options.ignoreRateLimits {
		return
	}
	if l.Kind == dialect.RateLimitNamed {
		p.node.worker.limitHeard = true
	}
	ds, _ := observe(p.now(), sent, l)
	p.deliver(ds)
}

// recordLimitedArrival records a request at a worker whose limit was heard at its node, by
// any of its processes, and checks their number.
func (wk *worker) recordLimitedArrival() {
	if !wk.limited() || !wk.limitHeard {
		return
	}
	wk.node.w.ledger.count("requests at limited workers")
	n := wk.limitedArrivals.Add(wk.node.w.now)
	allowed := rateLimitTolerance*wk.rateLimit*rateLimitWindow.Seconds() + rateLimitSlack
	if float64(n) > allowed {
		wk.node.w.ledger.violate(promiseRateLimit,
			"the worker of %s named a limit of %v a second and received %d requests in %v, allowed %.0f", wk.node.id, wk.rateLimit, n, rateLimitWindow, allowed)
	}
}
