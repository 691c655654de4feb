//go:build unix

package failure

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumstand/internal/pause"
)

// heldRequests is the number of requests in flight at a node that is paused during its
// stop.
const heldRequests = 24

// A node that was paused during its planned stop and resumed after the stop timeout
// cancelled all calls and closed all connections at the same moment, before any caller
// received an outcome. Requests had run, but their callers' connections closed without a
// byte.
func TestNodePausedPastStopTimeoutAnswersForwardedRequests(t *testing.T) {
	t.Parallel()
	const stopTimeout = time.Second
	d := startProcessesWithConfig(t, 2, childConfig{StopTimeout: stopTimeout})
	stopping := d.nodes[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: heldRequests})
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}
	before := len(c.submissions())
	var calling sync.WaitGroup
	for range heldRequests {
		calling.Go(func() { c.send(t.Context(), stopping.Caller, payout("/payouts/slow")) })
	}
	await(t, "all requests forwarded", func() bool {
		forwarded := len(c.submissions()) - before
		for _, p := range d.nodes {
			if s, ok := p.status(); ok {
				forwarded += s.Owner.InFlight + s.Owner.Queued
			}
		}
		return forwarded >= heldRequests
	})
	stopping.stdin.Close()
	await(t, "the port closed", func() bool {
		conn, err := net.Dial("tcp", stopping.Caller)
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	if err := stopping.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	pause.For(t.Context(), stopTimeout)
	if err := stopping.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	calling.Wait()
	if err := <-stopping.exited; err != nil {
		t.Errorf("the stop: %v", err)
	}
	for _, s := range c.submissions() {
		if runs := d.ledger.Runs(s.id); s.err != nil {
			t.Errorf("%s: %d runs, but its connection closed without a response: %v", s.id, runs, s.err)
		}
	}
	t.Logf("%d answered, %d not run, %d unknown, %d without a response",
		c.count(answered), c.count(notRun), c.count(unknown), c.count(""))
	c.check(t, d.ledger)
	d.nodes = d.nodes[1:]
	d.stop(t)
}
