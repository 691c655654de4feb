// Command gypsumbench benchmarks the example deployments on loopback and writes the
// results, a page and plots.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"gypsumstand/internal/deploy"
	"gypsumstand/internal/experiment"
	"gypsumstand/internal/simulation"
	"gypsumstand/internal/simulation/calls"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

const usage = `usage: gypsumbench [flags]

Compares the product's routing with baseline policies on the two examples and measures
the latency that two nodes add to a call. Writes measurements.json, MEASUREMENTS.md and
plots.

  gypsumbench -examples examples -out docs
  gypsumbench -examples examples -out /some/folder -duration 2s -repeats 1

With -simulate it prints the results of a discrete-event model of one service instead:
for each routing policy, for the product's policy with one part changed at a time, for
ways to retry refused calls elsewhere, or for hedging. This takes up to a few minutes,
opens no socket and gives the same figures on every run.

  gypsumbench -simulate policies
  gypsumbench -simulate parts
  gypsumbench -simulate retries
  gypsumbench -simulate hedges

Exit codes: 0 done, 1 failed, 2 usage.

flags:
`

// options holds the flags.
type options struct {
	examples, out string
	duration      time.Duration
	repeats       int
	rate          float64
	page          bool
	simulate      string
}

// Values of -simulate.
const (
	simulatePolicies = "policies"
	simulateParts    = "parts"
	simulateRetries  = "retries"
	simulateHedges   = "hedges"
)

func main() { os.Exit(run()) }

func run() int {
	var s options
	flag.StringVar(&s.examples, "examples", "examples", "folder of the example deployments")
	flag.StringVar(&s.out, "out", "docs", "output folder")
	flag.DurationVar(&s.duration, "duration", 6*time.Second, "duration of the load of one run, 1s to 1m")
	flag.IntVar(&s.repeats, "repeats", 3, "runs per combination of deployment, policy and load, 1 to 20")
	flag.Float64Var(&s.rate, "rate", 2000, "calls per second for the added latency, 1 to 20000")
	flag.BoolVar(&s.page, "page", false, "write only the page and plots, from the figures in the output folder")
	flag.StringVar(&s.simulate, "simulate", "", "run the model only: policies, parts, retries or hedges")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() > 0 || !s.valid() {
		flag.Usage()
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := s.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// valid reports whether all flags are within their bounds.
func (s *options) valid() bool {
	known := slices.Contains([]string{"", simulatePolicies, simulateParts, simulateRetries, simulateHedges}, s.simulate)
	return known && s.duration >= time.Second && s.duration <= time.Minute &&
		s.repeats >= 1 && s.repeats <= 20 && s.rate >= 1 && s.rate <= 20000
}

// run executes the mode that the flags select.
func (s *options) run(ctx context.Context) error {
	switch s.simulate {
	case simulatePolicies:
		return simulation.Write(os.Stdout, simulation.Policies())
	case simulateParts:
		return simulation.Write(os.Stdout, simulation.Ablations())
	case simulateRetries:
		return calls.WriteRetries(os.Stdout)
	case simulateHedges:
		return calls.WriteHedges(os.Stdout)
	}
	if s.page {
		m, err := experiment.Read(s.out)
		if err != nil {
			return err
		}
		return m.Write(s.out)
	}
	return measure(ctx, s)
}

// meanServiceMs is the workers' mean service time in milliseconds: long enough that the load
// generator can offer more than the workers' capacity on one machine.
const meanServiceMs = 60

// measure runs all benchmarks and writes the results.
func measure(ctx context.Context, s *options) error {
	inyange, err := deploy.LoadExample(s.examples, "inyange", deploy.InyangeWorkers)
	if err != nil {
		return err
	}
	brethyn, err := deploy.LoadExample(s.examples, "brethyn", deploy.BrethynWorkers)
	if err != nil {
		return err
	}
	inyange.MeanServiceMs, brethyn.MeanServiceMs = meanServiceMs, meanServiceMs
	var m experiment.Measurements
	m.AddedLatency, err = experiment.MeasureAddedLatency(ctx, s.rate, s.repeats, s.duration)
	if err != nil {
		return fmt.Errorf("measure added latency: %w", err)
	}
	m.Runs, err = experiment.Compare(ctx, experiment.Options{
		Deployments: []*deploy.Deployment{inyange, brethyn},
		Contenders:  experiment.Contenders(),
		LoadShares:  []float64{0.6, 0.85, 1.1},
		Repeats:     s.repeats,
		Duration:    s.duration,
		Progress:    os.Stdout,
	})
	// Results from before a failure are still written.
	return errors.Join(err, m.Write(s.out))
}
