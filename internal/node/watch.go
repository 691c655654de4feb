package node

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/event"
	"gypsumstand/internal/health"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/pause"
)

// Settings of polling the worker.
const (
	pollTimeout   = time.Second
	maxPollBytes  = 4 << 10
	noBundlePause = 100 * time.Millisecond
	minPollPause  = 50 * time.Millisecond
	// livenessPause is the interval of polls if the budget is reserved for load samples:
	// they only check that the worker is running.
	livenessPause = 400 * time.Millisecond
	// limitedPause is the shortest interval of polls of a worker that names a rate limit:
	// each poll is one more request to it.
	limitedPause = time.Second
)

// workerWatch tracks the worker's state by polls and traffic.
type workerWatch struct {
	node   *Node
	client *http.Client

	mu      sync.Mutex
	tracker *health.Tracker
	// reportedID is the id that the worker last reported, in responses of its health path
	// or in a refusal of a request that was meant for another worker.
	reportedID model.WorkerID
	// polling is closed when the poll for a load sample in progress has ended; nil if
	// there is none.
	polling chan struct{}
	// answeredPollBegan is when the last poll with a response began, refusedAt when a
	// connection was last refused because nothing listened on the port.
	answeredPollBegan, refusedAt time.Time
}

func newWorkerWatch(n *Node) *workerWatch {
	transport := &http.Transport{Proxy: nil, DisableCompression: true, MaxConnsPerHost: 1}
	client := &http.Client{
		Transport:     transport,
		Timeout:       pollTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	tracker := health.NewTracker()
	if n.cfg.Directory != nil {
		tracker = health.NewReachabilityTracker()
	}
	return &workerWatch{node: n, client: client, tracker: tracker}
}

// run polls at the interval that the bundle's measuring budget allows, until the node
// stops. Without a health path the worker counts as live while its port accepts
// connections.
func (w *workerWatch) run() {
	defer w.client.CloseIdleConnections()
	for w.node.ctx.Err() == nil {
		set := w.node.core.Board.Bundles.Get()
		svc, b := set.Service(w.node.cfg.Service)
		if svc == nil {
			pause.For(w.node.ctx, noBundlePause)
			continue
		}
		if w.node.core.OwnerLimiter.AllowPoll(time.Now()) {
			w.pollOnce(svc.HealthPath)
		}
		pause.For(w.node.ctx, w.pollPause(b))
	}
}

// refreshTimeout bounds the wait for a load sample; a worker usually responds within
// 1 ms.
const refreshTimeout = 20 * time.Millisecond

// refresh polls the worker if the last load sample is too old, within the measuring
// budget. Concurrent attempts wait for the same response. It blocks for at most
// refreshTimeout; without a response the attempt is decided on the existing data.
func (w *workerWatch) refresh(ctx context.Context) {
	if !w.node.core.Owner.NeedsSample(time.Now()) {
		return
	}
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-w.startPoll():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// startPoll returns a channel that is closed when the poll in progress, or one that it
// starts, has ended. If no poll is allowed, the channel is already closed.
func (w *workerWatch) startPoll() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.polling != nil {
		return w.polling
	}
	done := make(chan struct{})
	svc, _ := w.node.core.Board.Bundles.Get().Service(w.node.cfg.Service)
	if svc == nil || !w.node.core.OwnerLimiter.AllowPoll(time.Now()) {
		close(done)
		return done
	}
	w.polling = done
	w.node.start(func() {
		w.pollOnce(svc.HealthPath)
		w.mu.Lock()
		w.polling = nil
		w.mu.Unlock()
		close(done)
	})
	return done
}

func (w *workerWatch) pollPause(b *bundle.Bundle) time.Duration {
	pause := pollPause(b.Measuring.PerUpstreamPerSecond * b.Measuring.PollShare)
	if w.node.cfg.Directory != nil {
		pause = max(pause, livenessPause)
	}
	if _, limited := w.node.core.Owner.RateLimit(); limited {
		pause = max(pause, limitedPause)
	}
	return pause
}

// sampleForQueue keeps load samples fresh while queued attempts depend on them. It is
// called with the owner's ticks and does not block.
func (w *workerWatch) sampleForQueue() {
	if w.node.core.Owner.WaitsForSample(time.Now()) {
		w.startPoll()
	}
}

func pollPause(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return max(time.Duration(float64(time.Second)/perSecond), minPollPause)
}

// poll sends the worker one health request; without a health path it only opens a
// connection.
func (w *workerWatch) poll(path string) health.Poll {
	if path == "" {
		return w.checkPort()
	}
	req, err := http.NewRequestWithContext(w.node.ctx, http.MethodGet, "http://"+w.node.cfg.WorkerAddress+path, nil)
	if err != nil {
		return health.Poll{}
	}
	sent := time.Now()
	resp, err := w.client.Do(req)
	if err != nil {
		w.recordRefused(err)
		return health.Poll{Refused: isDialError(err)}
	}
	defer resp.Body.Close()
	return w.readPoll(resp, sent)
}

func (w *workerWatch) readPoll(resp *http.Response, sent time.Time) health.Poll {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPollBytes))
	if err != nil {
		return health.Poll{}
	}
	report := w.node.cfg.Workers.ReadHealth(resp, data)
	w.node.executor.Deliver(w.node.core.Owner.ObserveLoad(time.Now(), report.Load))
	w.recordWarming(sent, report.Warming)
	ds, change := w.node.core.Owner.ObservePolledRateLimit(time.Now(), sent, report.RateLimit)
	w.rateLimitObserved(ds, change, report.RateLimit)
	if report.Worker != "" {
		w.identified(report.Worker)
	}
	if report.Leaving && w.node.cfg.Directory != nil {
		w.observeLeaving(report.Worker)
	}
	return health.Poll{Answered: true, OK: report.OK, Leaving: report.Leaving}
}

// recordWarming records how much longer the worker is warming, from a response to a poll
// sent at the given time.
func (w *workerWatch) recordWarming(sent time.Time, left time.Duration) {
	ds, changed := w.node.core.Owner.ObserveWarming(time.Now(), sent, left)
	w.node.executor.Deliver(ds)
	if changed {
		event.Log(&w.node.log, event.WorkerWarming).Int("left_ms", left.Milliseconds()).Send()
	}
}

// workerDescribed records what a response to a request says about the worker; it implements
// server.ExecutorConfig.WorkerDescribed.
func (w *workerWatch) workerDescribed(sent time.Time, worker model.WorkerID, head dialect.ResponseHead) {
	if head.Leaving {
		w.observeLeaving(worker)
	}
	ds, change := w.node.core.Owner.ObserveRateLimit(time.Now(), sent, head.RateLimit)
	w.rateLimitObserved(ds, change, head.RateLimit)
}

// observeLeaving records that a worker says that it is leaving.
func (w *workerWatch) observeLeaving(worker model.WorkerID) {
	if w.node.core.Owner.ObserveLeaving(time.Now(), worker) {
		event.Log(&w.node.log, event.WorkerLeaving).Str("worker", string(worker)).Send()
	}
}

// rateLimitObserved passes on the owner's decisions after it has heard of the worker's rate
// limit, and logs a change.
func (w *workerWatch) rateLimitObserved(ds []owner.Decision, change owner.RateLimitChange, l dialect.RateLimit) {
	w.node.executor.Deliver(ds)
	if change == owner.RateLimitUnchanged {
		return
	}
	event.Log(&w.node.log, event.WorkerRateLimit).Str("change", change.String()).
		Float("per_second", l.PerSecond).Str("worker", string(w.node.worker())).Send()
}

// identified records the id that the worker reports. It blocks while the core's queue is
// full.
func (w *workerWatch) identified(id model.WorkerID) {
	w.mu.Lock()
	before := w.reportedID
	w.reportedID = id
	w.mu.Unlock()
	if before != id {
		w.node.sink(control.WorkerIdentified{Worker: id})
	}
}

// workerID returns the id that the worker last reported, or empty.
func (w *workerWatch) workerID() model.WorkerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reportedID
}

// checkPort opens and closes a connection.
func (w *workerWatch) checkPort() health.Poll {
	ctx, cancel := context.WithTimeout(w.node.ctx, pollTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", w.node.cfg.WorkerAddress)
	if err != nil {
		w.recordRefused(err)
		return health.Poll{Refused: true}
	}
	conn.Close()
	return health.Poll{Answered: true, OK: true}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (w *workerWatch) recordPoll(p health.Poll) {
	if w.node.ctx.Err() != nil {
		return
	}
	w.stateChanged(w.update(func() model.UpstreamState { return w.tracker.ObservePoll(time.Now(), p) }))
}

// update applies an observation to the tracker and returns the worker's state before and
// after it. If that panics, the lock is released.
func (w *workerWatch) update(observe func() model.UpstreamState) (before, after model.UpstreamState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before = w.tracker.State()
	return before, observe()
}

// connectionObserved evaluates the result of a connection for an attempt; it implements
// server.ExecutorConfig.ConnectionObserved.
func (w *workerWatch) connectionObserved(refused bool) {
	w.stateChanged(w.update(func() model.UpstreamState { return w.tracker.ObserveTraffic(time.Now(), refused) }))
}

func (w *workerWatch) stateChanged(before, after model.UpstreamState) {
	if before == after {
		return
	}
	event.Log(&w.node.log, event.WorkerState).Str("from", before.String()).Str("to", after.String()).Send()
	w.node.sink(control.SelfStateChanged{State: after})
}

// breakerChanged logs that this node's worker begins to fail every attempt, or responds
// again.
func (n *Node) breakerChanged(open bool) {
	id := event.WorkerRecovered
	if open {
		id = event.WorkerFailing
	}
	event.Log(&n.log, id).Send()
}
