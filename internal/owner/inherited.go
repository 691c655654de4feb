package owner

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// A worker's call has the priority of the request for which it is made, its parent. With
// the priority of its own class, a call for an urgent request can wait behind calls for
// less urgent ones, while its parent holds a slot elsewhere.

// maxInherited is the largest valid value of Attempt.InheritedPriority. It bounds the subqueues
// that an entry can cause.
const maxInherited = bundle.MaxPriority + 1

// inheritedOf returns an attempt's inherited priority plus one, or zero for none. A larger
// value than a bundle can have counts as the least urgent one.
func inheritedOf(a *model.Attempt) uint16 { return min(a.InheritedPriority, maxInherited) }

// priority returns the attempt's priority; a smaller number is more urgent.
func (p *pendingAttempt) priority() int {
	if p.inherited > 0 {
		return int(p.inherited) - 1
	}
	return p.class.priority
}

// isCall reports whether the attempt is a call of a run that waits for it.
func (p *pendingAttempt) isCall() bool { return p.inherited > 0 }

// compareUrgency returns a negative number if a is more urgent than b, a positive one if
// it is less urgent, and zero if neither is. Within one priority, calls go before requests
// of callers: the run that waits for a call holds a slot, which is wasted if the call
// fails.
func compareUrgency(a, b *pendingAttempt) int {
	if d := a.priority() - b.priority(); d != 0 {
		return d
	}
	switch {
	case a.isCall() == b.isCall():
		return 0
	case a.isCall():
		return -1
	}
	return 1
}

// mayDisplaceIn reports whether newer may take the place of the last attempt of s. A class
// that is entitled to more places takes none from a more urgent attempt of its own.
func (s *subqueue) mayDisplaceIn(limit int, newer *pendingAttempt) bool {
	if s.class == newer.class {
		return compareUrgency(s.last(), newer) >= 0
	}
	return float64(s.class.queued) > s.class.queuePlaces(limit)
}

// maxCallInflations bounds class.callInflation: bundles have a few priorities, but other
// nodes may send any.
const maxCallInflations = 32

// inflationOf returns the wait inflation that applies to p. Calls of one class whose
// parents have different priorities wait for different times.
func (c *class) inflationOf(p *pendingAttempt) waitInflation {
	if p.inherited == 0 {
		return c.inflation
	}
	return c.callInflation[p.inherited]
}

// observeInflation adds a wait of p to the inflation that applies to it. Beyond
// maxCallInflations, the one that was updated least recently is dropped.
func (c *class) observeInflation(t time.Duration, p *pendingAttempt, predicted, actual time.Duration) {
	if p.inherited == 0 {
		c.inflation.add(t, predicted, actual)
		return
	}
	i, known := c.callInflation[p.inherited]
	switch {
	case c.callInflation == nil:
		c.callInflation = map[uint16]waitInflation{}
	case !known && len(c.callInflation) >= maxCallInflations:
		delete(c.callInflation, c.leastRecentInflation())
	}
	i.add(t, predicted, actual)
	c.callInflation[p.inherited] = i
}

// leastRecentInflation returns the key of callInflation that was updated least recently.
func (c *class) leastRecentInflation() uint16 {
	var oldest uint16
	for inherited, i := range c.callInflation {
		if oldest == 0 || i.updatedAt < c.callInflation[oldest].updatedAt {
			oldest = inherited
		}
	}
	return oldest
}

// observeFailure records whether a run failed at the worker. A run that failed because one
// of its calls got no response shows nothing about the worker.
func (o *Owner) observeFailure(t time.Duration, f Completion, failed bool) {
	if failed && f.CallRefused {
		return
	}
	o.service.observe(t, failed)
}
