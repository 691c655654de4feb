package window

import (
	"testing"

	"gypsumstand/internal/rapidflags"
)

func TestMain(m *testing.M) { rapidflags.Main(m, rapidflags.FixedSeed()) }
