package proof

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/rapidflags"
)

// fuzzTime, when set, runs checks with fresh seeds for that long (make fuzz).
var fuzzTime = flag.Duration("proof.fuzz", 0, "fuzz with fresh seeds for this long")

// showTrace prints the trace, for debugging one failure.
var showTrace = flag.Bool("proof.trace", false, "print what happens")

// Fixed seeds make the result of a test reproducible.
const (
	fixedSeed   = "20250301"
	fixedChecks = "8"
)

func TestMain(m *testing.M) {
	flag.Parse()
	flags := rapidflags.Flags{"rapid.nofailfile": "true", "rapid.steps": "40", "rapid.shrinktime": "20s"}
	if *fuzzTime == 0 {
		flags["rapid.seed"], flags["rapid.checks"] = fixedSeed, fixedChecks
	}
	rapidflags.Main(m, flags)
}

// rapidChooser draws a plan's choices with rapid, which can shrink them.
type rapidChooser struct{ t *rapid.T }

func (r rapidChooser) pick(what string, n int) int { return rapid.IntRange(0, n-1).Draw(r.t, what) }

// unmutated returns options without mutations.
func unmutated() options {
	if *showTrace {
		return options{trace: os.Stdout}
	}
	return options{}
}

// Draws plans of actions, checks the oracle after each action and checks that service
// recovers once faults stop.
func TestPromisesHoldUnderFaults(t *testing.T) {
	t.Parallel()
	counts := map[string]int{}
	checkRepeatedly(t, func(rt *rapid.T) { runDrawnPlan(rt, counts, actions) })
	logCounts(t, counts)
}

// Runs the same check with callers whose requests crash workers.
func TestPromisesHoldBesideDeadlyRequests(t *testing.T) {
	t.Parallel()
	counts := map[string]int{}
	checkRepeatedly(t, func(rt *rapid.T) { runDrawnPlan(rt, counts, append(slices.Clone(actions), deadlyAction)) })
	logCounts(t, counts)
}

// checkRepeatedly runs a check once, or with fresh seeds until fuzzTime has passed.
func checkRepeatedly(t *testing.T, check func(*rapid.T)) {
	end := time.Now().Add(*fuzzTime)
	for {
		rapid.Check(t, check)
		if t.Failed() || !time.Now().Before(end) {
			break
		}
	}
}

func runDrawnPlan(rt *rapid.T, counts map[string]int, actions []action) {
	c := rapidChooser{rt}
	w := newWorld(uint64(c.pick("seed", 1<<20)), unmutated())
	w.start(c)
	steps := map[string]func(*rapid.T){"": func(rt *rapid.T) { reportViolations(rt, w) }}
	for _, a := range actions {
		steps[a.name] = func(rt *rapid.T) { w.step(rapidChooser{rt}, a) }
	}
	rt.Repeat(steps)
	w.recover()
	reportViolations(rt, w)
	for what, n := range w.ledger.counts {
		counts[what] += n
	}
}

// reportViolations fails the check with everything that the oracle found.
func reportViolations(rt *rapid.T, w *world) {
	w.ledger.checkPropagation()
	for _, v := range w.ledger.violations {
		rt.Errorf("%v", v)
	}
}

// logCounts logs the number of events of each kind in the plans.
func logCounts(t *testing.T, counts map[string]int) {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		t.Logf("%8d %s", counts[name], name)
	}
}
