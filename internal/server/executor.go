// Package server holds a node's three ports: callers, peers and operators. The
// handlers carry out what the entry and owner packages decide; they decide
// nothing themselves. Design: docs/DESIGN.md.
package server

import (
	"context"
	"errors"
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
	"gypsumstand/internal/upstream"
	"gypsumstand/internal/wire"
)

// Work is one attempt with its message, as it goes to the worker.
type Work struct {
	Attempt model.Attempt
	Method  string
	// URL holds the path and the query.
	URL    *url.URL
	Host   string
	Header http.Header
	// Body is read only once the worker's slot is had; nil means none.
	Body          io.ReadCloser
	ContentLength int64
	// SameNode tells that the entry is this node.
	SameNode bool
}

// request makes the message of an attempt to its next hop at u. It is HTTP/1.1
// and has a header of its own.
func (w *Work) request(ctx context.Context, u *url.URL) *http.Request {
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

// Answer is a worker's answer; Body must be closed.
type Answer struct {
	Status int
	// Header is end-to-end only.
	Header http.Header
	// ContentLength is -1 when unknown.
	ContentLength int64
	Body          io.ReadCloser
}

// Result is an answer, or the refusal in its place.
type Result struct {
	Answer  *Answer
	Refusal model.Refusal
	Report  model.LoadReport
	// Times is where an answered attempt's time went at the owner.
	Times wire.Times
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
	mark     func() model.DirectoryMark
	// transport is for idempotent requests, cautious for others; see cautiousIdle.
	transport atomic.Pointer[http.Transport]
	cautious  atomic.Pointer[http.Transport]
	echo      atomic.Bool
	limits    limits

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
	// Traffic is told whether the worker refused a connection or answered.
	Traffic func(refused bool)
	// Requests takes the log lines about single requests.
	Requests *zerolog.Logger
	// Refresh makes the owner's knowledge of the worker's pace fresh enough to
	// decide on an attempt; nil where the worker tells none. It may block for a few
	// milliseconds.
	Refresh func(ctx context.Context)
	// Mark tells what this node knows of the directory.
	Mark func() model.DirectoryMark
}

// NewExecutor returns an executor for one worker.
func NewExecutor(cfg ExecutorConfig) *Executor {
	x := &Executor{
		owner:    cfg.Owner,
		address:  cfg.Address,
		dialect:  cfg.Dialect,
		worker:   cfg.Worker,
		traffic:  cfg.Traffic,
		requests: cfg.Requests,
		refresh:  cfg.Refresh,
		mark:     cfg.Mark,
		waiters:  map[model.AttemptID]chan owner.Decision{},
	}
	x.renewTransports(limits{slots: initialSlots, connections: initialConnections})
	return x
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
func (x *Executor) Do(ctx context.Context, w *Work) Result {
	if x.refresh != nil {
		x.refresh(ctx)
	}
	offered := time.Now()
	refusal := x.admit(ctx, w, offered)
	if refusal != nil {
		return x.refused(w, *refusal, offered)
	}
	started := time.Now()
	if !x.owner.Confirm(started, w.Attempt.ID) {
		x.finish(w.Attempt.ID, owner.Finish{NotRun: true})
		return x.refused(w, model.Refusal{Reason: model.ReasonExpired, NotRun: true}, offered)
	}
	w.Attempt.Remaining -= started.Sub(offered)
	r := x.run(ctx, w, started)
	r.Times = wire.Times{Queued: started.Sub(offered), Worker: time.Since(started)}
	r.Report = x.report(time.Now())
	x.logEnd(w, &r)
	return r
}

// admit returns nil once the attempt may start.
func (x *Executor) admit(ctx context.Context, w *Work, now time.Time) *model.Refusal {
	id := w.Attempt.ID
	ch := x.await(id)
	if ch == nil {
		return &model.Refusal{Reason: model.ReasonDuplicateRunning}
	}
	verdict, refusal := x.owner.Offer(now, &w.Attempt, w.SameNode)
	if verdict == owner.Wait {
		return x.wait(ctx, id, ch)
	}
	x.unawait(id)
	if verdict == owner.Refuse {
		return &refusal
	}
	return nil
}

func (x *Executor) wait(ctx context.Context, id model.AttemptID, ch chan owner.Decision) *model.Refusal {
	select {
	case d := <-ch:
		return decided(d)
	case <-ctx.Done():
	}
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
	if d.Verdict == owner.Refuse {
		return &d.Refusal
	}
	return nil
}

func (x *Executor) finish(id model.AttemptID, f owner.Finish) {
	x.Deliver(x.owner.Finish(time.Now(), id, f))
}

// run sends the started attempt to the worker. Finish comes with the end of the
// answer's body, or here when there is none.
func (x *Executor) run(ctx context.Context, w *Work, started time.Time) Result {
	deadline := started.Add(w.Attempt.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	var proof upstream.Proof
	req := proof.Attach(x.request(ctx, w))
	upstream.Seal(req)
	resp, err := x.transportFor(&w.Attempt).RoundTrip(req)
	if err != nil {
		defer cancel()
		return x.failed(ctx, w, started, proof.NotRun())
	}
	x.traffic(false)
	head := x.dialect.ReadAnswer(resp, &w.Attempt)
	x.Deliver(x.owner.ObserveLoad(time.Now(), head.Load))
	if refusal, ok := x.checkHead(w, resp, head); !ok {
		proof.CloseConn()
		resp.Body.Close()
		cancel()
		x.finish(w.Attempt.ID, owner.Finish{ServiceTime: time.Since(started), Failed: true})
		return Result{Refusal: refusal}
	}
	if head.NotRun {
		defer cancel()
		defer resp.Body.Close()
		shed := head.Refusal == model.ReasonWorkerShed
		whim := shed && head.Load.HasRoom()
		x.finish(w.Attempt.ID, owner.Finish{
			ServiceTime: time.Since(started), NotRun: true, Delegate: true,
			Shed: shed && !whim, Whim: whim, Abandoned: !shed, Status: resp.StatusCode,
		})
		after := head.RetryAfter
		if whim && after == 0 {
			after = whimRetry
		}
		return Result{Refusal: model.Refusal{Reason: delegated(&w.Attempt, head.Refusal), NotRun: true, RetryAfter: after}}
	}
	body := &answerBody{ReadCloser: resp.Body, done: func(whole bool) {
		f := finishOf(resp.StatusCode, whole, time.Since(started))
		f.Abandoned = !whole && givenUp(ctx)
		f.Expired = !whole && ctx.Err() != nil && !f.Abandoned
		cancel()
		x.finish(w.Attempt.ID, f)
	}}
	answer := &Answer{Status: resp.StatusCode, Header: endToEnd(resp.Header), ContentLength: resp.ContentLength, Body: body}
	return Result{Answer: answer}
}

// delegated gives the reason of a refusal after which the owner, as the home of
// a caller's own request id, remembers that the entry goes elsewhere with it.
func delegated(a *model.Attempt, otherwise model.Reason) model.Reason {
	if a.CallerKey && !a.Idempotent && !a.Delegated {
		return model.ReasonDelegated
	}
	return otherwise
}

func finishOf(status int, whole bool, took time.Duration) owner.Finish {
	f := owner.Finish{ServiceTime: took, Failed: !whole || status >= http.StatusInternalServerError}
	if whole {
		f.Status = status
	}
	return f
}

// failed ends an attempt whose RoundTrip failed.
func (x *Executor) failed(ctx context.Context, w *Work, started time.Time, notRun bool) Result {
	gaveUp := givenUp(ctx)
	x.finish(w.Attempt.ID, owner.Finish{
		ServiceTime: time.Since(started),
		NotRun:      notRun,
		Delegate:    notRun && !gaveUp,
		Failed:      !gaveUp,
		Expired:     ctx.Err() != nil && !gaveUp,
		Abandoned:   gaveUp || notRun && ctx.Err() != nil,
	})
	if notRun && ctx.Err() == nil {
		x.traffic(true)
	}
	reason := model.ReasonWorkerBroken
	switch {
	case gaveUp:
		reason = model.ReasonCancelled
	case notRun:
		reason = delegated(&w.Attempt, model.ReasonWorkerUnreachable)
	case ctx.Err() != nil:
		reason = model.ReasonExpired
	}
	return Result{Refusal: model.Refusal{Reason: reason, NotRun: notRun}}
}

// givenUp tells an attempt that the entry gave up from one whose time ended. A
// connection's read limit ends the context as a departing entry does, at the
// deadline or a little earlier.
func givenUp(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return errors.Is(ctx.Err(), context.Canceled) && (!ok || time.Until(deadline) > giveUpMargin)
}

// giveUpMargin is how long before its deadline a context that is cancelled is
// taken to have reached it.
const giveUpMargin = 5 * time.Millisecond

// checkHead refuses crossed answers, those whose wholeness cannot be known, and a
// switch of protocols, which no request asked for (RFC 9110, section 15.2.2) and
// whose body would end with the connection only.
func (x *Executor) checkHead(w *Work, resp *http.Response, head dialect.WorkerHead) (model.Refusal, bool) {
	broken := model.Refusal{Reason: model.ReasonWorkerBroken}
	if head.Echo == dialect.EchoWrong || head.Echo == dialect.EchoAbsent && x.echo.Load() {
		return broken, false
	}
	if resp.StatusCode < http.StatusOK {
		return broken, false
	}
	if !x.dialect.EndsWithConnection() && upstream.Whole(resp, w.Method) != nil {
		return broken, false
	}
	return model.Refusal{}, true
}

// whimRetry is when a request is worth another try that a worker refused although it
// had room: another worker may take it, and so may this one. It is short beside the
// objectives of callers (600 ms and more), and long enough for a slot to change hands.
const whimRetry = 50 * time.Millisecond

// request makes the message to the worker.
func (x *Executor) request(ctx context.Context, w *Work) *http.Request {
	u := *w.URL
	u.Scheme, u.Host = "http", x.address
	req := w.request(ctx, &u)
	x.dialect.Prepare(req.Header, &w.Attempt, x.worker())
	return req
}

// answerBody tells once how the body ended: whole, cut, or given up.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	done func(whole bool)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(false)
	return err
}

func (b *answerBody) end(whole bool) { b.once.Do(func() { b.done(whole) }) }
