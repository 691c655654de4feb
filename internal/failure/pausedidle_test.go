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

// Times of a node that is paused while its callers' idle timeout passes.
const (
	idleTimeout = time.Second
	// restTime is how long callers rest between two requests, well within idleTimeout.
	restTime = idleTimeout * 78 / 100
	// pauseAt and pauseDuration place the pause, counted from the first responses.
	pauseAt       = idleTimeout * 7 / 10
	pauseDuration = idleTimeout / 2
	// idleCallers send their second request while the node is paused.
	idleCallers = 400
)

// A node that was paused past its callers' idle timeout closed their connections when it
// resumed, although it had just read requests from them and forwarded these. Callers got
// no response while their requests ran. The node must answer what it forwards, and must
// not forward what it can't answer.
func TestPausedNodeAnswersForwardedRequestsAfterIdleTimeout(t *testing.T) {
	t.Parallel()
	d := startProcessesWithIdleTimeout(t, 3, idleTimeout)
	stopped := d.nodes[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: idleCallers})
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}
	var connected, calling sync.WaitGroup
	connected.Add(idleCallers)
	for i := range idleCallers {
		calling.Go(func() {
			c.send(t.Context(), stopped.Caller, view("/a"))
			connected.Done()
			_ = pause.For(t.Context(), restTime)
			next := view("/a")
			if i%2 == 0 {
				next = payout("/payouts")
			}
			c.send(t.Context(), stopped.Caller, next)
		})
	}
	connected.Wait()
	_ = pause.For(t.Context(), pauseAt)
	if err := stopped.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	_ = pause.For(t.Context(), pauseDuration)
	if err := stopped.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	calling.Wait()
	d.stop(t)
	c.check(t, d.ledger)
	lost := 0
	for _, s := range c.submissions() {
		if s.err != nil && d.ledger.Runs(s.id) > 0 {
			lost++
		}
	}
	if lost > 0 {
		t.Errorf("%d requests ran, but their connections closed without a response", lost)
	}
	t.Logf("%d answered, %d not run, %d without a response", c.count(answered), c.count(notRun), c.count(""))
}
