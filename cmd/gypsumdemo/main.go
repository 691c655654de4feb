// Command gypsumdemo runs an example deployment on loopback under load, rolls a
// bundle out, drains a worker, kills another, and reports.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/rs/zerolog"

	"gypsumstand/internal/demo"
	"gypsumstand/internal/deploy"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
	exitBroken = 3
)

// demoMeanMs is the workers' mean service time: so that callers, nodes and workers
// fit on one machine at any share of the capacity.
const demoMeanMs = 25

const usage = `usage: gypsumdemo [flags] BUNDLE.toml WORKERS...

Runs the bundle's services with the given numbers of workers, in its order.

  gypsumdemo examples/inyange/bundle.toml 4 3 4

Exit codes: 0 all promises kept, 1 the run failed, 2 usage, 3 a promise was broken.

flags:
`

func main() { os.Exit(run()) }

func run() int {
	share := flag.Float64("share", 0.25, "share of the workers' capacity to offer, over 0 to 2")
	verbose := flag.Bool("v", false, "log the nodes' events to standard error")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	if flag.NArg() < 2 || *share <= 0 || *share > 2 {
		flag.Usage()
		return exitUsage
	}
	dep, err := load(flag.Args())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	log := zerolog.Nop()
	if *verbose {
		log = zerolog.New(os.Stderr).With().Timestamp().Logger()
	}
	err = demo.Run(ctx, dep, demo.Options{Share: *share, Out: os.Stdout, Log: log})
	switch {
	case errors.Is(err, demo.ErrViolation):
		fmt.Fprintln(os.Stderr, err)
		return exitBroken
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// load reads the bundle and the numbers of workers.
func load(args []string) (*deploy.Deployment, error) {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return nil, err
	}
	var workers []int
	for _, arg := range args[1:] {
		n, err := strconv.Atoi(arg)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("number of workers %q: want a whole number from 1", arg)
		}
		workers = append(workers, n)
	}
	dep, err := deploy.New(args[0], data, workers)
	if err != nil {
		return nil, err
	}
	dep.MeanServiceMs = demoMeanMs
	return dep, nil
}
