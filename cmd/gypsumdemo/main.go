// Command gypsumdemo runs an example deployment on loopback under load, rolls out a bundle,
// drains one worker, kills another, and reports whether the guarantees held.
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
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

// meanServiceMs is the workers' mean service time in milliseconds: long enough that callers,
// nodes and workers fit on one machine at any share of the capacity.
const meanServiceMs = 25

const usage = `usage: gypsumdemo [flags] BUNDLE.toml WORKERS...

Runs the bundle's services with the given numbers of workers, in the order of the bundle.

  gypsumdemo examples/inyange/bundle.toml 4 3 4

Exit codes: 0 all guarantees kept, 1 the run failed, 2 usage, 3 a guarantee was violated.

flags:
`

func main() { os.Exit(run()) }

func run() int {
	share := flag.Float64("share", 0.25, "offered load as a share of the workers' capacity, above 0 and up to 2")
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
	dep, err := loadDeployment(flag.Args())
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
		return exitViolation
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// loadDeployment reads the bundle and the numbers of workers from the arguments.
func loadDeployment(args []string) (*deploy.Deployment, error) {
	data, err := os.ReadFile(args[0])
	if err != nil {
		return nil, err
	}
	var workers []int
	for _, arg := range args[1:] {
		n, err := strconv.Atoi(arg)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("number of workers %q: want an integer of at least 1", arg)
		}
		workers = append(workers, n)
	}
	dep, err := deploy.New(args[0], data, workers)
	if err != nil {
		return nil, err
	}
	dep.MeanServiceMs = meanServiceMs
	return dep, nil
}
