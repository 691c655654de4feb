package owner

import (
	"math"
	"slices"
	"time"
)

// A worker that has just started serves only a few requests a second for a while, and
// crashes under many more. It may begin to warm at any moment, so its health responses
// report it late. Whatever the last report, the starts within any one second that may
// have met a warming worker stay under its maximum. Those are the starts while it reports
// that it is warming, and the starts since it was last known to be warm, as it may have
// begun to warm right after that. While it reports that it is warming, starts are also
// spaced evenly.

const (
	// warmingWindow is the second in which starts are counted, plus the time by which two
	// starts may move closer together on their path to the worker; see warmingDelay.
	warmingWindow = time.Second + warmingDelay
	// warmingDelay is the longest time from a start to the attempt's first byte: a
	// process that has used up its processor quota is stopped for the rest of a period of
	// 100 ms.
	warmingDelay = 150 * time.Millisecond
	// warmingBurstShare is the part of the maximum per second that may start at once:
	// requests come in clusters, and those that wait for the even rate mostly miss their
	// objective.
	warmingBurstShare = 1.0 / 3
	// restartGap is the least time between the last attempt that a process sends and the
	// start of the next process.
	restartGap = 100 * time.Millisecond
	// warmingSampleAge is the age from which the last report of a warm worker is worth
	// renewing by a health poll: a few attempts start within it.
	warmingSampleAge = 200 * time.Millisecond
	// never is before all times of an owner's clock.
	never = -time.Hour
)

// warming limits the starts at a worker that may be warming. Times are on the owner's
// clock.
type warming struct {
	// perSecond is the rate that a warming worker can serve, in attempts a second; zero
	// means no limit. maxInWindow is the most attempts that it may get in a second,
	// maxDuration the longest time for which it is warming.
	perSecond   float64
	maxInWindow int
	maxDuration time.Duration
	// until is when the worker will be warm, by its last report.
	until time.Duration
	// notWarmingAt is a lower bound of the time at which the worker was last known not to
	// be warming, sampledAt that of its last report; both are never before the first.
	notWarmingAt, sampledAt time.Duration
	// tokens are the attempts that may start at the even rate, as of refilledAt.
	tokens     float64
	refilledAt time.Duration
	// starts are the starts within the window that may have met a warming worker, in
	// order: the first knownWarming while it reported that it was warming, the others
	// since notWarmingAt.
	starts       []time.Duration
	knownWarming int
}

func newWarming() warming { return warming{notWarmingAt: never, sampledAt: never} }

// configure applies the bundle's limits. The previous process on this instance may have
// used up the maximum shortly before this one started.
func (w *warming) configure(perSecond float64, maxInWindow int, maxDuration time.Duration) {
	first := w.maxInWindow == 0
	w.perSecond, w.maxInWindow, w.maxDuration = perSecond, maxInWindow, maxDuration
	if first {
		w.starts = slices.Repeat([]time.Duration{-restartGap}, maxInWindow)
	}
}

// enabled reports whether starts are limited at all.
func (w *warming) enabled() bool { return w.perSecond > 0 && w.maxInWindow > 0 }

// observe records the worker's report of how much longer it is warming, zero if it is
// not. sampledAt is a lower bound of the time of the report.
func (w *warming) observe(t, sampledAt, remaining time.Duration) {
	if sampledAt < w.sampledAt {
		return
	}
	first := w.sampledAt == never
	w.sampledAt = sampledAt
	if remaining <= 0 {
		w.until = 0
		w.observeNotWarming(sampledAt)
		return
	}
	if !w.active(t) {
		w.tokens, w.refilledAt = w.burst(), t
	}
	w.until = t + remaining
	// The worker was not warming before the period that it reports, so earlier starts by
	// the previous process need not count. If it reports more than the longest period,
	// the beginning of the period is unknown.
	if first && remaining <= w.maxDuration {
		w.observeNotWarming(sampledAt + remaining - w.maxDuration)
	}
	w.knownWarming = len(w.starts)
}

// observeNotWarming records that the worker was not warming at a time after its last
// report that it was.
func (w *warming) observeNotWarming(at time.Duration) {
	w.notWarmingAt = max(w.notWarmingAt, at)
	end := w.knownWarming
	for end < len(w.starts) && w.starts[end] <= w.notWarmingAt {
		end++
	}
	w.starts = slices.Delete(w.starts, w.knownWarming, end)
}

// active reports whether the worker is known to be warming.
func (w *warming) active(t time.Duration) bool { return w.enabled() && t < w.until }

// stale reports whether the worker has not reported recently whether it is warming.
func (w *warming) stale(t time.Duration) bool {
	return w.enabled() && t-w.sampledAt > warmingSampleAge
}

// prune removes the starts before the window.
func (w *warming) prune(t time.Duration) {
	old := 0
	for old < len(w.starts) && w.starts[old] <= t-warmingWindow {
		old++
	}
	w.starts = slices.Delete(w.starts, 0, old)
	w.knownWarming = max(w.knownWarming-old, 0)
}

// available returns how many attempts may start now.
func (w *warming) available(t time.Duration) int {
	if !w.enabled() {
		return math.MaxInt
	}
	w.prune(t)
	n := w.maxInWindow - len(w.starts)
	if w.active(t) {
		w.refill(t)
		n = min(n, int(w.tokens))
	}
	return n
}

// recordStart counts a start.
func (w *warming) recordStart(t time.Duration) {
	if !w.enabled() {
		return
	}
	w.prune(t)
	w.starts = append(w.starts, t)
	if w.active(t) {
		w.refill(t)
		w.tokens--
		w.knownWarming = len(w.starts)
	}
}

// rate is the even rate, in attempts a second, that stays within the maximum of a window.
func (w *warming) rate() float64 { return float64(w.maxInWindow) / warmingWindow.Seconds() }

// burst is how many attempts a warming worker may get at once.
func (w *warming) burst() float64 { return max(float64(w.maxInWindow)*warmingBurstShare, 1) }

// refill adds the tokens for the time since the last call.
func (w *warming) refill(t time.Duration) {
	w.tokens = min(w.tokens+(t-w.refilledAt).Seconds()*w.rate(), w.burst())
	w.refilledAt = t
}

// wait is the expected time until the given number of attempts may have started.
func (w *warming) wait(t time.Duration, attempts int) time.Duration {
	if !w.enabled() {
		return 0
	}
	wait := w.windowWait(t, attempts)
	switch {
	case w.active(t):
		w.refill(t)
		missing := max(float64(attempts)-w.tokens, 0)
		return max(wait, min(time.Duration(missing/w.rate()*float64(time.Second)), w.until-t))
	case !w.stale(t):
		// The worker reports regularly, so its next report comes earlier.
		return min(wait, warmingSampleAge)
	}
	return wait
}

// windowWait is the time until the counted starts leave room for the given number of
// attempts.
func (w *warming) windowWait(t time.Duration, attempts int) time.Duration {
	w.prune(t)
	missing := attempts - (w.maxInWindow - len(w.starts))
	if missing <= 0 {
		return 0
	}
	windows, last := (missing-1)/w.maxInWindow, (missing-1)%w.maxInWindow
	oldest := t
	if last < len(w.starts) {
		oldest = w.starts[last]
	}
	return oldest + time.Duration(windows+1)*warmingWindow - t
}

// limit returns how many of limit attempts a warming worker can have in flight at the
// even rate, when one takes service.
func (w *warming) limit(t time.Duration, limit int, service time.Duration) int {
	if !w.active(t) {
		return limit
	}
	return limitAtRate(limit, w.rate(), service)
}

// ObserveWarming records the worker's report of how much longer it is warming, zero if it
// is not, in the response to a poll that was sent at sentAt. It returns decisions on
// queued attempts, and whether the worker has begun to warm or has become warm.
func (o *Owner) ObserveWarming(now, sentAt time.Time, left time.Duration) (ds []Decision, changed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	was := o.warming.active(t)
	o.warming.observe(t, sentAt.Sub(o.cfg.Started), left)
	o.dispatch(t)
	return o.takeDecisions(), was != o.warming.active(t)
}
