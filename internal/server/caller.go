package server

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// maxBufferedResponse is the number of bytes of a response that an entry node buffers
// until it is known to be complete; longer responses are streamed.
const maxBufferedResponse = 64 << 10

// Recorder takes measurements of calls; metrics.Metrics implements it.
type Recorder interface {
	// Call is called once for each call, after the response to the caller.
	Call(c CallRecord)
}

// CallRecord holds the measurements of one call.
type CallRecord struct {
	Service  model.ServiceName
	Class    model.ClassName
	Tenant   model.TenantName
	Outcome  model.Outcome
	Reason   model.Reason
	Latency  time.Duration
	Attempts int
	// Added is the time until the response header arrived, less the time in the owner's
	// queue and at the worker; zero without a response.
	Added time.Duration
	// Queued is the time in the owner's queue.
	Queued time.Duration
	// Parent tells whether a worker made the call for a run that is known.
	Parent ParentKind
	// NotAdmitted reports that the entry refused the call by the outcomes of its class.
	NotAdmitted bool
	// Relocations counts the owners that gave the request up after they had queued it.
	Relocations int
}

// OutcomeResolver exchanges messages about attempts with owners over control links.
type OutcomeResolver interface {
	// Resolve asks the owner at to for the state of an attempt and fences it if it has
	// not started. It returns an error if there is no reply before ctx ends.
	Resolve(ctx context.Context, to model.Instance, s wire.Resolve) (wire.ResolveReply, error)
	// Notify reports to the home node of a request how it ended. If the outcome is "not
	// run", it waits for a short bounded time until the message has been sent.
	Notify(to model.Instance, r wire.KeyResult)
}

// CallerHandler serves the caller port: it executes the steps of an entry.Call.
type CallerHandler struct {
	Self      model.InstanceID
	Board     *blackboard.Board
	Engine    *entry.Engine
	Table     *route.Table
	Executor  *Executor
	Forwarder *Forwarder
	Resolver  OutcomeResolver
	Recorder  Recorder
	// RequestLog takes the log lines about single requests.
	RequestLog *zerolog.Logger
	// BundleReported is called with the bundle version of each owner's report; it must
	// not block.
	BundleReported func(from model.InstanceID, v model.BundleVersion)
	// FreshnessReported is called with the directory freshness of each owner's report; it
	// must not block.
	FreshnessReported func(from model.InstanceID, m model.DirectoryFreshness)
	// DirectoryFreshness returns the freshness of this node's view of the directory.
	DirectoryFreshness func() model.DirectoryFreshness
	// AttemptUnanswered is called for each owner that did not reply to an attempt. reason
	// is why the attempt is known not to have run, or ReasonNone. It must not block.
	AttemptUnanswered func(owner model.Instance, reason model.Reason)
	// UnreachableSignal notifies attempts that their owner has become unreachable.
	UnreachableSignal *UnreachableSignal
	// LimitRetryAfter shortens a Retry-After while this node is stopping, so that the
	// retry arrives before the port closes; nil leaves it unchanged.
	LimitRetryAfter func(after time.Duration) time.Duration
	// Leaving reports whether callers are asked to close their connections (Connection:
	// close).
	Leaving func() bool
	// Quarantine holds the requests that must not reach a worker.
	Quarantine *quarantine.Quarantine
	// StopBound ends calls before a planned stop does.
	StopBound *StopBound
	// Dialect defines the callers' headers.
	Dialect dialect.Callers
	// Service is the service of the worker beside this entry node.
	Service model.ServiceName
	// BodyMemory holds the large bodies whose callers do not announce their length.
	BodyMemory *BodyMemory
}

// ServeHTTP implements http.Handler.
func (c *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	defer c.StopBound.trackCall()()
	if c.Leaving() {
		w.Header().Set("Connection", "close")
	}
	set := c.Board.Bundles.Get()
	target, ok := set.MatchHost(r.Host, r.Method, r.URL.Path, rand.Uint64())
	if !ok || r.Method == http.MethodConnect {
		c.refuseUnrouted(w, r)
		return
	}
	if limit := target.Bundle.Callers.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		c.refuseEarly(w, r, http.StatusRequestHeaderFieldsTooLarge, dialect.Result{
			Outcome: model.OutcomeNotRun, Reason: model.ReasonBadRequest, Bundle: target.Bundle.VersionID(),
		})
		return
	}
	end := dialect.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonBadRequest, Bundle: target.Bundle.VersionID()}
	headers, err := c.Dialect.ReadRequest(r.Header)
	if err != nil {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		c.refuseEarly(w, r, http.StatusBadRequest, end)
		_, _ = io.WriteString(w, err.Error()+"\n")
		return
	}
	request := c.entryRequest(headers, target)
	call := c.beginWorkerCall(began, headers, target)
	defer call.end(false)
	call.inherit(&request, began)
	setReadDeadline(w, r, began.Add(request.Timeout))
	body, release, err := c.readBody(r, target)
	defer release()
	if err != nil {
		call.end(true)
		c.refuseBody(w, r, err, end)
		return
	}
	request.BodyBytes = reservedLength(target, body)
	request.Streamed = body.stream != nil
	x := &exchange{caller: c, w: w, r: r, target: target, body: body, began: began, request: request, workerCall: call}
	x.serve()
}

// headerBytes returns the size of a request's header as received, except for optional
// white space.
func headerBytes(r *http.Request) int {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// notReadyRetry is the Retry-After for callers that arrive before this node is ready.
const notReadyRetry = time.Second

// refuseUnrouted refuses a request that matches no route of this node. A node that is not
// ready yet cannot know that there is no route, nor that an earlier submission with the
// caller's own id was not run.
func (c *CallerHandler) refuseUnrouted(w http.ResponseWriter, r *http.Request) {
	if ready := c.Board.Readiness.Get(); ready != nil && ready.Ready {
		c.refuseEarly(w, r, http.StatusNotFound, dialect.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonNoRoute})
		return
	}
	end := dialect.Result{Outcome: model.OutcomeNotRun, Reason: model.ReasonNotReady, RetryAfter: notReadyRetry}
	if r.Header.Get(wire.HeaderIdempotencyKey) != "" {
		end.Outcome = model.OutcomeUnknown
	}
	c.refuseEarly(w, r, http.StatusServiceUnavailable, end)
}

// readBody buffers the request's body or leaves it to be streamed. One that needs a reservation
// is received whole if its length is not known. release must be called when the request has
// ended.
func (c *CallerHandler) readBody(r *http.Request, t bundle.Target) (body *requestBody, release func(), err error) {
	release = func() {}
	body, err = bufferBody(r, t.Service.BodyLimitBytes)
	if err != nil || body.length != unknownLength || !t.LargeBodies {
		return body, release, err
	}
	return c.BodyMemory.receive(body)
}

func (c *CallerHandler) refuseBody(w http.ResponseWriter, r *http.Request, err error, end dialect.Result) {
	switch {
	case errors.Is(err, errBodyTooLarge):
		w.Header().Set("Connection", "close")
		end.Reason = model.ReasonBodyTooLarge
		c.refuseEarly(w, r, http.StatusRequestEntityTooLarge, end)
	case errors.Is(err, errBodyMemory):
		w.Header().Set("Connection", "close")
		end.Reason, end.RetryAfter = model.ReasonOverloaded, bodyMemoryRetry
		c.refuseEarly(w, r, http.StatusServiceUnavailable, end)
	default:
		c.refuseEarly(w, r, http.StatusBadRequest, end)
	}
}

// entryRequest applies the bundle's limits to the caller's headers.
func (c *CallerHandler) entryRequest(h wire.CallerHeaders, t bundle.Target) entry.Request {
	req := entry.Request{
		ID:          h.Request,
		CallerKey:   h.Request != "" && !h.OneSubmission,
		Caller:      c.Service,
		Target:      t,
		Tenant:      model.OtherTenant,
		Idempotent:  t.Idempotent && !h.NotIdempotent,
		Timeout:     t.Class.Deadline(),
		RetryBudget: t.Bundle.Retry.PerPath,
		Replayable:  true,
		Regions:     t.Regions,
	}
	if req.ID == "" {
		req.ID = c.newRequestID()
	}
	if tenant := t.Bundle.Tenant(h.Tenant); tenant != nil {
		req.Tenant = h.Tenant
		req.Regions = req.Regions.Intersect(model.NewRegions(tenant.Regions))
	}
	if h.Timeout > 0 {
		req.RequestedTimeout = h.Timeout
		req.Timeout = min(h.Timeout, t.Class.MaxDeadline())
	}
	req.Timeout = c.StopBound.limit(time.Now(), req.Timeout)
	if h.HasRetryBudget {
		req.RetryBudget = min(req.RetryBudget, h.RetryBudget)
	}
	return req
}

// newRequestID returns an id for a request without one. Its two random 64-bit numbers make
// it unique.
func (c *CallerHandler) newRequestID() model.RequestID {
	return model.RequestID(string(c.Self) + "." + strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
}

// setLength sets Content-Length if the length is known and the status allows one (RFC
// 9110, section 8.6).
func setLength(h http.Header, status int, length int64) {
	if status == http.StatusNoContent || status == http.StatusNotModified {
		return
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}

// statusOf returns the HTTP status of an outcome without a response.
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

// writeEnd sends the caller an outcome without a response.
func (c *CallerHandler) writeEnd(w http.ResponseWriter, r *http.Request, status int, e dialect.Result) {
	c.Dialect.WriteFailure(w.Header(), r.Header, e)
	w.WriteHeader(status)
}

// refusedBodyTimeout bounds the reading of a refused request's body, which net/http reads
// before it sends the refusal. A caller that sends the body has it on its way; one that
// does not would hold its connection, and a planned stop, indefinitely.
const refusedBodyTimeout = 500 * time.Millisecond

// refuseEarly refuses a request that was never placed.
func (c *CallerHandler) refuseEarly(w http.ResponseWriter, r *http.Request, status int, e dialect.Result) {
	setReadDeadline(w, r, time.Now().Add(refusedBodyTimeout))
	c.writeEnd(w, r, status, e)
	// An unreadable header yields no request id.
	headers, _ := c.Dialect.ReadRequest(r.Header)
	event.Log(c.RequestLog, event.CallRefusedEarly).
		Str("request", string(headers.Request)).Str("host", r.Host).Str("path", r.URL.Path).
		Str("reason", e.Reason.String()).Int("status", int64(status)).
		Str("bundle", e.Bundle.String()).Send()
}
