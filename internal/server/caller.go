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

// Resolver asks owners about attempts, over control links.
type OutcomeResolver interface {
	// Resolve asks the owner to; it returns an error when there is no answer by
	// ctx's end.
	Resolve(ctx context.Context, to model.Instance, s wire.Resolve) (wire.ResolveReply, error)
	// Notify tells a request's home how it ended. It waits until the message is
	// on its way when that says "not run", for a short bounded time.
	Notify(to model.Instance, r wire.KeyResult)
}

// CallerHandler serves callers: it carries out the steps of an entry.Call.
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
	// BundleReported is told the bundle versions that owners report; it does not block.
	BundleReported func(from model.InstanceID, v model.BundleVersion)
	// FreshnessReported is told the directory marks of owners; it does not block.
	FreshnessReported func(from model.InstanceID, m model.DirectoryFreshness)
	// DirectoryFreshness tells what this node knows of the directory.
	DirectoryFreshness func() model.DirectoryFreshness
	// AttemptUnanswered is told of each owner that gave an attempt no answer, and why the
	// attempt is proved not to have run, ReasonNone where it is not; it does not block.
	AttemptUnanswered func(in model.Instance, reason model.Reason)
	// UnreachableSignal tells attempts that their owner is out of reach.
	UnreachableSignal *UnreachableSignal
	// LimitRetryAfter changes advice to come back so that the node can still be reached then, where it
	// is about to stop; nil leaves it as it is.
	LimitRetryAfter func(after time.Duration) time.Duration
	// Leaving tells whether callers are to be sent away (Connection: close).
	Leaving func() bool
	// Quarantine tells which requests reach no worker.
	Quarantine *quarantine.Quarantine
	// StopBound bounds calls by a planned stop.
	StopBound *StopBound
	// Dialect is how callers speak.
	Dialect dialect.Callers
	// Service is the service beside whose worker this entry runs.
	Service model.ServiceName
}

// ServeHTTP implements http.Handler.
func (c *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	began := time.Now()
	defer c.StopBound.hold()()
	if c.Leaving() {
		w.Header().Set("Connection", "close")
	}
	set := c.Board.Bundles.Get()
	target, ok := set.MatchHost(r.Host, r.Method, r.URL.Path, rand.Uint64())
	if !ok || r.Method == http.MethodConnect {
		c.refuseUnrouted(w, r)
		return
	}
	if most := target.Bundle.Callers.MaxHeaderBytes; most > 0 && headerBytes(r) > most {
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
	limitReading(w, r, began.Add(request.Timeout))
	body, err := takeBody(r, target.Service.BodyLimitBytes)
	if err != nil {
		c.refuseBody(w, r, err, end)
		return
	}
	x := &exchange{caller: c, w: w, r: r, target: target, body: body, began: began, request: request}
	x.serve()
}

// headerBytes returns the size of a request's header as it came, but for white space.
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

// notReadyRetry is the advice to a caller who came before this node was ready.
const notReadyRetry = time.Second

// refuseUnrouted refuses a request that no route of this node matches. A node
// that is not ready yet knows too little to say that there is none, nor that an
// earlier sending of the caller's own id was not run.
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

func (c *CallerHandler) refuseBody(w http.ResponseWriter, r *http.Request, err error, end dialect.Result) {
	if errors.Is(err, errBodyTooLarge) {
		w.Header().Set("Connection", "close")
		end.Reason = model.ReasonBodyTooLarge
		c.refuseEarly(w, r, http.StatusRequestEntityTooLarge, end)
		return
	}
	c.refuseEarly(w, r, http.StatusBadRequest, end)
}

// entryRequest applies the bundle's bounds to what the caller asked for.
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
	req.Timeout = c.StopBound.within(time.Now(), req.Timeout)
	if h.HasRetryBudget {
		req.RetryBudget = min(req.RetryBudget, h.RetryBudget)
	}
	return req
}

// newRequestID makes an id for a request whose caller named none. Chance alone
// keeps it unique: 122 bits.
func (c *CallerHandler) newRequestID() model.RequestID {
	return model.RequestID(string(c.Self) + "." + strconv.FormatUint(rand.Uint64(), 36) + strconv.FormatUint(rand.Uint64(), 36))
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
func (c *CallerHandler) endWith(w http.ResponseWriter, r *http.Request, status int, e dialect.Result) {
	c.Dialect.WriteFailure(w.Header(), r.Header, e)
	w.WriteHeader(status)
}

// refusedBodyTime is how long the body of a refused request is waited for: net/http reads it
// before the refusal goes out. A caller that sends one has it on its way; one that does not
// would hold its connection, and a planned stop, for as long as it likes.
const refusedBodyTime = 500 * time.Millisecond

// refuseEarly ends a request that was never placed.
func (c *CallerHandler) refuseEarly(w http.ResponseWriter, r *http.Request, status int, e dialect.Result) {
	limitReading(w, r, time.Now().Add(refusedBodyTime))
	c.endWith(w, r, status, e)
	// What cannot be read names no request.
	asked, _ := c.Dialect.ReadRequest(r.Header)
	event.Log(c.RequestLog, event.CallRefusedEarly).
		Str("request", string(asked.Request)).Str("host", r.Host).Str("path", r.URL.Path).
		Str("reason", e.Reason.String()).Int("status", int64(status)).
		Str("bundle", e.Bundle.String()).Send()
}
