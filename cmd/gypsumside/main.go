// Command gypsumside runs a node on machines that follow a directory: gypsumd with the
// adapter of package platform.
package main

import (
	"os"

	"gypsumstand/internal/daemon"
	"gypsumstand/platform"
)

const usage = `usage: gypsumside [-settings FILE]

Runs one node beside its worker, with the platform's adapter, until SIGTERM or SIGINT,
which start a graceful stop: the readiness check fails first, callers are still served for
leave_grace_ms, then the requests in flight complete within stop_timeout_ms. SIGHUP checks
the settings file and logs the result. Logs are JSON lines on standard output;
docs/EVENTS.md lists the events. docs/PLATFORM.md describes deployment.

Exit codes: 0 stopped gracefully, 1 could not serve or a component failed, 2 usage,
3 errors in the settings (all are logged), 4 stopped with requests cut off.

flags:
`

func main() {
	os.Exit(daemon.Main(usage, platform.SettingsPath(), os.Stdout, platform.Adapt))
}
