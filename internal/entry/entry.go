// Package entry decides, for one caller's request, which attempts are made,
// when a broken one is settled, whether to try again, and what the caller is
// told. It does no I/O: an adapter carries each Step out and reports back.
//
// An adapter's loop:
//
//	c := engine.Begin(now, request)
//	for {
//		switch s := c.Next(now); s.Kind {
//		case StepSend:   // send, then Report and one of Answered, Refused, Broken
//		case StepResolve: // ask, then Settled or ResolveFailed
//		case StepWait:   // wait until s.Until
//		case StepEnd:    // send s.Notify, tell the caller; done
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

// Config is an engine's fixed setting.
type Config struct {
	Self model.Instance
	// Random returns uniform 64-bit values and is safe for concurrent use; nil
	// means math/rand/v2's global source.
	Random func() uint64
	// Tuning replaces the product's, for measurements only; nil means
	// DefaultTuning.
	Tuning *Tuning
}

// chooser is what an engine needs of a route.Table.
type chooser interface {
	Pick(now time.Time, q *route.Query) (route.Choice, bool)
	NextHome(now time.Time, q *route.Query, id model.RequestID, passed []model.InstanceID) (route.Choice, bool)
	PickInstance(now time.Time, q *route.Query, id model.InstanceID) (route.Choice, bool)
	Sent(now time.Time, id model.InstanceID)
	Done(now time.Time, id model.InstanceID, r route.Result)
	NoUpstreamReason(q *route.Query) model.Reason
}

// Engine makes calls; it holds the retry budgets per service. Safe for
// concurrent use.
type Engine struct {
	cfg      Config
	table    chooser
	tuning   Tuning
	sequence atomic.Uint64
	// adopted is the incarnation of this node's own owner.
	adopted atomic.Uint64
	budgets registry[model.ServiceName, bucket]
	paces   registry[paceKey, pace]
	extra   registry[model.ServiceName, arrivals]
	starts  registry[model.ServiceName, starts]
	// patiences knows callers' timeouts by service and class.
	patiences registry[paceKey, patience]
	// entries is the number of entry nodes; see SetEntryNodes.
	entries atomic.Int64
}

// NewEngine returns an engine that chooses by table.
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
	e.adopted.Store(uint64(cfg.Self.Incarnation))
	return e
}

// SetOwnIncarnation binds later attempts at this node's own owner to a greater incarnation.
// AttemptCost ids keep the first one: they stay unique without it.
func (e *Engine) SetOwnIncarnation(inc model.Incarnation) { e.adopted.Store(uint64(inc)) }

// Request is what a caller asked for.
type Request struct {
	ID model.RequestID
	// CallerKey: the caller chose ID itself.
	CallerKey bool
	Target    bundle.Target
	Tenant    model.TenantName
	// Caller is the service beside whose worker the request entered the system.
	Caller model.ServiceName
	// Idempotent is the target's word, tightened by the caller's.
	Idempotent bool
	// Timeout from now to the deadline, already within the class's bound.
	Timeout time.Duration
	// RequestedTimeout is the timeout that the caller named itself; zero for none.
	RequestedTimeout time.Duration
	// RetryBudget is the number of extra attempts left to the path, from the
	// caller's Gypsum-Retry-Budget when it is itself a worker of a path, at most
	// the bundle's.
	RetryBudget int
	// Replayable: the body can be sent again (absent or held whole). See
	// Call.SetReplayable.
	Replayable bool
	// Regions are those in which it may run.
	Regions model.Regions
}

// Begin starts a call at time now.
func (e *Engine) Begin(now time.Time, r Request) *Call {
	c := &Call{engine: e, req: r, deadline: now.Add(r.Timeout)}
	c.bucket = e.budgets.of(r.Target.Service.Name, func() *bucket { return newBucket(now) })
	c.bucket.deposit(r.Target.Bundle.Retry.Ratio)
	c.budget = max(0, min(r.RetryBudget, r.Target.Bundle.Retry.PerPath))
	c.extra = e.arrivalsOf(now, &c.req.Target)
	c.starts = e.startsOf(&c.req.Target)
	c.mostMoves = c.starts.moves(r.Target.Bundle.Retry.Moves)
	if r.RequestedTimeout > 0 {
		c.waited = e.patienceOf(&c.req.Target).note(now, r.RequestedTimeout)
	}
	if r.Idempotent {
		c.pace = e.paceOf(&c.req.Target)
	}
	return c
}

// nextAttemptID returns an attempt id that was never used.
func (e *Engine) nextAttemptID() model.AttemptID {
	return model.AttemptID{
		Entry:       e.cfg.Self.ID,
		Incarnation: e.cfg.Self.Incarnation,
		Sequence:    e.sequence.Add(1),
	}
}
