package quarantine

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

var epoch = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

func content(i int) model.Fingerprint {
	return model.Fingerprint{0: byte(i), 1: byte(i >> 8), 2: 1, 15: byte(i * 7)}
}

func runOf(i, startedMs int) Run { return Run{Content: content(i), Started: at(startedMs)} }

func TestRunsFailingWithCrashWereInFlight(t *testing.T) {
	var c CrashCorrelator
	c.RunFailed(at(0), runOf(1, -100)) // a single reset, long before
	c.RunFailed(at(1000), runOf(2, 900))
	c.RunFailed(at(1040), runOf(3, 500))
	got := c.WorkerCrashed(at(1050), 7)
	if len(got) != 2 || got[0].Content != content(2) || got[1].Content != content(3) {
		t.Errorf("in flight: %v; want the two that failed together", got)
	}
	if again := c.WorkerCrashed(at(1100), 8); again != nil {
		t.Errorf("second report of one crash: %v in flight; want none", again)
	}
}

// A node that is starved of CPU reads its sockets one after the other: some failures are
// noticed only after the worker's port was found closed.
func TestLateFailureIsAttributedToCrash(t *testing.T) {
	var c CrashCorrelator
	c.RunFailed(at(0), runOf(1, -100))
	c.WorkerCrashed(at(5), 7)
	if got := c.RunFailed(at(400), runOf(2, -50)); got != 7 {
		t.Errorf("a run from before the crash: crash %d; want 7", got)
	}
	if got := c.RunFailed(at(450), runOf(3, 300)); got != 0 {
		t.Errorf("a run of the next worker incarnation: crash %d; want none", got)
	}
}

func TestRunFailureAloneIsNoCrash(t *testing.T) {
	var c CrashCorrelator
	if got := c.WorkerCrashed(at(0), 7); got != nil {
		t.Errorf("a crash without failed runs: %v in flight; want none", got)
	}
	for i := range 3 * maxPending {
		if got := c.RunFailed(at(i), runOf(i, i-1)); got != 0 {
			t.Fatalf("a failed run was attributed to crash %d; want none", got)
		}
	}
	if n := len(c.pending); n > maxPending {
		t.Errorf("%d failed runs are pending; the bound is %d", n, maxPending)
	}
	if got := c.WorkerCrashed(at(3*maxPending).Add(pendingTTL+time.Second), 8); got != nil {
		t.Errorf("runs that failed long before a crash were in flight: %v", got)
	}
}

// A worker may go on working after its caller has disconnected, and crash then.
func TestAbandonedRunCountsAsInFlight(t *testing.T) {
	var c CrashCorrelator
	c.RunAbandoned(at(-3000), runOf(1, -3100))
	c.RunAbandoned(at(0), runOf(2, -15))
	if got := c.WorkerCrashed(at(400), 7); len(got) != 1 || got[0].Content != content(2) {
		t.Errorf("in flight: %v; want the one that was abandoned 0.4 s before", got)
	}
	if got := c.WorkerCrashed(at(800), 8); got != nil {
		t.Errorf("second report of one crash: %v in flight; want none", got)
	}
	for i := range 3 * maxAbandoned {
		c.RunAbandoned(at(1000+i), runOf(10+i, 1000))
	}
	c.RunFailed(at(1300), runOf(3, 1200))
	if got := len(c.WorkerCrashed(at(1310), 9)); got != maxAbandoned+1 {
		t.Errorf("%d in flight; want the one that failed and the last %d that were abandoned", got, maxAbandoned)
	}
}
