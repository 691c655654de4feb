package wire

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"gypsumstand/internal/model"
)

// flagTrue is the only value of Gypsum-Not-Run that guarantees anything.
const flagTrue = "true"

// SetRefusal writes r into the headers of an owner's refusal.
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

// ReadRefusal reverses SetRefusal; ok is false if h holds no refusal. A refusal that
// cannot be parsed in full guarantees nothing: NotRun is then false and err is the
// reason.
func ReadRefusal(h http.Header) (r model.Refusal, ok bool, err error) {
	name, ok, err := singleValue(h, HeaderRefusal)
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
	after, err := parseRetryAfterMs(h)
	if err != nil {
		return model.Refusal{Reason: reason}, true, err
	}
	onlyOwner, _, err := singleValue(h, HeaderRefusalOnlyOwner)
	if err != nil {
		return model.Refusal{Reason: reason}, true, err
	}
	granted, err := parseFlag(h, HeaderRefusalGranted)
	if err != nil {
		return model.Refusal{Reason: reason}, true, err
	}
	return model.Refusal{Reason: reason, NotRun: notRun, RetryAfter: after, OnlyOwner: model.InstanceID(onlyOwner), Granted: granted}, true, nil
}

// ReadNotRun reports whether the sender guarantees that it did not run the attempt. An
// absent header means false.
func ReadNotRun(h http.Header) (bool, error) { return parseFlag(h, HeaderNotRun) }

func parseFlag(h http.Header, name string) (bool, error) {
	value, ok, err := singleValue(h, name)
	if !ok {
		return false, err
	}
	if value != flagTrue && value != "false" {
		return false, fmt.Errorf("%s: %.40q: want true or false", name, value)
	}
	return value == flagTrue, nil
}

func parseRetryAfterMs(h http.Header) (time.Duration, error) {
	value, ok, err := singleValue(h, HeaderRetryAfterMs)
	if !ok {
		return 0, err
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 || ms > maxTimeoutMs {
		return 0, fmt.Errorf("%s: %.40q: want a whole number of milliseconds from 0", HeaderRetryAfterMs, value)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// FormatRetryAfter returns d in the form of Retry-After: whole seconds, rounded up, and
// at least 1, so that it never invites a caller too early.
func FormatRetryAfter(d time.Duration) string {
	seconds := int64((d + time.Second - 1) / time.Second)
	return strconv.FormatInt(max(seconds, 1), 10)
}
