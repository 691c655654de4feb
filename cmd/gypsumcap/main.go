// Command gypsumcap measures what control costs a node as the fleet grows, and
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

// maxNodes bounds a measured fleet: its memory grows with the square.
const maxNodes = 3000

const usage = `usage: gypsumcap [flags]

Measures fleets of decision cores on a fake clock, fits slopes and works the
target out. Writes capacity.json and CAPACITY.md, the latter from the text in
capacity.text.md.

  gypsumcap -out docs                     measure and write
  gypsumcap -out docs -page               write the page from capacity.json only
  gypsumcap -out /some/folder -nodes 10,100

Exit codes: 0 done, 1 failed, 2 usage.

flags:
`

func main() { os.Exit(run()) }

func run() int {
	out := flag.String("out", "docs", "folder to write to")
	list := flag.String("nodes", "10,30,100,300,1000", "sizes of the fleet, each 2 to 3000")
	page := flag.Bool("page", false, "write the page only, from the figures in the folder")
	flag.Usage = func() {
		fmt.Fprint(flag.CommandLine.Output(), usage)
		flag.PrintDefaults()
	}
	flag.Parse()
	sizes, err := parse(*list)
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

func parse(list string) ([]int, error) {
	var sizes []int
	for _, s := range strings.Split(list, ",") {
		n, err := strconv.Atoi(s)
		if err != nil || n < 2 || n > maxNodes {
			return nil, fmt.Errorf("size %q", s)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

// seed makes the fleets repeatable.
const seed = 1

func measure(ctx context.Context, sizes []int, out string) error {
	var m capacity.Measurements
	var err error
	// One node alone comes first: the fleets leave a large heap behind.
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
