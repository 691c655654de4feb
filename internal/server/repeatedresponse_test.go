package server

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
)

// headerRequest carries the id of a request in requestEcho.
const headerRequest = "Test-Request"

// requestEcho is a dialect whose workers repeat the id of the request, which all its attempts
// share.
type requestEcho struct{ dialect.Product }

func (d requestEcho) PrepareAttempt(h http.Header, a *model.Attempt, worker model.WorkerID) {
	d.Product.PrepareAttempt(h, a, worker)
	h.Set(headerRequest, string(a.Request))
}

func (d requestEcho) ReadResponse(resp *http.Response, a *model.Attempt) dialect.ResponseHead {
	head := d.Product.ReadResponse(resp, a)
	head.Echo = dialect.EchoMismatch
	if resp.Header.Get(headerRequest) == string(a.Request) {
		head.Echo = dialect.EchoMatch
	}
	return head
}

// repeatingWorker answers the first request that it gets with status, which may be a
// rejection, and runs all others. Where a connection's next response is expected, it sends the
// one before once more.
type repeatingWorker struct {
	address  string
	status   string
	received atomic.Int64
	runs     atomic.Int64
	// responds, if not nil, must be closed before the first response is sent.
	responds chan struct{}
}

func newRepeatingWorker(t *testing.T, status string) *repeatingWorker {
	t.Helper()
	w := &repeatingWorker{status: status}
	w.address = serveConns(t, w.serve)
	return w
}

func (w *repeatingWorker) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	copied := ""
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		response := w.respond(req.Header.Get(headerRequest))
		if _, err := io.WriteString(conn, copied+response); err != nil {
			return
		}
		copied = response
	}
}

func (w *repeatingWorker) respond(id string) string {
	head := headerRequest + ": " + id + "\r\nContent-Length: "
	if w.received.Add(1) == 1 {
		if w.responds != nil {
			<-w.responds
		}
		return "HTTP/1.1 " + w.status + "\r\n" + head + "0\r\n\r\n"
	}
	w.runs.Add(1)
	return "HTTP/1.1 200 OK\r\n" + head + "4\r\n\r\ndone"
}

// repeatingExecutor returns an executor for the worker.
func repeatingExecutor(w *repeatingWorker) *Executor {
	_, x := withSlots(4, w.address)
	x.dialect = requestEcho{}
	return x
}

// requestMessage returns an attempt of the request with the given id, with a buffered body.
func requestMessage(sequence uint64, id model.RequestID) *AttemptMessage {
	m := testMessage(sequence)
	m.Attempt.Request = id
	body := &requestBody{buffered: []byte("amount=7"), length: 8}
	m.Body, m.BufferedBody, m.ContentLength = body.open(), body.buffered, body.length
	return m
}

const notRunResponse = "503 Service Unavailable\r\nGypsum-Not-Run: true"

// readAll reads a response to its end.
func readAll(t *testing.T, r Result) {
	t.Helper()
	body, err := io.ReadAll(r.Response.Body)
	if err != nil || string(body) != "done" {
		t.Errorf("body %q, err %v", body, err)
	}
	r.Response.Body.Close()
}

// A late copy of a worker's rejection was taken for the response to the same request's next
// attempt: its caller was told "not run", and it ran.
func TestLateCopyOfRejectionIsNotTheNextAttemptsResponse(t *testing.T) {
	w := newRepeatingWorker(t, notRunResponse)
	x := repeatingExecutor(w)
	if r := x.Do(t.Context(), requestMessage(1, "payout-1")); r.Response != nil || !r.Refusal.NotRun {
		t.Fatalf("the worker's rejection was read as %+v", r)
	}
	r := x.Do(t.Context(), requestMessage(2, "payout-1"))
	if r.Response == nil {
		t.Fatalf("refused with %+v, runs at the worker: %d", r.Refusal, w.runs.Load())
	}
	readAll(t, r)
}

// A request that had been given the connection of a rejection before the rejection was read
// lost its response to a late copy.
func TestRequestThatWaitedForConnectionOfRejectionIsAnswered(t *testing.T) {
	w := newRepeatingWorker(t, notRunResponse)
	w.responds = make(chan struct{})
	x := repeatingExecutor(w)
	x.renewTransports(limits{slots: 4, connections: 1})
	results := make(chan Result, 1)
	go func() { results <- x.Do(context.Background(), requestMessage(1, "payout-1")) }()
	awaitCount(t, &w.received, 1)
	waiting := make(chan Result, 1)
	go func() { waiting <- x.Do(context.Background(), requestMessage(2, "payout-2")) }()
	await(t, x.owner, func(r model.LoadReport) bool { return r.InFlight == 2 })
	close(w.responds)
	if r := <-results; r.Response != nil || !r.Refusal.NotRun {
		t.Fatalf("the worker's rejection was read as %+v", r)
	}
	r := <-waiting
	if r.Response == nil {
		t.Fatalf("refused with %+v, runs at the worker: %d", r.Refusal, w.runs.Load())
	}
	readAll(t, r)
}

// awaitCount waits until n has reached a value.
func awaitCount(t *testing.T, n *atomic.Int64, value int64) {
	t.Helper()
	poll := time.NewTicker(time.Millisecond)
	defer poll.Stop()
	for range 10_000 {
		if n.Load() >= value {
			return
		}
		<-poll.C
	}
	t.Fatalf("%d, want %d", n.Load(), value)
}

// Of the payouts that followed each other on the connections of a worker that sends its
// responses once more, every second one lost its response.
func TestWorkerThatRepeatsResponsesCostsOnePayoutItsResponse(t *testing.T) {
	w := newRepeatingWorker(t, "200 OK")
	x := repeatingExecutor(w)
	lost := 0
	for sequence := range uint64(8) {
		r := x.Do(t.Context(), requestMessage(sequence+1, model.RequestID("payout-"+strconv.FormatUint(sequence, 10))))
		if r.Response == nil {
			lost++
			continue
		}
		if _, err := io.ReadAll(r.Response.Body); err != nil {
			t.Error(err)
		}
		r.Response.Body.Close()
	}
	if lost != 1 {
		t.Errorf("%d responses lost, want 1", lost)
	}
}
