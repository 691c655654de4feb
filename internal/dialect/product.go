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

// Product is this system's own dialect: Gypsum headers and Idempotency-Key.
type Product struct{}

var (
	_ Callers = Product{}
	_ Workers = Product{}
)

// Via is this proxy's entry in Via (RFC 9110, section 7.6.3).
const via = "1.1 gypsumstand"

// ReadRequest implements Callers.
func (Product) ReadRequest(h http.Header) (wire.CallerHeaders, error) {
	return wire.ParseCallerHeaders(h)
}

// PrepareForward implements Callers.
func (Product) PrepareForward(h http.Header, remote string) {
	h.Del(wire.HeaderIdempotencyKey)
	if host, _, err := net.SplitHostPort(remote); err == nil {
		// A copy: the slice is shared with the caller's header.
		h["X-Forwarded-For"] = append(append([]string(nil), h["X-Forwarded-For"]...), host)
	}
}

// AnnotateResponse implements Callers.
func (Product) AnnotateResponse(h http.Header, e Result) {
	h.Set(wire.HeaderOutcome, e.Outcome.String())
	setPlace(h, e)
	h.Add("Via", via)
}

// WriteFailure implements Callers.
func (Product) WriteFailure(h, _ http.Header, e Result) {
	h.Set(wire.HeaderOutcome, e.Outcome.String())
	h.Set(wire.HeaderReason, e.Reason.String())
	setPlace(h, e)
	if e.RetryAfter > 0 {
		h.Set(wire.HeaderRetryAfter, wire.FormatRetryAfter(e.RetryAfter))
	}
}

func setPlace(h http.Header, e Result) {
	if e.Upstream != "" {
		h.Set(wire.HeaderUpstream, string(e.Upstream))
	}
	if e.Bundle.Name != "" {
		h.Set(wire.HeaderBundle, e.Bundle.String())
	}
}

// PrepareAttempt implements Workers.
func (Product) PrepareAttempt(h http.Header, a *model.Attempt, _ model.WorkerID) {
	h.Set(wire.HeaderAttempt, a.ID.String())
	h.Set(wire.HeaderIdempotencyKey, string(a.Request))
	h.Set(wire.HeaderTimeout, strconv.FormatInt(max(a.Remaining.Milliseconds(), 1), 10))
	h.Set(wire.HeaderRetryBudget, strconv.Itoa(a.RetryBudget))
	h.Set(wire.HeaderTenant, string(a.Tenant))
	h.Set(wire.HeaderClass, string(a.Class))
	h.Add("Via", via)
}

// ReadResponse implements Workers.
func (Product) ReadResponse(resp *http.Response, a *model.Attempt) ResponseHead {
	var head ResponseHead
	if echo, present := resp.Header[wire.HeaderAttempt]; present {
		head.Echo = EchoMismatch
		if len(echo) == 1 && echo[0] == a.ID.String() {
			head.Echo = EchoMatch
		}
	}
	// A malformed word proves nothing.
	notRun, err := wire.ReadNotRun(resp.Header)
	if err == nil && notRun && resp.StatusCode == http.StatusServiceUnavailable {
		head.NotRun = true
		head.Refusal = model.ReasonWorkerShed
		head.RetryAfter = wholeSeconds(resp.Header.Get(wire.HeaderRetryAfter))
	}
	return head
}

// wholeSeconds reads Retry-After in seconds; zero for anything else.
func wholeSeconds(s string) time.Duration {
	seconds, err := strconv.ParseInt(s, 10, 32)
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// ReadHealth implements Workers: 200 means that the worker takes work; a JSON
// body's "state" may say more.
func (Product) ReadHealth(resp *http.Response, body []byte) WorkerHealth {
	var said struct {
		State string `json:"state"`
	}
	h := WorkerHealth{OK: resp.StatusCode == http.StatusOK}
	// A body that is no JSON says nothing more.
	if json.Unmarshal(body, &said) == nil && said.State == model.StateLeaving.String() {
		h.OK, h.Leaving = false, true
	}
	return h
}

// AcceptsCloseDelimited implements Workers: a cut answer could not be told from a
// whole one.
func (Product) AcceptsCloseDelimited() bool { return false }
