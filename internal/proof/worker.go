package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/health"
	"gypsumstand/internal/model"
	"gypsumstand/internal/window"
)

// Times of a worker.
const (
	shortestService = 3 * time.Millisecond
	longestService  = 20 * time.Millisecond
	workerDelay     = 100 * time.Microsecond
)

// worker is the upstream beside a node, as its owner sees it.
type worker struct {
	node *node
	// cold: connections are refused. draining: new requests are shed and the health
	// endpoint reports leaving, until the worker is replaced.
	cold, draining bool
	// Faults; fail, shed, truncate, cross and hangup are shares of the requests.
	slowdown                            float64
	fail, shed, truncate, cross, hangup float64
	paused                              bool
	pending                             []func()
	running                             int
	// inFlight are the unfinished runs; finished ones are removed when the next run begins.
	inFlight []*run
	// reported is what the health endpoint reports; it lags by reportLag.
	reported  health.Poll
	reportLag time.Duration
	// warmingUntil is when the warm-up ends; warmingArrivals are the requests of the last
	// second that arrived during it.
	warmingUntil    time.Time
	warmingArrivals window.Counter
	// announces: responses say that the worker is leaving, until it is replaced.
	announces bool
	// rateLimit is the limit that the worker names until limitedUntil, in requests a second;
	// limitInHealth reports that health responses name it too, limitHeard that its node has
	// heard it. limitedArrivals are the requests of the last rateLimitWindow since then.
	rateLimit       float64
	limitedUntil    time.Time
	limitInHealth   bool
	limitHeard      bool
	limitedArrivals window.Counter
	// lastRequest is the request that was answered last.
	lastRequest model.RequestID
}

// run is one request at a worker.
type run struct {
	wk        *worker
	j         *job
	cancelled bool
	done      bool
}

// responseKind is the way in which a worker responds.
type responseKind uint8

const (
	responseComplete responseKind = iota
	responseTruncated
	responseCrossed
	responseShed
	// responseClosed: the connection closes without a response.
	responseClosed
)

type workerResponse struct {
	kind      responseKind
	request   model.RequestID
	failed    bool
	rateLimit dialect.RateLimit
	leaving   bool
}

func (a workerResponse) status() int {
	if a.failed {
		return 500
	}
	return 200
}

func newWorker(n *node) *worker {
	return &worker{
		node: n, slowdown: 1, reported: health.Poll{Answered: true, OK: true},
		warmingArrivals: window.NewCounter(time.Second), limitedArrivals: window.NewCounter(rateLimitWindow),
	}
}

func (wk *worker) refusesConnections() bool { return wk.cold }

// whenRunning runs f now, or after the worker's pause.
func (wk *worker) whenRunning(f func()) {
	if wk.paused {
		wk.pending = append(wk.pending, f)
		return
	}
	f()
}

// pause stops the worker's process for d.
func (wk *worker) pause(d time.Duration) {
	if wk.paused {
		return
	}
	wk.paused = true
	wk.node.w.after(d, wk.resume)
}

func (wk *worker) resume() {
	wk.paused = false
	waiting := wk.pending
	wk.pending = nil
	for _, f := range waiting {
		f()
	}
}

// send takes a request from the owner.
func (wk *worker) send(j *job) *run {
	r := &run{wk: wk, j: j}
	wk.node.w.after(workerDelay, func() {
		wk.recordArrival()
		wk.recordLimitedArrival()
		wk.whenRunning(r.begin)
	})
	if wk.node.w.options.replay && wk.node.w.chance(0.1) {
		replayed := &run{wk: wk, j: &job{proc: j.proc, attempt: j.attempt, state: jobDone}}
		wk.node.w.after(2*workerDelay, func() { wk.whenRunning(replayed.begin) })
	}
	return r
}

// begin starts the request, unless the worker sheds it.
func (r *run) begin() {
	wk, w := r.wk, r.wk.node.w
	w.ledger.checkLeaving(r.j)
	w.ledger.checkAnnounced(r.j)
	switch {
	case wk.cold:
		r.respond(workerResponse{kind: responseClosed})
		return
	case wk.draining || w.chance(wk.shed):
		r.respond(workerResponse{kind: responseShed})
		return
	}
	wk.running++
	wk.inFlight = append(slices.DeleteFunc(wk.inFlight, func(o *run) bool { return o.done }), r)
	w.ledger.recordRun(wk, r.j)
	if r.j.submission().deadly != nil {
		// The crash of its worker ends this run.
		return
	}
	took := time.Duration(float64(w.between(shortestService, longestService)) * wk.slowdown)
	fails := w.chance(wk.fail)
	if fails {
		took = time.Millisecond
	}
	w.after(took, func() { wk.whenRunning(func() { r.finish(fails) }) })
}

func (r *run) finish(fails bool) {
	wk, w := r.wk, r.wk.node.w
	if r.done {
		return
	}
	r.done = true
	wk.running--
	resp := workerResponse{request: r.j.attempt.Request, failed: fails}
	switch {
	case wk.cold || w.chance(wk.hangup):
		resp = workerResponse{kind: responseClosed}
	case wk.lastRequest != "" && wk.lastRequest != resp.request && w.chance(wk.cross):
		resp = workerResponse{kind: responseCrossed, request: wk.lastRequest}
	case w.chance(wk.truncate):
		resp.kind = responseTruncated
	}
	wk.lastRequest = r.j.attempt.Request
	r.respond(resp)
}

// respond sends a response to the owner's process that sent the request.
func (r *run) respond(resp workerResponse) {
	if r.cancelled {
		return
	}
	proc := r.j.proc
	resp.rateLimit = r.wk.namedRateLimit()
	resp.leaving = r.wk.announces
	proc.after(workerDelay, func() { r.j.handleResponse(resp) })
}

// cancel closes the connection to the worker, which stops the run in half of the cases.
func (r *run) cancel() {
	r.cancelled = true
	if r.done || r.wk.node.w.chance(0.5) {
		return
	}
	r.wk.node.w.after(workerDelay, func() {
		r.wk.whenRunning(func() {
			if !r.done && r.wk.running > 0 {
				r.done = true
				r.wk.running--
			}
		})
	})
}

// publishHealth updates what the health endpoint reports, after reportLag.
func (wk *worker) publishHealth() {
	poll := health.Poll{Answered: true, OK: !wk.draining, Leaving: wk.draining}
	wk.node.w.after(wk.reportLag, func() { wk.reported = poll })
}

// drain makes the worker finish its runs and shed new requests, until it is replaced.
func (wk *worker) drain() {
	wk.draining = true
	wk.publishHealth()
}

// replace replaces this worker with a new one.
func (wk *worker) replace() {
	wk.clearFaults()
	wk.cold = false
	wk.draining = false
	wk.announces = false
	wk.publishHealth()
}

// clearFaults ends the worker's temporary faults.
func (wk *worker) clearFaults() {
	wk.slowdown, wk.reportLag = 1, 0
	wk.fail, wk.shed, wk.truncate, wk.cross, wk.hangup = 0, 0, 0, 0, 0
}
