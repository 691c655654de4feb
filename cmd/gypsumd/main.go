// Command gypsumd runs a node: it runs beside one worker, owns it, and accepts callers'
// requests for all services.
package main

import (
	"os"

	"gypsumstand/internal/daemon"
)

const usage = `usage: gypsumd -settings FILE

Runs one node beside its worker until SIGTERM or SIGINT, which start a graceful stop: the
node notifies its peers, still routes callers' requests to other workers for
leave_grace_ms, then completes the requests in flight within stop_timeout_ms. SIGHUP
checks the settings file and logs the result; nothing else changes. Logs are JSON lines on
standard error; docs/EVENTS.md lists the events.

  gypsumd -settings examples/inyange/node.toml

Exit codes: 0 stopped gracefully, 1 could not serve or a component failed, 2 usage,
3 errors in the settings (all are logged), 4 stopped with requests cut off.

flags:
`

func main() {
	os.Exit(daemon.Main(usage, "", os.Stderr, nil))
}
