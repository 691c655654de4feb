// Package entry decides, for one caller's request, which attempts are made,
// when a broken one is settled, whether to try again, and what the caller is
// told. It does no I/O: an adapter carries each Step out and reports back.
// Design: docs/DESIGN.md, "At most once" and "Retries".
package entry

import (
	"sync/atomic"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// Config is an engine's fixed setting.
type Config struct {
	Self model.Instance
	// Random returns uniform 64-bit values and is safe for concurrent use; nil
	// means math/rand/v2's global source.
	Random func() uint64
}

// Engine makes calls; it holds the retry budgets per service. Safe for
// concurrent use.
type Engine struct {
	cfg      Config
	table    *route.Table
	sequence atomic.Uint64
}

// NewEngine returns an engine that chooses by table.
func NewEngine(cfg Config, table *route.Table) *Engine {
	return &Engine{cfg: cfg, table: table}
}

// Request is what a caller asked for.
type Request struct {
	ID model.RequestID
	// CallerKey: the caller chose ID itself.
	CallerKey bool
	Target    bundle.Target
	Tenant    model.TenantName
	// Idempotent is the target's word, tightened by the caller's.
	Idempotent bool
	// Timeout from now to the deadline, already within the class's bound.
	Timeout time.Duration
	// RetryBudget is the number of extra attempts left to the path, from the
	// caller's Gypsum-Retry-Budget when it is itself a worker of a path, at most
	// the bundle's.
	RetryBudget int
	// Replayable: the body can be sent again (absent or held whole).
	Replayable bool
}

// StepKind says what the adapter does next.
type StepKind uint8

// The steps.
const (
	// StepSend: send Attempt to To, then report Answered, Refused or Broken.
	StepSend StepKind = iota
	// StepSettle: ask To what became of Attempt, then report Settled or
	// SettleFailed.
	StepSettle
	// StepWait: wait until Until, then ask Next again.
	StepWait
	// StepEnd: tell the caller Outcome; the call is over.
	StepEnd
)

// Step is one thing to do.
type Step struct {
	Kind    StepKind
	To      model.Instance
	Attempt model.Attempt
	Until   time.Time
	// Outcome, Reason and RetryAfter are for StepEnd with no answer.
	Outcome    model.Outcome
	Reason     model.Reason
	RetryAfter time.Duration
	// Notify, when To is set on StepEnd, is to be sent to To, the request's home.
	Notify *wire.KeyResult
}

// Call is the state of one request. It is used by one goroutine at a time.
type Call struct {
	engine   *Engine
	req      Request
	deadline time.Time
	current  model.Attempt
	to       model.Instance
	tried    []model.InstanceID
	sentAt   time.Time
	end      *Step
}

// Begin starts a call at time now.
func (e *Engine) Begin(now time.Time, r Request) *Call {
	return &Call{engine: e, req: r, deadline: now.Add(r.Timeout)}
}

// Deadline returns when the caller must be answered.
func (c *Call) Deadline() time.Time { return c.deadline }

// Next returns what to do now. After StepSend or StepSettle one report must
// come before Next is called again.
func (c *Call) Next(now time.Time) Step {
	if c.end != nil {
		return *c.end
	}
	choice, ok := c.engine.table.Pick(now, &route.Query{Service: c.req.Target.Service.Name, Tried: c.tried})
	if !ok {
		return Step{Kind: StepEnd, Outcome: model.OutcomeNotRun, Reason: model.ReasonNoUpstream, RetryAfter: time.Second}
	}
	c.tried = append(c.tried, choice.Instance.ID)
	c.to = choice.Instance
	c.sentAt = now
	c.current = model.Attempt{
		ID:               model.AttemptID{Entry: c.engine.cfg.Self.ID, Incarnation: c.engine.cfg.Self.Incarnation, Sequence: c.engine.sequence.Add(1)},
		Request:          c.req.ID,
		CallerKey:        c.req.CallerKey,
		Owner:            choice.Instance.ID,
		OwnerIncarnation: choice.Instance.Incarnation,
		Service:          c.req.Target.Service.Name,
		Class:            c.req.Target.Class.Name,
		Tenant:           c.req.Tenant,
		Worth:            c.req.Target.Class.Worth,
		Idempotent:       c.req.Idempotent,
		Remaining:        c.deadline.Sub(now),
		OwnerClock:       choice.OwnerClock,
		Bundle:           c.req.Target.Bundle.VersionID(),
	}
	return Step{Kind: StepSend, To: c.to, Attempt: c.current}
}

// Answered reports the worker's answer, whole or, when the adapter streams it,
// its head. failed tells a server error of the worker.
func (c *Call) Answered(now time.Time, failed bool) {
	c.end = &Step{Kind: StepEnd, Outcome: model.OutcomeAnswered}
}

// Refused reports the owner's refusal, or one that the owner was not asked for
// (no connection could be had: ReasonWorkerUnreachable with NotRun).
func (c *Call) Refused(now time.Time, r model.Refusal) {
	if !r.NotRun {
		c.end = &Step{Kind: StepEnd, Outcome: model.OutcomeUnknown, Reason: r.Reason}
	}
}

// Broken reports that the way to the owner broke, or an answer was cut, after
// bytes had left. sentToCaller tells that part of an answer has gone on already.
func (c *Call) Broken(now time.Time, sentToCaller bool) {
	c.end = &Step{Kind: StepEnd, Outcome: model.OutcomeUnknown, Reason: model.ReasonLinkBroken}
}

// Settled reports the owner's settlement.
func (c *Call) Settled(now time.Time, r wire.SettleReply) {}

// SettleFailed reports that the owner could not be asked this time.
func (c *Call) SettleFailed(now time.Time) {}

// CallerGone reports that the caller gave up.
func (c *Call) CallerGone(now time.Time) {
	c.end = &Step{Kind: StepEnd, Outcome: model.OutcomeUnknown, Reason: model.ReasonCancelled}
}
