// Command gypsumbench measures the example deployments on loopback and writes
// the figures, a page and plots.
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

Measures routing beside its baselines on the two examples, and the time that two
nodes add to a call. Writes measurements.json, MEASUREMENTS.md and plots.

  gypsumbench -examples examples -out docs
  gypsumbench -examples examples -out /some/folder -duration 2s -repeats 1

With -simulate it prints instead what an event-driven model of one service gives:
for each routing policy, for the product's with one part changed each, for ways
of placing refused calls elsewhere, or for hedges. That takes up to a few minutes,
opens no socket and gives the same figures each time.

  gypsumbench -simulate policies
  gypsumbench -simulate parts
  gypsumbench -simulate retries
  gypsumbench -simulate hedges

Exit codes: 0 done, 1 failed, 2 usage.

flags:
`

// settings are the command line's.
type settings struct {
	examples, out string
	duration      time.Duration
	repeats       int
	rate          float64
	page          bool
	simulate      string
}

// What -simulate compares.
const (
	simulatePolicies = "policies"
	simulateParts    = "parts"
	simulateRetries  = "retries"
	simulateHedges   = "hedges"
)

func main() { os.Exit(run()) }

func run() int {
	var s settings
	flag.StringVar(&s.examples, "examples", "examples", "folder of the example deployments")
	flag.StringVar(&s.out, "out", "docs", "folder to write to")
	flag.DurationVar(&s.duration, "duration", 6*time.Second, "load of one run, 1s to 1m")
	flag.IntVar(&s.repeats, "repeats", 3, "runs of each cell, 1 to 20")
	flag.Float64Var(&s.rate, "rate", 2000, "calls a second for the added time, 1 to 20000")
	flag.BoolVar(&s.page, "page", false, "write the page and plots only, from the figures in the folder")
	flag.StringVar(&s.simulate, "simulate", "", "compare on the model only: policies, parts, retries or hedges")
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

func (s *settings) valid() bool {
	known := slices.Contains([]string{"", simulatePolicies, simulateParts, simulateRetries, simulateHedges}, s.simulate)
	return known && s.duration >= time.Second && s.duration <= time.Minute &&
		s.repeats >= 1 && s.repeats <= 20 && s.rate >= 1 && s.rate <= 20000
}

// run does what the command line asks for.
func (s *settings) run(ctx context.Context) error {
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
	return bench(ctx, s)
}

// benchMeanMs is the workers' mean service time: long enough that this machine
// can offer more than the capacity.
const benchMeanMs = 60

func bench(ctx context.Context, s *settings) error {
	inyange, err := deploy.LoadExample(s.examples, "inyange", deploy.InyangeWorkers)
	if err != nil {
		return err
	}
	brethyn, err := deploy.LoadExample(s.examples, "brethyn", deploy.BrethynWorkers)
	if err != nil {
		return err
	}
	inyange.MeanServiceMs, brethyn.MeanServiceMs = benchMeanMs, benchMeanMs
	var m experiment.Measurements
	m.AddedLatency, err = experiment.MeasureAddedLatency(ctx, s.rate, s.repeats, s.duration)
	if err != nil {
		return fmt.Errorf("added time: %w", err)
	}
	m.Runs, err = experiment.Compare(ctx, experiment.Options{
		Deployments: []*deploy.Deployment{inyange, brethyn},
		Contenders:  experiment.Contenders(),
		LoadShares:  []float64{0.6, 0.85, 1.1},
		Repeats:     s.repeats,
		Duration:    s.duration,
		Progress:    os.Stdout,
	})
	// What was measured before a failure is kept.
	return errors.Join(err, m.Write(s.out))
}
