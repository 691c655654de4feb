// Command gypsumside is the node on machines that follow a directory: gypsumd with
// the adapter of package platform.
package main

import (
	"os"

	"gypsumstand/internal/daemon"
	"gypsumstand/platform"
)

const usage = `usage: gypsumside [-settings FILE]

Runs one node beside its worker on the users' machines until SIGTERM or SIGINT,
which begin a graceful stop: readiness goes down first, callers are still served
for leave_grace_ms, then what is in flight is finished, bounded by stop_timeout_ms.
SIGHUP checks the settings file anew and logs what it finds. Logs are JSON lines on
standard output, catalogued in docs/EVENTS.md. docs/PLATFORM.md says how it is run.

Exit codes: 0 stopped gracefully, 1 could not serve or a part of it failed,
2 usage, 3 faults in the settings (all are logged), 4 stopped with requests
cut off.

flags:
`

func main() {
	os.Exit(daemon.Main(usage, platform.SettingsPath(), os.Stdout, platform.Adapt))
}
