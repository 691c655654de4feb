//go:build unix

package failure

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumstand/internal/pause"
)

// Bounds and times of a node that stands still over the end of its callers' idle bound.
const (
	idleBound = time.Second
	// resting is how long callers rest between two requests: well within the bound.
	resting = idleBound * 78 / 100
	// stoppedAt and stoppedFor place the standstill, from the callers' first answers on.
	stoppedAt  = idleBound * 7 / 10
	stoppedFor = idleBound / 2
	// restingCallers come back while the node stands still.
	restingCallers = 400
)

// Callers on kept connections saw them close without an answer, and their requests ran all
// the same: their node stood still, found on going on that the connections had been idle
// for too long, closed them, and passed the requests on that it had just read from them.
// What it reads it answers; what it does not answer it has not passed on.
func TestAStoppedNodeAnswersWhatItPassesOnAtTheEndOfABound(t *testing.T) {
	t.Parallel()
	d := startProcessesWithIdleBound(t, 3, idleBound)
	stopped := d.nodes[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: restingCallers})
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}
	var connected, calling sync.WaitGroup
	connected.Add(restingCallers)
	for i := range restingCallers {
		calling.Go(func() {
			c.send(t.Context(), stopped.Caller, view("/a"))
			connected.Done()
			_ = pause.For(t.Context(), resting)
			next := view("/a")
			if i%2 == 0 {
				next = payout("/payouts")
			}
			c.send(t.Context(), stopped.Caller, next)
		})
	}
	connected.Wait()
	_ = pause.For(t.Context(), stoppedAt)
	if err := stopped.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	_ = pause.For(t.Context(), stoppedFor)
	if err := stopped.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	calling.Wait()
	d.stop(t)
	c.check(t, d.ledger)
	lost := 0
	for _, s := range c.sendings() {
		if s.err != nil && d.ledger.Runs(s.id) > 0 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d requests ran, and their connections closed without an answer", lost)
	}
	t.Logf("%d answered, %d told not run, %d without an answer", c.count(answered), c.count(notRun), c.count(""))
}
