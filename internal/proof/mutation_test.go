package proof

import (
	"math/rand/v2"
	"testing"
	"time"
)

// runPlainPlan runs a plan of 40 steps drawn from seed, or its steps up to the oracle's
// first violation.
func runPlainPlan(seed uint64, opts options, prepare func(*world)) *world {
	c := seededChooser{rand.New(rand.NewPCG(seed, 1))}
	w := newWorld(seed, opts)
	w.start(c)
	if prepare != nil {
		prepare(w)
	}
	for range 40 {
		w.step(c, actions[c.pick("action", len(actions))])
		w.ledger.checkPropagation()
		if len(w.ledger.violations) > 0 {
			return w
		}
	}
	return w
}

// mutation disables the code behind one promise. want is the promise that then breaks;
// prepare, when not nil, sets up the fault that the disabled code handles.
type mutation struct {
	options options
	want    promise
	prepare func(*world)
}

var mutations = map[string]mutation{
	"polls ignore the budget":                  {options{ignoreBudget: true}, promiseBudget, nil},
	"a crossed response is accepted":           {options{acceptCrossed: true}, promiseAnswer, crossResponses},
	"a truncated response is accepted":         {options{acceptTruncated: true}, promiseAnswer, truncateResponses},
	"a broken connection proves not-run":       {options{brokenMeansNotRun: true}, promiseNotRun, breakConnections},
	"a resolved attempt is not fenced":         {options{skipFence: true}, promiseOnce, breakConnections},
	"attempts are repeated without resolution": {options{skipResolve: true}, promiseOnce, breakConnections},
	"a request is replayed at the worker":      {options{replay: true}, promiseOnce, nil},
	"a home ignores caller keys":               {options{ignoreKeys: true}, promiseOnce, nil},
	"a leaving owner starts work":              {options{ignoreLeaving: true}, promiseLeaving, delayViews},
	"a planned stop does not drain":            {options{skipDrain: true}, promiseStop, nil},
	"an older bundle is put in force":          {options{acceptOlderBundle: true}, promiseBundle, serveOlderAfterNewer},
	"worker crashes go unnoticed":              {options{ignoreCrashes: true}, promiseDeadly, sendDeadlyRequests},
	"a warming worker is treated as warm":      {options{warming: true, ignoreWarming: true}, promiseWarming, warmWorkers},
	"a worker's rate limit is not heard":       {options{rateLimits: true, ignoreRateLimits: true}, promiseRateLimit, limitWorkers},
	"a worker's announcement is not heard":     {options{ignoreAnnouncements: true}, promiseLeaving, announceLeavings},
	"a process ignores bundle updates":         {options{ignoreUpdates: true}, promiseBundle, serveOlderAfterNewer},
}

func crossResponses(w *world) {
	for _, n := range w.nodes {
		n.worker.cross = 0.2
	}
}

// limitWorkers makes every worker name a rate limit, which its node has heard.
func limitWorkers(w *world) {
	for _, n := range w.nodes {
		n.worker.startRateLimit(1, time.Minute)
		n.worker.limitInHealth, n.worker.limitHeard = true, true
	}
}

// announceLeavings makes every worker say that it leaves.
func announceLeavings(w *world) {
	for _, n := range w.nodes {
		n.worker.announces = true
	}
}

func warmWorkers(w *world) {
	for _, n := range w.nodes {
		n.worker.warmingUntil = w.now.Add(time.Minute)
	}
}

func truncateResponses(w *world) {
	for _, n := range w.nodes {
		n.worker.truncate = 0.2
	}
}

func breakConnections(w *world) { w.net.broken = 0.3 }

// delayViews lets one instance leave while no message about it gets through.
func delayViews(w *world) {
	w.net.loss = 1
	w.platform.down = true
	w.nodes[1].process.beginStop()
}

// sendDeadlyRequests starts a caller that submits a deadly request.
func sendDeadlyRequests(w *world) { w.sendDeadly(worldChooser{w}) }

// serveOlderAfterNewer publishes a new version, then serves the one before it.
func serveOlderAfterNewer(w *world) {
	w.platform.publish()
	w.advance(5 * time.Second)
	w.platform.serve(1)
}

func TestOracleDetectsMutations(t *testing.T) {
	for name, tt := range mutations {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(mutationSeeds) {
				w := runPlainPlan(seed, tt.options, tt.prepare)
				for _, v := range w.ledger.violations {
					if v.promise == tt.want {
						t.Logf("detected by seed %d: %v", seed, v)
						return
					}
				}
			}
			t.Errorf("%d plans without a violation of %q", mutationSeeds, tt.want)
		})
	}
}

// Checks that mutations, not their prepare functions, cause the violations: without the
// mutation the same plans must hold every promise.
func TestMutationSetupsAloneBreakNoPromise(t *testing.T) {
	for name, tt := range mutations {
		if tt.prepare == nil {
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				for _, v := range runPlainPlan(seed, options{}, tt.prepare).ledger.violations {
					t.Errorf("seed %d: %v", seed, v)
				}
			}
		})
	}
}

// mutationSeeds is the number of plans within which a mutation must be detected.
const mutationSeeds = 60
