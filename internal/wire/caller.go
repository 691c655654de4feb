package wire

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"gypsumstand/internal/model"
)

// Bounds of the request headers that callers send.
const (
	// MaxRequestIDBytes bounds an Idempotency-Key.
	MaxRequestIDBytes = 255
	// MaxTenantBytes bounds a tenant's name.
	MaxTenantBytes = 128
	// MaxRetryBudget caps a retry budget; a greater value is read as this one.
	MaxRetryBudget = 100
	// maxTimeoutMs is the longest timeout that time.Duration can hold.
	maxTimeoutMs = math.MaxInt64 / int64(time.Millisecond)
)

// CallerHeaders holds what a caller's request headers ask for.
type CallerHeaders struct {
	// Request is the caller's Idempotency-Key, or empty.
	Request model.RequestID
	// OneSubmission reports that Request identifies a single submission, so that the same
	// id cannot arrive again through another node and needs no home node.
	OneSubmission bool
	// Tenant is the header's value, or empty; it is not checked against a bundle.
	Tenant model.TenantName
	// Timeout is the requested time limit; zero means that the caller sent none.
	Timeout time.Duration
	// NotIdempotent reports that the request must not run twice, whatever the bundle
	// allows. A caller cannot ask for the reverse.
	NotIdempotent bool
	// RetryBudget is the number of extra attempts left on the request's path; it is valid
	// if HasRetryBudget is set.
	RetryBudget    int
	HasRetryBudget bool
	// ParentRequest and ParentAttempt hint at the run for which a worker makes this call:
	// the id of its request, or of its attempt. They are empty where there is no hint. A
	// hint proves nothing; it counts only if that run is found at the own worker.
	ParentRequest model.RequestID
	ParentAttempt model.AttemptID
	// MalformedParent reports a hint that could not be parsed and is ignored.
	MalformedParent bool
}

// ParseCallerHeaders parses a caller's headers. The error joins all faults, each with the
// name of its header. "Gypsum-Idempotent: true" is valid and changes nothing.
func ParseCallerHeaders(h http.Header) (CallerHeaders, error) {
	var c CallerHeaders
	err := errors.Join(
		c.parseRequest(h),
		c.parseTenant(h),
		c.parseTimeout(h),
		c.parseIdempotent(h),
		c.parseRetryBudget(h),
	)
	c.parseParent(h)
	return c, err
}

func (c *CallerHeaders) parseRequest(h http.Header) error {
	value, ok, err := printableValue(h, HeaderIdempotencyKey, MaxRequestIDBytes)
	if ok {
		c.Request = model.RequestID(value)
	}
	return err
}

func (c *CallerHeaders) parseTenant(h http.Header) error {
	value, ok, err := printableValue(h, HeaderTenant, MaxTenantBytes)
	if ok {
		c.Tenant = model.TenantName(value)
	}
	return err
}

func (c *CallerHeaders) parseTimeout(h http.Header) error {
	value, ok, err := singleValue(h, HeaderTimeout)
	if !ok {
		return err
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 1 || ms > maxTimeoutMs {
		return fmt.Errorf("%s: %.40q: want a whole number of milliseconds from 1", HeaderTimeout, value)
	}
	c.Timeout = time.Duration(ms) * time.Millisecond
	return nil
}

func (c *CallerHeaders) parseIdempotent(h http.Header) error {
	value, ok, err := singleValue(h, HeaderIdempotent)
	if !ok {
		return err
	}
	switch value {
	case "false":
		c.NotIdempotent = true
	case "true":
	default:
		return fmt.Errorf("%s: %.40q: want true or false", HeaderIdempotent, value)
	}
	return nil
}

func (c *CallerHeaders) parseRetryBudget(h http.Header) error {
	value, ok, err := singleValue(h, HeaderRetryBudget)
	if !ok {
		return err
	}
	n, err := strconv.ParseUint(value, 10, 31)
	if err != nil {
		return fmt.Errorf("%s: %.40q: want a whole number from 0", HeaderRetryBudget, value)
	}
	c.RetryBudget = int(min(n, MaxRetryBudget))
	c.HasRetryBudget = true
	return nil
}

// singleValue returns the only value of a header. ok is false if the header is absent or,
// with an error, if it occurs more than once: two values that differ cannot both be obeyed.
func singleValue(h http.Header, name string) (value string, ok bool, err error) {
	values := h[name]
	switch len(values) {
	case 0:
		return "", false, nil
	case 1:
		return values[0], true, nil
	}
	return "", false, fmt.Errorf("%s: sent %d times, want once", name, len(values))
}

// printableValue returns the only value of a header, which must consist of 1 to bound
// printable ASCII bytes.
func printableValue(h http.Header, name string, bound int) (value string, ok bool, err error) {
	value, ok, err = singleValue(h, name)
	if !ok {
		return "", false, err
	}
	if value == "" || len(value) > bound {
		return "", false, fmt.Errorf("%s: %d bytes, want 1 to %d", name, len(value), bound)
	}
	for i := range len(value) {
		if value[i] < ' ' || value[i] > '~' {
			return "", false, fmt.Errorf("%s: byte %#02x at %d is not printable ASCII", name, value[i], i)
		}
	}
	return value, true, nil
}
