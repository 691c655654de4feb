package entry

import (
	"flag"
	"os"
	"testing"
)

// TestMain gives rapid a fixed seed and enough steps for a call to live through
// a few faults, unless the command line says otherwise. RAPID_SEED and
// -rapid.seed give fresh worlds.
func TestMain(m *testing.M) {
	flag.Parse()
	settings := map[string]string{"rapid.checks": "1000", "rapid.steps": "150"}
	if os.Getenv("RAPID_SEED") == "" {
		settings["rapid.seed"] = "1"
	}
	flag.Visit(func(f *flag.Flag) { delete(settings, f.Name) })
	for name, value := range settings {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
