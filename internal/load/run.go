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

// Limits of the delay before a request reported as not run is sent again.
const (
	minResendDelay = 10 * time.Millisecond
	maxResendDelay = 5 * time.Second
)

// idleConnTimeout closes idle connections of callers.
const idleConnTimeout = 30 * time.Second

// Options holds what a run needs besides its plan.
type Options struct {
	// Dial replaces the TCP dialer when it is not nil.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Oracle counts runs; nil disables the comparison of outcomes with runs.
	Oracle Oracle
}

// generator is the state of one run.
type generator struct {
	plan        Plan
	client      *http.Client
	noncePrefix string
	started     time.Time

	slots      chan struct{} // limits the requests in flight
	requests   atomic.Int64  // requests drawn so far
	nextTarget atomic.Uint64
	recorders  []*recorder
	lateness   *latencyHistogram
	outcomes   outcomeLog
	inFlight   sync.WaitGroup
}

// Run executes a plan. It returns an error when the plan is invalid or the oracle fails;
// failures of requests are in the result. When ctx ends, the run ends early and the
// result has EndedEarly set.
func Run(ctx context.Context, plan Plan, opts Options) (*Result, error) {
	plan, err := CheckPlan(plan)
	if err != nil {
		return nil, err
	}
	g := newGenerator(plan, opts)
	defer g.client.CloseIdleConnections()
	steps := g.run(ctx)
	result := g.buildResult(steps)
	result.EndedEarly = ctx.Err() != nil
	if opts.Oracle == nil {
		return result, nil
	}
	pause.For(ctx, milliseconds(plan.SettleMs))
	result.Oracle, err = g.outcomes.check(ctx, opts.Oracle)
	return result, err
}

func newGenerator(plan Plan, opts Options) *generator {
	dial := opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	g := &generator{
		plan:        plan,
		noncePrefix: "load-" + strconv.FormatUint(rand.Uint64(), 36) + "-",
		slots:       make(chan struct{}, plan.MaxInFlight),
		lateness:    newLatencyHistogram(),
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

// run sends all requests, runs all steps and waits for the responses.
func (g *generator) run(ctx context.Context) []StepResult {
	g.started = time.Now()
	var streams sync.WaitGroup
	for i := range g.plan.Streams {
		streams.Go(func() { g.runStream(ctx, i) })
	}
	steps := g.runSteps(ctx)
	streams.Wait()
	g.inFlight.Wait()
	return steps
}

// runStream sends the requests of one stream at their intended times.
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

// newRequest returns the n-th request of the run. It has an id when its stream is keyed
// or not idempotent.
func (g *generator) newRequest(s *Stream, n int64, intended time.Time) *request {
	r := &request{stream: s, nonce: g.noncePrefix + strconv.FormatInt(n, 36), intended: intended}
	if s.Keyed || !s.idempotent() {
		r.id = model.RequestID(r.nonce)
	}
	return r
}

// dispatch starts a request once the limit on requests in flight allows it. draw is a
// random number that selects the target under PickRandom.
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
		rec.record(r.stream, resultUnsent, late, late, 0)
		return
	}
	g.lateness.add(late)
	first := g.pickTarget(draw)
	g.inFlight.Go(func() {
		defer func() { <-g.slots }()
		var second sync.WaitGroup
		if copied {
			second.Go(func() { g.sendCopy(ctx, rec, r, first+1) })
		}
		g.sendWithResends(ctx, rec, r, first, copied)
		second.Wait()
	})
}

// pickTarget returns the number of the next target, which targetAddress reduces to an
// index.
func (g *generator) pickTarget(draw uint64) uint64 {
	if g.plan.Pick == PickRandom {
		return draw
	}
	return g.nextTarget.Add(1)
}

func (g *generator) targetAddress(n uint64) string {
	return g.plan.Targets[n%uint64(len(g.plan.Targets))]
}

// sendWithResends sends a request and resends it while it is reported as not run and
// resends are left.
func (g *generator) sendWithResends(ctx context.Context, rec *recorder, r *request, target uint64, copied bool) {
	var last sendResult
	resends := 0
	late := time.Since(r.intended)
	deadline := r.intended.Add(r.stream.timeout())
	for {
		last = g.send(ctx, r, g.targetAddress(target+uint64(resends)), deadline)
		if last.kind != resultNotRun || resends >= r.stream.Resend || ctx.Err() != nil {
			break
		}
		resends++
		pause.For(ctx, resendDelay(last.retryAfter))
		deadline = time.Now().Add(r.stream.timeout())
	}
	rec.record(r.stream, last.kind, time.Since(r.intended), late, resends)
	g.outcomes.add(r, last.kind, copied)
}

// resendDelay returns the received Retry-After within limits, plus jitter of up to half
// of it.
func resendDelay(retryAfter time.Duration) time.Duration {
	d := min(max(retryAfter, minResendDelay), maxResendDelay)
	return d + rand.N(d/2)
}

// sendCopy sends a request as a second caller. Only the copy itself and a wrong or
// truncated response are counted.
func (g *generator) sendCopy(ctx context.Context, rec *recorder, r *request, target uint64) {
	got := g.send(ctx, r, g.targetAddress(target), r.intended.Add(r.stream.timeout()))
	rec.recordCopy(got.kind)
}
