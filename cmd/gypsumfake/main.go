// Command gypsumfake runs a stand-in for the platform or for a worker, for tests and
// demonstrations. Faults are injected over HTTP while it runs.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

const usage = `gypsumfake runs a stand-in for the platform or for a worker.

Usage:
  gypsumfake platform [flags]
  gypsumfake worker [flags]
  gypsumfake <command> --help

Examples:
  gypsumfake platform --listen 127.0.0.1:7000 --control 127.0.0.1:7001 --instances fleet.toml --publish vouchers.signed
  gypsumfake worker --listen 127.0.0.1:9000 --control 127.0.0.1:9001 --mean 8ms --distribution lognormal --sigma 0.5
  curl -X PATCH -d '{"config_outage":"hang"}' http://127.0.0.1:7001/faults
  curl -X PATCH -d '{"slow_factor":5}' http://127.0.0.1:9001/faults
  curl -X POST 'http://127.0.0.1:9001/pause?ms=2000'

It runs until SIGINT or SIGTERM, then completes the requests in flight.

Exit codes:
  0  stopped by a signal, or printed help
  1  a port could not be opened, or a server failed
  2  invalid flags or input files; every error is printed
`

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes the command and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		fmt.Fprint(stderr, usage)
		return exitUsage
	}
	switch args[0] {
	case "platform":
		return runPlatform(ctx, args[1:], stdout, stderr)
	case "worker":
		return runWorker(ctx, args[1:], stdout, stderr)
	case "help", "-h", "-help", "--help":
		fmt.Fprint(stdout, usage)
		return exitOK
	}
	fmt.Fprintf(stderr, "gypsumfake: %q is not a command\n\n%s", args[0], usage)
	return exitUsage
}
