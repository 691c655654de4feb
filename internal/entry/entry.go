// Package entry decides, for one caller's request, which attempts are made, when the outcome of
// an attempt is resolved with its owner, whether to retry, and what the caller gets. It does no
// I/O: an adapter carries out each Step and reports the result.
//
// An adapter's loop:
//
//	c := engine.Begin(now, request)
//	for {
//		switch s := c.Next(now); s.Kind {
//		case StepSend:    // send, then Report and one of Answered, Refused, Interrupted
//		case StepResolve: // ask, then Resolved or ResolveFailed
//		case StepWait:    // wait until s.Until
//		case StepEnd:     // send s.Notify, respond to the caller; done
//		}
//	}
//
// Design: docs/DESIGN.md, "At most once" and "Retries".
package entry

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// Config is the fixed configuration of an engine.
type Config struct {
	Self model.Instance
	// Random returns uniform 64-bit values and is safe for concurrent use; nil
	// means math/rand/v2's global source.
	Random func() uint64
	// Tuning replaces DefaultTuning in simulations; nil means DefaultTuning.
	Tuning *Tuning
}

// chooser is the part of route.Table that an engine uses.
type chooser interface {
	Pick(now time.Time, q *route.Query) (route.Choice, bool)
	NextHome(now time.Time, q *route.Query, id model.RequestID, skipped []model.InstanceID) (route.Choice, bool)
	PickInstance(now time.Time, q *route.Query, id model.InstanceID) (route.Choice, bool)
	Sent(now time.Time, id model.InstanceID)
	Done(now time.Time, id model.InstanceID, r route.Result)
	NoUpstreamReason(q *route.Query) model.Reason
}

// Engine starts calls and holds the retry budgets per service. It is safe for concurrent use.
type Engine struct {
	cfg      Config
	table    chooser
	tuning   Tuning
	sequence atomic.Uint64
	// ownIncarnation is the incarnation of this node's own owner.
	ownIncarnation atomic.Uint64
	budgets        registry[model.ServiceName, bucket]
	latencies      registry[classKey, latencyQuantile]
	fleetBudgets   registry[model.ServiceName, fleetBudget]
	startRates     registry[model.ServiceName, startRate]
	// callerTimeouts holds the usual timeouts of callers by service and class.
	callerTimeouts registry[classKey, callerTimeout]
	// admissions decide which requests are admitted, by service.
	admissions registry[model.ServiceName, outcomeAdmission]
	// malformedOutcomes counts the reports whose class outcomes were malformed.
	malformedOutcomes atomic.Uint64
	// entryNodes is the number of entry nodes; see SetEntryNodes.
	entryNodes atomic.Int64
}

// NewEngine returns an engine that chooses owners from table.
func NewEngine(cfg Config, table *route.Table) *Engine {
	return newEngine(cfg, table)
}

func newEngine(cfg Config, table chooser) *Engine {
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	e := &Engine{cfg: cfg, table: table, tuning: DefaultTuning()}
	if cfg.Tuning != nil {
		e.tuning = *cfg.Tuning
	}
	e.ownIncarnation.Store(uint64(cfg.Self.Incarnation))
	return e
}

// SetOwnIncarnation binds later attempts at this node's own owner to a greater incarnation.
// Attempt ids keep the engine's first incarnation, with which they stay unique.
func (e *Engine) SetOwnIncarnation(inc model.Incarnation) { e.ownIncarnation.Store(uint64(inc)) }

// Request is a caller's request.
type Request struct {
	ID model.RequestID
	// CallerKey reports that the caller chose ID itself.
	CallerKey bool
	Target    bundle.Target
	Tenant    model.TenantName
	// Caller is the service of the instance at which the request entered the system.
	Caller model.ServiceName
	// Idempotent is the target's setting, which the caller may only tighten.
	Idempotent bool
	// Timeout is the time until the deadline, already within the class's bound.
	Timeout time.Duration
	// RequestedTimeout is the timeout that the caller itself sent; zero for none.
	RequestedTimeout time.Duration
	// RetryBudget is the number of extra attempts left to the path: the caller's
	// Gypsum-Retry-Budget if the caller is a worker in the path itself, and at most the
	// bundle's.
	RetryBudget int
	// Replayable reports that the body can be sent again, as it is absent or fully buffered.
	// See Call.SetReplayable.
	Replayable bool
	// Streamed reports that the body is not buffered but read from the caller while it is
	// sent, so that an owner that queues an attempt may already have received a part of it.
	Streamed bool
	// Regions are those in which the request may run.
	Regions model.Regions
	// WorkerCall reports that a worker makes the request for a run. Inherit sets it.
	WorkerCall bool
	// InheritedPriority is set by Inherit; see model.Attempt.
	InheritedPriority uint16
	// BodyBytes is the length of a large body, which is reserved at another node's owner
	// before it is sent; zero for all other requests. See Step.Reserve.
	BodyBytes int64
}

// Begin starts a call at time now. It also adds a first attempt to the service's retry
// budgets.
func (e *Engine) Begin(now time.Time, r Request) *Call {
	c := &Call{engine: e, req: r, deadline: now.Add(r.Timeout)}
	if r.RequestedTimeout > 0 {
		c.waitedBefore = e.callerTimeoutFor(&c.req.Target).observe(now, r.RequestedTimeout)
	}
	if c.refuseByOutcome(now) {
		return c
	}
	c.bucket = e.budgets.get(r.Target.Service.Name, func() *bucket { return newBucket(now) })
	c.bucket.deposit(r.Target.Bundle.Retry.Ratio)
	c.budget = max(0, min(r.RetryBudget, r.Target.Bundle.Retry.PerPath))
	c.fleetBudget = e.fleetBudgetFor(now, &c.req.Target)
	c.startRate = e.startRateFor(&c.req.Target)
	c.maxMoves = c.startRate.maxMoves(r.Target.Bundle.Retry.Moves)
	if r.Idempotent {
		c.latency = e.latencyFor(&c.req.Target)
	}
	return c
}

// nextAttemptID returns an attempt id that was not used before.
func (e *Engine) nextAttemptID() model.AttemptID {
	return model.AttemptID{
		Entry:       e.cfg.Self.ID,
		Incarnation: e.cfg.Self.Incarnation,
		Sequence:    e.sequence.Add(1),
	}
}
