// Package dialect defines the header conventions between the load balancer and its HTTP
// peers: how callers describe a request and learn its outcome, and how workers get an attempt
// and report on it. Product is the default dialect; an adapter may provide another. A dialect
// only reads and writes messages and makes no decisions.
package dialect

import (
	"net/http"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Callers is the dialect between callers and entry nodes. Its methods are called for each
// request. They must be safe for concurrent use and must not block.
type Callers interface {
	// ReadRequest returns the options in a request's header. An error names the invalid
	// field and is sent to the caller.
	ReadRequest(h http.Header) (wire.CallerHeaders, error)
	// PrepareForward changes the header that is forwarded to the worker. h is a copy of the
	// caller's end-to-end fields, and remote the caller's "ip:port".
	PrepareForward(h http.Header, remote string)
	// MeansNotRun reports whether callers take a status alone for the statement that the
	// request was not run.
	MeansNotRun(status int) bool
	// AnnotateResponse adds fields to the header of a worker's response.
	AnnotateResponse(h http.Header, r Result)
	// WriteFailure writes the header of a response that does not come from a worker. request
	// is the caller's header.
	WriteFailure(h, request http.Header, r Result)
}

// Result is the result of a call as reported to its caller.
type Result struct {
	Outcome model.Outcome
	Reason  model.Reason
	// RetryAfter is how long the caller should wait before a retry; zero means that it is
	// not sent.
	RetryAfter time.Duration
	// Upstream is the last instance to which the request was sent, and Bundle the bundle
	// version that applied to the request. Either may be empty.
	Upstream model.InstanceID
	Bundle   model.BundleVersion
}

// Workers is the dialect between an owner and its worker. Its methods must be safe for
// concurrent use and must not block.
type Workers interface {
	// PrepareAttempt writes the header fields of an attempt. worker is the id of the current
	// worker incarnation, empty when it is not known.
	PrepareAttempt(h http.Header, a *model.Attempt, worker model.WorkerID)
	// ReadResponse reads the status and header of a response to a. It may remove fields
	// that are not meant for the caller.
	ReadResponse(resp *http.Response, a *model.Attempt) ResponseHead
	// ReadHealth reads a response of the worker's health path.
	ReadHealth(resp *http.Response, body []byte) WorkerHealth
	// AcceptsCloseDelimited reports whether a response with neither a length nor chunked
	// encoding is complete when its connection is closed without a reset.
	AcceptsCloseDelimited() bool
	// NamesRateLimits reports whether workers may name a rate limit in their responses.
	NamesRateLimits() bool
}

// Echo is the result of comparing the attempt named in a response with the attempt sent.
type Echo uint8

// Values of Echo.
const (
	// EchoAbsent means that the response names no attempt.
	EchoAbsent Echo = iota
	// EchoMatch means that the response names the attempt sent.
	EchoMatch
	// EchoMismatch means that the response names another attempt, or several, or is
	// otherwise not a response to the attempt.
	EchoMismatch
)

var echoNames = [...]string{"absent", "match", "mismatch"}

// String returns the name of e for logs, "invalid" for an unknown value.
func (e Echo) String() string {
	if int(e) < len(echoNames) {
		return echoNames[e]
	}
	return "invalid"
}

// ResponseHead is the information in the status and header of a worker's response.
type ResponseHead struct {
	Echo Echo
	// NotRun reports that the worker has not run the attempt and never will.
	NotRun bool
	// Refusal is the reason for NotRun.
	Refusal model.Reason
	// RetryAfter is the worker's Retry-After; zero means none.
	RetryAfter time.Duration
	Load       WorkerLoad
	RateLimit  RateLimit
	// Leaving reports that the worker says that it is leaving.
	Leaving bool
	// Worker is the id of the worker incarnation that refused the attempt; empty when the
	// response does not name it or is no refusal.
	Worker model.WorkerID
}

// WorkerHealth is the information in a response of the health path.
type WorkerHealth struct {
	// OK reports that the worker takes requests, Leaving that it is draining.
	OK, Leaving bool
	// Worker is the id of the worker incarnation that responded, empty when the response
	// does not name it.
	Worker    model.WorkerID
	Load      WorkerLoad
	RateLimit RateLimit
	// Warming is how long the worker stays below its full capacity; zero means that it is
	// not warming.
	Warming time.Duration
}

// WorkerLoad is the load that a worker reports.
type WorkerLoad struct {
	// Known reports whether the worker reported its load.
	Known bool
	// Running and Waiting are the numbers of requests running and waiting at the worker.
	// Slots is how many it can run concurrently.
	Running, Waiting, Slots int
	// Slowdown is the current duration of work on the worker's machine relative to its
	// usual duration: 1 is usual, 2 is twice as long, 0 is unknown.
	Slowdown float64
}

// RateLimitKind is what a response says about the worker's rate limit.
type RateLimitKind uint8

// Values of RateLimitKind.
const (
	// RateLimitUnknown means that the response does not tell whether there is a limit.
	RateLimitUnknown RateLimitKind = iota
	// RateLimitNone means that the response names no limit.
	RateLimitNone
	// RateLimitNamed means that the response names a limit.
	RateLimitNamed
	// RateLimitMalformed means that the response names a limit that cannot be used.
	RateLimitMalformed
)

// RateLimit is the rate limit that a worker names in a response.
type RateLimit struct {
	Kind RateLimitKind
	// PerSecond is the limit in requests a second from all machines together, a finite
	// number that is not negative. It is zero unless Kind is RateLimitNamed.
	PerSecond float64
}

// spareSlotsShare is the share of busy slots below which load does not explain that a worker
// refuses a request.
const spareSlotsShare = 0.75

// HasSpareSlots reports whether the worker reported that it has slots to spare.
func (l WorkerLoad) HasSpareSlots() bool {
	return l.Known && l.Waiting == 0 && float64(l.Running) < spareSlotsShare*float64(l.Slots)
}
