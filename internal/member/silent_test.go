package member

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// leavingKnownLimit is the time within which all live nodes must know that one leaves.
const leavingKnownLimit = 3 * time.Second

// Only few listed instances are live. Whole data centres are silent and are never
// declared gone; updates must still reach every live node.
func TestLeavingReachesAllLiveNodesAmongSilentOnes(t *testing.T) {
	for _, tt := range []struct {
		name  string
		n     int
		lives func(i, n int) bool
	}{
		{"three of eleven", 11, func(i, n int) bool { return i == 1 || i == 6 || i == n-1 }},
		{"three of 195", 195, func(i, n int) bool { return i == 1 || i == 117 || i == n-6 }},
		{"two data centres of five", 195, func(i, _ int) bool { return i%5 < 2 }},
		{"half", 80, func(i, _ int) bool { return i%2 == 0 }},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(uint64(tt.n))
			for i := range tt.n {
				f.setListed(instance(i, 5, model.StateLive))
			}
			for i := range tt.n {
				if tt.lives(i, tt.n) {
					f.start(instance(i, 5, model.StateLive))
				}
			}
			f.run(30 * time.Second)
			for k, x := range f.nodes[:min(len(f.nodes), 3)] {
				f.setState(x, model.StateLeaving)
				all := func() bool { return f.count(x.inst.ID, model.StateLeaving) == len(f.nodes) }
				if took := f.until(leavingKnownLimit, all); !all() {
					t.Errorf("leaving node %d: known by %d of %d live nodes after %s", k, f.count(x.inst.ID, model.StateLeaving), len(f.nodes), took)
				}
			}
		})
	}
}

// A fresh node must find a live peer although nearly all listed instances are silent.
func TestFreshNodeLinksToFewLiveNodes(t *testing.T) {
	const n = 195
	f := newFleet(n)
	for i := range n {
		f.setListed(instance(i, 5, model.StateLive))
	}
	f.start(instance(1, 5, model.StateLive))
	f.start(instance(117, 5, model.StateLive))
	f.run(30 * time.Second)
	fresh := f.start(instance(60, 5, model.StateLive))
	linked := func() bool { return len(fresh.c.Links()) > 0 }
	if took := f.until(30*time.Second, linked); !linked() {
		t.Errorf("no link after %s", took)
	} else {
		t.Logf("linked after %s", took)
	}
}
