package proof

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestAPlanHasTheSameCourseEachTime(t *testing.T) {
	t.Parallel()
	play := func(seed uint64) Report { return Run(Plan{Seed: seed, Steps: 15}) }
	first, again, other := play(3), play(3), play(4)
	if diff := cmp.Diff(first, again); diff != "" {
		t.Errorf("two runs of one plan (-first +again):\n%s", diff)
	}
	if first.Hash == other.Hash {
		t.Error("plans of two seeds have the same course")
	}
	for _, breach := range append(first.Violations, other.Violations...) {
		t.Error(breach)
	}
}

// Plans that once showed a fault, by their seeds.
//
//	6334: two nodes asked for a version and declined it without end
func TestPlansThatOnceFailedHold(t *testing.T) {
	for _, seed := range []uint64{6334} {
		for _, breach := range Run(Plan{Seed: seed, Steps: 60, Deadly: true}).Violations {
			t.Errorf("seed %d: %s", seed, breach)
		}
	}
}

func TestWarmingWorkersGetNoMoreThanTheyMayBesideAllFaults(t *testing.T) {
	requests := 0
	for seed := range uint64(12) {
		report := Run(Plan{Seed: seed, Steps: 60, Warming: true, Deadly: seed%2 == 0})
		requests += report.Counts["requests at warming workers"]
		for _, breach := range report.Violations {
			t.Errorf("seed %d: %s", seed, breach)
		}
	}
	if requests < 100 {
		t.Errorf("%d requests at warming workers: the plans do not test the bound", requests)
	}
}
