// Command gypsumctl is the operators' tool: it generates keys, checks, signs, verifies and
// compares bundles, and shows the state of a node. It changes no running node. "gypsumctl
// help" lists the commands.
//
// Exit codes: 0 success, 1 findings or failure, 2 wrong usage.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"gypsumstand/internal/ctl"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := ctl.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
