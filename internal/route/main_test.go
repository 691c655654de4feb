package route

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid's checks unless the command line gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("1")
	}
	os.Exit(m.Run())
}
