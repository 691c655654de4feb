package entry

import (
	"os"
	"testing"

	"gypsumstand/internal/rapidflags"
)

// TestMain gives rapid a fixed seed and enough steps for a call to go through several faults,
// unless the command line overrides them. RAPID_SEED and -rapid.seed select other seeds.
func TestMain(m *testing.M) {
	flags := rapidflags.Flags{"rapid.checks": "1000", "rapid.steps": "150"}
	if os.Getenv("RAPID_SEED") == "" {
		flags["rapid.seed"] = "1"
	}
	rapidflags.Main(m, flags)
}
