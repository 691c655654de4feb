package proof

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// The tests of this file reproduce faults that random plans found.

// scenarioSeeds is the number of seeds that each scenario runs with.
const scenarioSeeds = 4

// checkScenario runs a scenario with several seeds and reports the oracle's violations.
func checkScenario(t *testing.T, scenario func(w *world)) {
	t.Helper()
	t.Parallel()
	for seed := range uint64(scenarioSeeds) {
		w := newWorld(seed, unmutated())
		w.advance(8 * time.Second)
		scenario(w)
		w.ledger.checkPropagation()
		for _, v := range w.ledger.violations {
			t.Errorf("seed %d: %v", seed, v)
		}
	}
}

// Fresh nodes find no seed peer at first, and the list lags, so no peer dials them. They
// learn of the others only some seconds later, from the list, while the configuration
// service serves an older version.
func TestFreshNodesDoNotStartWithOlderBundle(t *testing.T) {
	checkScenario(t, func(w *world) {
		w.platform.publish()
		w.advance(8 * time.Second)
		w.platform.serve(1)
		for _, n := range w.nodes[:3] {
			n.process.beginStop()
		}
		w.advance(5 * time.Second)
		w.platform.listLag = 8 * time.Second
		w.nodes[2].boot()
		w.advance(350 * time.Millisecond)
		w.nodes[1].boot()
		w.advance(10 * time.Second)
	})
}

// The configuration service lists a version and goes down before any node could read it.
func TestUnreadableVersionDoesNotBlockFreshNode(t *testing.T) {
	checkScenario(t, func(w *world) {
		w.platform.publish()
		w.platform.values[w.platform.versions] = nil
		n := w.nodes[2]
		n.process.crash()
		n.boot()
		w.advance(2 * time.Second)
		w.platform.down = true
		w.advance(10 * time.Second)
	})
}

// Each side of a partition in a small fleet declares the other side gone.
func TestPartitionLongerThanSuspicionHeals(t *testing.T) {
	checkScenario(t, func(w *world) {
		w.net.split(func(n *node) int { return min(n.index, 2) / 2 })
		w.advance(30 * time.Second)
		w.recover()
	})
}

// Only the platform's list shows the instance as leaving, and an attempt that was sent
// before that reaches its owner late.
func TestOwnerListedAsLeavingRefusesLateWork(t *testing.T) {
	checkScenario(t, func(w *world) {
		n := w.nodes[3]
		w.platform.put(n, model.StateLeaving)
		w.advance(leavingTime + time.Second)
		s := w.newSubmission(fixedChooser(2 * 2))
		late := model.Attempt{
			ID:        model.AttemptID{Entry: "n0", Incarnation: 1, Sequence: 1},
			Owner:     n.id,
			Service:   n.service,
			Class:     "view",
			Request:   s.request,
			Remaining: time.Second, Idempotent: true,
		}
		w.ledger.attempts[late.ID] = &attemptRecord{submission: s}
		n.process.offer(&job{attempt: late})
		w.advance(time.Second)
		s.ended = true
	})
}
