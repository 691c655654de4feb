package route

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// A warming worker bears a few requests a second from the whole fleet. Its owner keeps to
// that; entries take turns, so that it seldom has to refuse: each has its turn at random
// times, at a rate which makes all of them together offer what the worker bears. Out of turn
// a warming upstream is chosen only where there is no other.

// warm takes the fleet's word of a worker that warms up. Those of a data centre that was
// evacuated until now are taken for warming until they are heard.
func (b *builder) warm(u *upstream) {
	before := b.old.byID[u.instance.ID]
	switch {
	case u.service.turnGap == 0:
		u.cell.warmingUntil.Store(0)
	case before != nil && before.evacuated && !u.evacuated:
		b.table.setWarming(u, b.now, b.now+u.service.warming)
	case before == nil || before.cell != u.cell || !before.instance.WarmingUntil.Equal(u.instance.WarmingUntil):
		b.table.setWarming(u, b.now, b.since(u.instance.WarmingUntil))
	}
}

// since returns a time in the picker's nanoseconds, zero for the zero time.
func (b *builder) since(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return b.next.nanos(at)
}

// setWarming notes until when a worker is warming, and draws this entry's first turn at it.
func (t *Table) setWarming(u *upstream, now, until int64) {
	if until > now && !u.cell.warming(now) {
		u.cell.turnAt.Store(now + t.turnIn(u))
	}
	u.cell.warmingUntil.Store(until)
}

// turnIn draws the time until this entry's next turn at a warming upstream: turns that come
// by chance at all entries together make up an even stream.
func (t *Table) turnIn(u *upstream) int64 {
	const unit = 1.0 / (1 << 53)
	uniform := float64(t.cfg.Random()>>11+1) * unit
	return int64(-math.Log(uniform) * float64(u.service.turnGap))
}

// offered takes that an attempt goes to an upstream.
func (t *Table) offered(u *upstream, now int64) {
	if u.cell.warming(now) {
		u.cell.turnAt.Store(now + t.turnIn(u))
	}
}

// heardWarming takes an owner's word of its worker.
func (t *Table) heardWarming(u *upstream, now int64, r *model.LoadReport) {
	switch {
	case u.service.turnGap == 0 || r.State != model.StateLive:
	case r.WarmingMs == 0:
		u.cell.warmingUntil.Store(0)
	default:
		t.setWarming(u, now, now+int64(r.WarmingLeft()))
	}
}

// warming tells whether the worker is known to be warming.
func (c *cell) warming(now int64) bool { return now < c.warmingUntil.Load() }

// inTurn tells whether a warming worker may be chosen at time now.
func (c *cell) inTurn(now int64) bool { return !c.warming(now) || now >= c.turnAt.Load() }

// NoUpstreamReason tells why a query finds no upstream to choose: none is known, none is in a region
// where the request may run, or all that are lie in evacuated data centres.
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
