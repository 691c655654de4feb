// Command gypsumproof plays random plans of requests and faults against whole
// decision cores on a fake clock and tells which promises broke.
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
	exitFailed = 1
	exitUsage  = 2
	exitBroken = 3
)

// Bounds of the flags.
const (
	maxPlans = 1_000_000
	maxSteps = 10_000
)

const usage = `usage: gypsumproof [flags]

Plays plans by their seeds, one after the other, and holds what happened against
a ledger kept outside the nodes: docs/PROMISES.md tells the promises. Prints each
breach with the seed of its plan, and what all plans brought about. It opens no
socket; the same seed has the same course each time.

  gypsumproof -plans 500
  gypsumproof -seed 77 -plans 1 -trace

Exit codes: 0 promises kept, 1 stopped early, 2 usage, 3 a promise was broken.

flags:
`

func main() { os.Exit(run(os.Args[1:], os.Stdout, os.Stderr)) }

func run(args []string, out, diagnostics io.Writer) int {
	flags := flag.NewFlagSet("gypsumproof", flag.ContinueOnError)
	flags.SetOutput(diagnostics)
	seed := flags.Uint64("seed", 1, "seed of the first plan; the next ones follow")
	plans := flags.Int("plans", 12, "number of plans, 1 to 1000000")
	steps := flags.Int("steps", 40, "steps of each plan, 1 to 10000")
	warming := flags.Bool("warming", false, "let workers bear little for a while, at any moment")
	deadly := flags.Bool("deadly", true, "let callers send requests that end workers, too")
	trace := flags.Bool("trace", false, "print what happens")
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
	p := proof.Plan{Seed: *seed, Steps: *steps, Deadly: *deadly, Warming: *warming}
	if *trace {
		p.Trace = out
	}
	broken, err := play(ctx, p, *plans, out)
	switch {
	case err != nil:
		fmt.Fprintln(diagnostics, err)
		return exitFailed
	case broken:
		return exitBroken
	}
	return 0
}

// play plays the plans from the first on and prints what came of them.
func play(ctx context.Context, first proof.Plan, plans int, out io.Writer) (broken bool, err error) {
	counts := map[string]int{}
	for i := range plans {
		p := first
		p.Seed += uint64(i)
		if err := ctx.Err(); err != nil {
			return broken, fmt.Errorf("stopped after %d plans: %w", i, err)
		}
		r := proof.Run(p)
		for _, breach := range r.Violations {
			broken = true
			fmt.Fprintf(out, "seed %d: %s\n", p.Seed, breach)
		}
		for what, n := range r.Counts {
			counts[what] += n
		}
	}
	for _, what := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(out, "%8d %s\n", counts[what], what)
	}
	return broken, nil
}
