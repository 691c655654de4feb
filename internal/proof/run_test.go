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

// checkPlans runs plans of the given kind with twelve seeds, every other one with deadly
// requests, and checks that they hold all promises and reach a count.
func checkPlans(t *testing.T, kind Plan, counted string, least int) {
	t.Helper()
	count := 0
	for seed := range uint64(12) {
		kind.Seed, kind.Steps, kind.Deadly = seed, 60, seed%2 == 0
		report := Run(kind)
		count += report.Counts[counted]
		for _, violation := range report.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if count < least {
		t.Errorf("%d %s, want at least %d: the plans do not test the promise", count, counted, least)
	}
}

func TestWarmingLimitHoldsUnderFaults(t *testing.T) {
	checkPlans(t, Plan{Warming: true}, "requests at warming workers", 100)
}

func TestRateLimitHoldsUnderFaults(t *testing.T) {
	checkPlans(t, Plan{RateLimits: true}, "requests at limited workers", 100)
}

func TestAnnouncedLeavingHoldsUnderFaults(t *testing.T) {
	checkPlans(t, Plan{Announcements: true}, "announced leavings", 20)
}

// A proof of "not run" that compares times of two machines must not need a common clock.
func TestPromisesHoldWithSeparateClocks(t *testing.T) {
	checkPlans(t, Plan{Clocks: true}, "settlements", 100)
}
