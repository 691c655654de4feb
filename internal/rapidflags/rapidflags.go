// Package rapidflags sets default flags of the property-testing library rapid, so that test
// runs are deterministic unless the command line overrides them.
package rapidflags

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Flags maps flag names to values.
type Flags map[string]string

// FixedSeed returns flags with a fixed seed. -rapid.seed=0 on the command line asks for a
// random one.
func FixedSeed() Flags { return Flags{"rapid.seed": "1"} }

// Main implements TestMain: it sets the flags, runs the tests and exits.
func Main(m *testing.M, flags Flags) {
	flag.Parse()
	if err := Set(flags); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// Set sets each flag that the command line does not set. The error names a flag that is
// unknown or rejects its value.
func Set(flags Flags) error {
	explicit := Flags{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = f.Value.String() })
	for name, value := range flags {
		if _, ok := explicit[name]; ok {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			return fmt.Errorf("flag %s: %w", name, err)
		}
	}
	return nil
}
