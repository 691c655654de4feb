package soak

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// A short soak with fixed seeds: what ever failed is kept here with its cause.
//
//	101: a hang-up during a planned stop ended the process
var regressionSeeds = []uint64{101}

// buildNode builds the node's program.
func buildNode(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gypsumside")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "gypsumstand/cmd/gypsumside").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

func TestSeedsThatOnceFailedHold(t *testing.T) {
	program := buildNode(t)
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

// The seed of the first soak that broke the bound: with all others stopped a node took a
// change 2.18 s late, and splits went to a part of weight 0.
func TestAMachineThatIsLeftAloneTakesChangesInTime(t *testing.T) {
	const seed = 1
	program := buildNode(t)
	report, err := Run(t.Context(), Config{Program: program, Dir: t.TempDir(), Seed: seed, Machines: 10, Length: 30 * time.Second, Plan: PlanSpared})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if !strings.Contains(report.Plan, string(kindAlone)) || len(report.Delays) == 0 {
		t.Errorf("nobody was left alone, or nothing was measured:\n%s", report.Plan)
	}
	t.Logf("%d of %d requests served; %s", report.Served, report.Requests, report.Applied())
}

// A soak in which callers send requests that end workers, among other troubles. The seed
// was chosen for its plan, which begins with one.
func TestADeadlyRequestAmongOtherTroublesIsKeptFromWorkers(t *testing.T) {
	const seed = 11
	program := buildNode(t)
	report, err := Run(t.Context(), Config{Program: program, Dir: t.TempDir(), Seed: seed, Machines: 6, Length: 24 * time.Second, Plan: PlanThird})
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s", seed, v)
	}
	if !strings.Contains(report.Plan, string(kindDeadly)) {
		t.Errorf("the plan has no deadly request:\n%s", report.Plan)
	}
	t.Logf("%d of %d requests served", report.Served, report.Requests)
}
