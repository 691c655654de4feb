package soak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// Seeds of short soaks that failed once, each with the cause.
//
//	101: a SIGHUP during a planned stop ended the process
var regressionSeeds = []uint64{101}

// playsAtOnce bounds the soaks that run at the same time, and so their processes.
const playsAtOnce = 3

// plays holds an element for each running soak.
var plays = make(chan struct{}, playsAtOnce)

// programDir is the directory of the node's program while the tests run.
var programDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests runs the tests with a programDir of their own and returns the exit code.
func runTests(m *testing.M) int {
	var err error
	if programDir, err = os.MkdirTemp("", "soak-program-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(programDir)
	return m.Run()
}

// buildNode builds the node's program, once for all tests, and returns its file.
var buildNode = sync.OnceValues(func() (string, error) {
	program := filepath.Join(programDir, "gypsumside")
	if out, err := exec.Command("go", "build", "-o", program, "gypsumstand/cmd/gypsumside").CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w\n%s", err, out)
	}
	return program, nil
})

// playSoak runs a soak beside those of other tests and fails the test for each violation,
// and for each of kinds that the plan lacks.
func playSoak(t *testing.T, cfg Config, kinds ...kind) Report {
	t.Helper()
	t.Parallel()
	plays <- struct{}{}
	defer func() { <-plays }()
	var err error
	if cfg.Program, err = buildNode(); err != nil {
		t.Fatal(err)
	}
	cfg.Dir = t.TempDir()
	report, err := Run(t.Context(), cfg)
	if err != nil {
		t.Fatal(err)
	}
	for _, v := range report.Violations {
		t.Errorf("seed %d: %s", cfg.Seed, v)
	}
	for _, k := range kinds {
		if !strings.Contains(report.Plan, string(k)) {
			t.Errorf("the plan has no %s:\n%s", k, report.Plan)
		}
	}
	t.Logf("seed %d: %d of %d requests served; %s", cfg.Seed, report.Served, report.Requests, report.ApplySummary())
	return report
}

// The store comes back from copies while configurations change and workers leave.
func TestRestoredStoreIsFollowedAmongOtherFaults(t *testing.T) {
	playSoak(t, Config{Seed: 6, Machines: 6, Length: 40 * time.Second, Plan: PlanRestores}, kindRestore, kindAnnounce)
}

// With all other nodes stopped, a node must not wait for them to read its messages.
func TestIsolatedMachineAppliesConfigurationsInTime(t *testing.T) {
	report := playSoak(t, Config{Seed: 1, Machines: 10, Length: 30 * time.Second, Plan: PlanSpared}, kindIsolate)
	if len(report.ApplyDelays) == 0 {
		t.Error("no delay was measured")
	}
}

func TestRegressionSeeds(t *testing.T) {
	t.Parallel()
	for _, seed := range regressionSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			playSoak(t, Config{Seed: seed, Machines: 6, Length: 24 * time.Second, Plan: PlanFirst})
		})
	}
}

// Callers send requests that crash workers, among other faults. The seed's plan begins
// with one.
func TestDeadlyRequestAmongOtherFaultsIsQuarantined(t *testing.T) {
	playSoak(t, Config{Seed: 11, Machines: 6, Length: 24 * time.Second, Plan: PlanThird}, kindDeadly)
}

// Two deadly requests start at the same time, and one crashes its workers after its
// callers have timed out.
func TestSeveralDeadlyRequestsAmongOtherFaultsAreQuarantined(t *testing.T) {
	playSoak(t, Config{Seed: 5, Machines: 6, Length: 24 * time.Second, Plan: PlanFifth}, kindDeadlyPair, kindDeadlyLate)
}

// Workers name rate limits while nodes and workers restart.
func TestRateLimitedWorkersStayWithinLimits(t *testing.T) {
	playSoak(t, Config{Seed: 4, Machines: 6, Length: 24 * time.Second, Plan: PlanLimits}, kindRateLimit)
}

// Workers answer runs with a status that clients take for "not run", beside late copies,
// restarts and paused nodes.
func TestStatusesOfRunsAreNotReportedAsNotRun(t *testing.T) {
	playSoak(t, Config{Seed: 1, Machines: 6, Length: 24 * time.Second, Plan: PlanResponses}, kindRunStatus, kindLateCopies)
}

// The configuration grows over narrow links while workers leave and nodes restart.
func TestLargeConfigurationDelaysNoLeaving(t *testing.T) {
	playSoak(t, Config{Seed: 3, Machines: 6, Length: 30 * time.Second, Plan: PlanGrowth}, kindGrow, kindWorkerDrain)
}

// Evacuations and cold workers coincide with restarts and kills.
func TestEvacuatedZonesAndColdWorkersStayWithinLimits(t *testing.T) {
	playSoak(t, Config{Seed: 2, Machines: 6, Length: 24 * time.Second, Plan: PlanZones}, kindEvacuate, kindWorkerCold)
}

// Uploads, calls of workers and load above the capacity coincide with stops, kills and crashes
// in series. Guards against second runs, false refusals, lost responses and truncated bodies.
func TestUploadsAndWorkerCallsKeepPromisesUnderLoad(t *testing.T) {
	report := playSoak(t, Config{Seed: 24, Machines: 6, Length: 18 * time.Second, Plan: PlanHard}, kindSurge, kindTerm, kindKill, kindWorkerCrash)
	for _, class := range hardClasses {
		if report.ServedOf[class] == 0 {
			t.Errorf("no %s was served", class)
		}
	}
	if report.WorkerResets == 0 {
		t.Error("no request met a full worker")
	}
	t.Logf("%d requests met a full worker", report.WorkerResets)
}
