package server

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// holdAnswerBytes bounds the answer that an entry holds until it is known to be
// whole; longer ones stream.
const holdAnswerBytes = 64 << 10

// Recorder takes measurements of calls; metrics.Metrics is one.
type Recorder interface {
	// Call is told once per call, when the caller has been answered.
	Call(c CallRecord)
}

// CallRecord measures one call.
type CallRecord struct {
	Service  model.ServiceName
	Class    model.ClassName
	Tenant   model.TenantName
	Outcome  model.Outcome
	Reason   model.Reason
	Latency  time.Duration
	Attempts int
	// Added is the time to the answer's head less the time in the owner's queue
	// and at the worker; zero when there was no answer.
	Added time.Duration
	// Queued is the time in the owner's queue.
	Queued time.Duration
}

// Settler asks owners about attempts, over control links.
type Settler interface {
	// Settle asks the owner to; it returns an error when there is no answer by
	// ctx's end.
	Settle(ctx context.Context, to model.Instance, s wire.Settle) (wire.SettleReply, error)
	// Notify tells a request's home how it ended. It waits until the message is
	// on its way when that says "not run", for a short bounded time.
	Notify(to model.Instance, r wire.KeyResult)
}

// Caller serves callers: it carries out the steps of an entry.Call.
type Caller struct {
	Self      model.InstanceID
	Board     *blackboard.Board
	Engine    *entry.Engine
	Table     *route.Table
	Executor  *Executor
	Forwarder *Forwarder
	Settler   Settler
	Recorder  Recorder
	Log       *zerolog.Logger
	// Seen is told the bundle versions that owners report; it does not block.
	Seen func(from model.InstanceID, v model.BundleVersion)
	// Unreached is told of each owner that no connection could be had to; it does
	// not block.
	Unreached func(id model.InstanceID)
	// Leaving tells whether callers are to be sent away (Connection: close).
	Leaving func() bool
}

// ServeHTTP implements http.Handler.
func (c *Caller) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	if c.Leaving() {
		w.Header().Set("Connection", "close")
	}
	set := c.Board.Bundles.Get()
	target, ok := set.Match(r.Method, r.URL.Path)
	if !ok || r.Method == http.MethodConnect {
		c.refuseUnrouted(w, r)
		return
	}
	w.Header().Set(wire.HeaderBundle, target.Bundle.VersionID().String())
	headers, err := wire.ParseCallerHeaders(r.Header)
	if err != nil {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		endWith(w, http.StatusBadRequest, model.OutcomeNotRun, model.ReasonBadRequest, 0)
		_, _ = io.WriteString(w, err.Error()+"\n")
		return
	}
	request := c.entryRequest(headers, target)
	limitReading(w, began.Add(request.Timeout))
	body, err := takeBody(r, target.Service.BodyLimitBytes)
	if err != nil {
		c.refuseBody(w, err)
		return
	}
	x := &exchange{caller: c, w: w, r: r, target: target, body: body, began: began, request: request}
	x.serve()
}

// notReadyRetry is the advice to a caller who came before this node was ready.
const notReadyRetry = time.Second

// refuseUnrouted refuses a request that no route of this node matches. A node
// that is not ready yet knows too little to say that there is none, nor that an
// earlier sending of the caller's own id was not run.
func (c *Caller) refuseUnrouted(w http.ResponseWriter, r *http.Request) {
	if ready := c.Board.Readiness.Get(); ready != nil && ready.Ready {
		endWith(w, http.StatusNotFound, model.OutcomeNotRun, model.ReasonNoRoute, 0)
		return
	}
	outcome := model.OutcomeNotRun
	if r.Header.Get(wire.HeaderIdempotencyKey) != "" {
		outcome = model.OutcomeUnknown
	}
	endWith(w, http.StatusServiceUnavailable, outcome, model.ReasonNotReady, notReadyRetry)
}

func (c *Caller) refuseBody(w http.ResponseWriter, err error) {
	if errors.Is(err, errBodyTooLarge) {
		w.Header().Set("Connection", "close")
		endWith(w, http.StatusRequestEntityTooLarge, model.OutcomeNotRun, model.ReasonBodyTooLarge, 0)
		return
	}
	endWith(w, http.StatusBadRequest, model.OutcomeNotRun, model.ReasonBadRequest, 0)
}

// entryRequest applies the bundle's bounds to what the caller asked for.
func (c *Caller) entryRequest(h wire.CallerHeaders, t bundle.Target) entry.Request {
	req := entry.Request{
		ID:          h.Request,
		CallerKey:   h.Request != "",
		Target:      t,
		Tenant:      model.OtherTenant,
		Idempotent:  t.Idempotent && !h.NotIdempotent,
		Timeout:     t.Class.Deadline(),
		RetryBudget: t.Bundle.Retry.PerPath,
		Replayable:  true,
	}
	if !req.CallerKey {
		req.ID = c.newRequestID()
	}
	if t.Bundle.Tenant(h.Tenant) != nil {
		req.Tenant = h.Tenant
	}
	if h.Timeout > 0 {
		req.Timeout = min(h.Timeout, t.Class.MaxDeadline())
	}
	if h.HasRetryBudget {
		req.RetryBudget = min(req.RetryBudget, h.RetryBudget)
	}
	return req
}

// newRequestID makes an id for a request whose caller named none. Chance alone
// keeps it unique: 122 bits.
func (c *Caller) newRequestID() model.RequestID {
	return model.RequestID(string(c.Self) + "." + strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
}

// exchange is one caller's request in hand.
type exchange struct {
	caller  *Caller
	w       http.ResponseWriter
	r       *http.Request
	target  bundle.Target
	request entry.Request
	body    *requestBody
	began   time.Time

	call     *entry.Call
	attempts int
	added    time.Duration
	queued   time.Duration
	held     *heldAnswer
	upstream model.InstanceID
}

// heldAnswer is the last answer's beginning, and the rest when it streams.
type heldAnswer struct {
	answer *Answer
	start  []byte
	whole  bool
}

func (x *exchange) serve() {
	x.call = x.caller.Engine.Begin(x.began, x.request)
	ctx, cancel := context.WithDeadline(x.r.Context(), x.call.Deadline())
	defer cancel()
	for {
		step := x.call.Next(time.Now())
		switch step.Kind {
		case entry.StepSend:
			x.send(ctx, step)
		case entry.StepSettle:
			x.settle(ctx, step)
		case entry.StepWait:
			x.wait(ctx, step)
		case entry.StepEnd:
			x.end(step)
			return
		}
	}
}

func (x *exchange) wait(ctx context.Context, step entry.Step) {
	timer := time.NewTimer(time.Until(step.Until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		x.noteCallerGone()
	}
}

func (x *exchange) noteCallerGone() {
	if x.r.Context().Err() != nil {
		x.call.CallerGone(time.Now())
	}
}

func (x *exchange) settle(ctx context.Context, step entry.Step) {
	ctx, cancel := context.WithDeadline(ctx, step.Until)
	defer cancel()
	s := wire.Settle{
		Attempt:          step.Attempt.ID,
		OwnerIncarnation: step.Attempt.OwnerIncarnation,
		Request:          step.Attempt.Request,
		Remaining:        time.Until(x.call.Deadline()),
	}
	reply, err := x.caller.Settler.Settle(ctx, step.To, s)
	if err != nil {
		x.call.SettleFailed(time.Now())
		x.noteCallerGone()
		return
	}
	x.caller.Table.Observe(time.Now(), reply.Report)
	x.call.Settled(time.Now(), reply)
}

// send carries one attempt out and reports how it ended.
func (x *exchange) send(ctx context.Context, step entry.Step) {
	x.attempts++
	x.upstream = step.To.ID
	x.drop()
	result, heard, err := x.attempt(ctx, step)
	now := time.Now()
	if heard {
		x.caller.Table.Observe(now, result.Report)
		x.caller.Seen(step.To.ID, result.Report.Bundle)
		x.call.Report(now, result.Report)
	}
	if !heard && result.Refusal.Reason == model.ReasonWorkerUnreachable {
		x.caller.Unreached(step.To.ID)
	}
	if x.body.stream != nil {
		x.call.SetReplayable(!x.body.touched.Load())
	}
	switch {
	case err != nil:
		x.call.Broken(now, false)
		x.noteCallerGone()
	case result.Answer == nil:
		x.call.Refused(now, result.Refusal)
	default:
		x.take(now, result)
	}
}

func (x *exchange) attempt(ctx context.Context, step entry.Step) (Result, bool, error) {
	work := &Work{
		Attempt:       step.Attempt,
		Method:        x.r.Method,
		URL:           x.r.URL,
		Host:          x.r.Host,
		Header:        x.outgoingHeader(),
		Body:          x.body.open(),
		ContentLength: x.body.length,
	}
	if step.To.ID == x.caller.Self {
		work.SameNode = true
		return x.caller.Executor.Do(ctx, work), true, nil
	}
	return x.caller.Forwarder.Do(ctx, step.To.PeerAddress, work)
}

// outgoingHeader returns the caller's end-to-end headers and whence they came.
func (x *exchange) outgoingHeader() http.Header {
	h := endToEnd(x.r.Header)
	delete(h, wire.HeaderIdempotencyKey)
	if host, _, err := net.SplitHostPort(x.r.RemoteAddr); err == nil {
		h = h.Clone()
		h.Add("X-Forwarded-For", host)
	}
	return h
}

// take holds the answer's beginning, so that a short one is known to be whole
// before the caller hears of it.
func (x *exchange) take(now time.Time, result Result) {
	x.queued = result.Times.Queued
	x.added = now.Sub(x.began) - result.Times.Queued - result.Times.Worker
	a := result.Answer
	start, err := io.ReadAll(io.LimitReader(a.Body, holdAnswerBytes))
	if err != nil {
		a.Body.Close()
		x.call.Broken(time.Now(), false)
		x.noteCallerGone()
		return
	}
	whole := len(start) < holdAnswerBytes
	if whole {
		a.Body.Close()
	}
	x.held = &heldAnswer{answer: a, start: start, whole: whole}
	x.call.Held(result.Times)
	x.call.Answered(time.Now(), a.Status >= http.StatusInternalServerError)
}

// drop lets go of an answer that is not passed on.
func (x *exchange) drop() {
	if x.held != nil {
		x.held.answer.Body.Close()
		x.held = nil
	}
}

// end tells the caller and measures. The request's home is told first, so that a
// caller who comes back at once finds the id free.
func (x *exchange) end(step entry.Step) {
	if step.Notify != nil {
		x.caller.Settler.Notify(step.To, *step.Notify)
	}
	defer x.record(step)
	if x.upstream != "" {
		x.w.Header().Set(wire.HeaderUpstream, string(x.upstream))
	}
	if step.Outcome == model.OutcomeAnswered && x.held != nil {
		x.answer()
		return
	}
	endWith(x.w, statusOf(step), step.Outcome, step.Reason, step.RetryAfter)
}

func (x *exchange) answer() {
	a := x.held.answer
	defer a.Body.Close()
	x.limitAnswer()
	h := x.w.Header()
	copyInto(h, a.Header)
	h.Set(wire.HeaderOutcome, model.OutcomeAnswered.String())
	h.Add("Via", via)
	length := a.ContentLength
	if x.held.whole && x.r.Method != http.MethodHead {
		length = int64(len(x.held.start))
	}
	setLength(h, a.Status, length)
	x.w.WriteHeader(a.Status)
	rest := io.Reader(bytes.NewReader(x.held.start))
	if !x.held.whole {
		rest = io.MultiReader(rest, a.Body)
	}
	if err := copyFlushing(x.w, rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// heldWriteTimeout bounds the writing of an answer that is held whole, and so
// takes nobody's slot.
const heldWriteTimeout = 10 * time.Second

// limitAnswer bounds the writing of the answer: one that streams holds the
// worker's slot and ends with the call's deadline.
func (x *exchange) limitAnswer() {
	if x.held.whole {
		limitWriting(x.w, time.Now().Add(heldWriteTimeout))
		return
	}
	limitWriting(x.w, x.call.Deadline())
}

func (x *exchange) record(step entry.Step) {
	x.caller.Recorder.Call(CallRecord{
		Service:  x.target.Service.Name,
		Class:    x.target.Class.Name,
		Tenant:   x.request.Tenant,
		Outcome:  step.Outcome,
		Reason:   step.Reason,
		Latency:  time.Since(x.began),
		Attempts: x.attempts,
		Added:    x.added,
		Queued:   x.queued,
	})
}

// setLength sets Content-Length where the length is known and the status has one
// (RFC 9110, section 8.6).
func setLength(h http.Header, status int, length int64) {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// statusOf gives the HTTP status of an outcome without an answer.
func statusOf(step entry.Step) int {
	switch {
	case step.Outcome == model.OutcomeNotRun && step.Reason == model.ReasonTenantLimit:
		return http.StatusTooManyRequests
	case step.Outcome == model.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case step.Reason == model.ReasonExpired:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// endWith tells the caller an outcome without an answer.
func endWith(w http.ResponseWriter, status int, o model.Outcome, reason model.Reason, after time.Duration) {
	h := w.Header()
	h.Set(wire.HeaderOutcome, o.String())
	h.Set(wire.HeaderReason, reason.String())
	if after > 0 {
		h.Set(wire.HeaderRetryAfter, wire.FormatRetryAfter(after))
	}
	w.WriteHeader(status)
}
