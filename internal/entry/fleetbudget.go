package entry

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// fleetBudget bounds the extra attempts that this entry causes at the workers of one service:
// its share of what bundle.Retry.FleetExtra allows all entries together. It counts only
// attempts that reach a worker, so that placing an attempt elsewhere after an owner refused
// it costs nothing here. Over any window of fleetWindow the extra attempts are at most
// fleetBudgetShare x (ratio x first attempts + FleetExtra / entries).
type fleetBudget struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	// limit is the limit of the latest call.
	limit fleetBudgetLimit
}

const (
	// fleetWindow is the window of bundle.Retry.FleetExtra.
	fleetWindow = 10 * time.Second
	// fleetBudgetShare is the share of the allowance that is used. The rest is kept for the
	// calls that a repeated run makes, which count at the services called, and for views of
	// the fleet that differ between entries.
	fleetBudgetShare = 0.6
	// burstShare is the share of an entry's allowance for one window that may be spent at
	// once; the rest accrues evenly over the window.
	burstShare = 0.8
)

// fleetBudgetLimit is one entry's share of a bundle's allowance.
type fleetBudgetLimit struct {
	// ratio is added per first attempt and perSecond per second, up to capacity, all in
	// attempts.
	ratio, capacity, perSecond float64
}

// fleetBudgetLimitFor returns the share of one of several entry nodes; ok is false where the
// bundle sets no allowance.
func fleetBudgetLimitFor(r *bundle.Retry, entries int) (l fleetBudgetLimit, ok bool) {
	if r.FleetExtra <= 0 {
		return fleetBudgetLimit{}, false
	}
	share := r.FleetExtra * fleetBudgetShare / float64(max(entries, 1))
	l = fleetBudgetLimit{
		ratio:     r.Ratio * fleetBudgetShare,
		capacity:  max(share*burstShare, 1),
		perSecond: share * (1 - burstShare) / fleetWindow.Seconds(),
	}
	return l, true
}

// addFirstAttempt adds the ratio for one first attempt, up to the capacity.
func (b *fleetBudget) addFirstAttempt(now time.Time, l fleetBudgetLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, l)
	b.tokens = min(b.tokens+l.ratio, l.capacity)
}

// spend takes one extra attempt out; it returns false when none is left.
func (b *fleetBudget) spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now, b.limit)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *fleetBudget) refill(now time.Time, l fleetBudgetLimit) {
	if b.refilledAt.IsZero() {
		b.tokens = l.capacity
	} else if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens += d.Seconds() * l.perSecond
	}
	b.refilledAt = now
	b.limit = l
	b.tokens = min(b.tokens, l.capacity)
}

// fleetBudgetFor returns the budget of a target's service, with a first attempt added, or nil
// where the bundle sets no allowance.
func (e *Engine) fleetBudgetFor(now time.Time, t *bundle.Target) *fleetBudget {
	l, ok := fleetBudgetLimitFor(&t.Bundle.Retry, int(e.entryNodes.Load()))
	if !ok {
		return nil
	}
	b := e.fleetBudgets.get(t.Service.Name, func() *fleetBudget { return &fleetBudget{} })
	b.addFirstAttempt(now, l)
	return b
}

// SetEntryNodes sets how many entry nodes share the fleet's allowance of extra attempts. It
// is called when the fleet changes.
func (e *Engine) SetEntryNodes(n int) { e.entryNodes.Store(int64(n)) }

// spendWorkerAttempt reports whether the request may go to one more worker, and takes that
// attempt out of the fleet budget. It is free while no worker can have received the request.
func (c *Call) spendWorkerAttempt(now time.Time) bool {
	if c.workerAttempts == 0 {
		return true
	}
	if limit := c.req.Target.Class.MaxAttempts; limit > 0 && c.workerAttempts >= limit {
		return false
	}
	return c.fleetBudget == nil || c.fleetBudget.spend(now)
}

// countWorkerAttempt counts an attempt with the refusal r if a worker received it or may
// have; a zero r stands for any other end.
func (c *Call) countWorkerAttempt(r model.Refusal) {
	if r.NotRun && !refusedByWorker(r.Reason) {
		return
	}
	c.workerAttempts++
}

// refusedByWorker reports whether a refusal that proves "not run" came from the worker
// itself.
func refusedByWorker(r model.Reason) bool {
	return r == model.ReasonWorkerShed || r == model.ReasonWorkerReplaced
}
