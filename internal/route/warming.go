package route

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// A warming worker can handle a few requests a second from the whole fleet, and its owner
// refuses more. So that it seldom needs to, entries choose a warming worker in turns: each
// entry has a turn at random times, at a rate at which all entries together send what the
// worker can handle. Out of turn a warming upstream is chosen only if there is no other.

// updateWarming takes over the fleet's view of a worker that warms up. The workers of a
// data centre that was evacuated until now count as warming until a report of them is
// received.
func (b *builder) updateWarming(u *upstream) {
	before := b.old.byID[u.instance.ID]
	switch {
	case u.service.meanTurnGap == 0:
		u.cell.warmingUntil.Store(0)
	case before != nil && before.evacuated && !u.evacuated:
		b.table.setWarmingUntil(u, b.now, b.now+u.service.warming)
	case before == nil || before.cell != u.cell || !before.instance.WarmingUntil.Equal(u.instance.WarmingUntil):
		b.table.setWarmingUntil(u, b.now, b.nanosOrZero(u.instance.WarmingUntil))
	}
}

// nanosOrZero returns a time in the picker's nanoseconds, zero for the zero time.
func (b *builder) nanosOrZero(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return b.next.nanos(at)
}

// setWarmingUntil records until when a worker is warming, and draws this entry's first turn.
func (t *Table) setWarmingUntil(u *upstream, now, until int64) {
	if until > now && !u.cell.isWarming(now) {
		u.cell.nextTurnAt.Store(now + t.drawTurnGap(u))
	}
	u.cell.warmingUntil.Store(until)
}

// drawTurnGap draws the time until this entry's next turn at a warming upstream. The gaps
// are exponentially distributed, so that the turns of all entries together make up an even
// stream.
func (t *Table) drawTurnGap(u *upstream) int64 {
	const unit = 1.0 / (1 << 53)
	uniform := float64(t.cfg.Random()>>11+1) * unit
	return int64(-math.Log(uniform) * float64(u.service.meanTurnGap))
}

// scheduleNextTurn draws the next turn at a warming upstream, as an attempt is sent to it.
func (t *Table) scheduleNextTurn(u *upstream, now int64) {
	if u.cell.isWarming(now) {
		u.cell.nextTurnAt.Store(now + t.drawTurnGap(u))
	}
}

// noteWarming takes over what an owner's report states about its worker.
func (t *Table) noteWarming(u *upstream, now int64, r *model.LoadReport) {
	switch {
	case u.service.meanTurnGap == 0 || r.State != model.StateLive:
	case r.WarmingMs == 0:
		u.cell.warmingUntil.Store(0)
	default:
		t.setWarmingUntil(u, now, now+int64(r.WarmingLeft()))
	}
}

// isWarming reports whether the worker is known to be warming.
func (c *cell) isWarming(now int64) bool { return now < c.warmingUntil.Load() }

// turnDue reports whether the worker may be chosen at time now: it is not warming or a turn
// is due.
func (c *cell) turnDue(now int64) bool { return !c.isWarming(now) || now >= c.nextTurnAt.Load() }

// NoUpstreamReason returns why there is no upstream for a query: none is known or eligible,
// none is in a region where the request may run, or all in such a region are evacuated.
func (t *Table) NoUpstreamReason(q *Query) model.Reason {
	svc := t.picker.Load().services[q.Service]
	if svc == nil || len(svc.all) == 0 {
		return model.ReasonNoUpstream
	}
	reason := model.ReasonRegion
	for _, u := range svc.all {
		switch {
		case !q.Regions.Allows(u.region):
		case u.evacuated:
			reason = model.ReasonEvacuated
		default:
			return model.ReasonNoUpstream
		}
	}
	return reason
}
