package soak

import (
	"context"
	"fmt"
	"math"
	"strconv"
	"time"
)

// Limits of workers that name a rate limit.
const (
	// limitWindow is the time in which a limited worker's requests are counted. It may get
	// limitTolerance times what its limit allows in that, and limitSlack requests.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitSettle is how long after a worker began to name its limit that is checked: until
	// then some machine may not have had a response that names it.
	limitSettle = time.Second
	// minLimit is the shortest time for which a worker names a limit: two windows.
	minLimit = limitSettle + 2*limitWindow
)

// rateLimitSpan is a time in which a worker named a rate limit.
type rateLimitSpan struct {
	span
	worker string
	// perSecond is the highest limit that it named.
	perSecond float64
}

// limitedRates are the values that workers name in turn, one list for each fault: a steady
// limit, one that changes with each response, none at all, and unusable values after a
// usable one.
var limitedRates = [][]string{
	{"3"}, {"1.5"}, {"6.8"}, {"2", "5.5", "3.25"}, {"0"}, {"4", "-1", "many", "Inf"},
}

// limitWorker makes a worker name a rate limit for a while, unless it already does.
func (m *machine) limitWorker(ctx context.Context, flt fault) {
	if !m.limited.CompareAndSwap(false, true) {
		return
	}
	defer m.limited.Store(false)
	values := limitedRates[int(flt.duration)%len(limitedRates)]
	m.worker.SetRateLimit(values...)
	defer m.fleet.ledger.beginRateLimit(m.worker.ID(), highestRate(values))()
	sleep(ctx, minLimit+flt.duration)
	m.worker.SetRateLimit()
}

// highestRate returns the highest usable limit of values.
func highestRate(values []string) float64 {
	highest := 0.0
	for _, v := range values {
		if perSecond, err := strconv.ParseFloat(v, 64); err == nil && !math.IsInf(perSecond, 0) {
			highest = max(highest, perSecond)
		}
	}
	return highest
}

// beginRateLimit opens a span in which a worker names a rate limit, and returns the
// function that closes it.
func (l *ledger) beginRateLimit(worker string, perSecond float64) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := len(l.rateLimits)
	l.rateLimits = append(l.rateLimits, rateLimitSpan{span: span{from: time.Now()}, worker: worker, perSecond: perSecond})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.rateLimits[index].to = time.Now()
	}
}

// checkRateLimits checks how many requests limited workers received in any limitWindow. A
// restart, pause or cut of the machine where a request began excuses that request, and a
// burst on the way to the worker those of its window. l.mu is held.
func (l *ledger) checkRateLimits() {
	for _, limit := range l.rateLimits {
		var times []time.Time
		for _, r := range l.order {
			if !l.toldInTime(limit, r) {
				continue
			}
			for _, run := range r.runs {
				if run.Worker == limit.worker && !run.StartedAt.Before(limit.from.Add(limitSettle)) && (limit.to.IsZero() || run.StartedAt.Before(limit.to)) {
					times = append(times, run.StartedAt)
				}
			}
		}
		l.checkRateLimit(limit, times)
	}
}

// toldInTime reports whether the machine where a request began is bound by a limit: it ran
// undisturbed since the limit was named.
func (l *ledger) toldInTime(limit rateLimitSpan, r *request) bool {
	return l.machineFaultFree(r.machine, limit.from, r.completed)
}

func (l *ledger) checkRateLimit(limit rateLimitSpan, times []time.Time) {
	allowed := limitTolerance*limit.perSecond*limitWindow.Seconds() + limitSlack
	if n := l.unexcusedExcess(limit.worker, times, limitWindow, allowed); n > 0 {
		l.addViolation("limit", "%s named a limit of %s a second and got %d requests in %s, allowed %.0f",
			limit.worker, fmt.Sprint(limit.perSecond), n, limitWindow, allowed)
	}
}
