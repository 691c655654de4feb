// Package server implements the HTTP handlers of a node's caller port and peer port. They
// execute the decisions of the packages entry and owner and make none of their own.
// Design: docs/DESIGN.md.
package server

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/running"
	"gypsumstand/internal/wire"
)

// Response is a worker's response; Body must be closed.
type Response struct {
	Status int
	// Header holds only end-to-end headers.
	Header http.Header
	// ContentLength is -1 if unknown.
	ContentLength int64
	Body          io.ReadCloser
}

// Result is a response, or a refusal if Response is nil.
type Result struct {
	Response *Response
	Refusal  model.Refusal
	Report   model.LoadReport
	// Times is how the time of an attempt with a response was spent at the owner.
	Times wire.AttemptTimes
	// Acknowledged reports that the owner had begun to reply, though there is no report.
	Acknowledged bool
}

// Executor runs admitted attempts on this node's worker. It is safe for concurrent use.
type Executor struct {
	owner              *owner.Owner
	address            string
	connectionObserved func(refused bool)
	dialect            dialect.Workers
	// worker returns the id of the worker's current incarnation, or empty if unknown.
	worker           func() model.WorkerID
	requestLog       *zerolog.Logger
	refreshLoad      func(ctx context.Context)
	freshness        func() model.DirectoryFreshness
	workerIdentified func(model.WorkerID)
	workerDescribed  func(sent time.Time, worker model.WorkerID, head dialect.ResponseHead)
	runInterrupted   func(quarantine.Run) (seemsCrashed func() bool)
	quarantine       *quarantine.Quarantine
	// portClosed is called when nothing listens on the worker's port.
	portClosed func()
	// routeHost returns the request's host if its route is for that host only, else empty.
	routeHost func(host, method, path string) string
	// transport is for idempotent requests, freshTransport for others, see
	// nonIdempotentIdle, and singleUseTransport for others while the worker repeats responses.
	transport          atomic.Pointer[http.Transport]
	freshTransport     atomic.Pointer[http.Transport]
	singleUseTransport atomic.Pointer[http.Transport]
	// mismatchedAt is when the worker last sent a response to another request; nil if never.
	mismatchedAt atomic.Pointer[time.Time]
	requireEcho  atomic.Bool
	// responseLimit is the maximum size of a response body in bytes, zero for none.
	responseLimit atomic.Int64
	limits        limits
	// peerAttempts counts the attempts of other entry nodes that have not ended.
	peerAttempts atomic.Int64

	// runs holds the attempts at the worker.
	runs running.Set

	mu      sync.Mutex
	waiters map[model.AttemptID]chan owner.Decision
}

// ExecutorConfig configures an Executor. Its functions are called concurrently and must
// not block, except where stated.
type ExecutorConfig struct {
	Owner *owner.Owner
	// Address is the worker's "ip:port".
	Address string
	Dialect dialect.Workers
	// Worker returns the id of the worker's current incarnation, or empty if unknown.
	Worker func() model.WorkerID
	// ConnectionObserved is called when the worker refused a connection (refused) or
	// responded.
	ConnectionObserved func(refused bool)
	// RequestLog takes the log lines about single requests.
	RequestLog *zerolog.Logger
	// RefreshLoad makes the owner's knowledge of the worker's slowdown recent enough to
	// decide on an attempt; nil if the worker does not report it. It may block for a few
	// milliseconds.
	RefreshLoad func(ctx context.Context)
	// DirectoryFreshness returns the freshness of this node's view of the directory.
	DirectoryFreshness func() model.DirectoryFreshness
	// WorkerIdentified is called with the worker id in a response; nil if workers do not
	// identify themselves.
	WorkerIdentified func(model.WorkerID)
	// WorkerDescribed is called with what a response says about the worker, when its request
	// was sent, and the worker to which it was sent; it may be nil.
	WorkerDescribed func(sent time.Time, worker model.WorkerID, head dialect.ResponseHead)
	// RouteHost returns the request's host if its route is for that host only, else
	// empty. Nil means that all routes are for any host.
	RouteHost func(host, method, path string) string
	// Quarantine evaluates each request before its run if it holds any; nil means that no
	// request is ever suspect.
	Quarantine *quarantine.Quarantine
	// PortClosed is called when nothing listens on the worker's port; it may be nil.
	PortClosed func()
	// RunInterrupted is called for each run that was interrupted at the worker, before its
	// slot is free: the next attempt may find the worker down, and the run is evidence then.
	// seemsCrashed reports whether the worker seems to have crashed and may block for a tenth
	// of a second. Nil means that workers never crash.
	RunInterrupted func(quarantine.Run) (seemsCrashed func() bool)
}

// NewExecutor returns an executor for one worker.
func NewExecutor(cfg ExecutorConfig) *Executor {
	if cfg.Quarantine == nil {
		cfg.Quarantine = quarantine.New(quarantine.Config{})
	}
	if cfg.RouteHost == nil {
		cfg.RouteHost = func(_, _, _ string) string { return "" }
	}
	if cfg.PortClosed == nil {
		cfg.PortClosed = func() {}
	}
	if cfg.WorkerDescribed == nil {
		cfg.WorkerDescribed = func(time.Time, model.WorkerID, dialect.ResponseHead) {}
	}
	if cfg.RunInterrupted == nil {
		cfg.RunInterrupted = func(quarantine.Run) func() bool { return func() bool { return false } }
	}
	x := &Executor{
		owner:              cfg.Owner,
		address:            cfg.Address,
		dialect:            cfg.Dialect,
		worker:             cfg.Worker,
		connectionObserved: cfg.ConnectionObserved,
		requestLog:         cfg.RequestLog,
		refreshLoad:        cfg.RefreshLoad,
		freshness:          cfg.DirectoryFreshness,
		workerIdentified:   cfg.WorkerIdentified,
		workerDescribed:    cfg.WorkerDescribed,
		runInterrupted:     cfg.RunInterrupted,
		quarantine:         cfg.Quarantine,
		waiters:            map[model.AttemptID]chan owner.Decision{},

		portClosed: cfg.PortClosed,
		routeHost:  cfg.RouteHost,
	}
	x.renewTransports(limits{slots: initialSlots, connections: initialConnections})
	return x
}

// InFlight returns the number of attempts of other entry nodes that have arrived and not
// ended.
func (x *Executor) InFlight() int64 { return x.peerAttempts.Load() }

// trackPeerAttempt counts an attempt of another entry node until end is called. A nil
// Executor counts none.
func (x *Executor) trackPeerAttempt() (end func()) {
	if x == nil {
		return func() {}
	}
	x.peerAttempts.Add(1)
	return func() { x.peerAttempts.Add(-1) }
}

// Deliver passes the owner's decisions to the attempts that wait for them.
func (x *Executor) Deliver(ds []owner.Decision) {
	for _, d := range ds {
		x.logRelocated(d)
		x.mu.Lock()
		ch := x.waiters[d.Attempt]
		delete(x.waiters, d.Attempt)
		x.mu.Unlock()
		if ch != nil {
			ch <- d
		}
	}
}

// addWaiter registers an attempt that waits for a decision. It returns nil if the same
// attempt already waits for one.
func (x *Executor) addWaiter(id model.AttemptID) chan owner.Decision {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.waiters[id] != nil {
		return nil
	}
	ch := make(chan owner.Decision, 1)
	x.waiters[id] = ch
	return ch
}

func (x *Executor) removeWaiter(id model.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.waiters, id)
}

// Do offers the attempt to the owner, waits until it may start and sends it to the
// worker. ctx ends when the entry node gives up.
func (x *Executor) Do(ctx context.Context, m *AttemptMessage) Result {
	ended := false
	defer func() {
		if !ended {
			x.abandon(m.Attempt.ID)
		}
	}()
	r := x.do(ctx, m)
	ended = true
	return r
}

// abandon releases the slot of an attempt that panicked, which would otherwise never be
// freed. The attempt may have run.
func (x *Executor) abandon(id model.AttemptID) {
	x.removeWaiter(id)
	x.finish(id, owner.Completion{Failed: true})
}

func (x *Executor) do(ctx context.Context, m *AttemptMessage) Result {
	if x.refreshLoad != nil {
		x.refreshLoad(ctx)
	}
	offered := time.Now()
	fp := x.newFingerprinter(m)
	refusal := x.admit(ctx, fp, offered)
	if refusal != nil {
		x.releaseLease(fp, quarantine.LeaseUnserved)
		return x.refused(m, *refusal, offered)
	}
	started := time.Now()
	if !x.owner.Confirm(started, m.Attempt.ID) {
		x.finish(m.Attempt.ID, owner.Completion{NotRun: true})
		x.releaseLease(fp, quarantine.LeaseUnserved)
		return x.refused(m, model.Refusal{Reason: model.ReasonExpired, NotRun: true}, offered)
	}
	m.Attempt.Remaining -= started.Sub(offered)
	x.trackRun(&m.Attempt, started)
	x.leaseRunning(fp, started)
	r := x.run(ctx, fp, started)
	x.releaseLease(fp, quarantine.LeaseEndOf(r.Response != nil, &r.Refusal))
	r.Times = wire.AttemptTimes{Queued: started.Sub(offered), Worker: time.Since(started)}
	r.Report = x.report(time.Now())
	x.logEnd(m, &r)
	return r
}

// admit waits until the attempt may start and then returns nil; otherwise it returns the
// refusal.
func (x *Executor) admit(ctx context.Context, fp *fingerprinter, now time.Time) *model.Refusal {
	m := fp.message
	id := m.Attempt.ID
	ch := x.addWaiter(id)
	if ch == nil {
		return &model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	kind, refusal := x.owner.OfferSuspect(now, &m.Attempt, m.SameNode, x.restrictions(now, fp))
	if kind == owner.Refuse {
		x.removeWaiter(id)
		return &refusal
	}
	if m.FetchBody != nil && m.FetchBody() != nil {
		return x.endWithdrawn(id, ch, kind)
	}
	if kind == owner.Queue {
		x.acquireLease(fp, now)
		refusal := x.wait(ctx, id, ch)
		if refusal != nil {
			return refusal
		}
	}
	x.removeWaiter(id)
	return x.refusalBeforeRun(fp)
}

// endWithdrawn ends an admitted attempt whose body the entry node did not send.
func (x *Executor) endWithdrawn(id model.AttemptID, ch chan owner.Decision, kind owner.DecisionKind) *model.Refusal {
	if kind == owner.Queue {
		if refusal := x.cancel(id, ch); refusal != nil {
			return refusal
		}
	}
	x.removeWaiter(id)
	x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
	return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
}

func (x *Executor) wait(ctx context.Context, id model.AttemptID, ch chan owner.Decision) *model.Refusal {
	select {
	case d := <-ch:
		return refusalOf(d)
	case <-ctx.Done():
		return x.cancel(id, ch)
	}
}

// cancel gives up a queued attempt. It returns nil if the attempt had already been
// started.
func (x *Executor) cancel(id model.AttemptID, ch chan owner.Decision) *model.Refusal {
	notRun, ds := x.owner.Cancel(time.Now(), id)
	if notRun {
		x.removeWaiter(id)
		x.Deliver(ds)
		return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
	}
	x.Deliver(ds)
	// The owner decided first; the decision is in the channel or about to be sent.
	return refusalOf(<-ch)
}

func refusalOf(d owner.Decision) *model.Refusal {
	if d.Kind == owner.Refuse {
		return &d.Refusal
	}
	return nil
}

func (x *Executor) finish(id model.AttemptID, c owner.Completion) {
	c.CallRefused = x.endRun(id, &c)
	x.Deliver(x.owner.Finish(time.Now(), id, c))
}
