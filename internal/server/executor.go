// Package server holds a node's three ports: callers, peers and operators. The
// handlers carry out what the entry and owner packages decide; they decide
// nothing themselves. Design: docs/DESIGN.md.
package server

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/wire"
)

// AttemptMessage is one attempt with its message, as it goes to the worker.
type AttemptMessage struct {
	Attempt model.Attempt
	Method  string
	// URL holds the path and the query.
	URL    *url.URL
	Host   string
	Header http.Header
	// Body is read only once the worker's slot is had; nil means none.
	Body          io.ReadCloser
	ContentLength int64
	// BufferedBody is the whole body where it is here; a long one streams.
	BufferedBody []byte
	// SameNode tells that the entry is this node.
	SameNode bool
	// AcknowledgeBy is when the entry withdraws an attempt that its owner has not begun to
	// answer; zero lets the body leave at once.
	AcknowledgeBy time.Time
	// FetchBody gets the body that the entry withholds, once the attempt is admitted; an error
	// means that there is none and that nothing may run. Nil where the body is here.
	FetchBody func() error
}

// request makes the message of an attempt to its next hop at u. It is HTTP/1.1
// and has a header of its own.
func (w *AttemptMessage) request(ctx context.Context, u *url.URL) *http.Request {
	return (&http.Request{
		Method:        w.Method,
		URL:           u,
		Host:          w.Host,
		Header:        w.Header.Clone(),
		Body:          w.Body,
		ContentLength: w.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
}

// hold takes the body in unless it is a long one, so that what the request asks for is known
// after its run.
func (w *AttemptMessage) hold(r *http.Request) error {
	if r.ContentLength == 0 {
		return nil
	}
	body, err := takeBody(r, max(r.ContentLength, 0))
	if err != nil || body.stream != nil {
		return err
	}
	w.Body, w.BufferedBody = body.open(), body.held
	return nil
}

// Response is a worker's answer; Body must be closed.
type Response struct {
	Status int
	// Header is end-to-end only.
	Header http.Header
	// ContentLength is -1 when unknown.
	ContentLength int64
	Body          io.ReadCloser
}

// Result is an answer, or the refusal in its place.
type Result struct {
	Response *Response
	Refusal  model.Refusal
	Report   model.LoadReport
	// Times is where an answered attempt's time went at the owner.
	Times wire.AttemptTimes
}

// Executor runs admitted attempts on this node's worker. Safe for concurrent use.
type Executor struct {
	owner   *owner.Owner
	address string
	traffic func(refused bool)
	dialect dialect.Workers
	// worker tells the worker's present life, empty when none is known.
	worker   func() model.WorkerID
	requests *zerolog.Logger
	refresh  func(ctx context.Context)
	mark     func() model.DirectoryFreshness
	said     func(model.WorkerID)
	broke    func(quarantine.Run) (ended bool)
	suspects *quarantine.Quarantine
	// portClosed is ExecutorConfig.PortClosed.
	portClosed func()
	// routeHost is ExecutorConfig.RouteHost.
	routeHost func(host, method, path string) string
	// transport is for idempotent requests, cautious for others; see cautiousIdle.
	transport atomic.Pointer[http.Transport]
	cautious  atomic.Pointer[http.Transport]
	echo      atomic.Bool
	limits    limits
	// peers counts the attempts of other entries that have not ended.
	peers atomic.Int64

	mu      sync.Mutex
	waiters map[model.AttemptID]chan owner.Decision
}

// ExecutorConfig is an executor's fixed setting. Its functions are called by many
// goroutines at once and do not block.
type ExecutorConfig struct {
	Owner *owner.Owner
	// Address is the worker's ("ip:port").
	Address string
	Dialect dialect.Workers
	// Worker tells the worker's present life, empty when none is known.
	Worker func() model.WorkerID
	// ConnectionObserved is told whether the worker refused a connection or answered.
	ConnectionObserved func(refused bool)
	// RequestLog takes the log lines about single requests.
	RequestLog *zerolog.Logger
	// RefreshLoad makes the owner's knowledge of the worker's pace fresh enough to
	// decide on an attempt; nil where the worker tells none. It may block for a few
	// milliseconds.
	RefreshLoad func(ctx context.Context)
	// DirectoryFreshness tells what this node knows of the directory.
	DirectoryFreshness func() model.DirectoryFreshness
	// WorkerIdentified is told the worker that refused an attempt, where it says which it is; nil
	// where workers are not told apart.
	WorkerIdentified func(model.WorkerID)
	// RouteHost returns a request's host where its route is for that host only, else empty.
	// Nil stands for routes for any host.
	RouteHost func(host, method, path string) string
	// Quarantine is asked about each request before its run, where it holds any; nil means
	// that nothing is ever suspect.
	Quarantine *quarantine.Quarantine
	// PortClosed is told that nobody listens on the worker's port; nil means nobody.
	PortClosed func()
	// DetectCrash is told each run that broke at the worker, and tells whether the worker seems to
	// have ended. It may block for a tenth of a second. Nil means that nobody wants to know.
	DetectCrash func(quarantine.Run) (ended bool)
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
	if cfg.DetectCrash == nil {
		cfg.DetectCrash = func(quarantine.Run) bool { return false }
	}
	x := &Executor{
		owner:    cfg.Owner,
		address:  cfg.Address,
		dialect:  cfg.Dialect,
		worker:   cfg.Worker,
		traffic:  cfg.ConnectionObserved,
		requests: cfg.RequestLog,
		refresh:  cfg.RefreshLoad,
		mark:     cfg.DirectoryFreshness,
		said:     cfg.WorkerIdentified,
		broke:    cfg.DetectCrash,
		suspects: cfg.Quarantine,
		waiters:  map[model.AttemptID]chan owner.Decision{},

		portClosed: cfg.PortClosed,
		routeHost:  cfg.RouteHost,
	}
	x.renewTransports(limits{slots: initialSlots, connections: initialConnections})
	return x
}

// InFlight returns the number of other entries' attempts that have come and not ended.
func (x *Executor) InFlight() int64 { return x.peers.Load() }

// hold counts an attempt of another entry until its end; a nil executor counts none.
func (x *Executor) hold() (end func()) {
	if x == nil {
		return func() {}
	}
	x.peers.Add(1)
	return func() { x.peers.Add(-1) }
}

// Deliver hands the owner's decisions to the attempts that wait for them.
func (x *Executor) Deliver(ds []owner.Decision) {
	for _, d := range ds {
		x.mu.Lock()
		ch := x.waiters[d.Attempt]
		delete(x.waiters, d.Attempt)
		x.mu.Unlock()
		if ch != nil {
			ch <- d
		}
	}
}

// await makes room for an attempt's decision; nil when the same attempt already
// waits for one.
func (x *Executor) await(id model.AttemptID) chan owner.Decision {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.waiters[id] != nil {
		return nil
	}
	ch := make(chan owner.Decision, 1)
	x.waiters[id] = ch
	return ch
}

func (x *Executor) unawait(id model.AttemptID) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.waiters, id)
}

// Do offers the attempt, waits for its start and sends it to the worker. ctx
// ends when the entry gives up.
func (x *Executor) Do(ctx context.Context, w *AttemptMessage) Result {
	ended := false
	defer func() {
		if !ended {
			x.abandon(w.Attempt.ID)
		}
	}()
	r := x.do(ctx, w)
	ended = true
	return r
}

// abandon lets go of an attempt that panicked: its slot would be lost for good, and it may
// have run.
func (x *Executor) abandon(id model.AttemptID) {
	x.unawait(id)
	x.finish(id, owner.Completion{Failed: true})
}

func (x *Executor) do(ctx context.Context, w *AttemptMessage) Result {
	if x.refresh != nil {
		x.refresh(ctx)
	}
	offered := time.Now()
	asked := x.contentOf(w)
	refusal := x.admit(ctx, asked, offered)
	if refusal != nil {
		return x.refused(w, *refusal, offered)
	}
	started := time.Now()
	if !x.owner.Confirm(started, w.Attempt.ID) {
		x.finish(w.Attempt.ID, owner.Completion{NotRun: true})
		return x.refused(w, model.Refusal{Reason: model.ReasonExpired, NotRun: true}, offered)
	}
	w.Attempt.Remaining -= started.Sub(offered)
	r := x.run(ctx, asked, started)
	r.Times = wire.AttemptTimes{Queued: started.Sub(offered), Worker: time.Since(started)}
	r.Report = x.report(time.Now())
	x.logEnd(w, &r)
	return r
}

// admit returns nil once the attempt may start.
func (x *Executor) admit(ctx context.Context, asked *content, now time.Time) *model.Refusal {
	w := asked.work
	id := w.Attempt.ID
	ch := x.await(id)
	if ch == nil {
		return &model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	verdict, refusal := x.owner.OfferSuspect(now, &w.Attempt, w.SameNode, x.caution(now, asked))
	if verdict == owner.Refuse {
		x.unawait(id)
		return &refusal
	}
	if w.FetchBody != nil && w.FetchBody() != nil {
		return x.withdrawn(id, ch, verdict)
	}
	if verdict == owner.Queue {
		refusal := x.wait(ctx, id, ch)
		if refusal != nil {
			return refusal
		}
	}
	x.unawait(id)
	return x.lateRefusal(asked)
}

// withdrawn ends an admitted attempt whose body the entry did not let go.
func (x *Executor) withdrawn(id model.AttemptID, ch chan owner.Decision, verdict owner.DecisionKind) *model.Refusal {
	if verdict == owner.Queue {
		if refusal := x.cancel(id, ch); refusal != nil {
			return refusal
		}
	}
	x.unawait(id)
	x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
	return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
}

func (x *Executor) wait(ctx context.Context, id model.AttemptID, ch chan owner.Decision) *model.Refusal {
	select {
	case d := <-ch:
		return decided(d)
	case <-ctx.Done():
		return x.cancel(id, ch)
	}
}

// cancel gives up an attempt that waits; nil means that it had been started before.
func (x *Executor) cancel(id model.AttemptID, ch chan owner.Decision) *model.Refusal {
	notRun, ds := x.owner.Cancel(time.Now(), id)
	if notRun {
		x.unawait(id)
		x.Deliver(ds)
		return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
	}
	x.Deliver(ds)
	// The decision came first; it is in the channel or about to be.
	return decided(<-ch)
}

func decided(d owner.Decision) *model.Refusal {
	if d.Kind == owner.Refuse {
		return &d.Refusal
	}
	return nil
}

func (x *Executor) finish(id model.AttemptID, f owner.Completion) {
	x.Deliver(x.owner.Finish(time.Now(), id, f))
}
