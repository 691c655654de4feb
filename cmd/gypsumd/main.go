// Command gypsumd is the node: it runs beside one worker, owns it, and takes
// callers' requests for all services.
package main

import (
	"os"

	"gypsumstand/internal/daemon"
)

const usage = `usage: gypsumd -settings FILE

Runs one node beside its worker until SIGTERM or SIGINT, which begin a graceful
stop: peers are told, callers are still served elsewhere for leave_grace_ms, what
is in flight is finished, bounded by stop_timeout_ms. SIGHUP checks the settings
file anew and logs what it finds; nothing else changes. Logs are JSON lines on
standard error, catalogued in docs/EVENTS.md.

  gypsumd -settings examples/inyange/node.toml

Exit codes: 0 stopped gracefully, 1 could not serve or a part of it failed,
2 usage, 3 faults in the settings (all are logged), 4 stopped with requests
cut off.

flags:
`

func main() {
	os.Exit(daemon.Main(usage, "", os.Stderr, nil))
}
