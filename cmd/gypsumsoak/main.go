// Command gypsumsoak injects faults into a fleet of real node processes and checks that the
// guarantees hold.
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

Runs nodes as separate processes on the loopback network, beside stand-ins for the store
and the workers, and injects faults: signals; connections that are delayed, reset, stalled
or silent; a store that misbehaves; workers that drain, corrupt responses or refuse.
Clients check every response, and the records of clients and workers are checked against
the guarantees. A seed repeats the plan of faults. If a soak finds a violation, its plan
and the nodes' logs are kept.

  gypsumsoak -node bin/gypsumside -seed 1 -seeds 50

Exit codes: 0 no violation, 1 a guarantee was violated, 2 usage or failed start.

flags:
`

func main() {
	node := flag.String("node", "", "the node's program file (gypsumside)")
	seed := flag.Uint64("seed", 1, "first seed")
	seeds := flag.Int("seeds", 1, "number of seeds, one after the other")
	machines := flag.Int("machines", 6, "number of nodes, up to 100")
	length := flag.Duration("for", 24*time.Second, "duration of one soak, at least 15s")
	plan := flag.String("plan", string(soak.PlanNewest), "kind of plan: newest, spared (one machine and the store get no faults, and that machine is left without peers), zones (mostly evacuations and cold workers), limits (mostly workers that name rate limits), restores (mostly a store that comes back from copies), growth (a configuration that grows by thousands of routes over links of 10 Mbit/s), hard (uploads, calls of workers, priorities and load above the capacity, over links of 10 Mbit/s), responses (workers that answer runs with a status for requests not run, that send responses once more, or break them off), or first to sixth, older generators for which older seeds repeat their plans")
	keep := flag.String("keep", "", "folder for plans and logs of soaks with violations; default: the temporary folder")
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
	os.Exit(runSeeds(ctx, cfg, *seed, *seeds, *keep))
}

// runSeeds runs one soak per seed and returns the exit code.
func runSeeds(ctx context.Context, cfg soak.Config, first uint64, seeds int, keep string) int {
	code := 0
	for n := range uint64(seeds) {
		if ctx.Err() != nil {
			break
		}
		cfg.Seed = first + n
		violated, err := runSeed(ctx, cfg, keep)
		if err != nil {
			fmt.Fprintln(os.Stderr, "gypsumsoak:", err)
			return 2
		}
		if violated {
			code = 1
		}
	}
	return code
}

// runSeed runs one soak and reports whether a guarantee was violated.
func runSeed(ctx context.Context, cfg soak.Config, keep string) (violated bool, err error) {
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
