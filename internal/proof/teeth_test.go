package proof

import (
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// switches break, each, the code that keeps one promise.
type switches struct {
	// dropBudget polls the worker without asking the budget.
	dropBudget bool
	// acceptCrossed takes an answer with a wrong echo, acceptCut one that was cut.
	acceptCrossed, acceptCut bool
	// brokenIsNotRun takes a broken connection for proof of "not run".
	brokenIsNotRun bool
	// forgetBar answers a settlement without barring the attempt.
	forgetBar bool
	// skipSettle places an attempt elsewhere without asking its owner.
	skipSettle bool
	// replay sends a request to the worker a second time.
	replay bool
	// forgetKeys lets owners ignore that an id is the caller's own.
	forgetKeys bool
	// ignoreLeaving lets an owner start work although it knows that it leaves.
	ignoreLeaving bool
	// cutOff ends a planned stop without waiting.
	cutOff bool
	// olderBundle puts in force whatever the configuration service lists.
	olderBundle bool
	// deaf lets one process hear of no bundle after its first.
	deaf bool
}

// breaks carries out the switches that stand between an event and the core; it
// reports whether the core is not to see the event.
func (l *life) breaks(ev control.Event) bool {
	switch e := ev.(type) {
	case control.IndexRead:
		if l.w.switches.olderBundle {
			l.putInForce(e.Versions[0].Version)
		}
		return l.deaf()
	case control.ValueRead, control.VersionSeen:
		return l.deaf()
	case control.Received:
		return l.breaksMessage(e)
	}
	return false
}

func (l *life) breaksMessage(e control.Received) bool {
	switch m := e.Message.(type) {
	case wire.Settle:
		if l.w.switches.forgetBar {
			l.links.send(e.From, wire.SettleReply{Attempt: m.Attempt, State: model.AttemptNeverSeen, Report: l.report()})
			return true
		}
	case wire.BundleNotice, wire.BundleBody, wire.BundleList, wire.BundleCompareReply:
		return l.deaf()
	}
	return false
}

// deaf tells whether this process hears of no bundle any more.
func (l *life) deaf() bool { return l.w.switches.deaf && l.node.index == 3 && l.version() > 0 }

// putInForce writes a version to the blackboard past all checks.
func (l *life) putInForce(version uint64) {
	b, err := bundle.Open("test", l.w.platform.values[version], trusted)
	if err != nil {
		panic(err)
	}
	l.core.Board.Bundles.Put(bundle.NewSet([]*bundle.Bundle{b}))
}

// plainChooser draws a plan from its own source.
type plainChooser struct{ rng *rand.Rand }

func (p plainChooser) pick(_ string, n int) int { return p.rng.IntN(n) }

// runPlainPlan runs a plan drawn from seed until the oracle finds something.
func runPlainPlan(seed uint64, s switches) *world {
	c := plainChooser{rand.New(rand.NewPCG(seed, 1))}
	w := newWorld(seed, s)
	w.advance(w.wait(c, "start", 5*time.Second))
	for range 40 {
		actions[c.pick("action", len(actions))].do(w, c)
		w.advance(w.wait(c, "then", 400*time.Millisecond))
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
