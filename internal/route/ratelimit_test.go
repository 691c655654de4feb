package route

import (
	"testing"
	"time"
)

// A worker with a rate limit has free slots and would attract requests that its owner
// refuses.
func TestUpstreamWithoutStartsLeftIsNotPreferred(t *testing.T) {
	table := seeded(3)
	limited := report("s-00001", 2*time.Second)
	limited.SetRateLimit(2, 400*time.Millisecond)
	limited.InFlight, limited.Queued = 0, 0
	table.Observe(origin, limited)
	if got := share(table, origin.Add(time.Millisecond), query, 2000)["s-00001"]; got != 0 {
		t.Errorf("the limited upstream got a share of %.2f before its next start", got)
	}
	if got := share(table, origin.Add(time.Second), query, 2000)["s-00001"]; got == 0 {
		t.Error("the limited upstream got nothing long after its next start")
	}
	table.Sent(origin.Add(time.Second), "s-00001")
	table.Sent(origin.Add(time.Second), "s-00001")
	for _, e := range table.Explain(origin.Add(time.Second), query) {
		if e.Instance.ID == "s-00001" && (e.Wait < 400*time.Millisecond || e.RateLimit != 2) {
			t.Errorf("wait %s after a send that no report includes, limit %g", e.Wait, e.RateLimit)
		}
	}
}
