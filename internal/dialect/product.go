package dialect

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Product is the default dialect, with Gypsum headers and Idempotency-Key.
type Product struct{}

var (
	_ Callers = Product{}
	_ Workers = Product{}
)

// via is this proxy's entry in Via (RFC 9110, section 7.6.3).
const via = "1.1 gypsumstand"

// ReadRequest implements Callers.
func (Product) ReadRequest(h http.Header) (wire.CallerHeaders, error) {
	return wire.ParseCallerHeaders(h)
}

// PrepareForward implements Callers. It removes Idempotency-Key, which PrepareAttempt sets, and
// appends the caller's address to X-Forwarded-For.
func (Product) PrepareForward(h http.Header, remote string) {
	h.Del(wire.HeaderIdempotencyKey)
	if host, _, err := net.SplitHostPort(remote); err == nil {
		// The slice is shared with the caller's header and must be copied.
		h["X-Forwarded-For"] = append(append([]string(nil), h["X-Forwarded-For"]...), host)
	}
}

// MeansNotRun implements Callers. It returns false: callers go by the outcome field.
func (Product) MeansNotRun(int) bool { return false }

// AnnotateResponse implements Callers. It adds the outcome, the upstream, the bundle and Via.
func (Product) AnnotateResponse(h http.Header, r Result) {
	h.Set(wire.HeaderOutcome, r.Outcome.String())
	setUpstreamAndBundle(h, r)
	h.Add("Via", via)
}

// WriteFailure implements Callers. It writes the outcome, the reason, the upstream, the bundle
// and Retry-After.
func (Product) WriteFailure(h, _ http.Header, r Result) {
	h.Set(wire.HeaderOutcome, r.Outcome.String())
	h.Set(wire.HeaderReason, r.Reason.String())
	setUpstreamAndBundle(h, r)
	if r.RetryAfter > 0 {
		h.Set(wire.HeaderRetryAfter, wire.FormatRetryAfter(r.RetryAfter))
	}
}

// setUpstreamAndBundle writes the fields that are not empty.
func setUpstreamAndBundle(h http.Header, r Result) {
	if r.Upstream != "" {
		h.Set(wire.HeaderUpstream, string(r.Upstream))
	}
	if r.Bundle.Name != "" {
		h.Set(wire.HeaderBundle, r.Bundle.String())
	}
}

// PrepareAttempt implements Workers. The timeout is at least 1 ms.
func (Product) PrepareAttempt(h http.Header, a *model.Attempt, _ model.WorkerID) {
	h.Set(wire.HeaderAttempt, a.ID.String())
	h.Set(wire.HeaderIdempotencyKey, string(a.Request))
	h.Set(wire.HeaderTimeout, strconv.FormatInt(max(a.Remaining.Milliseconds(), 1), 10))
	h.Set(wire.HeaderRetryBudget, strconv.Itoa(a.RetryBudget))
	h.Set(wire.HeaderTenant, string(a.Tenant))
	h.Set(wire.HeaderClass, string(a.Class))
	h.Add("Via", via)
}

// ReadResponse implements Workers. Only a 503 with Gypsum-Not-Run counts as a refusal.
func (Product) ReadResponse(resp *http.Response, a *model.Attempt) ResponseHead {
	var head ResponseHead
	if echo, present := resp.Header[wire.HeaderAttempt]; present {
		head.Echo = EchoMismatch
		if len(echo) == 1 && echo[0] == a.ID.String() {
			head.Echo = EchoMatch
		}
	}
	// A malformed field does not prove that the attempt has not run.
	notRun, err := wire.ReadNotRun(resp.Header)
	if err == nil && notRun && resp.StatusCode == http.StatusServiceUnavailable {
		head.NotRun = true
		head.Refusal = model.ReasonWorkerShed
		head.RetryAfter = parseRetryAfter(resp.Header.Get(wire.HeaderRetryAfter))
	}
	return head
}

// parseRetryAfter parses Retry-After as an integer number of seconds. It returns zero for
// anything else.
func parseRetryAfter(s string) time.Duration {
	seconds, err := strconv.ParseInt(s, 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ReadHealth implements Workers. Status 200 means that the worker takes requests, unless the
// field "state" of a JSON body is "leaving".
func (Product) ReadHealth(resp *http.Response, body []byte) WorkerHealth {
	var health struct {
		State string `json:"state"`
	}
	h := WorkerHealth{OK: resp.StatusCode == http.StatusOK}
	// A body that is not JSON is ignored.
	if json.Unmarshal(body, &health) == nil && health.State == model.StateLeaving.String() {
		h.OK, h.Leaving = false, true
	}
	return h
}

// AcceptsCloseDelimited implements Workers. It returns false because a truncated response
// could not be distinguished from a complete one.
func (Product) AcceptsCloseDelimited() bool { return false }

// NamesRateLimits implements Workers.
func (Product) NamesRateLimits() bool { return false }
