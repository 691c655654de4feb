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

// heldWhileStill is the number of requests in hand at a node that stands still in its stop.
const heldWhileStill = 24

// A node stood still in the middle of its planned stop and woke after the stop's bound: all
// it had in hand was ended and all connections were closed in the same moment, before one
// of the callers could be told. The evidence is this test on the code before: requests that
// ran and whose connections closed without a byte.
func TestANodeThatStandsStillThroughTheEndOfItsStopTellsWhomItPassedOn(t *testing.T) {
	t.Parallel()
	const bound = time.Second
	d := startProcessesWith(t, 2, childConfig{StopTimeout: bound})
	stopping := d.nodes[0]
	c := callersWith(t, &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: heldWhileStill})
	for _, p := range d.nodes {
		awaitAnswer(t, c, p.Caller, "/a")
	}
	before := len(c.sendings())
	var calling sync.WaitGroup
	for range heldWhileStill {
		calling.Go(func() { c.send(t.Context(), stopping.Caller, payout("/payouts/slow")) })
	}
	await(t, "all requests passed on", func() bool {
		passedOn := len(c.sendings()) - before
		for _, p := range d.nodes {
			if s, ok := p.status(); ok {
				passedOn += s.Owner.InFlight + s.Owner.Queued
			}
		}
		return passedOn >= heldWhileStill
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
	pause.For(t.Context(), bound)
	if err := stopping.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	calling.Wait()
	if err := <-stopping.ended; err != nil {
		t.Errorf("the stop: %v", err)
	}
	for _, s := range c.sendings() {
		if runs := d.ledger.Runs(s.id); s.err != nil {
			t.Errorf("%s: %d runs, and its connection closed without an answer: %v", s.id, runs, s.err)
		}
	}
	t.Logf("%d answered, %d told not run, %d unknown, %d without an answer",
		c.count(answered), c.count(notRun), c.count(unknown), c.count(""))
	c.check(t, d.ledger)
	d.nodes = d.nodes[1:]
	d.stop(t)
}
