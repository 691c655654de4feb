package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gypsumstand/internal/model"
)

// flagTrue is the only value of Gypsum-Not-Run that proves anything.
const flagTrue = "true"

// SetRefusal writes r as an owner's refusal headers.
func SetRefusal(h http.Header, r model.Refusal) {
	h.Set(HeaderRefusal, r.Reason.String())
	if r.NotRun {
		h.Set(HeaderNotRun, flagTrue)
	}
	if r.RetryAfter > 0 {
		ms := (r.RetryAfter + time.Millisecond - 1) / time.Millisecond
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(int64(ms), 10))
	}
	if r.OnlyOwner != "" {
		h.Set(HeaderRefusalOnlyOwner, string(r.OnlyOwner))
	}
	if r.Granted {
		h.Set(HeaderRefusalGranted, flagTrue)
	}
}

// ReadRefusal reads what SetRefusal writes; ok is false when h holds no refusal.
// A refusal that cannot be read whole proves nothing: NotRun is false and err
// tells why.
func ReadRefusal(h http.Header) (r model.Refusal, ok bool, err error) {
	name, ok, err := single(h, HeaderRefusal)
	if !ok {
		return model.Refusal{}, err != nil, err
	}
	reason, known := model.ParseReason(name)
	if !known {
		return model.Refusal{}, true, fmt.Errorf("%s: unknown reason %.40q", HeaderRefusal, name)
	}
	notRun, err := ReadNotRun(h)
	if err != nil {
		return model.Refusal{Reason: reason}, true, err
	}
	after, err := readRetryAfterMs(h)
	if err != nil {
		return model.Refusal{Reason: reason}, true, err
	}
	home, _, err := single(h, HeaderRefusalOnlyOwner)
	if err != nil {
		return model.Refusal{Reason: reason}, true, err
	}
	lent, err := readFlag(h, HeaderRefusalGranted)
	if err != nil {
		return model.Refusal{Reason: reason}, true, err
	}
	return model.Refusal{Reason: reason, NotRun: notRun, RetryAfter: after, OnlyOwner: model.InstanceID(home), Granted: lent}, true, nil
}

// ReadNotRun tells whether the sender says that it did not run the attempt.
// Absent means false.
func ReadNotRun(h http.Header) (bool, error) { return readFlag(h, HeaderNotRun) }

func readFlag(h http.Header, name string) (bool, error) {
	value, ok, err := single(h, name)
	if !ok {
		return false, err
	}
	if value != flagTrue && value != "false" {
		return false, fmt.Errorf("%s: %.40q: want true or false", name, value)
	}
	return value == flagTrue, nil
}

func readRetryAfterMs(h http.Header) (time.Duration, error) {
	value, ok, err := single(h, HeaderRetryAfterMs)
	if !ok {
		return 0, err
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxTimeoutMs {
		return 0, fmt.Errorf("%s: %.40q: want a whole number of milliseconds from 0", HeaderRetryAfterMs, value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// FormatRetryAfter returns d as Retry-After's whole seconds, rounded up and at
// least 1, so that it never invites a caller too early.
func FormatRetryAfter(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
