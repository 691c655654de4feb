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

func runOf(i, beganMs int) Run { return Run{Content: content(i), Started: at(beganMs)} }

func TestWhatBrokeWithAnEndWasInHand(t *testing.T) {
	var e CrashCorrelator
	e.RunFailed(at(0), runOf(1, -100)) // a single reset, long before
	e.RunFailed(at(1000), runOf(2, 900))
	e.RunFailed(at(1040), runOf(3, 500))
	got := e.WorkerCrashed(at(1050), 7)
	if len(got) != 2 || got[0].Content != content(2) || got[1].Content != content(3) {
		t.Errorf("in hand: %v; want the two that broke together", got)
	}
	if again := e.WorkerCrashed(at(1100), 8); again != nil {
		t.Errorf("told twice of one end: %v were in hand", again)
	}
}

// A starved node reads its sockets one after the other: some breaks are noticed only after
// the worker's port was found closed.
func TestABreakThatIsNoticedLateBelongsToItsEnd(t *testing.T) {
	var e CrashCorrelator
	e.RunFailed(at(0), runOf(1, -100))
	e.WorkerCrashed(at(5), 7)
	if got := e.RunFailed(at(400), runOf(2, -50)); got != 7 {
		t.Errorf("a run from before the end: end %d; want 7", got)
	}
	if got := e.RunFailed(at(450), runOf(3, 300)); got != 0 {
		t.Errorf("a run of the next life: end %d; want none", got)
	}
}

func TestABreakIsNoEndByItself(t *testing.T) {
	var e CrashCorrelator
	if got := e.WorkerCrashed(at(0), 7); got != nil {
		t.Errorf("an end with nothing in hand: %v", got)
	}
	for i := range 3 * maxUnexplained {
		if got := e.RunFailed(at(i), runOf(i, i-1)); got != 0 {
			t.Fatalf("a break became end %d", got)
		}
	}
	if n := len(e.unexplained); n > maxUnexplained {
		t.Errorf("%d breaks wait; the bound is %d", n, maxUnexplained)
	}
	if got := e.WorkerCrashed(at(3*maxUnexplained).Add(unexplainedFor+time.Second), 8); got != nil {
		t.Errorf("breaks from long before an end were in hand: %v", got)
	}
}

// A worker may work on after its caller has left, and end then.
func TestARunThatWasGivenUpShortlyBeforeAnEndWasInHand(t *testing.T) {
	var e CrashCorrelator
	e.RunAbandoned(at(-3000), runOf(1, -3100))
	e.RunAbandoned(at(0), runOf(2, -15))
	if got := e.WorkerCrashed(at(400), 7); len(got) != 1 || got[0].Content != content(2) {
		t.Errorf("in hand: %v; want the one that was given up 0.4 s before", got)
	}
	if got := e.WorkerCrashed(at(800), 8); got != nil {
		t.Errorf("told twice of one end: %v were in hand", got)
	}
	for i := range 3 * maxLeft {
		e.RunAbandoned(at(1000+i), runOf(10+i, 1000))
	}
	e.RunFailed(at(1300), runOf(3, 1200))
	if got := len(e.WorkerCrashed(at(1310), 9)); got != maxLeft+1 {
		t.Errorf("%d in hand; want the one that broke and the last %d that were given up", got, maxLeft)
	}
}
