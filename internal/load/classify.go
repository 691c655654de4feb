package load

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// resultKind classifies the outcome of one submission of a request.
type resultKind uint8

const (
	// resultAnswered is a complete response that belongs to this request.
	resultAnswered resultKind = iota
	// resultWorkerError is an error of the worker itself, passed through.
	resultWorkerError
	// resultNotRun is the reported outcome not-run.
	resultNotRun
	// resultUnknown is the reported outcome unknown.
	resultUnknown
	// resultBroken is a missing or visibly interrupted response.
	resultBroken
	// resultUnreachable is a connection that could not be established.
	resultUnreachable
	// resultWrong is a response that belongs to another request or was altered.
	resultWrong
	// resultTruncated is a response that ended early although its framing looks complete.
	resultTruncated
	// resultMalformed is a response whose outcome is missing or contradicts the status.
	resultMalformed
	// resultUnsent is a request whose timeout expired before it could be sent.
	resultUnsent

	resultKindCount
)

// sendResult is the classified result of one submission.
type sendResult struct {
	kind resultKind
	// retryAfter is the Retry-After of resultNotRun, zero when there was none.
	retryAfter time.Duration
}

// classifyResponse reads resp to its end and classifies it. expected identifies the
// request that a correct response belongs to.
func classifyResponse(resp *http.Response, expected answer.Request, direct bool) sendResult {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answer.MaxBytes+1))
	if err != nil {
		return sendResult{kind: resultBroken}
	}
	outcome, ok := parseOutcome(resp, direct)
	if !ok {
		return sendResult{kind: resultMalformed}
	}
	switch outcome {
	case model.OutcomeNotRun:
		return sendResult{kind: resultNotRun, retryAfter: parseRetryAfter(resp.Header)}
	case model.OutcomeUnknown:
		return sendResult{kind: resultUnknown}
	}
	if resp.StatusCode != http.StatusOK {
		return sendResult{kind: resultWorkerError}
	}
	return sendResult{kind: classifyBody(body, expected)}
}

// classifyBody checks the body of a successful response.
func classifyBody(body []byte, expected answer.Request) resultKind {
	err := answer.Check(body, expected)
	switch {
	case err == nil:
		return resultAnswered
	case errors.Is(err, answer.ErrTruncated):
		return resultTruncated
	}
	return resultWrong
}

// parseOutcome reads the outcome header, or the worker's headers when direct is set. ok
// is false when the header is missing or unknown, or when the status is a success although
// the outcome is not answered.
func parseOutcome(resp *http.Response, direct bool) (o model.Outcome, ok bool) {
	if direct {
		return directOutcome(resp), true
	}
	name := resp.Header.Get(wire.HeaderOutcome)
	success := resp.StatusCode < http.StatusMultipleChoices
	for o := model.OutcomeUnknown; o <= model.OutcomeNotRun; o++ {
		if name == o.String() {
			return o, o == model.OutcomeAnswered || !success
		}
	}
	return model.OutcomeUnknown, false
}

// directOutcome derives the outcome of a response that comes directly from a worker.
func directOutcome(resp *http.Response) model.Outcome {
	if resp.Header.Get(wire.HeaderNotRun) == "true" {
		return model.OutcomeNotRun
	}
	return model.OutcomeAnswered
}

// parseRetryAfter returns the Retry-After in whole seconds, zero when it is missing or
// not a number.
func parseRetryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get(wire.HeaderRetryAfter), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// classifyError classifies a submission that got no response.
func classifyError(err error) sendResult {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !errors.Is(err, context.DeadlineExceeded) {
		return sendResult{kind: resultUnreachable}
	}
	return sendResult{kind: resultBroken}
}
