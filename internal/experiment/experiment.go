// Package experiment measures the example deployments on loopback: this
// design's routing beside its baselines in the same run, at several loads, with
// bursts and faults, and the time that two nodes add to a call. Every run is
// bounded in time and count.
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

// Contender is a way of routing.
type Contender struct {
	Name   string
	Policy route.Policy
	// ProbeAge is the age at which an upstream is probed; zero means the
	// product's.
	ProbeAge time.Duration
	// MeasuringBudget replaces the bundle's measuring budget; zero keeps it. Polling
	// needs more than a bundle would grant.
	MeasuringBudget float64
}

// pollBudget is what polling each upstream from every node takes, in messages
// per second and upstream.
const pollBudget = 400

// pollEvery is how often the polling baseline asks each upstream.
const pollEvery = 100 * time.Millisecond

// Contenders returns this design first and then its baselines.
func Contenders() []Contender {
	return []Contender{
		{Name: "gypsumstand", Policy: route.PolicyExpectedTime},
		{Name: "random", Policy: route.PolicyRandom},
		{Name: "round robin", Policy: route.PolicyRoundRobin},
		{Name: "least in flight", Policy: route.PolicyLeastInFlight},
		{Name: "two choices, polled", Policy: route.PolicyPolledTwoChoices, ProbeAge: pollEvery, MeasuringBudget: pollBudget},
	}
}

// Options of a comparison.
type Options struct {
	Deployments []*deploy.Deployment
	Contenders  []Contender
	// LoadShares of capacity to offer.
	LoadShares []float64
	// Repeats of each cell.
	Repeats int
	// Duration of the load of one run.
	Duration time.Duration
	// Progress takes a line per run; nil means none.
	Progress io.Writer
}

// Run is one measured run.
type Run struct {
	Deployment string  `json:"deployment"`
	Contender  string  `json:"contender"`
	Share      float64 `json:"share"`
	Repeat     int     `json:"repeat"`
	// P50Ms and the others are latencies of right answers.
	P50Ms  float64 `json:"p50_ms"`
	P99Ms  float64 `json:"p99_ms"`
	P999Ms float64 `json:"p999_ms"`
	// Worth is the share of the offered worth that was answered in deadline.
	Worth float64 `json:"worth"`
	// WorthP99Ms is the 99th percentile of the classes that have worth.
	WorthP99Ms float64 `json:"worth_p99_ms"`
	// MeasuringPerAnswer is the number of measuring messages per answered call.
	MeasuringPerAnswer float64 `json:"measuring_per_answer"`
	Sent               int64   `json:"sent"`
	NotRun             int64   `json:"not_run"`
	Unknown            int64   `json:"unknown"`
	// GuaranteesHeld tells whether no answer was wrong and no promise broken.
	GuaranteesHeld bool `json:"kept"`
	// LateP99Ms is the generator's own lateness at the 99th percentile.
	LateP99Ms float64 `json:"late_p99_ms"`
}

// Bounds of a run.
const (
	readyTimeout = 60 * time.Second
	settleTime   = 500 * time.Millisecond
	// warmUpTime is over the examples' slow start (warmup_ms, 2000).
	warmUpTime  = 2200 * time.Millisecond
	maxInFlight = 4000
	usPerMs     = 1000.0
)

// Compare measures every cell. Each contender has one fleet per deployment, on
// which the loads follow one another.
func Compare(ctx context.Context, o Options) ([]Run, error) {
	var out []Run
	for _, dep := range o.Deployments {
		for _, c := range o.Contenders {
			runs, err := compareOne(ctx, dep, c, &o)
			out = append(out, runs...)
			if err != nil {
				return out, fmt.Errorf("%s, %s: %w", dep.Name, c.Name, err)
			}
		}
	}
	return out, nil
}

func compareOne(ctx context.Context, dep *deploy.Deployment, c Contender, o *Options) ([]Run, error) {
	cfg := dep.FleetConfig()
	cfg.Policy = c.Policy
	cfg.ProbeAge = c.ProbeAge
	if c.MeasuringBudget > 0 {
		cfg.Bundle = withBudget(dep.TOML, c.MeasuringBudget)
	}
	fleet, err := local.Start(cfg)
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	var out []Run
	for _, share := range o.LoadShares {
		for i := range o.Repeats {
			// A worker that was cold is given its slow start before the next run.
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
			report(o.Progress, run)
		}
	}
	return out, nil
}

// budgetLine and shareLine are the lines of a bundle that set its measuring budget.
var (
	budgetLine = regexp.MustCompile(`(?m)^per_upstream_per_second *=.*$`)
	shareLine  = regexp.MustCompile(`(?m)^poll_share *=.*$`)
)

// withBudget returns the bundle with another measuring budget, little of which is
// kept for the owners' polls.
func withBudget(toml []byte, budget float64) []byte {
	line := fmt.Sprintf("per_upstream_per_second = %.1f\npoll_share = 0.1", budget)
	return budgetLine.ReplaceAll(shareLine.ReplaceAll(toml, nil), []byte(line))
}

func awaitReady(ctx context.Context, fleet *local.Fleet) error {
	ready, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return fleet.Await(ready, local.Ready)
}

func report(out io.Writer, r Run) {
	if out == nil {
		return
	}
	fmt.Fprintf(out, "%-8s %-20s %3.0f%%  p50 %7.1f  p99 %7.1f  worth %6.2f%%  measuring %.4f  kept %v\n",
		r.Deployment, r.Contender, 100*r.Share, r.P50Ms, r.P99Ms, 100*r.Worth, r.MeasuringPerAnswer, r.GuaranteesHeld)
}

// measure offers one load with shifting faults: in each third of the run another
// worker is slow, fails fast or is cold.
func measure(ctx context.Context, dep *deploy.Deployment, fleet *local.Fleet, share float64, d time.Duration, seed uint64) (Run, error) {
	plan, err := plan(dep, fleet, share, d, seed)
	if err != nil {
		return Run{}, err
	}
	before := measuring(fleet)
	faults := startFaults(ctx, fleet, d)
	result, err := load.Run(ctx, plan, load.Options{Oracle: load.LocalOracle{fleet.Ledger}})
	faults()
	if err != nil {
		return Run{}, err
	}
	pause.For(ctx, settleTime)
	return summary(dep, share, result, measuring(fleet)-before), nil
}

// burst is the users' load that shifts within milliseconds.
var burst = load.Burst{EveryMs: 200, MinMs: 5, MaxMs: 20, Factor: 4}

// meanFactor is what the bursts make of the mean rate.
func meanFactor() float64 {
	share := float64(burst.MinMs+burst.MaxMs) / 2 / float64(burst.EveryMs)
	return 1 + share*(burst.Factor-1)
}

func plan(dep *deploy.Deployment, fleet *local.Fleet, share float64, d time.Duration, seed uint64) (load.Plan, error) {
	p := load.NewPlan()
	p.Targets = fleet.CallerAddresses()
	p.Pick = load.PickRandom
	p.DurationMs = d.Milliseconds()
	p.MaxInFlight = maxInFlight
	p.Seed = seed + 1
	p.Streams = dep.Streams(share / meanFactor())
	for i := range p.Streams {
		p.Streams[i].Burst = burst
	}
	return load.CheckPlan(p)
}

// startFaults sets the faults and returns what ends them.
func startFaults(ctx context.Context, fleet *local.Fleet, d time.Duration) (end func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, f := range faultsOf(fleet) {
			set(f.worker, f.fault)
			pause.For(ctx, d/faultCount)
			set(f.worker, worker.Faults{})
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
	fault  worker.Faults
}

// Faults of a run.
const (
	faultCount = 3
	slowFactor = 5
)

// faultsOf slows the first worker, lets the last fail fast and makes the middle
// one cold, one after the other.
func faultsOf(fleet *local.Fleet) []fault {
	m := fleet.Members()
	return []fault{
		{m[0].Worker, worker.Faults{SlowFactor: slowFactor}},
		{m[len(m)-1].Worker, worker.Faults{FailShare: 1}},
		{m[len(m)/2].Worker, worker.Faults{Cold: worker.ColdRefuse}},
	}
}

// set puts faults in force; they are constants of this package that pass.
func set(w *worker.Worker, f worker.Faults) {
	if err := w.ChangeFaults(func(old *worker.Faults) { *old = f }); err != nil {
		panic(err)
	}
}

// measuring counts the measuring messages so far: polls that reached workers and
// probes that were sent to owners.
func measuring(fleet *local.Fleet) uint64 {
	total := uint64(0)
	for _, m := range fleet.Members() {
		total += m.Worker.Counters().Measuring
		total += m.Node.Core().EntryLimiter.Counts().Sent
	}
	return total
}

func summary(dep *deploy.Deployment, share float64, r *load.Result, measuring uint64) Run {
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
		run.MeasuringPerAnswer = float64(measuring) / float64(t.Counts.Answered)
	}
	for _, c := range r.Classes {
		if c.Counts.WorthSent > 0 {
			run.WorthP99Ms = max(run.WorthP99Ms, float64(c.Latency.P99Us)/usPerMs)
		}
	}
	return run
}
