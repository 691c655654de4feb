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
	"gypsumstand/internal/event"
	"gypsumstand/internal/health"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
)

// Bounds of polling the worker.
const (
	pollTimeout   = time.Second
	maxPollBytes  = 4 << 10
	noBundlePause = 100 * time.Millisecond
	minPollPause  = 50 * time.Millisecond
	// livenessPause is the pace of polls where the budget is meant for refresh: they
	// only show that the worker lives.
	livenessPause = 400 * time.Millisecond
)

// workerWatch follows the worker's life stage from polls and traffic.
type workerWatch struct {
	node   *Node
	client *http.Client

	mu    sync.Mutex
	judge *health.Tracker
	// life is the worker as it last named itself, in answers of its health path and
	// where it refused what was meant for another.
	life model.WorkerID
	// fresh is closed when the refreshing poll under way has ended; nil when there
	// is none.
	fresh chan struct{}
	// answeredSince is when the last poll that was answered began, refusedAt when a
	// connection was last refused, as by a port that nobody listens on.
	answeredSince, refusedAt time.Time
}

func newWorkerWatch(n *Node) *workerWatch {
	transport := &http.Transport{Proxy: nil, DisableCompression: true, MaxConnsPerHost: 1}
	client := &http.Client{
		Transport:     transport,
		Timeout:       pollTimeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	judge := health.NewTracker()
	if n.cfg.Directory != nil {
		judge = health.NewReachabilityTracker()
	}
	return &workerWatch{node: n, client: client, judge: judge}
}

// run polls at the pace that the bundle's measuring budget leaves, until the
// node stops. A service without a health path has its worker taken for live
// until traffic says otherwise.
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
			w.ask(svc.HealthPath)
		}
		pause.For(w.node.ctx, w.pollPause(b))
	}
}

// refreshTimeout bounds the wait for a sample: a worker answers it in 1 ms.
const refreshTimeout = 20 * time.Millisecond

// refresh asks the worker how it is where the last sample is too old, within the
// measuring budget. Attempts that come meanwhile wait for the same answer. It blocks
// for refreshTimeout at most; without an answer the attempt is decided on what is
// known.
func (w *workerWatch) refresh(ctx context.Context) {
	if !w.node.core.Owner.NeedsSample(time.Now()) {
		return
	}
	timer := time.NewTimer(refreshTimeout)
	defer timer.Stop()
	select {
	case <-w.refreshing():
	case <-timer.C:
	case <-ctx.Done():
	}
}

// refreshing returns a channel that is closed when the poll under way, or one that begins
// now, has ended.
func (w *workerWatch) refreshing() <-chan struct{} {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fresh != nil {
		return w.fresh
	}
	done := make(chan struct{})
	svc, _ := w.node.core.Board.Bundles.Get().Service(w.node.cfg.Service)
	if svc == nil || !w.node.core.OwnerLimiter.AllowPoll(time.Now()) {
		close(done)
		return done
	}
	w.fresh = done
	w.node.start(func() {
		w.ask(svc.HealthPath)
		w.mu.Lock()
		w.fresh = nil
		w.mu.Unlock()
		close(done)
	})
	return done
}

func (w *workerWatch) pollPause(b *bundle.Bundle) time.Duration {
	pause := pollPause(b.Measuring.PerUpstreamPerSecond * b.Measuring.PollShare)
	if w.node.cfg.Directory != nil {
		return max(pause, livenessPause)
	}
	return pause
}

// followHeld keeps samples fresh while attempts wait for what they show. It is
// called with the owner's ticks and does not block.
func (w *workerWatch) followHeld() {
	if w.node.core.Owner.WaitsForSample(time.Now()) {
		w.refreshing()
	}
}

func pollPause(perSecond float64) time.Duration {
	if perSecond <= 0 {
		return time.Second
	}
	return max(time.Duration(float64(time.Second)/perSecond), minPollPause)
}

// poll asks the worker once; without a health path it only opens a connection.
func (w *workerWatch) poll(path string) health.Poll {
	if path == "" {
		return w.knock()
	}
	req, err := http.NewRequestWithContext(w.node.ctx, http.MethodGet, "http://"+w.node.cfg.WorkerAddress+path, nil)
	if err != nil {
		return health.Poll{}
	}
	asked := time.Now()
	resp, err := w.client.Do(req)
	if err != nil {
		w.noteRefused(err)
		return health.Poll{Refused: isDialError(err)}
	}
	defer resp.Body.Close()
	return w.readPoll(resp, asked)
}

func (w *workerWatch) readPoll(resp *http.Response, asked time.Time) health.Poll {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxPollBytes))
	if err != nil {
		return health.Poll{}
	}
	said := w.node.cfg.Workers.ReadHealth(resp, data)
	w.node.executor.Deliver(w.node.core.Owner.ObserveLoad(time.Now(), said.Load))
	w.noteWarming(asked, said.Warming)
	if said.Worker != "" {
		w.said(said.Worker)
	}
	return health.Poll{Answered: true, OK: said.OK, Leaving: said.Leaving}
}

// noteWarming takes the worker's word, in an answer to a question sent at asked, of how much
// longer it is warming.
func (w *workerWatch) noteWarming(asked time.Time, left time.Duration) {
	ds, turned := w.node.core.Owner.ObserveWarming(time.Now(), asked, left)
	w.node.executor.Deliver(ds)
	if turned {
		event.Log(&w.node.log, event.WorkerWarming).Int("left_ms", left.Milliseconds()).Send()
	}
}

// said takes the worker's own word of who it is. It does not block.
func (w *workerWatch) said(id model.WorkerID) {
	w.mu.Lock()
	before := w.life
	w.life = id
	w.mu.Unlock()
	if before != id {
		w.node.sink(control.WorkerIdentified{Worker: id})
	}
}

// worker returns the worker as it last named itself, or empty.
func (w *workerWatch) worker() model.WorkerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life
}

// knock opens and closes a connection.
func (w *workerWatch) knock() health.Poll {
	ctx, cancel := context.WithTimeout(w.node.ctx, pollTimeout)
	defer cancel()
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", w.node.cfg.WorkerAddress)
	if err != nil {
		w.noteRefused(err)
		return health.Poll{Refused: true}
	}
	conn.Close()
	return health.Poll{Answered: true, OK: true}
}

func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (w *workerWatch) polled(p health.Poll) {
	if w.node.ctx.Err() != nil {
		return
	}
	w.changed(w.judged(func() model.UpstreamState { return w.judge.ObservePoll(time.Now(), p) }))
}

// judged returns the worker's state before and after a judgement; one that panics leaves no
// lock behind.
func (w *workerWatch) judged(judge func() model.UpstreamState) (before, after model.UpstreamState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	before = w.judge.State()
	return before, judge()
}

// traffic takes the evidence of real work; it is the executor's hook.
func (w *workerWatch) traffic(refused bool) {
	w.changed(w.judged(func() model.UpstreamState { return w.judge.ObserveTraffic(time.Now(), refused) }))
}

func (w *workerWatch) changed(before, after model.UpstreamState) {
	if before == after {
		return
	}
	event.Log(&w.node.log, event.WorkerState).Str("from", before.String()).Str("to", after.String()).Send()
	w.node.sink(control.SelfStateChanged{State: after})
}

// workerBreaks is told when this node's worker begins to break every attempt, and when
// that ends.
func (n *Node) workerBreaks(open bool) {
	id := event.WorkerRecovered
	if open {
		id = event.WorkerFailing
	}
	event.Log(&n.log, id).Send()
}
