package node

import (
	"testing"
	"time"
)

// Callers that were asked to retry after a second found the port of a node closed that
// had been stopped meanwhile: 519 in a day of restarts.
func TestRetryAfterOfStoppingNodeEndsBeforePortCloses(t *testing.T) {
	const grace = 2300 * time.Millisecond
	for name, tt := range map[string]struct {
		stopping bool
		began    time.Duration
		after    time.Duration
		most     time.Duration
	}{
		"not stopping":                 {false, 0, time.Second, time.Second},
		"stop just begun":              {true, 0, time.Second, time.Second},
		"port closes before the retry": {true, 1500 * time.Millisecond, time.Second, grace - 1500*time.Millisecond - retryMargin},
		"too late for a retry":         {true, 2200 * time.Millisecond, time.Second, time.Second},
		"retry arrives in time":        {true, 1500 * time.Millisecond, 50 * time.Millisecond, 50 * time.Millisecond},
	} {
		n := &Node{cfg: Config{LeaveGrace: grace}}
		n.stopping.Store(tt.stopping)
		n.stopStarted.Store(time.Now().Add(-tt.began).UnixNano())
		// Some time passes between the two clock readings.
		if got := n.limitRetryAfter(tt.after); got > tt.most || got < tt.most-200*time.Millisecond {
			t.Errorf("%s: Retry-After %s, want %s", name, got, tt.most)
		}
	}
}
