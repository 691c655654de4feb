package owner

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// Report returns the load report of this moment.
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
		ServiceTime:     o.speed.all.mean(),
		FailureRate:     uint16(o.speed.failures*1000 + 0.5),
		Bundle:          o.version,
		Delayed:         model.DelayedThousandths(o.delayed),
		SlowdownPercent: clamp16(int(o.pace.now * 100)),
	}
	if o.leaving() {
		r.State = max(o.state, model.StateLeaving)
	}
	if o.unlisted.holds && r.State == model.StateLive {
		r.State = model.StateCold
	}
	if o.runs() {
		r.Limit = clamp16(o.warming.limit(t, o.limit.effective(t), o.speed.all.mean()))
	}
	if o.warming.on(t) {
		r.WarmingMs = uint32(max((o.warming.until - t).Milliseconds(), 1))
	}
	return r
}

// Utilisation returns the part of the worker's slots that is in use, and false while none can be
// used.
func (o *Owner) Utilisation(now time.Time) (part float64, known bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	limit := o.limit.effective(o.clock(now))
	if !o.runs() || limit <= 0 {
		return 0, false
	}
	return min(float64(o.inFlight)/float64(limit), 1), true
}

// clamp16 returns n within the report's range.
func clamp16(n int) uint16 { return uint16(min(max(n, 0), math.MaxUint16)) }
