// Package demo runs an example deployment on loopback under load while a bundle
// is rolled out, a worker is drained and another killed, and tells whether a
// promise was broken. It is bounded in time.
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

// Times of the demonstration, from the start of the load.
const (
	readyTimeout = 30 * time.Second
	loadFor      = 12 * time.Second
	rollOutAt    = 2 * time.Second
	drainAt      = 4 * time.Second
	killAt       = 8 * time.Second
	// inForceWithin is the users' bound for a bundle on every process.
	inForceWithin = 7 * time.Second
	maxInFlight   = 2000
)

// ErrViolation says that a promise was broken.
var ErrViolation = errors.New("a promise was broken")

// Options of a demonstration.
type Options struct {
	// Share of the workers' capacity that is offered, 0 to 1.
	Share float64
	// Out takes the report.
	Out io.Writer
	// Log is the nodes' log.
	Log zerolog.Logger
}

// run is a demonstration under way.
type run struct {
	opts  Options
	dep   *deploy.Deployment
	fleet *local.Fleet
	added *addedTimes

	drained, killed *local.Member
	inForce         time.Duration
	broken          []string
}

// Run demonstrates dep. The error is ErrViolation when a promise was broken.
func Run(ctx context.Context, dep *deploy.Deployment, opts Options) error {
	r := &run{opts: opts, dep: dep, added: newAddedTimes()}
	cfg := dep.FleetConfig()
	cfg.Log = opts.Log
	cfg.OnCall = r.added.record
	fleet, err := local.Start(cfg)
	if err != nil {
		return err
	}
	r.fleet = fleet
	err = r.serve(ctx)
	return errors.Join(err, fleet.Close())
}

func (r *run) serve(ctx context.Context) error {
	r.say("starting %s: %d nodes and workers on loopback, %d data centres\n", r.dep.Name, len(r.fleet.Members()), deploy.DataCentres)
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := r.fleet.Await(ready, r.fleet.Warm); err != nil {
		return fmt.Errorf("not ready: %w", err)
	}
	// The last worker of the first service drains, that of the last is killed.
	members := r.fleet.Members()
	r.drained, r.killed = members[r.dep.Workers[0]-1], members[len(members)-1]
	var wg sync.WaitGroup
	wg.Go(func() { r.operate(ctx) })
	drainResult, drainErr := r.loadDrained(ctx, &wg)
	result, err := r.load(ctx)
	wg.Wait()
	if err := errors.Join(err, *drainErr); err != nil {
		return err
	}
	return r.report(result, *drainResult)
}

// say writes to the report; a report that cannot be written has no reader.
func (r *run) say(format string, args ...any) { fmt.Fprintf(r.opts.Out, format, args...) }

// breach notes a broken promise.
func (r *run) breach(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

// plan is load on all nodes but the two that end.
func (r *run) plan(targets []string, share float64, d time.Duration) (load.Plan, error) {
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

func (r *run) load(ctx context.Context) (*load.Result, error) {
	var targets []string
	for _, m := range r.fleet.Members() {
		if m != r.drained && m != r.killed {
			targets = append(targets, m.Node.CallerAddress())
		}
	}
	p, err := r.plan(targets, r.opts.Share, loadFor)
	if err != nil {
		return nil, err
	}
	return load.Run(ctx, p, load.Options{Oracle: load.LocalOracle{r.fleet.Ledger}})
}

// drainShare is the load on the node that drains.
const drainShare = 0.02

// loadDrained keeps callers at the node that drains until it has left: none of
// their requests may be cut off.
func (r *run) loadDrained(ctx context.Context, wg *sync.WaitGroup) (**load.Result, *error) {
	var result *load.Result
	var err error
	wg.Go(func() {
		var p load.Plan
		p, err = r.plan([]string{r.drained.Node.CallerAddress()}, drainShare, drainAt+r.dep.FleetConfig().LeaveGrace/2)
		if err == nil {
			result, err = load.Run(ctx, p, load.Options{})
		}
	})
	return &result, &err
}

// operate does what operators and failures do, beside the load.
func (r *run) operate(ctx context.Context) {
	began := time.Now()
	pause.For(ctx, rollOutAt)
	r.rollOut(ctx)
	pause.For(ctx, drainAt-time.Since(began))
	if err := r.fleet.Stop(r.drained); err != nil {
		r.breach("the planned stop of %s cut requests off: %v", r.drained.ID, err)
	}
	r.say("%5.1fs  drained %s\n", time.Since(began).Seconds(), r.drained.ID)
	pause.For(ctx, killAt-time.Since(began))
	r.fleet.Kill(r.killed)
	r.say("%5.1fs  killed %s\n", time.Since(began).Seconds(), r.killed.ID)
}

// rollOut signs the next version off and waits until it is in force everywhere.
func (r *run) rollOut(ctx context.Context) {
	v := r.dep.Bundle.VersionID()
	next := model.BundleVersion{Name: v.Name, Version: v.Version + 1}
	old, new := fmt.Sprintf("version = %d", v.Version), fmt.Sprintf("version = %d", next.Version)
	began := time.Now()
	if err := r.fleet.Publish(bytes.Replace(r.dep.TOML, []byte(old), []byte(new), 1)); err != nil {
		r.breach("sign-off of %v: %v", next, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, inForceWithin)
	defer cancel()
	if err := r.fleet.Await(ctx, local.HasVersion(next)); err != nil {
		r.breach("%v is not in force everywhere after %v: %v", next, inForceWithin, err)
		return
	}
	r.inForce = time.Since(began)
	r.say("%5.1fs  %v in force on every node after %d ms\n", (rollOutAt + r.inForce).Seconds(), next, r.inForce.Milliseconds())
}

// addedTimes collects the time that the nodes added, by class.
type addedTimes struct {
	mu      sync.Mutex
	byClass map[model.ClassName]*hdrhistogram.Histogram
}

func newAddedTimes() *addedTimes {
	return &addedTimes{byClass: map[model.ClassName]*hdrhistogram.Histogram{}}
}

// maxAdded bounds the histogram.
const maxAdded = time.Minute

func (a *addedTimes) record(c server.CallRecord) {
	if c.Outcome != model.OutcomeAnswered || c.Attempts != 1 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.byClass[c.Class]
	if h == nil {
		h = hdrhistogram.New(1, int64(maxAdded/time.Microsecond), 3)
		a.byClass[c.Class] = h
	}
	// A value over a minute is out of the histogram's range and of any sense.
	_ = h.RecordValue(int64(max(c.Added, 0) / time.Microsecond))
}

// quantile returns the class's quantile in milliseconds.
func (a *addedTimes) quantile(class model.ClassName, q float64) float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	h := a.byClass[class]
	if h == nil {
		return 0
	}
	return float64(h.ValueAtQuantile(q)) / 1000
}
