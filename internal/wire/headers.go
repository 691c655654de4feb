package wire

import (
	"encoding/base64"
	"errors"
	"fmt"
	"math"

	"gypsumstand/internal/model"
)

// Headers between callers and entry nodes, between nodes, and between an owner and its
// worker, in net/http's canonical form. docs/DESIGN.md, "Headers", lists who sends which.
const (
	// HeaderIdempotencyKey is the request id that the caller chose.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the time left until the deadline, in milliseconds.
	HeaderTimeout = "Gypsum-Timeout-Ms"
	// HeaderTenant names the caller's tenant.
	HeaderTenant = "Gypsum-Tenant"
	// HeaderClass names the request's class to the worker.
	HeaderClass = "Gypsum-Class"
	// HeaderIdempotent can only restrict: "false" makes a request non-idempotent.
	HeaderIdempotent = "Gypsum-Idempotent"
	// HeaderRetryBudget is the number of extra attempts left on the request's path.
	HeaderRetryBudget = "Gypsum-Retry-Budget"

	// HeaderOutcome is the outcome reported to the caller; see model.Outcome.
	HeaderOutcome = "Gypsum-Outcome"
	// HeaderReason is the model.Reason of an outcome without a response.
	HeaderReason = "Gypsum-Reason"
	// HeaderUpstream names the instance that responded.
	HeaderUpstream = "Gypsum-Upstream"
	// HeaderBundle is the version of the bundle that the request was routed by.
	HeaderBundle = "Gypsum-Bundle"
	// HeaderRetryAfter is the header of RFC 9110, in whole seconds, rounded up.
	HeaderRetryAfter = "Retry-After"

	// HeaderAttempt is the attempt's id, which owner and worker echo.
	HeaderAttempt = "Gypsum-Attempt"
	// HeaderOffer is the complete model.Attempt; see EncodeOffer.
	HeaderOffer = "Gypsum-Offer"
	// HeaderReport is the owner's model.LoadReport; see EncodeReport.
	HeaderReport = "Gypsum-Report"
	// HeaderRefusal is the model.Reason of an owner's refusal.
	HeaderRefusal = "Gypsum-Refusal"
	// HeaderRefusalOnlyOwner names the only instance whose owner may run a refused attempt.
	HeaderRefusalOnlyOwner = "Gypsum-Refusal-Home"
	// HeaderRefusalGranted is "true" if that owner is granted the right to run the
	// request; the next attempt there sets model.Attempt.Granted.
	HeaderRefusalGranted = "Gypsum-Refusal-Lent"
	// HeaderNotRun is "true" if the sender guarantees that it has not run the attempt and
	// never will.
	HeaderNotRun = "Gypsum-Not-Run"
	// HeaderRetryAfterMs is an owner's Retry-After for entry nodes, in milliseconds.
	HeaderRetryAfterMs = "Gypsum-Retry-After-Ms"
)

// Bounds of encoded header values, in bytes.
const (
	MaxOfferBytes  = 4096
	MaxReportBytes = 1024
)

// Errors of DecodeOffer and DecodeReport.
var (
	ErrHeaderTooLong = errors.New("header value is too long")
	ErrBadOffer      = errors.New("bad offer")
	ErrBadReport     = errors.New("bad load report")
)

// EncodeOffer returns a in the form of Gypsum-Offer: CBOR in base64url without padding.
func EncodeOffer(a *model.Attempt) (string, error) {
	return encodeHeader(a, MaxOfferBytes)
}

// DecodeOffer reverses EncodeOffer. Errors wrap ErrHeaderTooLong or ErrBadOffer.
func DecodeOffer(s string) (model.Attempt, error) {
	var a model.Attempt
	if err := decodeHeader(s, MaxOfferBytes, &a); err != nil {
		return model.Attempt{}, fmt.Errorf("%w: %w", ErrBadOffer, err)
	}
	if err := checkOffer(&a); err != nil {
		return model.Attempt{}, fmt.Errorf("%w: %w", ErrBadOffer, err)
	}
	return a, nil
}

func checkOffer(a *model.Attempt) error {
	switch {
	case a.ID.Entry == "" || a.ID.Incarnation == 0:
		return errors.New("attempt id is missing")
	case a.Request == "":
		return errors.New("request id is missing")
	case len(a.Request) > MaxRequestIDBytes:
		return fmt.Errorf("request id of %d bytes is over the bound of %d", len(a.Request), MaxRequestIDBytes)
	case a.Service == "":
		return errors.New("service is missing")
	case a.Remaining < 0:
		return fmt.Errorf("remaining time %v is negative", a.Remaining)
	case a.OwnerClock < 0:
		return fmt.Errorf("owner clock %v is negative", a.OwnerClock)
	case a.RetryBudget < 0:
		return fmt.Errorf("retry budget %d is negative", a.RetryBudget)
	case math.IsNaN(a.Worth) || math.IsInf(a.Worth, 0) || a.Worth < 0:
		return fmt.Errorf("worth %v is no finite number from 0", a.Worth)
	}
	return nil
}

// EncodeReport returns r in the form of Gypsum-Report: CBOR in base64url without padding.
func EncodeReport(r *model.LoadReport) (string, error) {
	return encodeHeader(r, MaxReportBytes)
}

// DecodeReport reverses EncodeReport. Errors wrap ErrHeaderTooLong or ErrBadReport. A
// malformed list of class outcomes is no error; see LoadReport.MalformedOutcomes.
func DecodeReport(s string) (model.LoadReport, error) {
	var r model.LoadReport
	if err := decodeHeader(s, MaxReportBytes, &r); err != nil {
		var ok bool
		if r, ok = decodeWithoutOutcomes(s); !ok {
			return model.LoadReport{}, fmt.Errorf("%w: %w", ErrBadReport, err)
		}
	}
	if checkClassOutcomes(r.ClassOutcomes) != nil {
		r.ClassOutcomes, r.MalformedOutcomes = nil, true
	}
	if err := checkReport(&r); err != nil {
		return model.LoadReport{}, fmt.Errorf("%w: %w", ErrBadReport, err)
	}
	return r, nil
}

// maxFailureRate is a failure rate of 100%, in thousandths.
const maxFailureRate = model.ShareScale

func checkReport(r *model.LoadReport) error {
	switch {
	case r.Owner == "" || r.Incarnation == 0:
		return errors.New("owner is missing")
	case r.Clock < 0:
		return fmt.Errorf("clock %v is negative", r.Clock)
	case r.ServiceTime < 0:
		return fmt.Errorf("service time %v is negative", r.ServiceTime)
	case r.State > model.StateGone:
		return fmt.Errorf("unknown state %d", r.State)
	case r.FailureRate > maxFailureRate:
		return fmt.Errorf("failure rate %d is over %d", r.FailureRate, maxFailureRate)
	}
	return nil
}

func encodeHeader(v any, bound int) (string, error) {
	data, err := Marshal(v)
	if err != nil {
		return "", err
	}
	s := base64.RawURLEncoding.EncodeToString(data)
	if len(s) > bound {
		return "", fmt.Errorf("%w: %d bytes, bound %d", ErrHeaderTooLong, len(s), bound)
	}
	return s, nil
}

func decodeHeader(s string, bound int, v any) error {
	if len(s) > bound {
		return fmt.Errorf("%w: %d bytes, bound %d", ErrHeaderTooLong, len(s), bound)
	}
	data, err := base64.RawURLEncoding.DecodeString(s)
	if err != nil {
		return err
	}
	return Unmarshal(data, v)
}
