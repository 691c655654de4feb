package server

import (
	"context"
	"errors"
	"net/http"
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
	"gypsumstand/internal/upstream"
)

// workerResponse is a worker's response whose head has been read.
type workerResponse struct {
	*http.Response
	head dialect.ResponseHead
	// invalid is why the response cannot be passed on, nil if it can.
	invalid error
}

// send sends the attempt to the worker and reads the head of the response.
func (x *Executor) send(
	ctx context.Context, m *AttemptMessage, worker model.WorkerID, trace *upstream.RequestTrace,
) (workerResponse, error) {
	var w workerResponse
	newRequest := func() *http.Request { return x.request(ctx, m, worker) }
	reusable := func(resp *http.Response) bool {
		w.head = x.dialect.ReadResponse(resp, &m.Attempt)
		w.invalid = x.check(m, resp, w.head)
		// A late copy of a refusal has the same id as the response to the request's next
		// attempt, which may come to this worker.
		return w.invalid == nil && !w.head.NotRun
	}
	var err error
	w.Response, err = trace.Send(x.transportFor(&m.Attempt), newRequest, reusable)
	return w, err
}

// Errors of a response that cannot be passed on.
var (
	errOtherRequest   = errors.New("response does not prove to be for this request")
	errProtocolSwitch = errors.New("response switches the protocol")
	errBodyOverLimit  = errors.New("response body exceeds the limit")
)

// check returns an error unless a response belongs to the attempt and can be passed on: its head
// is well formed, its completeness can be checked and its length is within the limit. A protocol
// switch is an error: no request asked for one (RFC 9110, section 15.2.2), and its body would end
// only with the connection.
func (x *Executor) check(m *AttemptMessage, resp *http.Response, head dialect.ResponseHead) error {
	if head.Echo == dialect.EchoMismatch || head.Echo == dialect.EchoAbsent && x.requireEcho.Load() {
		return errOtherRequest
	}
	if err := upstream.CheckHead(resp); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return errProtocolSwitch
	}
	if limit := x.responseLimit.Load(); limit > 0 && resp.ContentLength > limit && upstream.HasBody(resp, m.Method) {
		return errBodyOverLimit
	}
	if x.dialect.AcceptsCloseDelimited() {
		return nil
	}
	return upstream.CheckFraming(resp, m.Method)
}

// responseInvalid records a response that is not valid for its attempt.
func (x *Executor) responseInvalid(m *AttemptMessage, w workerResponse) {
	if w.head.Echo == dialect.EchoMismatch {
		now := time.Now()
		x.mismatchedAt.Store(&now)
	}
	x.logInvalidResponse(m, w, w.invalid)
}

// request returns the HTTP request to the worker, with an unread body.
func (x *Executor) request(ctx context.Context, m *AttemptMessage, worker model.WorkerID) *http.Request {
	u := *m.URL
	u.Scheme, u.Host = "http", x.address
	req := m.request(ctx, &u)
	req.Body = m.openBody()
	x.dialect.PrepareAttempt(req.Header, &m.Attempt, worker)
	return req
}
