package entry

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// arrivals bounds the extra arrivals at one service's workers that this entry
// causes: its part of what bundle.Retry.FleetExtra allows all entries together. A
// refusal by an owner is no arrival, so placing a refused attempt elsewhere costs
// nothing here. Over any window of fleetWindow the extra arrivals are at most
// ratio x first attempts + FleetExtra/entries, by arrivalsMargin less.
type arrivals struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
	// limit is what the last call was bounded by.
	limit arrivalLimit
}

const (
	// fleetWindow is the window of bundle.Retry.FleetExtra.
	fleetWindow = 10 * time.Second
	// arrivalsMargin is the part of the allowance that is used. The rest covers
	// the calls that a repeated run makes, which count at the services called, and
	// views of the fleet that differ between entries.
	arrivalsMargin = 0.6
	// savedShare is the part of an entry's allowance of one window that may be
	// spent at once; the rest comes evenly over the window.
	savedShare = 0.8
)

// arrivalLimit is one entry's part of a bundle's allowance.
type arrivalLimit struct {
	// ratio is what each first attempt adds, depth what may be saved up and
	// perSecond what time adds, in attempts.
	ratio, depth, perSecond float64
}

// arrivalLimitOf returns the part of one of entries nodes; ok is false where the
// bundle sets no allowance.
func arrivalLimitOf(r *bundle.Retry, entries int) (l arrivalLimit, ok bool) {
	if r.FleetExtra <= 0 {
		return arrivalLimit{}, false
	}
	part := r.FleetExtra * arrivalsMargin / float64(max(entries, 1))
	l = arrivalLimit{
		ratio:     r.Ratio * arrivalsMargin,
		depth:     max(part*savedShare, 1),
		perSecond: part * (1 - savedShare) / fleetWindow.Seconds(),
	}
	return l, true
}

// first counts a first attempt.
func (a *arrivals) first(now time.Time, l arrivalLimit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now, l)
	a.tokens = min(a.tokens+l.ratio, l.depth)
}

// take spends one extra arrival; false when none is left.
func (a *arrivals) take(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fill(now, a.limit)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

func (a *arrivals) fill(now time.Time, l arrivalLimit) {
	if a.filled.IsZero() {
		a.tokens = l.depth
	} else if d := now.Sub(a.filled); d > 0 {
		a.tokens += d.Seconds() * l.perSecond
	}
	a.filled = now
	a.limit = l
	a.tokens = min(a.tokens, l.depth)
}

// arrivalsOf returns the bound of a target's service, or nil.
func (e *Engine) arrivalsOf(now time.Time, t *bundle.Target) *arrivals {
	l, ok := arrivalLimitOf(&t.Bundle.Retry, int(e.entries.Load()))
	if !ok {
		return nil
	}
	a := e.extra.of(t.Service.Name, func() *arrivals { return &arrivals{} })
	a.first(now, l)
	return a
}

// SetEntryNodes tells how many entry nodes share a fleet's allowance of extra
// arrivals. It is called when the fleet changes.
func (e *Engine) SetEntryNodes(n int) { e.entries.Store(int64(n)) }

// mayArriveAgain tells whether the request may go to one more worker, and spends
// what that costs. It is free while no worker can have had it.
func (c *Call) mayArriveAgain(now time.Time) bool {
	if c.arrived == 0 {
		return true
	}
	if most := c.req.Target.Class.MaxAttempts; most > 0 && c.arrived >= most {
		return false
	}
	return c.extra == nil || c.extra.take(now)
}

// noteArrival counts an attempt that a worker has, or may have, had.
func (c *Call) noteArrival(r model.Refusal) {
	if r.NotRun && !atWorker(r.Reason) {
		return
	}
	c.arrived++
}

// atWorker tells whether a refusal that proves "not run" was a worker's own.
func atWorker(r model.Reason) bool {
	return r == model.ReasonWorkerShed || r == model.ReasonWorkerReplaced
}
