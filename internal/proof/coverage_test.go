package proof

import (
	"strconv"
	"strings"
	"sync"
	"testing"
)

// casePlans is the number of plans that together reach every case below.
const casePlans = 48

// cases are the counts that the plans must reach for the oracle to have checked every
// kind of outcome, resolution, refusal and fault.
var cases = []string{
	"told answered", "told not-run", "told unknown", "callers disconnected",
	"settled never-seen", "settled queued", "settled started", "settled done", "settled barred",
	"refused barred", "refused delegated", "refused duplicate-running", "refused duplicate-done",
	"refused incarnation", "refused leaving", "refused not-ready", "refused overloaded", "refused paused",
	"refused queue-full", "refused stale", "refused tenant-limit",
	"sent again after answered", "sent again after not-run", "sent again after unknown", "sent again after nothing yet",
	"late or repeated attempts", "broken connections", "crashes", "planned stops", "probes arrived",
	"runs twice, excused",
}

func TestPlansCoverAllCases(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	counts := map[string]int{}
	t.Run("plans", func(t *testing.T) {
		for seed := range uint64(casePlans) {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				w := runPlainPlan(seed, options{}, nil)
				for _, v := range w.ledger.violations {
					t.Error(v)
				}
				mu.Lock()
				defer mu.Unlock()
				for what, n := range w.ledger.counts {
					counts[what] += n
					if strings.HasPrefix(what, "excused: the") {
						counts["runs twice, excused"] += n
					}
				}
			})
		}
	})
	for _, what := range cases {
		if counts[what] == 0 {
			t.Errorf("no plan reached case %q", what)
		}
	}
	logCounts(t, counts)
}
