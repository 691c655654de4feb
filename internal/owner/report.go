package owner

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// Report returns the current load report.
func (o *Owner) Report(now time.Time) model.LoadReport {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.report(o.clock(now))
}

func (o *Owner) report(t time.Duration) model.LoadReport {
	r := model.LoadReport{
		Owner:           o.cfg.Self.ID,
		Incarnation:     o.cfg.Self.Incarnation,
		Clock:           t,
		State:           o.state,
		InFlight:        clamp16(o.inFlight),
		Queued:          clamp16(o.queue.length),
		ServiceTime:     o.service.all.mean(),
		FailureRate:     model.Thousandths(o.service.failures),
		Bundle:          o.version,
		Delayed:         model.Thousandths(o.delayedShare),
		SlowdownPercent: clamp16(int(o.slowdown.current * 100)),
		ClassOutcomes:   o.classOutcomes(t),
	}
	if o.announced.active {
		r.LeavingWorker = o.worker
	}
	if o.leaving() {
		r.State = max(o.state, model.StateLeaving)
	}
	if o.unlisted.active && r.State == model.StateLive {
		r.State = model.StateCold
	}
	if o.runs() {
		mean := o.service.all.mean()
		r.Limit = clamp16(o.rateLimit.limit(o.warming.limit(t, o.limit.effective(t), mean), mean))
	}
	if o.rateLimit.named() {
		r.SetRateLimit(float64(o.rateLimit.bucket.Limit()), o.rateRetryAfter(t))
	}
	if o.warming.active(t) {
		r.WarmingMs = uint32(max((o.warming.until - t).Milliseconds(), 1))
	}
	return r
}

// Utilisation returns the share of the usable slots that is in use, 0 to 1; known is
// false while none can be used.
func (o *Owner) Utilisation(now time.Time) (share float64, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := o.limit.effective(o.clock(now))
	if !o.runs() || limit <= 0 {
		return 0, false
	}
	return min(float64(o.inFlight)/float64(limit), 1), true
}

// clamp16 limits n to the range of the report's fields.
func clamp16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }
