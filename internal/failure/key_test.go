package failure

import (
	"sync"
	"testing"

	"gypsumstand/internal/fake/worker"
)

func TestTheSameIDAtTwoNodesAtOnceRunsOnce(t *testing.T) {
	f := sharedFleet(t)
	entries := f.CallerAddresses()
	for range 20 {
		r := payout("/payouts")
		c := newCallers(t)
		var sending sync.WaitGroup
		for _, address := range entries {
			sending.Go(func() { c.send(t.Context(), address, r) })
		}
		sending.Wait()
		if runs := f.Ledger.Runs(r.id); runs != 1 || c.count(answered) != 1 || c.count(unknown) != len(entries)-1 {
			t.Errorf("%s: %d runs, %d answered, %d unknown, %d not-run; want one run, one answer and unknown for the rest",
				r.id, runs, c.count(answered), c.count(unknown), c.count(notRun))
		}
		c.check(t, f.Ledger)
	}
}

func TestAnIDToldNotRunRunsOnceWhenItIsSentAgain(t *testing.T) {
	f := sharedFleet(t)
	shed := func(share float64) {
		for _, m := range of(f, "ledger") {
			if err := m.Worker.ChangeFaults(func(f *worker.Faults) { f.ShedShare = share }); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Cleanup(func() { shed(0) })
	c := newCallers(t)
	var requests []request
	shed(1)
	var sending sync.WaitGroup
	for i := range 6 {
		r := payout("/payouts")
		requests = append(requests, r)
		sending.Go(func() {
			got := c.send(t.Context(), f.CallerAddresses()[i%len(f.CallerAddresses())], r)
			if got.err != nil || got.outcome != notRun {
				t.Errorf("told %d %s %s, %v by workers that shed all", got.status, got.outcome, got.reason, got.err)
			}
			if runs := f.Ledger.Runs(r.id); runs != 0 {
				t.Errorf("%s ran %d times", r.id, runs)
			}
		})
	}
	sending.Wait()
	shed(0)
	for i, r := range requests {
		var got told
		await(t, "answered when sent again", func() bool {
			got = c.send(t.Context(), f.CallerAddresses()[(i+1)%len(f.CallerAddresses())], r)
			return got.outcome != notRun
		})
		if !got.answered() || f.Ledger.Runs(r.id) != 1 {
			t.Errorf("%s: told %d %s %s after %d runs", r.id, got.status, got.outcome, got.reason, f.Ledger.Runs(r.id))
		}
	}
}
