package soak

import (
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// Seeds of short soaks that failed once, each with the cause.
//
//	101: a SIGHUP during a planned stop ended the process
var regressionSeeds = []uint64{101}

// buildNode builds the node's program and returns its file.
func buildNode(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "gypsumside")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, "gypsumstand/cmd/gypsumside").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return program
}

// playSoak runs a soak and fails the test for each violation.
func playSoak(t *testing.T, cfg Config) Report {
	t.Helper()
	cfg.Dir = t.TempDir()
	report, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s", cfg.Seed, v)
	}
	t.Logf("seed %d: %d of %d requests served; %s", cfg.Seed, report.Served, report.Requests, report.ApplySummary())
	return report
}

func TestRegressionSeeds(t *testing.T) {
	program := buildNode(t)
	for _, seed := range regressionSeeds {
		playSoak(t, Config{Program: program, Seed: seed, Machines: 6, Length: 24 * time.Second, Plan: PlanFirst})
	}
}

// With all other nodes stopped, a node once waited for them to read its messages, and a
// destination of weight 0 got requests.
func TestIsolatedMachineAppliesConfigurationsInTime(t *testing.T) {
	report := playSoak(t, Config{Program: buildNode(t), Seed: 1, Machines: 10, Length: 30 * time.Second, Plan: PlanSpared})
	if !strings.Contains(report.Plan, string(kindIsolate)) || len(report.ApplyDelays) == 0 {
		t.Errorf("no machine was isolated, or no delay was measured:\n%s", report.Plan)
	}
}

// Callers send requests that crash workers, among other faults. The seed's plan begins
// with one.
func TestDeadlyRequestAmongOtherFaultsIsQuarantined(t *testing.T) {
	report := playSoak(t, Config{Program: buildNode(t), Seed: 11, Machines: 6, Length: 24 * time.Second, Plan: PlanThird})
	if !strings.Contains(report.Plan, string(kindDeadly)) {
		t.Errorf("the plan has no deadly request:\n%s", report.Plan)
	}
}

// Two deadly requests start at the same time, and one crashes its workers after its
// callers have timed out.
func TestSeveralDeadlyRequestsAmongOtherFaultsAreQuarantined(t *testing.T) {
	report := playSoak(t, Config{Program: buildNode(t), Seed: 5, Machines: 6, Length: 24 * time.Second, Plan: PlanFifth})
	for _, k := range []kind{kindDeadlyPair, kindDeadlyLate} {
		if !strings.Contains(report.Plan, string(k)) {
			t.Errorf("the plan has no %s:\n%s", k, report.Plan)
		}
	}
}

// Workers name rate limits while nodes and workers restart.
func TestRateLimitedWorkersStayWithinLimits(t *testing.T) {
	report := playSoak(t, Config{Program: buildNode(t), Seed: 4, Machines: 6, Length: 24 * time.Second, Plan: PlanLimits})
	if !strings.Contains(report.Plan, string(kindRateLimit)) {
		t.Errorf("the plan has no %s:\n%s", kindRateLimit, report.Plan)
	}
}

// The store comes back from copies while configurations change and workers leave.
func TestRestoredStoreIsFollowedAmongOtherFaults(t *testing.T) {
	report := playSoak(t, Config{Program: buildNode(t), Seed: 6, Machines: 6, Length: 40 * time.Second, Plan: PlanRestores})
	for _, k := range []kind{kindRestore, kindAnnounce} {
		if !strings.Contains(report.Plan, string(k)) {
			t.Errorf("the plan has no %s:\n%s", k, report.Plan)
		}
	}
}

// Evacuations and cold workers coincide with restarts and kills.
func TestEvacuatedZonesAndColdWorkersStayWithinLimits(t *testing.T) {
	report := playSoak(t, Config{Program: buildNode(t), Seed: 2, Machines: 6, Length: 24 * time.Second, Plan: PlanZones})
	for _, k := range []kind{kindEvacuate, kindWorkerCold} {
		if !strings.Contains(report.Plan, string(k)) {
			t.Errorf("the plan has no %s:\n%s", k, report.Plan)
		}
	}
}
