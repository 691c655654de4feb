package server

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// exchange is one caller's request in hand.
type exchange struct {
	caller  *CallerHandler
	w       http.ResponseWriter
	r       *http.Request
	target  bundle.Target
	request entry.Request
	body    *requestBody
	began   time.Time
}

// serve carries the call out and answers the caller.
func (x *exchange) serve() {
	if x.barred() {
		return
	}
	call := x.caller.Engine.Begin(x.began, x.request)
	ctx, release := x.caller.StopBound.bound(x.r.Context())
	defer release()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	first := &carrier{exchange: x, call: call}
	step := first.carry(ctx)
	winner, step := first.decide(step)
	x.end(winner, step, first.sent())
}

// barred refuses a request that is put aside without the way to an owner. What its caller
// keyed goes to the home of its id, which alone knows of earlier sendings, and what streams
// is known only in part here.
func (x *exchange) barred() bool {
	q := x.caller.Quarantine
	keyed := x.request.CallerKey && !x.request.Idempotent
	if q == nil || q.Empty() || keyed || x.body.stream != nil {
		return false
	}
	host := x.caller.Board.Bundles.Get().RouteHost(x.r.Host, x.r.Method, x.r.URL.Path)
	content := model.NewFingerprint(x.r.Method, host, x.r.URL, x.request.Tenant, x.body.length, x.body.held)
	after, barred := q.Blocked(x.began, content)
	if !barred {
		return false
	}
	notePutAside(x.caller.RequestLog, x.request.ID, content, after)
	x.end(&carrier{exchange: x}, entry.Step{
		Kind: entry.StepEnd, Outcome: model.OutcomeNotRun, Reason: model.ReasonQuarantined, RetryAfter: after,
	}, 0)
	return true
}

// end tells the caller and measures. The request's home is told first, so that a
// caller who comes back at once finds the id free.
func (x *exchange) end(c *carrier, step entry.Step, attempts int) {
	if step.Notify != nil {
		x.caller.Resolver.Notify(step.To, *step.Notify)
	}
	if c.cutBeforeBegun(step) {
		c.drop()
		step.Outcome, step.Reason = model.OutcomeUnknown, model.ReasonExpired
	}
	if x.caller.LimitRetryAfter != nil {
		step.RetryAfter = x.caller.LimitRetryAfter(step.RetryAfter)
	}
	outcome := step.Outcome
	status := statusOf(step)
	defer func() { x.record(c, outcome, step.Reason, status, attempts) }()
	end := dialect.Result{
		Outcome: step.Outcome, Reason: step.Reason, RetryAfter: step.RetryAfter,
		Upstream: c.upstream, Bundle: x.target.Bundle.VersionID(),
	}
	if step.Outcome != model.OutcomeAnswered || c.held == nil {
		x.caller.endWith(x.w, x.r, status, end)
		return
	}
	status = c.held.answer.Status
	if err := x.answer(c.held, end); err != nil {
		c.call.Interrupted(time.Now(), true)
		outcome = model.OutcomeUnknown
		panic(http.ErrAbortHandler)
	}
}

// answer sends the answer on; an error means that the caller sees it broken off.
func (x *exchange) answer(held *heldAnswer, end dialect.Result) error {
	a := held.answer
	defer a.Body.Close()
	x.limitAnswer(held)
	h := x.w.Header()
	copyInto(h, a.Header)
	x.caller.Dialect.AnnotateResponse(h, end)
	length := a.ContentLength
	if held.whole && x.r.Method != http.MethodHead {
		length = int64(len(held.start))
	}
	setLength(h, a.Status, length)
	x.w.WriteHeader(a.Status)
	if held.whole {
		_, err := x.w.Write(held.start)
		return err
	}
	return copyFlushing(x.w, io.MultiReader(bytes.NewReader(held.start), a.Body))
}

// cutBeforeBegun tells whether the time is over for an answer that streams and of
// which the caller has had nothing yet. Its rest can no longer come, and the caller is
// better told so than by a connection that closes without a word.
func (c *carrier) cutBeforeBegun(step entry.Step) bool {
	return step.Outcome == model.OutcomeAnswered && c.held != nil && !c.held.whole &&
		!time.Now().Before(c.call.Deadline())
}

// headWriteTimeout is the least time for writing the beginning of an answer that
// streams, so that a deadline which passes meanwhile does not close the connection on a
// caller who has read nothing. It is long beside a write into an empty socket buffer,
// and a tenth of a second is all that a caller who does not read holds the slot longer.
const headWriteTimeout = 100 * time.Millisecond

// heldWriteTimeout bounds the writing of an answer that is held whole, and so
// takes nobody's slot.
const heldWriteTimeout = 10 * time.Second

// limitAnswer bounds the writing of the answer: one that streams holds the
// worker's slot and ends with the call's deadline.
func (x *exchange) limitAnswer(held *heldAnswer) {
	if held.whole {
		limitWriting(x.w, time.Now().Add(heldWriteTimeout))
		return
	}
	deadline := x.began.Add(x.request.Timeout)
	least := time.Now().Add(headWriteTimeout)
	if deadline.Before(least) {
		deadline = least
	}
	limitWriting(x.w, deadline)
}

func (x *exchange) record(c *carrier, o model.Outcome, reason model.Reason, status, attempts int) {
	latency := time.Since(x.began)
	x.caller.Recorder.Call(CallRecord{
		Service:  x.target.Service.Name,
		Class:    x.target.Class.Name,
		Tenant:   x.request.Tenant,
		Outcome:  o,
		Reason:   reason,
		Latency:  latency,
		Attempts: attempts,
		Added:    c.added,
		Queued:   c.queued,
	})
	event.Log(x.caller.RequestLog, event.CallEnded).
		Str("request", string(x.request.ID)).Str("class", string(x.target.Class.Name)).
		Str("service", string(x.target.Service.Name)).Str("caller", string(x.request.Caller)).Str("from", x.r.RemoteAddr).
		Str("outcome", o.String()).Str("reason", reason.String()).Int("status", int64(status)).
		Int("latency_ms", latency.Milliseconds()).Int("timeout_ms", x.request.Timeout.Milliseconds()).
		Int("attempts", int64(attempts)).Str("upstream", string(c.upstream)).
		Int("queued_ms", c.queued.Milliseconds()).Int("worker_ms", c.worker.Milliseconds()).
		Str("bundle", x.target.Bundle.VersionID().String()).Send()
}

// outgoingHeader returns the caller's end-to-end headers and whence they came.
func (x *exchange) outgoingHeader() http.Header {
	h := endToEnd(x.r.Header)
	x.caller.Dialect.PrepareForward(h, x.r.RemoteAddr)
	return h
}
