// Package experiment measures the example deployments on loopback: the product's routing
// against its baselines in the same run, at several loads, with bursts and faults, and
// the latency that two nodes add to a call. Every run is limited in duration and number
// of requests.
package experiment

import (
	"context"
	"fmt"
	"io"
	"regexp"
	"time"

	"gypsumstand/internal/deploy"
	"gypsumstand/internal/fake/worker"
	"gypsumstand/internal/load"
	"gypsumstand/internal/local"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/route"
)

// Contender is a routing policy under comparison.
type Contender struct {
	Name   string
	Policy route.Policy
	// ProbeAge is the age of a report at which its upstream is probed; zero means the
	// product's default.
	ProbeAge time.Duration
	// MeasuringBudget replaces the bundle's measuring budget; zero keeps it. Polling
	// needs more than a bundle grants.
	MeasuringBudget float64
}

// pollBudget is the measuring budget that polling each upstream from every node needs, in
// messages per second and upstream.
const pollBudget = 400

// pollInterval is the interval at which the polling baseline polls each upstream.
const pollInterval = 100 * time.Millisecond

// Contenders returns the product's policy, followed by its baselines.
func Contenders() []Contender {
	return []Contender{
		{Name: "gypsumstand", Policy: route.PolicyExpectedTime},
		{Name: "random", Policy: route.PolicyRandom},
		{Name: "round robin", Policy: route.PolicyRoundRobin},
		{Name: "least in flight", Policy: route.PolicyLeastInFlight},
		{Name: "two choices, polled", Policy: route.PolicyPolledTwoChoices, ProbeAge: pollInterval, MeasuringBudget: pollBudget},
	}
}

// Options configures a comparison.
type Options struct {
	Deployments []*deploy.Deployment
	Contenders  []Contender
	// LoadShares are the offered loads as shares of capacity.
	LoadShares []float64
	// Repeats is the number of runs for each combination of deployment, contender and
	// load.
	Repeats int
	// Duration is how long each run offers load.
	Duration time.Duration
	// Progress receives a line per run; nil disables it.
	Progress io.Writer
}

// Run holds the figures of one run.
type Run struct {
	Deployment string  `json:"deployment"`
	Contender  string  `json:"contender"`
	Share      float64 `json:"share"`
	Repeat     int     `json:"repeat"`
	// P50Ms, P99Ms and P999Ms are latencies of correct responses.
	P50Ms  float64 `json:"p50_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	// Worth is the share of the offered worth that was answered within the deadline.
	Worth float64 `json:"worth"`
	// WorthP99Ms is the highest 99th percentile of latency among the classes with worth.
	WorthP99Ms float64 `json:"worth_p99_ms"`
	// MeasuringPerAnswer is the number of measuring messages per answered call.
	MeasuringPerAnswer float64 `json:"measuring_per_answer"`
	Sent               int64   `json:"sent"`
	NotRun             int64   `json:"not_run"`
	Unknown            int64   `json:"unknown"`
	// GuaranteesHeld is load.Result.GuaranteesHeld of the run.
	GuaranteesHeld bool `json:"kept"`
	// LateP99Ms is the generator's own lateness at the 99th percentile.
	LateP99Ms float64 `json:"late_p99_ms"`
}

// Limits of a run.
const (
	readyTimeout = 60 * time.Second
	settleTime   = 500 * time.Millisecond
	// warmUpTime exceeds the slow start of the examples (warmup_ms, 2000).
	warmUpTime  = 2200 * time.Millisecond
	maxInFlight = 4000
	usPerMs     = 1000.0
)

// Compare measures every combination of deployment, contender and load. Each contender
// has one fleet per deployment, which runs the loads in sequence.
func Compare(ctx context.Context, o Options) ([]Run, error) {
	var out []Run
	for _, dep := range o.Deployments {
		for _, c := range o.Contenders {
			runs, err := compareContender(ctx, dep, c, &o)
			out = append(out, runs...)
			if err != nil {
				return out, fmt.Errorf("%s, %s: %w", dep.Name, c.Name, err)
			}
		}
	}
	return out, nil
}

func compareContender(ctx context.Context, dep *deploy.Deployment, c Contender, o *Options) ([]Run, error) {
	cfg := dep.FleetConfig()
	cfg.Policy = c.Policy
	cfg.ProbeAge = c.ProbeAge
	if c.MeasuringBudget > 0 {
		cfg.Bundle = withMeasuringBudget(dep.TOML, c.MeasuringBudget)
	}
	fleet, err := local.Start(cfg)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	var out []Run
	for _, share := range o.LoadShares {
		for i := range o.Repeats {
			// A worker that was cold completes its slow start before the next run.
			if err := awaitReady(ctx, fleet); err != nil {
				return out, err
			}
			pause.For(ctx, warmUpTime)
			run, err := measure(ctx, dep, fleet, share, o.Duration, uint64(i))
			if err != nil {
				return out, err
			}
			run.Contender, run.Repeat = c.Name, i
			out = append(out, run)
			printRun(o.Progress, run)
		}
	}
	return out, nil
}

// budgetLine and shareLine match the lines of a bundle that set its measuring budget.
var (
	budgetLine = regexp.MustCompile(`(?m)^per_upstream_per_second *=.*$`)
	shareLine  = regexp.MustCompile(`(?m)^poll_share *=.*$`)
)

// withMeasuringBudget returns the bundle with another measuring budget, of which owners'
// polls may use a tenth.
func withMeasuringBudget(toml []byte, budget float64) []byte {
	line := fmt.Sprintf("per_upstream_per_second = %.1f\npoll_share = 0.1", budget)
	return budgetLine.ReplaceAll(shareLine.ReplaceAll(toml, nil), []byte(line))
}

func awaitReady(ctx context.Context, fleet *local.Fleet) error {
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return fleet.Await(readyCtx, local.Ready)
}

func printRun(out io.Writer, r Run) {
	if out == nil {
		return
	}
	fmt.Fprintf(out, "%-8s %-20s %3.0f%%  p50 %7.1f  p99 %7.1f  worth %6.2f%%  measuring %.4f  guarantees held %v\n",
		r.Deployment, r.Contender, 100*r.Share, r.P50Ms, r.P99Ms, 100*r.Worth, r.MeasuringPerAnswer, r.GuaranteesHeld)
}

// measure offers one load with changing faults: in each third of the run another worker
// is slow, fails fast or is cold.
func measure(ctx context.Context, dep *deploy.Deployment, fleet *local.Fleet, share float64, d time.Duration, seed uint64) (Run, error) {
	plan, err := newPlan(dep, fleet, share, d, seed)
	if err != nil {
		return Run{}, err
	}
	before := measuringMessages(fleet)
	stopFaults := startFaults(ctx, fleet, d)
	result, err := load.Run(ctx, plan, load.Options{Oracle: load.LocalOracle{fleet.Ledger}})
	stopFaults()
	if err != nil {
		return Run{}, err
	}
	pause.For(ctx, settleTime)
	return summarize(dep, share, result, measuringMessages(fleet)-before), nil
}

// burstShape is the shape of all streams' bursts: load that shifts within milliseconds.
var burstShape = load.Burst{EveryMs: 200, MinMs: 5, MaxMs: 20, Factor: 4}

// burstRateFactor is the ratio of the mean rate with bursts to the rate outside them.
func burstRateFactor() float64 {
	share := float64(burstShape.MinMs+burstShape.MaxMs) / 2 / float64(burstShape.EveryMs)
	return 1 + share*(burstShape.Factor-1)
}

func newPlan(dep *deploy.Deployment, fleet *local.Fleet, share float64, d time.Duration, seed uint64) (load.Plan, error) {
	p := load.NewPlan()
	p.Targets = fleet.CallerAddresses()
	p.Pick = load.PickRandom
	p.DurationMs = d.Milliseconds()
	p.MaxInFlight = maxInFlight
	p.Seed = seed + 1
	p.Streams = dep.Streams(share / burstRateFactor())
	for i := range p.Streams {
		p.Streams[i].Burst = burstShape
	}
	return load.CheckPlan(p)
}

// startFaults injects the faults in sequence. stop cuts the current and all later faults
// short and returns when every worker is healthy.
func startFaults(ctx context.Context, fleet *local.Fleet, d time.Duration) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, f := range faultsFor(fleet) {
			setFaults(f.worker, f.faults)
			pause.For(ctx, d/faultCount)
			setFaults(f.worker, worker.Faults{})
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// fault is one worker's fault for a third of the run.
type fault struct {
	worker *worker.Worker
	faults worker.Faults
}

// Parameters of the faults.
const (
	faultCount = 3
	slowFactor = 5
)

// faultsFor returns, in sequence: the first worker slow, the last failing fast, the
// middle one cold.
func faultsFor(fleet *local.Fleet) []fault {
	m := fleet.Members()
	return []fault{
		{m[0].Worker, worker.Faults{SlowFactor: slowFactor}},
		{m[len(m)-1].Worker, worker.Faults{FailShare: 1}},
		{m[len(m)/2].Worker, worker.Faults{Cold: worker.ColdRefuse}},
	}
}

// setFaults replaces the faults of w. It panics on an invalid one, because all are
// constants of this package.
func setFaults(w *worker.Worker, f worker.Faults) {
	if err := w.ChangeFaults(func(old *worker.Faults) { *old = f }); err != nil {
		panic(err)
	}
}

// measuringMessages returns the number of measuring messages so far: polls received by
// workers and probes sent to owners.
func measuringMessages(fleet *local.Fleet) uint64 {
	total := uint64(0)
	for _, m := range fleet.Members() {
		total += m.Worker.Counters().Measuring
		total += m.Node.Core().EntryLimiter.Counts().Sent
	}
	return total
}

func summarize(dep *deploy.Deployment, share float64, r *load.Result, messages uint64) Run {
	t := r.Total
	run := Run{
		Deployment:     dep.Name,
		Share:          share,
		P50Ms:          float64(t.Latency.P50Us) / usPerMs,
		P99Ms:          float64(t.Latency.P99Us) / usPerMs,
		P999Ms:         float64(t.Latency.P999Us) / usPerMs,
		Sent:           t.Counts.Sent,
		NotRun:         t.Counts.NotRun,
		Unknown:        t.Counts.Unknown,
		GuaranteesHeld: r.GuaranteesHeld(),
		LateP99Ms:      float64(r.Lateness.P99Us) / usPerMs,
	}
	if t.Counts.WorthSent > 0 {
		run.Worth = t.Counts.Worth / t.Counts.WorthSent
	}
	if t.Counts.Answered > 0 {
		run.MeasuringPerAnswer = float64(messages) / float64(t.Counts.Answered)
	}
	for _, c := range r.Classes {
		if c.Counts.WorthSent > 0 {
			run.WorthP99Ms = max(run.WorthP99Ms, float64(c.Latency.P99Us)/usPerMs)
		}
	}
	return run
}
