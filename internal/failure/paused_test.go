//go:build unix

package failure

import (
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// shortTimeout ends calls while the node is paused; longTimeout keeps calls alive until
// it resumes.
const (
	shortTimeout = 700 * time.Millisecond
	longTimeout  = 6 * time.Second
)

func TestNodePausedPastDeadlinesRunsNothingReportedNotRun(t *testing.T) {
	t.Parallel()
	d := startProcesses(t, 2)
	entry, stopped := d.nodes[0], d.nodes[1]
	c := newCallers(t)
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}

	// Send more requests than both workers can run at once, so that attempts wait at the
	// paused node's worker, in its queue and in its socket buffers.
	var short, long sync.WaitGroup
	burst := func(calling *sync.WaitGroup, timeout time.Duration) {
		for i := range 8 * slots {
			calling.Go(func() {
				r := []request{view("/slow"), payout("/payouts/slow"), payout("/payouts")}[i%3]
				r.timeout = timeout
				c.send(t.Context(), entry.Caller, r)
			})
		}
	}
	burst(&short, shortTimeout)
	burst(&long, longTimeout)
	await(t, "attempts queued at the node to pause, and a hopeless one refused", func() bool {
		hopeless := view("/slow")
		hopeless.timeout = time.Millisecond
		c.send(t.Context(), entry.Caller, hopeless)
		s, ok := stopped.status()
		return ok && s.Owner.InFlight > 0 && s.Owner.Queued > 0 && c.count(notRun) > 0
	})
	if err := stopped.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	burst(&short, shortTimeout)
	burst(&long, longTimeout)
	// A caller of the paused node itself, whose deadline passes during the pause.
	held := connect(t, stopped.Caller, "POST /payouts HTTP/1.1\r\nHost: x\r\nIdempotency-Key: held\r\nGypsum-Timeout-Ms: 700\r\nContent-Length: 0\r\n\r\n")
	short.Wait()
	awaitAnswer(t, c, entry.Caller, "/a")
	// The workers are not paused, so what has not run by now is held by the node.
	ended := c.submissions()
	runsBefore := map[model.RequestID]int{}
	for _, s := range ended {
		runsBefore[s.id] = d.ledger.Runs(s.id)
	}
	if err := stopped.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	if got := readResponse(t, held); got.status == http.StatusOK && d.ledger.Runs("held") != 1 {
		t.Errorf("the held payout was answered after %d runs, want 1", d.ledger.Runs("held"))
	} else if got.outcome == notRun && d.ledger.Runs("held") != 0 {
		t.Errorf("the held payout got not-run after %d runs", d.ledger.Runs("held"))
	}
	long.Wait()
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
		await(t, string(p.id)+" idle", func() bool {
			s, ok := p.status()
			return ok && s.Owner.InFlight == 0 && s.Owner.Queued == 0
		})
	}
	d.stop(t)
	c.check(t, d.ledger)
	for _, s := range ended {
		before, now := runsBefore[s.id], d.ledger.Runs(s.id)
		if now > before+lateRuns(s) {
			t.Errorf("%s: %d runs when its call had ended, %d after the node resumed", s.id, before, now)
		}
	}
	if runs := d.ledger.Runs("held"); runs > 1 {
		t.Errorf("the held payout ran %d times", runs)
	}
	if c.count(answered) == 0 || c.count(unknown) == 0 || c.count(notRun) == 0 {
		t.Errorf("%d answered, %d unknown, %d not-run: not all outcomes were reached",
			c.count(answered), c.count(unknown), c.count(notRun))
	}
}

// lateRuns returns how often a request may run after its call has ended. The paused node may
// start the first attempt of an idempotent request that a hedge has answered, before it
// reads that the entry node cancelled it.
func lateRuns(s submission) int {
	if s.atMostOnce || s.outcome != answered {
		return 0
	}
	return 1
}
