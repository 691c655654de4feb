// Command gypsumload generates open-loop load: it sends requests at a fixed rate whatever
// their outcome, checks every response, and prints the results that callers saw.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"gypsumstand/internal/load"
)

// Exit codes.
const (
	exitOK        = 0
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

const usage = `gypsumload sends requests at a fixed rate whatever their outcome, checks that every
response is complete and belongs to its request, and prints a table.

Usage:
  gypsumload [flags]

Examples:
  gypsumload --target 127.0.0.1:8001,127.0.0.1:8002 --rate 500 --path /vouchers --timeout 200ms
  gypsumload --target 127.0.0.1:8001 --method POST --path /payouts --resend 3 --oracle 127.0.0.1:9001
  gypsumload --target 127.0.0.1:9000 --direct --rate 500       # a worker without a node
  gypsumload --plan inyange-load.toml --json

A plan is TOML:
  targets = ["127.0.0.1:8001"]
  duration_ms = 10000
  [[stream]]
  class = "vouchers"
  rate_per_second = 300
  path = "/vouchers"
  timeout_ms = 200
  burst = { every_ms = 250, min_ms = 5, max_ms = 20, factor = 4 }
  [[step]]
  at_ms = 2000
  url = "http://127.0.0.1:9001/faults"
  body = '{"slow_factor":5}'

Exit codes:
  0  measured; no violation of a guarantee was seen
  1  could not measure, or a step or the count of runs failed
  2  invalid flags or plan; every error is printed
  3  a guarantee was violated: a wrong or truncated response, a request run twice,
     or one that ran although its caller was told that it did not
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var f flags
	fs := f.define(stderr)
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintf(stdout, "%s\nFlags:\n", usage)
		fs.SetOutput(stdout)
		fs.PrintDefaults()
		return exitOK
	}
	if err != nil {
		fmt.Fprintln(stderr, "see gypsumload --help")
		return exitUsage
	}
	plan, err := f.plan(fs)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitUsage
	}
	result, err := load.Run(ctx, plan, load.Options{Oracle: f.oracleOrNil()})
	if result != nil {
		if writeErr := write(stdout, result, f.json); writeErr != nil {
			err = errors.Join(err, writeErr)
		}
	}
	if err != nil {
		fmt.Fprintln(stderr, err)
	}
	return exitCode(result, err)
}

// exitCode returns the exit code. A violated guarantee takes precedence over a failed
// measurement.
func exitCode(r *load.Result, err error) int {
	switch {
	case r != nil && !r.GuaranteesHeld():
		return exitViolation
	case err != nil || !r.StepsSucceeded():
		return exitFailed
	}
	return exitOK
}

// write prints the result as a table or as JSON.
func write(out io.Writer, r *load.Result, asJSON bool) error {
	if !asJSON {
		return r.WriteTable(out)
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}
