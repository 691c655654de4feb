package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// A short soak with fixed seeds: what ever failed is kept here with its cause.
//
//	101: a hang-up during a planned stop ended the process
var regressionSeeds = []uint64{101}

func TestSeedsThatOnceFailedHold(t *testing.T) {
	program := filepath.Join(t.TempDir(), "gypsumside")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "gypsumstand/cmd/gypsumside").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	for _, seed := range regressionSeeds {
		report, err := Run(t.Context(), Config{Program: program, Dir: t.TempDir(), Seed: seed, Machines: 6, Length: 24 * time.Second, Plan: PlanFirst})
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		t.Logf("seed %d: %d of %d requests served", seed, report.Served, report.Requests)
	}
}
