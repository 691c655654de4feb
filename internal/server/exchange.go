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

// exchange is one caller's request in flight.
type exchange struct {
	caller  *CallerHandler
	w       http.ResponseWriter
	r       *http.Request
	target  bundle.Target
	request entry.Request
	body    *requestBody
	began   time.Time
	// workerCall is the call that this request is for a run of the own worker.
	workerCall workerCall
}

// serve runs the call and sends the response to the caller.
func (x *exchange) serve() {
	if x.refuseQuarantined() {
		return
	}
	call := x.caller.Engine.Begin(x.began, x.request)
	x.logAdmission(call.Admission())
	ctx, release := x.caller.StopBound.withContext(x.r.Context())
	defer release()
	ctx, cancel := context.WithDeadline(ctx, call.Deadline())
	defer cancel()
	first := &callRunner{exchange: x, call: call}
	step := first.run(ctx)
	winner, step := first.pickWinner(step)
	x.finish(winner, step, first.totalAttempts())
}

// refuseQuarantined refuses a quarantined request without asking an owner. A request with
// a caller's key goes to its home node, which alone knows earlier submissions, and of a
// streamed body this node knows only a part.
func (x *exchange) refuseQuarantined() bool {
	q := x.caller.Quarantine
	keyed := x.request.CallerKey && !x.request.Idempotent
	if q == nil || q.Empty() || keyed || x.body.stream != nil {
		return false
	}
	host := x.caller.Board.Bundles.Get().RouteHost(x.r.Host, x.r.Method, x.r.URL.Path)
	fingerprint := model.NewFingerprint(x.r.Method, host, x.r.URL, x.request.Tenant, x.body.length, x.body.buffered)
	after, blocked := q.Blocked(x.began, fingerprint)
	if !blocked {
		return false
	}
	logQuarantined(x.caller.RequestLog, x.request.ID, fingerprint, after)
	x.finish(&callRunner{exchange: x}, entry.Step{
		Kind: entry.StepEnd, Outcome: model.OutcomeNotRun, Reason: model.ReasonQuarantined, RetryAfter: after,
	}, 0)
	return true
}

// finish sends the outcome to the caller and records the call. The request's home node is
// notified first, so that a caller that retries at once finds the id free.
func (x *exchange) finish(c *callRunner, step entry.Step, attempts int) {
	if step.Notify != nil {
		x.caller.Resolver.Notify(step.To, *step.Notify)
	}
	if c.expiredBeforeStart(step) {
		c.dropResponse()
		step.Outcome, step.Reason = model.OutcomeUnknown, model.ReasonExpired
	}
	x.workerCall.end(servesCall(step))
	if x.caller.LimitRetryAfter != nil {
		step.RetryAfter = x.caller.LimitRetryAfter(step.RetryAfter)
	}
	status := statusOf(step)
	if step.Outcome != model.OutcomeAnswered && x.body != nil && x.body.exceeded.Load() {
		x.w.Header().Set("Connection", "close")
		step.Reason, status = model.ReasonBodyTooLarge, http.StatusRequestEntityTooLarge
	}
	outcome := step.Outcome
	defer func() { x.record(c, outcome, step.Reason, status, attempts) }()
	end := dialect.Result{
		Outcome: step.Outcome, Reason: step.Reason, RetryAfter: step.RetryAfter,
		Upstream: c.upstream, Bundle: x.target.Bundle.VersionID(),
	}
	if step.Outcome != model.OutcomeAnswered || c.buffered == nil {
		x.caller.writeEnd(x.w, x.r, status, end)
		return
	}
	status = c.buffered.response.Status
	if err := x.writeResponse(c.buffered, end); err != nil {
		c.call.Interrupted(time.Now(), true)
		outcome = model.OutcomeUnknown
		abortResponse(x.w, x.r)
	}
}

// writeResponse passes the response on. An error means that the caller sees it cut off.
func (x *exchange) writeResponse(buffered *bufferedResponse, end dialect.Result) error {
	resp := buffered.response
	defer resp.Body.Close()
	x.setResponseDeadline(buffered)
	h := x.w.Header()
	copyInto(h, resp.Header)
	x.caller.Dialect.AnnotateResponse(h, end)
	length := resp.ContentLength
	if buffered.complete && x.r.Method != http.MethodHead {
		length = int64(len(buffered.prefix))
	}
	setLength(h, resp.Status, length)
	x.w.WriteHeader(resp.Status)
	if buffered.complete {
		_, err := x.w.Write(buffered.prefix)
		return err
	}
	return copyFlushing(x.w, io.MultiReader(bytes.NewReader(buffered.prefix), resp.Body))
}

// expiredBeforeStart reports whether the deadline has passed for a streamed response of
// which the caller has received nothing yet. Its rest can no longer arrive, and an
// explicit outcome serves the caller better than a closed connection.
func (c *callRunner) expiredBeforeStart(step entry.Step) bool {
	return step.Outcome == model.OutcomeAnswered && c.buffered != nil && !c.buffered.complete &&
		!time.Now().Before(c.call.Deadline())
}

// minStreamWriteTime is the minimum time for writing the beginning of a streamed
// response, so that a deadline that passes meanwhile does not close the connection of a
// caller that has read nothing. It is long compared to a write into an empty socket
// buffer, and a caller that does not read holds the slot for at most this much longer.
const minStreamWriteTime = 100 * time.Millisecond

// bufferedWriteTimeout bounds the writing of a completely buffered response, which holds
// no slot.
const bufferedWriteTimeout = 10 * time.Second

// setResponseDeadline bounds the writing of the response. A streamed response holds the
// worker's slot, so it ends with the call's deadline.
func (x *exchange) setResponseDeadline(buffered *bufferedResponse) {
	if buffered.complete {
		setWriteDeadline(x.w, time.Now().Add(bufferedWriteTimeout))
		return
	}
	deadline := x.began.Add(x.request.Timeout)
	earliest := time.Now().Add(minStreamWriteTime)
	if deadline.Before(earliest) {
		deadline = earliest
	}
	setWriteDeadline(x.w, deadline)
}

func (x *exchange) record(c *callRunner, o model.Outcome, reason model.Reason, status, attempts int) {
	latency := time.Since(x.began)
	measured := CallRecord{
		Service:  x.target.Service.Name,
		Class:    x.target.Class.Name,
		Tenant:   x.request.Tenant,
		Outcome:  o,
		Reason:   reason,
		Latency:  latency,
		Attempts: attempts,
		Added:    c.added,
		Queued:   c.queued,
		Parent:   x.workerCall.kind,
	}
	// A quarantined request is refused without a call.
	if c.call != nil {
		measured.NotAdmitted = c.call.Admission().Refused
		measured.Relocations = c.call.Relocations()
	}
	x.caller.Recorder.Call(measured)
	line := event.Log(x.caller.RequestLog, event.CallEnded).
		Str("request", string(x.request.ID)).Str("class", string(x.target.Class.Name)).
		Str("service", string(x.target.Service.Name)).Str("caller", string(x.request.Caller)).Str("from", x.r.RemoteAddr).
		Str("outcome", o.String()).Str("reason", reason.String()).Int("status", int64(status)).
		Int("latency_ms", latency.Milliseconds()).Int("timeout_ms", x.request.Timeout.Milliseconds()).
		Int("attempts", int64(attempts)).Str("upstream", string(c.upstream)).
		Int("queued_ms", c.queued.Milliseconds()).Int("worker_ms", c.worker.Milliseconds()).
		Str("bundle", x.target.Bundle.VersionID().String())
	x.workerCall.log(line)
	line.Send()
}

// outgoingHeader returns the caller's end-to-end headers, with the caller's address added
// by the dialect.
func (x *exchange) outgoingHeader() http.Header {
	h := endToEnd(x.r.Header)
	x.caller.Dialect.PrepareForward(h, x.r.RemoteAddr)
	return h
}
