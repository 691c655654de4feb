package failure

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/pause"
)

// stopCallers is the number of callers that keep a node busy during its stop. They make
// some thousand requests on keep-alive connections, most of them forwarded.
const stopCallers = 48

// A planned stop must answer every request that the node forwarded, also on keep-alive
// connections and with attempts in flight at other owners.
func TestStopUnderKeepAliveLoadAnswersForwardedRequests(t *testing.T) {
	t.Parallel()
	d := startProcessesWithLeaveGrace(t, 3, time.Second)
	stopping := d.nodes[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: stopCallers})
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for i := range stopCallers {
		calling.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				r := view("/a")
				if i%2 == 0 {
					r = payout("/payouts")
				}
				if got := c.send(t.Context(), stopping.Caller, r); got.err != nil {
					// The connection was closed while idle, or the port is already
					// closed.
					pause.For(t.Context(), time.Millisecond)
				}
			}
		})
	}
	await(t, "many calls", func() bool { return c.count(answered) > 20*stopCallers })
	stopping.stdin.Close()
	if err := <-stopping.exited; err != nil {
		t.Errorf("the stop: %v", err)
	}
	close(stop)
	calling.Wait()
	for _, s := range c.submissions() {
		if runs := d.ledger.Runs(s.id); s.err != nil && runs > 0 {
			t.Errorf("%s %s: %d runs, but the connection closed without a response: %v", s.method, s.id, runs, s.err)
		}
	}
	t.Logf("%d requests, %d answered, %d not run, %d without a response",
		len(c.submissions()), c.count(answered), c.count(notRun), c.count(""))
	c.check(t, d.ledger)
	d.nodes = d.nodes[1:]
	d.stop(t)
}
