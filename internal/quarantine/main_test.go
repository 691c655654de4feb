package quarantine

import (
	"os"
	"testing"

	"gypsumstand/internal/rapidflags"
)

// TestMain gives rapid a fixed seed unless RAPID_SEED requests a fresh one.
func TestMain(m *testing.M) {
	flags := rapidflags.Flags{"rapid.checks": "500", "rapid.steps": "60"}
	if os.Getenv("RAPID_SEED") == "" {
		flags["rapid.seed"] = "1"
	}
	rapidflags.Main(m, flags)
}
