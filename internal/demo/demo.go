// Package demo runs an example deployment on loopback under load while it rolls out a
// bundle, drains one worker and kills another, and checks that the product's guarantees
// hold. A run takes a bounded time.
package demo

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rs/zerolog"

	"gypsumstand/internal/deploy"
	"gypsumstand/internal/load"
	"gypsumstand/internal/local"
	"gypsumstand/internal/model"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/server"
)

// Schedule, from the start of the load, and limits of a run.
const (
	readyTimeout = 30 * time.Second
	loadDuration = 12 * time.Second
	rollOutAt    = 2 * time.Second
	drainAt      = 4 * time.Second
	killAt       = 8 * time.Second
	// rolloutTimeout is the required limit for a new bundle to be in force on every node.
	rolloutTimeout = 7 * time.Second
	maxInFlight    = 2000
)

// ErrViolation is returned if a guarantee was violated.
var ErrViolation = errors.New("guarantee violated")

// Options configures a run.
type Options struct {
	// Share is the offered load as a share of the workers' capacity; above 1 overloads them.
	Share float64
	// Out receives the report.
	Out io.Writer
	// Log receives the nodes' log lines.
	Log zerolog.Logger
}

// run holds the state of one run.
type run struct {
	opts  Options
	dep   *deploy.Deployment
	fleet *local.Fleet
	added *addedLatencies

	drainedNode, killedNode *local.Member
	rolloutTime             time.Duration
	violations              []string
}

// Run runs the demonstration of dep. The error is ErrViolation if a guarantee was violated.
func Run(ctx context.Context, dep *deploy.Deployment, opts Options) error {
	r := &run{opts: opts, dep: dep, added: newAddedLatencies()}
	cfg := dep.FleetConfig()
	cfg.Log = opts.Log
	cfg.OnCall = r.added.record
	fleet, err := local.Start(cfg)
	if err != nil {
		return err
	}
	r.fleet = fleet
	err = r.demonstrate(ctx)
	return errors.Join(err, fleet.Close())
}

// demonstrate waits until the fleet is ready, applies load and events, and reports.
func (r *run) demonstrate(ctx context.Context) error {
	r.printf("starting %s: %d nodes and workers on loopback, %d data centres\n", r.dep.Name, len(r.fleet.Members()), deploy.DataCentres)
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.fleet.Await(readyCtx, r.fleet.Warm); err != nil {
		return fmt.Errorf("not ready: %w", err)
	}
	// The last worker of the first service is drained, the last one of the last service
	// killed.
	members := r.fleet.Members()
	r.drainedNode, r.killedNode = members[r.dep.Workers[0]-1], members[len(members)-1]
	var wg sync.WaitGroup
	wg.Go(func() { r.runEvents(ctx) })
	drainResult, drainErr := r.loadDrainingNode(ctx, &wg)
	result, err := r.loadOthers(ctx)
	wg.Wait()
	if err := errors.Join(err, *drainErr); err != nil {
		return err
	}
	return r.report(result, *drainResult)
}

// printf writes to the report. It ignores write errors, which leave nowhere to report them.
func (r *run) printf(format string, args ...any) { fmt.Fprintf(r.opts.Out, format, args...) }

// violate records the violation of a guarantee.
func (r *run) violate(format string, args ...any) {
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// newPlan returns a checked load plan for the nodes at targets.
func (r *run) newPlan(targets []string, share float64, d time.Duration) (load.Plan, error) {
	p := load.NewPlan()
	p.Targets = targets
	p.DurationMs = d.Milliseconds()
	p.MaxInFlight = maxInFlight
	p.Streams = r.dep.Streams(share)
	for i := range p.Streams {
		p.Streams[i].Resend = 2
	}
	return load.CheckPlan(p)
}

// loadOthers applies load to all nodes but the drained and the killed one.
func (r *run) loadOthers(ctx context.Context) (*load.Result, error) {
	var targets []string
	for _, m := range r.fleet.Members() {
		if m != r.drainedNode && m != r.killedNode {
			targets = append(targets, m.Node.CallerAddress())
		}
	}
	p, err := r.newPlan(targets, r.opts.Share, loadDuration)
	if err != nil {
		return nil, err
	}
	return load.Run(ctx, p, load.Options{Oracle: load.LocalOracle{r.fleet.Ledger}})
}

// drainShare is the load on the draining node, as a share of the workers' capacity.
const drainShare = 0.02

// loadDrainingNode sends load to the draining node until it has left. None of these
// requests may be cut off. The results are valid once wg is done.
func (r *run) loadDrainingNode(ctx context.Context, wg *sync.WaitGroup) (**load.Result, *error) {
	var result *load.Result
	var err error
	wg.Go(func() {
		var p load.Plan
		p, err = r.newPlan([]string{r.drainedNode.Node.CallerAddress()}, drainShare, drainAt+r.dep.FleetConfig().LeaveGrace/2)
		if err == nil {
			result, err = load.Run(ctx, p, load.Options{})
		}
	})
	return &result, &err
}

// runEvents rolls out a bundle, drains one node and kills another while load runs.
func (r *run) runEvents(ctx context.Context) {
	began := time.Now()
	pause.For(ctx, rollOutAt)
	r.rollOut(ctx)
	pause.For(ctx, drainAt-time.Since(began))
	if err := r.fleet.Stop(r.drainedNode); err != nil {
		r.violate("graceful stop of %s cut off requests: %v", r.drainedNode.ID, err)
	}
	r.printf("%5.1fs  drained %s\n", time.Since(began).Seconds(), r.drainedNode.ID)
	pause.For(ctx, killAt-time.Since(began))
	r.fleet.Kill(r.killedNode)
	r.printf("%5.1fs  killed %s\n", time.Since(began).Seconds(), r.killedNode.ID)
}

// rollOut publishes the next version and waits until it is in force on every node.
func (r *run) rollOut(ctx context.Context) {
	v := r.dep.Bundle.VersionID()
	next := model.BundleVersion{Name: v.Name, Version: v.Version + 1}
	oldLine, newLine := fmt.Sprintf("version = %d", v.Version), fmt.Sprintf("version = %d", next.Version)
	began := time.Now()
	if err := r.fleet.Publish(bytes.Replace(r.dep.TOML, []byte(oldLine), []byte(newLine), 1)); err != nil {
		r.violate("publish %v: %v", next, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, rolloutTimeout)
	defer cancel()
	if err := r.fleet.Await(ctx, local.HasVersion(next)); err != nil {
		r.violate("%v is not in force on every node after %v: %v", next, rolloutTimeout, err)
		return
	}
	r.rolloutTime = time.Since(began)
	r.printf("%5.1fs  %v in force on every node after %d ms\n", (rollOutAt + r.rolloutTime).Seconds(), next, r.rolloutTime.Milliseconds())
}

// addedLatencies collects the latency added by the nodes, by class. It is safe for
// concurrent use.
type addedLatencies struct {
	mu      sync.Mutex
	byClass map[model.ClassName]*hdrhistogram.Histogram
}

func newAddedLatencies() *addedLatencies {
	return &addedLatencies{byClass: map[model.ClassName]*hdrhistogram.Histogram{}}
}

// maxAddedLatency is the upper end of the histogram.
const maxAddedLatency = time.Minute

// record adds a call that was answered at its first attempt and skips all others.
func (a *addedLatencies) record(c server.CallRecord) {
	if c.Outcome != model.OutcomeAnswered || c.Attempts != 1 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.byClass[c.Class]
	if h == nil {
		h = hdrhistogram.New(1, int64(maxAddedLatency/time.Microsecond), 3)
		a.byClass[c.Class] = h
	}
	// Values above maxAddedLatency do not fit the histogram and are dropped.
	_ = h.RecordValue(int64(max(c.Added, 0) / time.Microsecond))
}

// quantile returns the added latency of a class at quantile q, 0 to 100, in milliseconds.
func (a *addedLatencies) quantile(class model.ClassName, q float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.byClass[class]
	if h == nil {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}
