// Command gypsumproof runs random plans of requests and faults against complete decision
// cores on a fake clock and reports violated guarantees.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"

	"gypsumstand/internal/proof"
)

// Exit codes.
const (
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

// Bounds of the flags.
const (
	maxPlans = 1_000_000
	maxSteps = 10_000
)

const usage = `usage: gypsumproof [flags]

Runs plans by seed, one after the other, and checks the results against a ledger kept
outside the nodes. docs/PROMISES.md lists the guarantees. Prints each violation with the
seed of its plan, and the counts of events over all plans. It opens no socket; a seed
gives the same run every time.

  gypsumproof -plans 500
  gypsumproof -seed 77 -plans 1 -trace

Exit codes: 0 guarantees kept, 1 stopped early, 2 usage, 3 a guarantee was violated.

flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, diagnostics io.Writer) int {
	flags := flag.NewFlagSet("gypsumproof", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	seed := flags.Uint64("seed", 1, "seed of the first plan; each next plan adds one")
	plans := flags.Int("plans", 12, "number of plans, 1 to 1000000")
	steps := flags.Int("steps", 40, "steps per plan, 1 to 10000")
	warming := flags.Bool("warming", false, "include periods in which workers are warming and can take little load")
	rateLimits := flags.Bool("limits", false, "include periods in which workers name rate limits")
	announcements := flags.Bool("announce", false, "include workers that say only in their responses that they leave")
	clocks := flags.Bool("clocks", false, "give each machine a clock with an origin and a rate of its own")
	deadly := flags.Bool("deadly", true, "include requests that crash workers")
	trace := flags.Bool("trace", false, "print each event")
	flags.Usage = func() {
		fmt.Fprint(diagnostics, usage)
		flags.PrintDefaults()
	}
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if flags.NArg() > 0 || *plans < 1 || *plans > maxPlans || *steps < 1 || *steps > maxSteps {
		flags.Usage()
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := proof.Plan{Seed: *seed, Steps: *steps, Deadly: *deadly, Warming: *warming, RateLimits: *rateLimits, Announcements: *announcements, Clocks: *clocks}
	if *trace {
		p.Trace = out
	}
	violated, err := runPlans(ctx, p, *plans, out)
	switch {
	case err != nil:
		fmt.Fprintln(diagnostics, err)
		return exitFailed
	case violated:
		return exitViolation
	}
	return 0
}

// runPlans runs plans with consecutive seeds, starting with first, and prints violations and
// event counts. It reports whether a guarantee was violated.
func runPlans(ctx context.Context, first proof.Plan, plans int, out io.Writer) (violated bool, err error) {
	counts := map[string]int{}
	for i := range plans {
		p := first
		p.Seed += uint64(i)
		if err := ctx.Err(); err != nil {
			return violated, fmt.Errorf("stopped after %d plans: %w", i, err)
		}
		r := proof.Run(p)
		for _, violation := range r.Violations {
			violated = true
			fmt.Fprintf(out, "seed %d: %s\n", p.Seed, violation)
		}
		for name, n := range r.Counts {
			counts[name] += n
		}
	}
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%8d %s\n", counts[name], name)
	}
	return violated, nil
}
