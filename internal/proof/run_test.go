package proof

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestPlanIsDeterministic(t *testing.T) {
	t.Parallel()
	play := func(seed uint64) Report { return Run(Plan{Seed: seed, Steps: 15}) }
	first, again, other := play(3), play(3), play(4)
	if diff := cmp.Diff(first, again); diff != "" {
		t.Errorf("two runs of one plan (-first +again):\n%s", diff)
	}
	if first.Hash == other.Hash {
		t.Error("plans of two seeds have the same hash")
	}
	for _, violation := range append(first.Violations, other.Violations...) {
		t.Error(violation)
	}
}

// Seeds of plans that once found a fault:
//
//	6334: two nodes kept requesting a version from each other and rejecting it
func TestRegressionSeeds(t *testing.T) {
	for _, seed := range []uint64{6334} {
		for _, violation := range Run(Plan{Seed: seed, Steps: 60, Deadly: true}).Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
}

func TestWarmingLimitHoldsUnderFaults(t *testing.T) {
	requests := 0
	for seed := range uint64(12) {
		report := Run(Plan{Seed: seed, Steps: 60, Warming: true, Deadly: seed%2 == 0})
		requests += report.Counts["requests at warming workers"]
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if requests < 100 {
		t.Errorf("%d requests at warming workers, want at least 100: the plans do not test the limit", requests)
	}
}

func TestRateLimitHoldsUnderFaults(t *testing.T) {
	requests := 0
	for seed := range uint64(12) {
		report := Run(Plan{Seed: seed, Steps: 60, RateLimits: true, Deadly: seed%2 == 0})
		requests += report.Counts["requests at limited workers"]
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if requests < 100 {
		t.Errorf("%d requests at limited workers, want at least 100: the plans do not test the limit", requests)
	}
}

func TestAnnouncedLeavingHoldsUnderFaults(t *testing.T) {
	announced := 0
	for seed := range uint64(12) {
		report := Run(Plan{Seed: seed, Steps: 60, Announcements: true, Deadly: seed%2 == 0})
		announced += report.Counts["announced leavings"]
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if announced < 20 {
		t.Errorf("%d announced leavings, want at least 20", announced)
	}
}
