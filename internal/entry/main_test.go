package entry

import (
	"os"
	"testing"

	"gypsumstand/internal/rapidflags"
)

// TestMain gives rapid a fixed seed and enough steps for a call to live through
// a few faults, unless the command line says otherwise. RAPID_SEED and
// -rapid.seed give fresh worlds.
func TestMain(m *testing.M) {
	flags := rapidflags.Flags{"rapid.checks": "1000", "rapid.steps": "150"}
	if os.Getenv("RAPID_SEED") == "" {
		flags["rapid.seed"] = "1"
	}
	rapidflags.Main(m, flags)
}
