// Command gypsumsoak harms a fleet of real node processes and checks the promises.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"gypsumstand/internal/soak"
)

const usage = `usage: gypsumsoak -node FILE [flags]

Runs nodes as separate processes on the loopback network, beside stand-ins of the
store and of workers, and harms them: signals, wires that delay, reset, hold back or
silence, a store that misbehaves, workers that drain, spoil answers or refuse. Clients
check every answer; what they and the workers saw is held against the promises. A seed
repeats the plan of troubles. The plan and the nodes' logs of a soak that found
something are kept.

  gypsumsoak -node bin/gypsumside -seed 1 -seeds 50

Exit codes: 0 nothing was found, 1 a promise was broken, 2 usage or no start.

flags:
`

func main() {
	node := flag.String("node", "", "the node's program file (gypsumside)")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds, one after the other")
	machines := flag.Int("machines", 6, "number of nodes, up to 100")
	length := flag.Duration("for", 24*time.Second, "length of one soak, at least 15s")
	plan := flag.String("plan", string(soak.PlanNewest), "what the plan is drawn from: newest, spared (one machine and the store are spared, and that machine is left without peers), zones (mostly evacuations and cold workers), or first to fifth, by which older seeds repeat their plans")
	keep := flag.String("keep", "", "folder for plans and logs of soaks that found something; by default a temporary one")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if *node == "" || flag.NArg() > 0 || *machines < 2 || *machines > 100 || *length < 15*time.Second {
		flag.Usage()
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cfg := soak.Config{Program: *node, Machines: *machines, Length: *length}
	cfg.Plan = soak.PlanVersion(*plan)
	if !cfg.Plan.Valid() {
		flag.Usage()
		os.Exit(2)
	}
	os.Exit(play(ctx, cfg, *seed, *seeds, *keep))
}

// play plays the seeds and returns the exit code.
func play(ctx context.Context, cfg soak.Config, first uint64, seeds int, keep string) int {
	code := 0
	for n := range uint64(seeds) {
		if ctx.Err() != nil {
			break
		}
		cfg.Seed = first + n
		found, err := playOne(ctx, cfg, keep)
		if err != nil {
			fmt.Fprintln(os.Stderr, "gypsumsoak:", err)
			return 2
		}
		if found {
			code = 1
		}
	}
	return code
}

// playOne plays one seed and tells whether a promise was broken.
func playOne(ctx context.Context, cfg soak.Config, keep string) (found bool, err error) {
	if keep == "" {
		keep = os.TempDir()
	}
	cfg.Dir, err = os.MkdirTemp(keep, fmt.Sprintf("soak-%d-", cfg.Seed))
	if err != nil {
		return false, err
	}
	report, err := soak.Run(ctx, cfg)
	if err != nil {
		return false, err
	}
	fmt.Printf("seed %d: %d requests, %d served, %d promises broken; %s\n",
		cfg.Seed, report.Requests, report.Served, len(report.Violations), report.ApplySummary())
	if len(report.Violations) == 0 {
		return false, os.RemoveAll(cfg.Dir)
	}
	for _, v := range report.Violations {
		fmt.Println("  " + v)
	}
	fmt.Println("  logs in", cfg.Dir)
	return true, os.WriteFile(filepath.Join(cfg.Dir, "plan.txt"), []byte(report.Plan+"\n"), 0o600)
}
