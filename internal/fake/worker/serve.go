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

// retryAfterSeconds is the advice that goes with a shed request.
const retryAfterSeconds = "1"

// previousAnswer is what a crossed answer shows.
type previousAnswer struct {
	attempt string
	body    []byte
}

// work is one request for work.
type work struct {
	request answer.Request
	attempt string
	profile Profile
	// deadline is zero when the request named none.
	deadline time.Time
	http     *http.Request
}

// connKey is the context key of a connection's request counter.
type connKey struct{}

// countRequests gives each connection a counter of its requests.
func countRequests(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, new(atomic.Int64))
}

// countOnConnection counts the request on its connection and tells whether the
// connection was used before.
func countOnConnection(r *http.Request) (reused bool) {
	n, ok := r.Context().Value(connKey{}).(*atomic.Int64)
	return ok && n.Add(1) > 1
}

// serveWork serves every path but the measuring ones. It panics with
// http.ErrAbortHandler where a fault cuts the connection.
func (w *Worker) serveWork(rw http.ResponseWriter, r *http.Request) {
	w.count(&w.counters.Received)
	reused := countOnConnection(r)
	w.awaitPause()
	if w.refusesWork(rw, r) {
		return
	}
	job, err := w.read(rw, r)
	if err != nil {
		w.count(&w.counters.BrokenBody)
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	if !w.enter(rw, job) {
		return
	}
	release := onceOnly(w.slots.release)
	defer release()
	w.start(job)
	w.closeFault(reused)
	if w.drawn(func(f *Faults) float64 { return f.FailShare }) {
		w.count(&w.counters.Failed)
		release()
		w.fail(rw, job, http.StatusInternalServerError, "failing fast")
		return
	}
	if !w.run(rw, job) {
		return
	}
	// The slot is free before the caller can know that the run has ended.
	release()
	w.answer(rw, job)
}

// onceOnly returns f bounded to one call; for one goroutine.
func onceOnly(f func()) func() {
	done := false
	return func() {
		if !done {
			done = true
			f()
		}
	}
}

// refusesWork plays the faults that keep a request from being admitted.
func (w *Worker) refusesWork(rw http.ResponseWriter, r *http.Request) bool {
	f := w.Faults()
	switch {
	case f.Cold == ColdRefuse:
		w.count(&w.counters.Refused)
		panic(http.ErrAbortHandler)
	case f.Cold == ColdShed:
		w.shed(rw, r, "cold")
	case f.Draining:
		w.shed(rw, r, "draining")
	case w.drawn(func(f *Faults) float64 { return f.ShedShare }):
		w.shed(rw, r, "shedding load")
	default:
		return false
	}
	return true
}

// shed answers that the request was not run, in its own name, so that the word
// cannot be taken for another request's.
func (w *Worker) shed(rw http.ResponseWriter, r *http.Request, why string) {
	w.count(&w.counters.Shed)
	h := rw.Header()
	if echo := r.Header.Get(wire.HeaderAttempt); echo != "" {
		h.Set(wire.HeaderAttempt, echo)
	}
	h.Set(wire.HeaderNotRun, "true")
	h.Set(wire.HeaderRetryAfter, retryAfterSeconds)
	http.Error(rw, why, http.StatusServiceUnavailable)
}

// read takes in the whole request.
func (w *Worker) read(rw http.ResponseWriter, r *http.Request) (*work, error) {
	arrived := time.Now()
	job := &work{
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

// enter waits for a slot; when there is none it answers and returns false.
func (w *Worker) enter(rw http.ResponseWriter, job *work) bool {
	patience := time.Duration(w.cfg.QueueMs) * time.Millisecond
	if !job.deadline.IsZero() && !w.Faults().IgnoreDeadline {
		patience = min(patience, time.Until(job.deadline))
	}
	result, queued := w.slots.take(job.http.Context(), patience)
	if queued {
		w.count(&w.counters.OverSlots)
	}
	switch result {
	case slotTaken:
		return true
	case slotCancelled:
		w.count(&w.counters.LeftQueue)
	case slotFull:
		w.shed(rw, job.http, "queue is full")
	case slotLate:
		w.count(&w.counters.LeftQueue)
		w.shed(rw, job.http, "no slot came free in time")
	}
	return false
}

// start counts the run; from here on the request has run.
func (w *Worker) start(job *work) {
	if job.request.ID != "" {
		w.ledger.add(job.request.ID)
	}
	running, _ := w.slots.load()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counters.Started++
	w.counters.PeakRunning = max(w.counters.PeakRunning, running)
}

// end ends the worker's process, which is back after a while; a worker that is down ends
// no second time.
func (w *Worker) end() {
	if w.Faults().Cold == ColdRefuse {
		return
	}
	w.setCold(ColdRefuse)
	time.AfterFunc(w.cfg.RestartDelay, func() { w.setCold(ColdNone) })
}

// setCold changes one fault that passes all checks.
func (w *Worker) setCold(c ColdMode) {
	// The listener's error comes only once the worker is closed for good.
	_ = w.ChangeFaults(func(f *Faults) { f.Cold = c })
}

// closeFault plays the faults that lose a whole answer.
func (w *Worker) closeFault(reused bool) {
	closes := w.drawn(func(f *Faults) float64 { return f.CloseShare })
	if reused && !closes {
		closes = w.drawn(func(f *Faults) float64 { return f.CloseReusedShare })
	}
	if closes {
		w.count(&w.counters.Closed)
		w.count(&w.counters.Finished)
		panic(http.ErrAbortHandler)
	}
}

// run spends the service time and makes the calls below; false means that the
// run ended early and was answered, or that nobody waits for an answer.
func (w *Worker) run(rw http.ResponseWriter, job *work) bool {
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
		w.end()
		panic(http.ErrAbortHandler)
	}
	err := pause.For(ctx, w.serviceTime(&job.profile))
	if err == nil {
		err = w.callNext(ctx, job)
	}
	w.awaitPause()
	if err == nil {
		return true
	}
	w.endEarly(ctx, rw, job, err)
	return false
}

// endEarly answers a run that did not come to its end.
func (w *Worker) endEarly(ctx context.Context, rw http.ResponseWriter, job *work, err error) {
	switch ctx.Err() {
	case context.Canceled:
		w.count(&w.counters.Cancelled)
		panic(http.ErrAbortHandler)
	case context.DeadlineExceeded:
		w.count(&w.counters.Expired)
		w.fail(rw, job, http.StatusGatewayTimeout, "deadline passed")
	default:
		w.count(&w.counters.Failed)
		w.fail(rw, job, http.StatusBadGateway, err.Error())
	}
}

// fail answers with the worker's own error.
func (w *Worker) fail(rw http.ResponseWriter, job *work, status int, why string) {
	if job.attempt != "" {
		rw.Header().Set(wire.HeaderAttempt, job.attempt)
	}
	http.Error(rw, why, status)
}

// answer sends the answer, or what faults make of it.
func (w *Worker) answer(rw http.ResponseWriter, job *work) {
	w.count(&w.counters.Finished)
	own := previousAnswer{attempt: job.attempt, body: answer.Make(job.request, job.profile.SizeBytes)}
	sent := w.cross(own)
	h := rw.Header()
	if sent.attempt != "" {
		h.Set(wire.HeaderAttempt, sent.attempt)
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(sent.body)))
	if w.drawn(func(f *Faults) float64 { return f.CutShare }) {
		w.count(&w.counters.Cut)
		_, _ = rw.Write(sent.body[:len(sent.body)/2]) // cut either way
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(sent.body) // the caller is gone when this fails
}

// cross remembers own for later crossed answers and returns what is sent.
func (w *Worker) cross(own previousAnswer) previousAnswer {
	wholly := w.drawn(func(f *Faults) float64 { return f.CrossedShare })
	body := w.drawn(func(f *Faults) float64 { return f.CrossedBodyShare })
	w.mu.Lock()
	defer w.mu.Unlock()
	other := w.previous
	w.previous = own
	if other.body == nil {
		other = madeUpAnswer()
	}
	switch {
	case wholly:
		w.counters.Crossed++
		return other
	case body:
		w.counters.Crossed++
		return previousAnswer{attempt: own.attempt, body: other.body}
	}
	return own
}

// madeUpAnswer stands for another request's answer before there was any.
func madeUpAnswer() previousAnswer {
	r := answer.Request{ID: "made-up", Target: "/made-up"}
	return previousAnswer{attempt: "made-up/1/1", body: answer.Make(r, 0)}
}
