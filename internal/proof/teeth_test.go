package proof

import (
	"math/rand/v2"
	"testing"
)

// TestTheOracleFindsWhatIsBroken breaks the code that keeps one promise and plays
// plans until the oracle speaks of that promise.
func TestTheOracleFindsWhatIsBroken(t *testing.T) {
	const plans, steps = 200, 40
	for _, tt := range []struct {
		name   string
		broken switches
		want   promise
	}{
		{"no settlement", switches{skipSettle: true}, promiseOnce},
		{"a broken connection taken for not run", switches{brokenIsNotRun: true}, promiseNotRun},
		{"a transport that replays", switches{replay: true}, promiseOnce},
		{"crossed answers taken", switches{acceptCrossed: true}, promiseAnswer},
		{"cut answers taken", switches{acceptCut: true}, promiseAnswer},
		{"leaving ignored", switches{ignoreLeaving: true}, promiseLeaving},
		{"a stop that does not wait", switches{cutOff: true}, promiseStop},
		{"polls without a budget", switches{dropBudget: true}, promiseBudget},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(plans) {
				c := seededChooser{rand.New(rand.NewPCG(seed, 1))}
				w := newWorld(seed, tt.broken)
				w.play(c, steps)
				for _, v := range w.ledger.violations {
					if v.promise == tt.want {
						t.Logf("seed %d: %v", seed, v)
						return
					}
				}
			}
			t.Errorf("no breach of %q in %d plans", tt.want, plans)
		})
	}
}
