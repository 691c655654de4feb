package server

import (
	"context"
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
	// valid is false if the response belongs to another request or cannot be passed on.
	valid bool
}

// send sends the attempt to the worker and reads the head of the response.
func (x *Executor) send(
	ctx context.Context, m *AttemptMessage, worker model.WorkerID, trace *upstream.RequestTrace,
) (workerResponse, error) {
	var w workerResponse
	newRequest := func() *http.Request { return x.request(ctx, m, worker) }
	reusable := func(resp *http.Response) bool {
		w.head = x.dialect.ReadResponse(resp, &m.Attempt)
		w.valid = x.isValid(m, resp, w.head)
		// A late copy of a refusal has the same id as the response to the request's next
		// attempt, which may come to this worker.
		return w.valid && !w.head.NotRun
	}
	var err error
	w.Response, err = trace.Send(x.transportFor(&m.Attempt), newRequest, reusable)
	return w, err
}

// isValid reports whether a response belongs to the attempt and can be passed on. It is false
// if its completeness cannot be checked or its length is over the limit, and for protocol
// switches: no request asked for one (RFC 9110, section 15.2.2), and its body would end only
// with the connection.
func (x *Executor) isValid(m *AttemptMessage, resp *http.Response, head dialect.ResponseHead) bool {
	if head.Echo == dialect.EchoMismatch || head.Echo == dialect.EchoAbsent && x.requireEcho.Load() {
		return false
	}
	if resp.StatusCode < http.StatusOK {
		return false
	}
	if limit := x.responseLimit.Load(); limit > 0 && resp.ContentLength > limit && upstream.HasBody(resp, m.Method) {
		return false
	}
	return x.dialect.AcceptsCloseDelimited() || upstream.CheckFraming(resp, m.Method) == nil
}

// responseInvalid records a response that is not valid for its attempt.
func (x *Executor) responseInvalid(m *AttemptMessage, w workerResponse) {
	if w.head.Echo == dialect.EchoMismatch {
		now := time.Now()
		x.mismatchedAt.Store(&now)
	}
	x.logInvalidResponse(m, w)
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
