// Command gypsumcap measures the cost of the control plane per node as the fleet grows, and
// writes docs/CAPACITY.md from the measurements.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"

	"gypsumstand/internal/capacity"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

// maxNodes bounds the size of a measured fleet, whose memory grows with its square.
const maxNodes = 3000

const usage = `usage: gypsumcap [flags]

Measures fleets of decision cores on a fake clock, fits slopes and extrapolates to the
target size. Writes capacity.json and CAPACITY.md, the latter from the template
capacity.text.md.

  gypsumcap -out docs                     measure and write
  gypsumcap -out docs -page               write only the page, from capacity.json
  gypsumcap -out /some/folder -nodes 10,100

Exit codes: 0 done, 1 failed, 2 usage.

flags:
`

func main() { os.Exit(run()) }

func run() int {
	out := flag.String("out", "docs", "output folder")
	list := flag.String("nodes", "10,30,100,300,1000", "fleet sizes, separated by commas, each 2 to 3000")
	page := flag.Bool("page", false, "write only the page, from the figures in the output folder")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	sizes, err := parseSizes(*list)
	if err != nil || flag.NArg() > 0 {
		flag.Usage()
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if *page {
		err = capacity.WritePage(*out)
	} else {
		err = measure(ctx, sizes, *out)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	return 0
}

// parseSizes parses a comma-separated list of fleet sizes.
func parseSizes(list string) ([]int, error) {
	var sizes []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 || n > maxNodes {
			return nil, fmt.Errorf("invalid fleet size %q", s)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// seed is fixed so that the fleets are reproducible.
const seed = 1

// measure measures a single node and every fleet size, and writes the results.
func measure(ctx context.Context, sizes []int, out string) error {
	var m capacity.Measurements
	var err error
	// The single node is measured first because the fleets leave a large heap behind.
	m.SingleNode, err = capacity.MeasureSingleNode()
	if err != nil {
		return err
	}
	for _, n := range sizes {
		p, err := capacity.Measure(ctx, n, seed)
		if err != nil {
			return fmt.Errorf("%d nodes: %w", n, err)
		}
		fmt.Printf("%d nodes: %+v\n", n, p)
		m.Points = append(m.Points, p)
	}
	return m.Write(out)
}
