package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// kind is a kind of trouble.
type kind string

// The kinds. Signals go to node processes, the rest to wires, store and workers.
const (
	kindTerm      kind = "term"        // SIGTERM, then started again
	kindKill      kind = "kill"        // SIGKILL, then started again
	kindPause     kind = "pause"       // SIGSTOP, SIGCONT after the time
	kindHangUp    kind = "hangup"      // SIGHUP
	kindDelay     kind = "delay"       // all wires of a machine are slow
	kindReset     kind = "reset"       // all its connections are reset
	kindCutOneWay kind = "cut-one-way" // what comes from a machine is held back
	kindSilence   kind = "silence"     // its wires pass nothing on
	kindStoreDown kind = "store-down"  // refuses, or answers nothing
	kindStoreSlow kind = "store-slow"  // 0.4 s an answer
	kindStoreCut  kind = "store-cut"   // one machine does not reach it
	kindForget    kind = "forget"      // the store drops its history
	kindConfig    kind = "config"      // the next configuration
	kindDrain     kind = "drain"       // a worker drains and comes back as another life
	kindAnswers   kind = "answers"     // a worker spoils a part of its answers
	kindShed      kind = "shed"        // a worker refuses all
	kindPace      kind = "pace"        // a worker's machine is slow
	kindKillMany  kind = "kill-many"   // half of the nodes at once
	kindReborn    kind = "reborn"      // a worker starts again under its id
	kindForeign   kind = "foreign"     // another writer replaces a worker's entry
	kindCutConfig kind = "cut-config"  // silence, and a configuration right after it
	kindDeadly    kind = "deadly"      // from then on a caller sends a request that ends workers
	kindLate      kind = "deadly-late" // one under which workers end after callers' time is over
	kindPair      kind = "deadly-pair" // two such requests in one service, from one moment on
	kindAlone     kind = "alone"       // all other machines are of no use to one, and changes come
	kindListed    kind = "listed"      // workers are listed whose nodes never answer
	kindMute      kind = "mute"        // its open connections are silent for good, new ones work
	kindChanges   kind = "changes"     // configurations in series
	kindStalls    kind = "stalls"      // SIGSTOP and SIGCONT in series
	kindEvacuate  kind = "evacuate"    // a zone is emptied and taken back
	kindChill     kind = "chill"       // a worker turns cold for no reason that shows
)

// firstKinds is what plans of PlanFirst are drawn from.
var firstKinds = []kind{
	kindTerm, kindTerm, kindKill, kindPause, kindHangUp, kindDelay, kindReset, kindCutOneWay, kindSilence,
	kindStoreDown, kindStoreSlow, kindStoreCut, kindForget, kindConfig, kindConfig, kindDrain, kindDrain,
	kindAnswers, kindShed, kindPace, kindKillMany,
}

// secondKinds is what plans of PlanSecond are drawn from.
var secondKinds = append(slices.Clone(firstKinds), kindReborn, kindForeign, kindForeign, kindCutConfig, kindCutConfig)

// thirdKinds is what plans of PlanThird are drawn from.
var thirdKinds = append(slices.Clone(secondKinds), kindDeadly, kindDeadly)

// fourthKinds is what plans of PlanFourth are drawn from.
var fourthKinds = append(slices.Clone(thirdKinds), kindAlone, kindAlone, kindListed, kindMute, kindChanges, kindChanges, kindStalls)

// fifthKinds is what plans of PlanFifth are drawn from.
var fifthKinds = append(slices.Clone(fourthKinds), kindLate, kindPair)

// newestKinds is what plans of PlanNewest are drawn from.
var newestKinds = append(slices.Clone(fifthKinds), kindEvacuate, kindEvacuate, kindEvacuate, kindChill, kindChill, kindChill)

// zoneKinds is what plans of PlanZones are drawn from: evacuations and cold workers beside
// what most often falls together with them.
var zoneKinds = []kind{
	kindEvacuate, kindEvacuate, kindEvacuate, kindChill, kindChill, kindChill, kindTerm, kindTerm, kindKill, kindKillMany,
	kindDrain, kindReborn, kindForget, kindConfig, kindStoreDown, kindStoreCut, kindPause, kindReset, kindSilence, kindHangUp,
}

// sparedKinds is what plans of PlanSpared are drawn from: the store is sound, and one
// machine has no trouble of its own.
var sparedKinds = []kind{
	kindAlone, kindAlone, kindAlone, kindListed, kindChanges, kindChanges, kindForget, kindMute, kindStalls,
	kindTerm, kindKill, kindPause, kindReset, kindSilence, kindStoreCut, kindDrain, kindCutConfig, kindForeign, kindReborn,
}

// PlanVersion is a list of kinds that plans are drawn from. A seed repeats its plan
// under the version that it was played with.
type PlanVersion string

// The versions.
const (
	PlanNewest PlanVersion = "newest"
	PlanSpared PlanVersion = "spared"
	PlanFirst  PlanVersion = "first"
	PlanSecond PlanVersion = "second"
	PlanThird  PlanVersion = "third"
	PlanFourth PlanVersion = "fourth"
	PlanFifth  PlanVersion = "fifth"
	PlanZones  PlanVersion = "zones"
)

// kindsOf are the kinds of each version.
var kindsOf = map[PlanVersion][]kind{
	PlanNewest: newestKinds, PlanSpared: sparedKinds, PlanFirst: firstKinds, PlanSecond: secondKinds, PlanThird: thirdKinds,
	PlanFourth: fourthKinds, PlanFifth: fifthKinds, PlanZones: zoneKinds,
}

// hasColdWorkers tells whether workers are cold after their start in plans of the version.
func (v PlanVersion) hasColdWorkers() bool { return v == PlanNewest || v == PlanZones }

// Valid tells whether there is such a version.
func (v PlanVersion) Valid() bool { return kindsOf[v] != nil }

// trouble is one thing that goes wrong.
type trouble struct {
	at      time.Duration
	lasts   time.Duration
	kind    kind
	machine int
}

// String words a trouble for reports.
func (t trouble) String() string {
	return fmt.Sprintf("%6.2fs %-11s machine %d for %.2fs", t.at.Seconds(), t.kind, t.machine, t.lasts.Seconds())
}

// plan is what goes wrong in one soak; a seed repeats it.
type plan []trouble

// Times of a plan.
const (
	// calmStart and calmEnd are without new trouble: for learning, and for showing
	// that service is back.
	calmStart = 2 * time.Second
	calmEnd   = 9 * time.Second
	// meanGap is the mean time between two troubles, so that they overlap.
	meanGap  = 700 * time.Millisecond
	minLasts = 200 * time.Millisecond
	maxLasts = 4 * time.Second
	// series is the chance that a trouble of the same kind follows at once on the next
	// machine.
	series = 0.3
)

// makePlan draws a plan for machines over a length.
func makePlan(seed uint64, machines int, length time.Duration, v PlanVersion) plan {
	kinds := kindsOf[v]
	rng := rand.New(rand.NewPCG(seed, 0))
	var p plan
	for at := calmStart; at < length-calmEnd; {
		t := trouble{
			at: at, kind: kinds[rng.IntN(len(kinds))], machine: rng.IntN(machines),
			lasts: minLasts + time.Duration(rng.Int64N(int64(maxLasts-minLasts))),
		}
		t.lasts = min(t.lasts, length-calmEnd-at)
		p = append(p, t)
		for n := 1; rng.Float64() < series; n++ {
			next := t
			next.machine = (t.machine + n) % machines
			next.at += time.Duration(rng.Int64N(int64(time.Second)))
			next.lasts = max(min(next.lasts, length-calmEnd-next.at), minLasts)
			p = append(p, next)
		}
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
	}
	if v == PlanSpared {
		p.spare(int(seed)%machines, machines)
	}
	sort.SliceStable(p, func(i, j int) bool { return p[i].at < p[j].at })
	return p
}

// spare keeps the troubles of single machines from one; it is the one that is left alone.
func (p plan) spare(spared, machines int) {
	for i := range p {
		t := &p[i]
		switch {
		case t.kind == kindAlone:
			t.machine = spared
		case t.machine == spared:
			t.machine = (spared + 1) % machines
		}
	}
}

// String lists the plan, a trouble a line.
func (p plan) String() string {
	lines := make([]string, len(p))
	for i, t := range p {
		lines[i] = t.String()
	}
	return strings.Join(lines, "\n")
}
