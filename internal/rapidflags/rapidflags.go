// Package rapidflags sets rapid's flags for tests, so that a run gives the same
// verdict each time unless its command line asks for something else.
package rapidflags

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Flags are values by the names of flags.
type Flags map[string]string

// FixedSeed makes a run the same each time; -rapid.seed=0 asks for a fresh one.
func FixedSeed() Flags { return Flags{"rapid.seed": "1"} }

// Main runs a package's tests with the flags, as its TestMain.
func Main(m *testing.M, flags Flags) {
	flag.Parse()
	if err := Set(flags); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// Set sets the flags that the command line does not give. The error names a flag
// that is not known or does not take its value.
func Set(flags Flags) error {
	given := Flags{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = f.Value.String() })
	for name, value := range flags {
		if _, ok := given[name]; ok {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			return fmt.Errorf("flag %s: %w", name, err)
		}
	}
	return nil
}
