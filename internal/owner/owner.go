// Package owner decides what runs on this node's own worker: admission within
// slots, a bounded queue by worth and remaining time, shares of classes and
// tenants, and the record of attempts that keeps non-idempotent requests at
// most once and refusals true. It does no I/O. Design: docs/DESIGN.md,
// "Admission" and "At most once".
package owner

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Config is an owner's fixed setting.
type Config struct {
	Self model.Instance
	// Started is the process's start; LoadReport.Clock counts from it.
	Started time.Time
}

// Verdict is the owner's answer to an offered attempt.
type Verdict uint8

// The verdicts.
const (
	// Start: send it to the worker now; Finish must follow.
	Start Verdict = iota
	// Wait: queued; a Decision follows from a later call.
	Wait
	// Refuse: see the refusal.
	Refuse
)

// Decision ends the waiting of a queued attempt.
type Decision struct {
	Attempt model.AttemptID
	// Verdict is Start or Refuse.
	Verdict Verdict
	Refusal model.Refusal
}

// Finish tells how a started attempt ended at the worker.
type Finish struct {
	// ServiceTime from start to the whole answer.
	ServiceTime time.Duration
	// NotRun: proved that the worker did not run it (no byte left, or it said
	// so); the attempt is barred and the request id freed.
	NotRun bool
	// Failed: the worker answered with a server error, broke or timed out.
	Failed bool
	// Shed: the worker refused for load.
	Shed bool
	// Status is the worker's HTTP status; 0 when there was no whole answer.
	Status int
}

// Owner is safe for concurrent use; its lock is held for short, bounded work.
type Owner struct {
	mu       sync.Mutex
	cfg      Config
	state    model.UpstreamState
	slots    int
	inFlight map[model.AttemptID]time.Time
}

// New returns a cold owner.
func New(cfg Config) *Owner {
	return &Owner{cfg: cfg, state: model.StateCold, inFlight: map[model.AttemptID]time.Time{}}
}

// Configure applies the limits of a bundle to later decisions. upstreams is the
// number of live upstreams of the service, for this owner's part of tenants'
// limits.
func (o *Owner) Configure(now time.Time, b *bundle.Bundle, svc *bundle.Service, upstreams int) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.slots = svc.Slots
	return nil
}

// SetState sets the life stage. Leaving never turns back: a smaller state after
// StateLeaving is ignored. Queued attempts stay.
func (o *Owner) SetState(now time.Time, s model.UpstreamState) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state < model.StateLeaving || s > o.state {
		o.state = s
	}
	return nil
}

// Offer decides on an arriving attempt. sameNode tells that it comes from this
// node's own entry, so that its age is zero.
func (o *Owner) Offer(now time.Time, a *model.Attempt, sameNode bool) (Verdict, model.Refusal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.state >= model.StateLeaving:
		return Refuse, model.Refusal{Reason: model.ReasonLeaving, NotRun: true}
	case o.state == model.StateCold:
		return Refuse, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: time.Second}
	case len(o.inFlight) >= o.slots:
		return Refuse, model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: 100 * time.Millisecond}
	}
	o.inFlight[a.ID] = now
	return Start, model.Refusal{}
}

// Confirm is called right before the first byte goes to the worker, after any
// delay since Start: false means that the time ran out meanwhile or the process
// was paused, and the attempt must be finished as not run.
func (o *Owner) Confirm(now time.Time, id model.AttemptID) bool { return true }

// Finish ends a started attempt and returns who may start next.
func (o *Owner) Finish(now time.Time, id model.AttemptID, f Finish) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.inFlight, id)
	return nil
}

// Cancel gives up an attempt that the entry no longer waits for. notRun tells
// whether it was still queued (and is now barred); a started one goes on until
// Finish.
func (o *Owner) Cancel(now time.Time, id model.AttemptID) (notRun bool, ds []Decision) {
	return false, nil
}

// Settle answers what became of an attempt and bars it unless it has started.
func (o *Owner) Settle(now time.Time, s wire.Settle) (wire.SettleReply, []Decision) {
	return wire.SettleReply{Attempt: s.Attempt, State: model.AttemptForgotten, Report: o.Report(now)}, nil
}

// KeyResult takes the end of a request that this owner, as its home, delegated.
func (o *Owner) KeyResult(now time.Time, r wire.KeyResult) {}

// Tick expires queued attempts and old records; call it every 10 ms or so.
func (o *Owner) Tick(now time.Time) []Decision { return nil }

// Paused says that the process had been stopped for d: all attempts that wait
// are judged anew before anything starts.
func (o *Owner) Paused(now time.Time, d time.Duration) []Decision { return nil }

// Report returns the load report of this moment.
func (o *Owner) Report(now time.Time) model.LoadReport {
	return model.LoadReport{
		Owner:       o.cfg.Self.ID,
		Incarnation: o.cfg.Self.Incarnation,
		Clock:       now.Sub(o.cfg.Started),
		State:       o.state,
		Limit:       uint16(o.slots),
		InFlight:    uint16(len(o.inFlight)),
	}
}
