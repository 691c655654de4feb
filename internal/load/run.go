package load

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
)

// Waits before a request that was not run is sent again.
const (
	minResendWait = 10 * time.Millisecond
	maxResendWait = 5 * time.Second
)

// idleConnTimeout ends the callers' idle connections.
const idleConnTimeout = 30 * time.Second

// Options are what a run needs besides its plan.
type Options struct {
	// Dial replaces the TCP dialer when present.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Oracle counts runs; nil means that what callers were told is not checked.
	Oracle Oracle
}

// generator is a run.
type generator struct {
	plan    Plan
	client  *http.Client
	prefix  string
	started time.Time

	slots     chan struct{} // bounds the requests in flight
	requests  atomic.Int64  // requests that were drawn
	turn      atomic.Uint64
	recorders []*recorder
	lateness  *latencies
	ledger    ledger
	work      sync.WaitGroup
}

// Run carries out a checked plan. It returns an error when the plan's check or
// the oracle fails; what callers met is in the result. When ctx ends, the run
// ends early and the result says so.
func Run(ctx context.Context, plan Plan, opts Options) (*Result, error) {
	plan, err := CheckPlan(plan)
	if err != nil {
		return nil, err
	}
	g := newGenerator(plan, opts)
	defer g.client.CloseIdleConnections()
	steps := g.run(ctx)
	result := g.result(steps)
	result.EndedEarly = ctx.Err() != nil
	if opts.Oracle == nil {
		return result, nil
	}
	pause.For(ctx, milliseconds(plan.SettleMs))
	result.Oracle, err = g.ledger.check(ctx, opts.Oracle)
	return result, err
}

func newGenerator(plan Plan, opts Options) *generator {
	dial := opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	g := &generator{
		plan:     plan,
		prefix:   "load-" + strconv.FormatUint(rand.Uint64(), 36) + "-",
		slots:    make(chan struct{}, plan.MaxInFlight),
		lateness: newLatencies(),
		client: &http.Client{
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
			Transport: &http.Transport{
				DialContext:         dial,
				DisableCompression:  true,
				MaxIdleConnsPerHost: plan.MaxInFlight,
				IdleConnTimeout:     idleConnTimeout,
			},
		},
	}
	for range plan.Streams {
		g.recorders = append(g.recorders, newRecorder())
	}
	return g
}

// run sends everything and waits for its end.
func (g *generator) run(ctx context.Context) []StepResult {
	g.started = time.Now()
	var streams sync.WaitGroup
	for i := range g.plan.Streams {
		streams.Go(func() { g.runStream(ctx, i) })
	}
	steps := g.runSteps(ctx)
	streams.Wait()
	g.work.Wait()
	return steps
}

// runStream sends the requests of one stream at their times.
func (g *generator) runStream(ctx context.Context, index int) {
	s := &g.plan.Streams[index]
	rng := rand.New(rand.NewPCG(g.plan.Seed, uint64(index)))
	times := newArrivals(s, rand.New(rand.NewPCG(g.plan.Seed, ^uint64(index))))
	for {
		at := times.next()
		if at >= milliseconds(g.plan.DurationMs) {
			return
		}
		intended := g.started.Add(at)
		pause.For(ctx, time.Until(intended))
		if ctx.Err() != nil {
			return
		}
		n := g.requests.Add(1)
		if n > int64(g.plan.MaxRequests) {
			return
		}
		g.dispatch(ctx, index, g.newRequest(s, n, intended), rng.Float64() < s.CopyShare, rng.Uint64())
	}
}

func (g *generator) newRequest(s *Stream, n int64, intended time.Time) *request {
	r := &request{stream: s, unique: g.prefix + strconv.FormatInt(n, 36), intended: intended}
	if s.Keyed || !s.idempotent() {
		r.id = model.RequestID(r.unique)
	}
	return r
}

// dispatch starts a request once the bound on requests in flight allows it.
func (g *generator) dispatch(ctx context.Context, index int, r *request, copied bool, draw uint64) {
	rec := g.recorders[index]
	select {
	case g.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	late := time.Since(r.intended)
	if late >= r.stream.timeout() {
		<-g.slots
		rec.record(r.stream, verdictUnsent, late, late, 0)
		return
	}
	g.lateness.add(late)
	first := g.pick(draw)
	g.work.Go(func() {
		defer func() { <-g.slots }()
		var second sync.WaitGroup
		if copied {
			second.Go(func() { g.copy(ctx, rec, r, first+1) })
		}
		g.request(ctx, rec, r, first, copied)
		second.Wait()
	})
}

// pick returns the number of the next target.
func (g *generator) pick(draw uint64) uint64 {
	if g.plan.Pick == PickRandom {
		return draw
	}
	return g.turn.Add(1)
}

func (g *generator) address(n uint64) string { return g.plan.Targets[n%uint64(len(g.plan.Targets))] }

// request sends a request, and again while it was not run and may be resent.
func (g *generator) request(ctx context.Context, rec *recorder, r *request, target uint64, copied bool) {
	var last reply
	resends := 0
	late := time.Since(r.intended)
	deadline := r.intended.Add(r.stream.timeout())
	for {
		last = g.send(ctx, r, g.address(target+uint64(resends)), deadline)
		if last.verdict != verdictNotRun || resends >= r.stream.Resend || ctx.Err() != nil {
			break
		}
		resends++
		pause.For(ctx, resendWait(last.retryAfter))
		deadline = time.Now().Add(r.stream.timeout())
	}
	rec.record(r.stream, last.verdict, time.Since(r.intended), late, resends)
	g.ledger.add(r, last.verdict, copied)
}

// resendWait follows the advice, within bounds and jittered.
func resendWait(advice time.Duration) time.Duration {
	d := min(max(advice, minResendWait), maxResendWait)
	return d + rand.N(d/2)
}

// copy is a second caller's sending of a request; it counts only as a copy and
// where its answer is wrong or cut.
func (g *generator) copy(ctx context.Context, rec *recorder, r *request, target uint64) {
	got := g.send(ctx, r, g.address(target), r.intended.Add(r.stream.timeout()))
	rec.recordCopy(got.verdict)
}
