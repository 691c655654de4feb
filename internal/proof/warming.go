package proof

import (
	"fmt"
	"time"
)

// Limits of warming workers in plans with Warming set, in requests a second. Bursts have
// several times as many requests.
const (
	warmingPerSecond    = 4
	maxWarmingPerSecond = 8
	// maxWarming is the longest time that a worker warms up.
	maxWarming = 3 * time.Second
)

// warmingAction is added to the steps of plans with Warming set.
var warmingAction = action{"worker warms up", (*world).warmWorker}

// warmWorker makes a worker warm up at a random moment.
func (w *world) warmWorker(c chooser) {
	w.ledger.count("warming workers")
	wk := w.pickNode(c).worker
	wk.warmingUntil = w.now.Add(w.pickDuration(c, "warming", maxWarming))
}

// warmingLeft returns how much longer the worker warms up.
func (wk *worker) warmingLeft() time.Duration { return max(wk.warmingUntil.Sub(wk.node.w.now), 0) }

// recordArrival records a request at a warming worker and checks the number of requests
// within a second against maxWarmingPerSecond.
func (wk *worker) recordArrival() {
	if !wk.node.w.options.warming || wk.warmingLeft() == 0 {
		return
	}
	wk.node.w.ledger.count("requests at warming workers")
	if n := wk.warmingArrivals.Add(wk.node.w.now); n > maxWarmingPerSecond {
		wk.node.w.ledger.violate(promiseWarming,
			"the worker of %s received %d requests within a second while it was warming", wk.node.id, n)
	}
}

// warmingSettings returns the bundle's settings of warming workers; empty in plans
// without Warming.
func (s *options) warmingSettings() string {
	if !s.warming {
		return ""
	}
	return fmt.Sprintf("warming_per_second = %.1f\nwarming_most = %d\nwarming_ms = %d\n",
		float64(warmingPerSecond), maxWarmingPerSecond, maxWarming.Milliseconds())
}
