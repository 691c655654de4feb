package node_test

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// hedgeBundle hedges requests that are slower than the median.
const hedgeBundle = `
name = "test"
version = 1
[retry]
per_path = 3
ratio = 1.0
hedge_after_quantile = 0.5
[[class]]
name = "view"
worth = 1.0
deadline_ms = 20000
[[service]]
name = "ledger"
slots = 20
connections = 40
[[service.route]]
path = "/"
class = "view"
`

// The first attempt never gets a response: only the hedge ends the call.
func TestHedgeRespondsForHangingAttempt(t *testing.T) {
	var hanging atomic.Bool
	var hung atomic.Int64
	given := make(chan struct{}, 1)
	worker := func(w http.ResponseWriter, r *http.Request) {
		if hanging.Load() && hung.Add(1) == 1 {
			<-r.Context().Done()
			given <- struct{}{}
			return
		}
		_, _ = io.WriteString(w, "for "+r.Header.Get("Idempotency-Key"))
	}
	f := startLogged(t, hedgeBundle, 2, worker, 10*time.Second, io.Discard)
	// The latency quantiles of a class are known after a thousand responses.
	for i := range 1100 {
		if got, _, err := do(t, f, http.MethodGet, "/", "", nil); err != nil || got.Outcome != "answered" {
			t.Fatalf("%d: %+v, %v", i, got, err)
		}
	}
	hanging.Store(true)
	header := http.Header{"Idempotency-Key": {"hedged"}}
	got, _, err := do(t, f, http.MethodGet, "/", "", header)
	if want := (reply{200, "answered", "", "for hedged"}); err != nil || got != want {
		t.Errorf("reply %+v, %v, want %+v", got, err, want)
	}
	<-given
	if n := hung.Load(); n < 2 {
		t.Errorf("%d runs, want the attempt and its hedge", n)
	}
}
