package proof

import (
	"math/rand/v2"
	"testing"
)

// runPlainPlan runs a plan drawn from seed until the oracle finds something.
func runPlainPlan(seed uint64, s switches) *world {
	c := seededChooser{rand.New(rand.NewPCG(seed, 1))}
	w := newWorld(seed, s)
	w.start(c)
	for range 40 {
		w.step(c, actions[c.pick("action", len(actions))])
		w.ledger.checkSpread()
		if len(w.ledger.violations) > 0 {
			return w
		}
	}
	return w
}

func TestOracleFindsABrokenPromise(t *testing.T) {
	tests := map[string]struct {
		switches switches
		want     promise
	}{
		"polls without a budget":                {switches{dropBudget: true}, promiseBudget},
		"a crossed answer is taken":             {switches{acceptCrossed: true}, promiseAnswer},
		"a cut answer is taken":                 {switches{acceptCut: true}, promiseAnswer},
		"a broken connection proves not-run":    {switches{brokenIsNotRun: true}, promiseNotRun},
		"a settled attempt is not barred":       {switches{forgetBar: true}, promiseOnce},
		"attempts are placed again unsettled":   {switches{skipSettle: true}, promiseOnce},
		"a request is replayed at the worker":   {switches{replay: true}, promiseOnce},
		"a home forgets the ids of callers":     {switches{forgetKeys: true}, promiseOnce},
		"an owner starts work though it leaves": {switches{ignoreLeaving: true}, promiseLeaving},
		"a stop does not wait":                  {switches{cutOff: true}, promiseStop},
		"an older bundle is put in force":       {switches{olderBundle: true}, promiseBundle},
		"a process hears of no new bundle":      {switches{deaf: true}, promiseBundle},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(toothSeeds) {
				w := runPlainPlan(seed, tt.switches)
				for _, v := range w.ledger.violations {
					if v.promise == tt.want {
						t.Logf("found by seed %d: %v", seed, v)
						return
					}
				}
			}
			t.Errorf("%d plans broke no %q", toothSeeds, tt.want)
		})
	}
}

// toothSeeds bounds the plans after which a broken promise must be found.
const toothSeeds = 150
