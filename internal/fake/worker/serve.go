package worker

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/answer"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/wire"
)

// retryAfterSeconds is the Retry-After value of a shed request.
const retryAfterSeconds = "1"

// previousAnswer is the answer that a crossed answer repeats.
type previousAnswer struct {
	attempt string
	body    []byte
}

// workRequest is a request for work with its parsed headers.
type workRequest struct {
	request answer.Request
	attempt string
	profile Profile
	// deadline is zero when the request has none.
	deadline time.Time
	http     *http.Request
}

// connKey is the context key of a connection's request counter.
type connKey struct{}

// countRequests attaches a request counter to each connection.
func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(atomic.Int64))
}

// countOnConnection counts the request on its connection and reports whether it is not
// the connection's first.
func countOnConnection(r *http.Request) (reused bool) {
	n, ok := r.Context().Value(connKey{}).(*atomic.Int64)
	return ok && n.Add(1) > 1
}

// serveWork serves every path except the health and load endpoints. It panics with
// http.ErrAbortHandler where a fault cuts the connection.
func (w *Worker) serveWork(rw http.ResponseWriter, r *http.Request) {
	w.count(&w.counters.Received)
	reused := countOnConnection(r)
	w.waitForPause()
	if w.rejectByFault(rw, r) {
		return
	}
	job, err := w.readRequest(rw, r)
	if err != nil {
		w.count(&w.counters.BrokenBody)
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if !w.acquireSlot(rw, job) {
		return
	}
	release := callOnce(w.slots.release)
	defer release()
	w.countRun(job)
	w.injectClose(reused)
	if w.drawFault(func(f *Faults) float64 { return f.FailShare }) {
		w.count(&w.counters.Failed)
		release()
		w.respondError(rw, job, http.StatusInternalServerError, "failing fast")
		return
	}
	if !w.run(rw, job) {
		return
	}
	// The slot is freed before the caller can observe the end of the run.
	release()
	w.respond(rw, job)
}

// callOnce returns a function that calls f the first time only; it is not safe for
// concurrent use.
func callOnce(f func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			f()
		}
	}
}

// rejectByFault applies the faults that prevent a request's admission and reports whether
// one did.
func (w *Worker) rejectByFault(rw http.ResponseWriter, r *http.Request) bool {
	f := w.Faults()
	switch {
	case f.Cold == ColdRefuse:
		w.count(&w.counters.Refused)
		panic(http.ErrAbortHandler)
	case f.Cold == ColdShed:
		w.shed(rw, r, "cold")
	case f.Draining:
		w.shed(rw, r, "draining")
	case w.drawFault(func(f *Faults) float64 { return f.ShedShare }):
		w.shed(rw, r, "shedding load")
	default:
		return false
	}
	return true
}

// shed responds that the request was not run. It echoes the request's own attempt, so
// that the response can't be attributed to another request.
func (w *Worker) shed(rw http.ResponseWriter, r *http.Request, reason string) {
	w.count(&w.counters.Shed)
	h := rw.Header()
	if echo := r.Header.Get(wire.HeaderAttempt); echo != "" {
		h.Set(wire.HeaderAttempt, echo)
	}
	h.Set(wire.HeaderNotRun, "true")
	h.Set(wire.HeaderRetryAfter, retryAfterSeconds)
	http.Error(rw, reason, http.StatusServiceUnavailable)
}

// readRequest parses the headers and reads the complete body.
func (w *Worker) readRequest(rw http.ResponseWriter, r *http.Request) (*workRequest, error) {
	arrived := time.Now()
	job := &workRequest{
		request: answer.Request{ID: model.RequestID(r.Header.Get(wire.HeaderIdempotencyKey)), Target: r.URL.RequestURI()},
		attempt: r.Header.Get(wire.HeaderAttempt),
		profile: w.profile(r.URL.Path),
		http:    r,
	}
	if text := r.Header.Get(wire.HeaderTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 0 {
			return nil, fmt.Errorf("%s: %q is not a number of milliseconds", wire.HeaderTimeout, text)
		}
		job.deadline = arrived.Add(time.Duration(ms) * time.Millisecond)
	}
	hash := xxhash.New()
	if _, err := io.Copy(hash, http.MaxBytesReader(rw, r.Body, answer.MaxBytes)); err != nil {
		return nil, err
	}
	job.request.BodyHash = hash.Sum64()
	return job, nil
}

// acquireSlot waits for a slot. It returns false if it got none; the request is then
// already shed, unless its caller disconnected.
func (w *Worker) acquireSlot(rw http.ResponseWriter, job *workRequest) bool {
	maxWait := time.Duration(w.cfg.QueueMs) * time.Millisecond
	if !job.deadline.IsZero() && !w.Faults().IgnoreDeadline {
		maxWait = min(maxWait, time.Until(job.deadline))
	}
	result, queued := w.slots.acquire(job.http.Context(), maxWait)
	if queued {
		w.count(&w.counters.OverSlots)
	}
	switch result {
	case slotAcquired:
		return true
	case slotCancelled:
		w.count(&w.counters.LeftQueue)
	case slotQueueFull:
		w.shed(rw, job.http, "queue is full")
	case slotTimedOut:
		w.count(&w.counters.LeftQueue)
		w.shed(rw, job.http, "no slot came free in time")
	}
	return false
}

// countRun counts the start of a run; from here on the request counts as run.
func (w *Worker) countRun(job *workRequest) {
	if job.request.ID != "" {
		w.ledger.add(job.request.ID)
	}
	running, _ := w.slots.load()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters.Started++
	w.counters.PeakRunning = max(w.counters.PeakRunning, running)
}

// crash simulates a crash of the worker's process, followed by a restart after
// RestartDelay. It does nothing while the worker is down.
func (w *Worker) crash() {
	if w.Faults().Cold == ColdRefuse {
		return
	}
	w.setCold(ColdRefuse)
	time.AfterFunc(w.cfg.RestartDelay, func() { w.setCold(ColdNone) })
}

// setCold sets the cold mode, which is valid by construction.
func (w *Worker) setCold(c ColdMode) {
	// The listener only fails once the worker is closed for good.
	_ = w.ChangeFaults(func(f *Faults) { f.Cold = c })
}

// injectClose applies the faults that close the connection instead of answering.
func (w *Worker) injectClose(reused bool) {
	closes := w.drawFault(func(f *Faults) float64 { return f.CloseShare })
	if reused && !closes {
		closes = w.drawFault(func(f *Faults) float64 { return f.CloseReusedShare })
	}
	if closes {
		w.count(&w.counters.Closed)
		w.count(&w.counters.Finished)
		panic(http.ErrAbortHandler)
	}
}

// run waits out the service time and makes the nested call. It returns false if the run
// did not complete; the error response is then already written.
func (w *Worker) run(rw http.ResponseWriter, job *workRequest) bool {
	f := w.Faults()
	ctx := job.http.Context()
	if f.IgnoreCancel {
		ctx = context.WithoutCancel(ctx)
	}
	if !job.deadline.IsZero() && !f.IgnoreDeadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, job.deadline)
		defer cancel()
	}
	if w.cfg.CrashOn != nil && w.cfg.CrashOn(job.request) {
		pause.For(context.Background(), w.cfg.CrashDelay)
		w.crash()
		panic(http.ErrAbortHandler)
	}
	err := pause.For(ctx, w.serviceTime(&job.profile))
	if err == nil {
		err = w.callNext(ctx, job)
	}
	w.waitForPause()
	if err == nil {
		return true
	}
	w.respondIncomplete(ctx, rw, job, err)
	return false
}

// respondIncomplete responds to a run that did not complete.
func (w *Worker) respondIncomplete(ctx context.Context, rw http.ResponseWriter, job *workRequest, err error) {
	switch ctx.Err() {
	case context.Canceled:
		w.count(&w.counters.Cancelled)
		panic(http.ErrAbortHandler)
	case context.DeadlineExceeded:
		w.count(&w.counters.Expired)
		w.respondError(rw, job, http.StatusGatewayTimeout, "deadline passed")
	default:
		w.count(&w.counters.Failed)
		w.respondError(rw, job, http.StatusBadGateway, err.Error())
	}
}

// respondError writes an error response of the worker itself.
func (w *Worker) respondError(rw http.ResponseWriter, job *workRequest, status int, reason string) {
	if job.attempt != "" {
		rw.Header().Set(wire.HeaderAttempt, job.attempt)
	}
	http.Error(rw, reason, status)
}

// respond writes the answer, altered by the active faults.
func (w *Worker) respond(rw http.ResponseWriter, job *workRequest) {
	w.count(&w.counters.Finished)
	current := previousAnswer{attempt: job.attempt, body: answer.Make(job.request, job.profile.SizeBytes)}
	sent := w.injectCrossed(current)
	h := rw.Header()
	if sent.attempt != "" {
		h.Set(wire.HeaderAttempt, sent.attempt)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(sent.body)))
	if w.drawFault(func(f *Faults) float64 { return f.CutShare }) {
		w.count(&w.counters.Cut)
		_, _ = rw.Write(sent.body[:len(sent.body)/2]) // the connection is cut even if this fails
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(sent.body) // fails only if the caller disconnected
}

// injectCrossed stores current for later crossed answers and returns the answer to send.
func (w *Worker) injectCrossed(current previousAnswer) previousAnswer {
	fully := w.drawFault(func(f *Faults) float64 { return f.CrossedShare })
	bodyOnly := w.drawFault(func(f *Faults) float64 { return f.CrossedBodyShare })
	w.mu.Lock()
	defer w.mu.Unlock()
	other := w.previous
	w.previous = current
	if other.body == nil {
		other = placeholderAnswer()
	}
	switch {
	case fully:
		w.counters.Crossed++
		return other
	case bodyOnly:
		w.counters.Crossed++
		return previousAnswer{attempt: current.attempt, body: other.body}
	}
	return current
}

// placeholderAnswer stands in for another request's answer before any was given.
func placeholderAnswer() previousAnswer {
	r := answer.Request{ID: "made-up", Target: "/made-up"}
	return previousAnswer{attempt: "made-up/1/1", body: answer.Make(r, 0)}
}
