package failure

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/pause"
)

// stoppedWhileAsked is the number of callers that keep a node busy while it stops: some
// thousand requests on kept connections, most of them with an attempt on its way.
const stoppedWhileAsked = 48

// A planned stop answers whatever was passed on, also on connections that are kept, and
// with attempts on their way to other owners.
func TestANodeThatStopsInTheMiddleOfManyCallsClosesOnNoneThatItPassedOn(t *testing.T) {
	t.Parallel()
	d := startProcessesThatLeave(t, 3, time.Second)
	stopping := d.nodes[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: stoppedWhileAsked})
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for i := range stoppedWhileAsked {
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
					// Closed while idle, or the port is closed already.
					pause.For(t.Context(), time.Millisecond)
				}
			}
		})
	}
	await(t, "many calls", func() bool { return c.count(answered) > 20*stoppedWhileAsked })
	stopping.stdin.Close()
	if err := <-stopping.ended; err != nil {
		t.Errorf("the stop: %v", err)
	}
	close(stop)
	calling.Wait()
	for _, s := range c.sendings() {
		if runs := d.ledger.Runs(s.id); s.err != nil && runs > 0 {
			t.Errorf("%s %s: %d runs, and the connection closed without an answer: %v", s.method, s.id, runs, s.err)
		}
	}
	t.Logf("%d requests, %d answered, %d told not run, %d without an answer",
		len(c.sendings()), c.count(answered), c.count(notRun), c.count(""))
	c.check(t, d.ledger)
	d.nodes = d.nodes[1:]
	d.stop(t)
}
