//go:build unix

package failure

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumstand/internal/pause"
)

// checkWithPausedNode sends requests to one of two nodes after the other one has been
// paused for since, and expects an answer to each.
func checkWithPausedNode(t *testing.T, since time.Duration, next func() request) {
	d := startProcesses(t, 2)
	entry, stopped := d.nodes[0], d.nodes[1]
	c := newCallers(t)
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}
	if err := stopped.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stopped.cmd.Process.Signal(syscall.SIGCONT) })
	pause.For(t.Context(), since)
	var calling sync.WaitGroup
	for range 2 * slots {
		calling.Go(func() {
			r := next()
			r.timeout = 15 * time.Second
			if got := c.send(t.Context(), entry.Caller, r); !got.answered() {
				t.Errorf("got %d %q, want answered", got.status, got.outcome)
			}
		})
	}
	calling.Wait()
	if err := stopped.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	d.stop(t)
	c.check(t, d.ledger)
}

// A paused process keeps its connections open, so only its silence shows the pause.
// Without a second attempt elsewhere, requests there reach their deadlines unanswered.
func TestRequestsToPausedNodeAreAnsweredElsewhere(t *testing.T) {
	t.Parallel()
	checkWithPausedNode(t, 0, func() request { return view("/a") })
}

// silenceBeforeSend is longer than the half second for which an entry trusts an owner's
// last report. The outcome of what is sent within that time is uncertain.
const silenceBeforeSend = 600 * time.Millisecond

// A request that must not run twice may be retried elsewhere only after outcome
// resolution: an attempt that its owner never acknowledged has provably not run.
func TestPayoutsToPausedNodeAreAnsweredElsewhere(t *testing.T) {
	t.Parallel()
	checkWithPausedNode(t, silenceBeforeSend, func() request { return payout("/payouts") })
}
