//go:build unix

package failure

import (
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumstand/internal/pause"
)

// askBesideAStoppedNode asks one of two nodes while the other's process has stood still for
// some time, and wants every request answered.
func askBesideAStoppedNode(t *testing.T, since time.Duration, next func() request) {
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
				t.Errorf("told %d %q", got.status, got.outcome)
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

// A stopped process keeps its connections: nothing but its silence tells of it. Without
// a second attempt elsewhere the requests there end at their deadlines, unanswered.
func TestRequestsAtANodeThatStandsStillAreAnsweredByAnother(t *testing.T) {
	t.Parallel()
	askBesideAStoppedNode(t, 0, func() request { return view("/a") })
}

// unheard is longer than an entry takes an owner for in reach that it has heard
// (entry.heardAge, half a second); what is sent to it before is in doubt.
const unheard = 600 * time.Millisecond

// Of requests that must not run twice the fate of an attempt decides: one that its owner
// never took up is proved not to have run, and goes elsewhere.
func TestPayoutsAtANodeThatStandsStillAreAnsweredByAnother(t *testing.T) {
	t.Parallel()
	askBesideAStoppedNode(t, unheard, func() request { return payout("/payouts") })
}
