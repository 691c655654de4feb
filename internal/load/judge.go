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

// verdict is what came of one sending of a request.
type verdict uint8

const (
	// verdictAnswered: the whole answer to this very request.
	verdictAnswered verdict = iota
	// verdictWorkerError: a worker's own error, passed through.
	verdictWorkerError
	// verdictNotRun: told not run.
	verdictNotRun
	// verdictUnknown: told unknown.
	verdictUnknown
	// verdictBroken: no answer, or one that visibly broke off.
	verdictBroken
	// verdictUnreachable: no connection could be had.
	verdictUnreachable
	// verdictWrong: an answer that is not this request's, or altered.
	verdictWrong
	// verdictCut: an answer that ended as if whole but was not.
	verdictCut
	// verdictMalformed: no outcome, or one that contradicts the status.
	verdictMalformed
	// verdictUnsent: its time ran out before it could be sent.
	verdictUnsent

	verdictCount
)

// reply is a judged sending.
type reply struct {
	verdict verdict
	// retryAfter is the advice that went with verdictNotRun.
	retryAfter time.Duration
}

// judge reads resp to its end and judges it. want is what a right answer is to.
func judge(resp *http.Response, want answer.Request, direct bool) reply {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answer.MaxBytes+1))
	if err != nil {
		return reply{verdict: verdictBroken}
	}
	outcome, ok := outcomeOf(resp, direct)
	if !ok {
		return reply{verdict: verdictMalformed}
	}
	switch outcome {
	case model.OutcomeNotRun:
		return reply{verdict: verdictNotRun, retryAfter: retryAfter(resp.Header)}
	case model.OutcomeUnknown:
		return reply{verdict: verdictUnknown}
	}
	if resp.StatusCode != http.StatusOK {
		return reply{verdict: verdictWorkerError}
	}
	return reply{verdict: judgeBody(body, want)}
}

func judgeBody(body []byte, want answer.Request) verdict {
	err := answer.Check(body, want)
	switch {
	case err == nil:
		return verdictAnswered
	case errors.Is(err, answer.ErrTruncated):
		return verdictCut
	}
	return verdictWrong
}

// outcomeOf reads the outcome; ok is false when there is none or when it says
// that there is no answer and the status says that there is.
func outcomeOf(resp *http.Response, direct bool) (o model.Outcome, ok bool) {
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

func directOutcome(resp *http.Response) model.Outcome {
	if resp.Header.Get(wire.HeaderNotRun) == "true" {
		return model.OutcomeNotRun
	}
	return model.OutcomeAnswered
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.ParseUint(h.Get(wire.HeaderRetryAfter), 10, 16)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// judgeError judges a sending that got no response.
func judgeError(err error) reply {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" && !errors.Is(err, context.DeadlineExceeded) {
		return reply{verdict: verdictUnreachable}
	}
	return reply{verdict: verdictBroken}
}
