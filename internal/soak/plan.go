package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// kind is a kind of fault.
type kind string

// The kinds. Signals go to node processes; the others act on proxies, the store and
// workers.
const (
	kindTerm              kind = "term"        // SIGTERM, then a restart
	kindKill              kind = "kill"        // SIGKILL, then a restart
	kindPause             kind = "pause"       // SIGSTOP, then SIGCONT
	kindHangUp            kind = "hangup"      // SIGHUP
	kindDelay             kind = "delay"       // all links of a machine are slow
	kindReset             kind = "reset"       // all connections of a machine are reset
	kindCutOneWay         kind = "cut-one-way" // links of a machine are blocked in one direction
	kindPartition         kind = "silence"     // links of a machine are blocked in both directions
	kindStoreDown         kind = "store-down"  // the store responds with 503, or not at all
	kindStoreSlow         kind = "store-slow"  // the store delays each response by 0.4 s
	kindStoreCut          kind = "store-cut"   // one machine cannot reach the store
	kindCompact           kind = "forget"      // the store compacts its history away
	kindConfig            kind = "config"      // the next configuration is written
	kindWorkerDrain       kind = "drain"       // a worker drains and is replaced under a new id
	kindBadResponses      kind = "answers"     // a worker returns faulty responses
	kindWorkerShed        kind = "shed"        // a worker sheds all requests
	kindWorkerSlow        kind = "pace"        // a worker is slow
	kindKillMany          kind = "kill-many"   // half of the nodes are killed at once
	kindWorkerRestart     kind = "reborn"      // a worker restarts under the same id
	kindForeignWriter     kind = "foreign"     // another writer replaces a worker's entry in the store
	kindPartitionConfig   kind = "cut-config"  // a partition, and a configuration right after it
	kindDeadly            kind = "deadly"      // a caller repeats a request that crashes workers
	kindDeadlyLate        kind = "deadly-late" // one that crashes workers after its caller timed out
	kindDeadlyPair        kind = "deadly-pair" // two such requests to one service at the same time
	kindIsolate           kind = "alone"       // all other machines are unusable for one, with config changes
	kindUnresponsivePeers kind = "listed"      // workers are listed whose nodes never respond
	kindMute              kind = "mute"        // open connections forward nothing any more, new ones work
	kindConfigSeries      kind = "changes"     // a series of configurations
	kindStallSeries       kind = "stalls"      // a series of SIGSTOP and SIGCONT
	kindEvacuate          kind = "evacuate"    // a zone is evacuated for a while
	kindWorkerCold        kind = "chill"       // a worker becomes cold without a restart
	kindRateLimit         kind = "limit"       // a worker names a rate limit
	kindRestore           kind = "restore"     // the store comes back as it was some seconds before
	kindAnnounce          kind = "announce"    // a worker says only in its responses that it is leaving, and is replaced
	kindGrow              kind = "grow"        // the configuration grows by many routes for good
	kindSurge             kind = "surge"       // more clients than the workers have slots
	kindWorkerCrash       kind = "crash"       // a worker crashes and is replaced under a new id
	kindRunStatus         kind = "status"      // a worker answers runs with a status that clients take for "not run"
	kindLateCopies        kind = "copies"      // a worker sends responses and rejections once more, in place of the next one
)

// firstKinds are the kinds that plans of PlanFirst are drawn from.
var firstKinds = []kind{
	kindTerm, kindTerm, kindKill, kindPause, kindHangUp, kindDelay, kindReset, kindCutOneWay, kindPartition,
	kindStoreDown, kindStoreSlow, kindStoreCut, kindCompact, kindConfig, kindConfig, kindWorkerDrain, kindWorkerDrain,
	kindBadResponses, kindWorkerShed, kindWorkerSlow, kindKillMany,
}

// secondKinds are the kinds that plans of PlanSecond are drawn from.
var secondKinds = append(slices.Clone(firstKinds),
	kindWorkerRestart, kindForeignWriter, kindForeignWriter, kindPartitionConfig, kindPartitionConfig)

// thirdKinds are the kinds that plans of PlanThird are drawn from.
var thirdKinds = append(slices.Clone(secondKinds), kindDeadly, kindDeadly)

// fourthKinds are the kinds that plans of PlanFourth are drawn from.
var fourthKinds = append(slices.Clone(thirdKinds), kindIsolate, kindIsolate, kindUnresponsivePeers, kindMute, kindConfigSeries, kindConfigSeries, kindStallSeries)

// fifthKinds are the kinds that plans of PlanFifth are drawn from.
var fifthKinds = append(slices.Clone(fourthKinds), kindDeadlyLate, kindDeadlyPair)

// sixthKinds are the kinds that plans of PlanSixth are drawn from.
var sixthKinds = append(slices.Clone(fifthKinds), kindEvacuate, kindEvacuate, kindEvacuate, kindWorkerCold, kindWorkerCold, kindWorkerCold)

// newestKinds are the kinds that plans of PlanNewest are drawn from.
var newestKinds = append(slices.Clone(sixthKinds), kindRateLimit, kindRateLimit, kindRateLimit, kindRestore, kindRestore, kindRestore, kindAnnounce, kindAnnounce)

// limitKinds are the kinds that plans of PlanLimits are drawn from: rate limits, and the
// faults that most often coincide with them.
var limitKinds = []kind{
	kindRateLimit, kindRateLimit, kindRateLimit, kindRateLimit, kindTerm, kindTerm, kindKill, kindKillMany, kindWorkerDrain, kindWorkerRestart,
	kindWorkerShed, kindWorkerSlow, kindBadResponses, kindConfig, kindStoreDown, kindPause, kindReset, kindPartition, kindHangUp, kindWorkerCold,
}

// restoreKinds are the kinds that plans of PlanRestores are drawn from: restores, changes of
// what the store holds, and the faults that most often coincide with them.
var restoreKinds = []kind{
	kindRestore, kindRestore, kindRestore, kindConfig, kindConfig, kindConfigSeries, kindWorkerDrain, kindWorkerDrain, kindAnnounce, kindAnnounce, kindAnnounce,
	kindTerm, kindKill, kindStoreCut, kindWorkerRestart, kindEvacuate, kindHangUp,
}

// growthKinds are the kinds that plans of PlanGrowth are drawn from: a configuration that
// grows, and what must not wait for it.
var growthKinds = []kind{
	kindGrow, kindGrow, kindGrow, kindConfig, kindConfigSeries, kindWorkerDrain, kindWorkerDrain, kindWorkerDrain, kindAnnounce,
	kindTerm, kindTerm, kindKill, kindEvacuate, kindEvacuate, kindHangUp, kindWorkerRestart, kindStoreCut, kindCompact,
}

// responseKinds are the kinds that plans of PlanResponses are drawn from: responses that must
// not be read as "not run", and the faults that most often coincide with them.
var responseKinds = []kind{
	kindRunStatus, kindRunStatus, kindRunStatus, kindRunStatus, kindLateCopies, kindLateCopies, kindLateCopies, kindBadResponses, kindBadResponses,
	kindWorkerShed, kindWorkerShed, kindTerm, kindTerm, kindKill, kindPause, kindPause, kindStallSeries, kindReset, kindCutOneWay, kindDelay,
	kindWorkerCrash, kindWorkerRestart, kindWorkerDrain, kindConfig,
}

// zoneKinds are the kinds that plans of PlanZones are drawn from: evacuations, cold
// workers, and the faults that most often coincide with them.
var zoneKinds = []kind{
	kindEvacuate, kindEvacuate, kindEvacuate, kindWorkerCold, kindWorkerCold, kindWorkerCold, kindTerm, kindTerm, kindKill, kindKillMany,
	kindWorkerDrain, kindWorkerRestart, kindCompact, kindConfig, kindStoreDown, kindStoreCut, kindPause, kindReset, kindPartition, kindHangUp,
}

// sparedKinds are the kinds that plans of PlanSpared are drawn from: the store stays
// healthy, and one machine has no fault of its own.
var sparedKinds = []kind{
	kindIsolate, kindIsolate, kindIsolate, kindUnresponsivePeers, kindConfigSeries, kindConfigSeries, kindCompact, kindMute, kindStallSeries,
	kindTerm, kindKill, kindPause, kindReset, kindPartition, kindStoreCut, kindWorkerDrain, kindPartitionConfig, kindForeignWriter, kindWorkerRestart,
}

// PlanVersion names a list of kinds that plans are drawn from. A seed reproduces its plan
// only under the version that it was drawn with.
type PlanVersion string

// The versions.
const (
	PlanNewest   PlanVersion = "newest"
	PlanSpared   PlanVersion = "spared"
	PlanFirst    PlanVersion = "first"
	PlanSecond   PlanVersion = "second"
	PlanThird    PlanVersion = "third"
	PlanFourth   PlanVersion = "fourth"
	PlanFifth    PlanVersion = "fifth"
	PlanSixth    PlanVersion = "sixth"
	PlanZones    PlanVersion = "zones"
	PlanLimits   PlanVersion = "limits"
	PlanRestores PlanVersion = "restores"
	PlanGrowth   PlanVersion = "growth"
	// PlanResponses has workers whose responses are no statement that a request was not run.
	PlanResponses PlanVersion = "responses"
	// PlanHard has uploads, calls of workers, priorities and load above the capacity.
	PlanHard PlanVersion = "hard"
)

// kindsOf holds the kinds of each version.
var kindsOf = map[PlanVersion][]kind{
	PlanNewest: newestKinds, PlanSpared: sparedKinds, PlanFirst: firstKinds, PlanSecond: secondKinds, PlanThird: thirdKinds,
	PlanFourth: fourthKinds, PlanFifth: fifthKinds, PlanSixth: sixthKinds, PlanZones: zoneKinds, PlanLimits: limitKinds, PlanRestores: restoreKinds,
	PlanGrowth: growthKinds, PlanHard: hardKinds, PlanResponses: responseKinds,
}

// hasColdWorkers reports whether workers are cold after their start in plans of the
// version.
func (v PlanVersion) hasColdWorkers() bool {
	switch v {
	case PlanNewest, PlanSixth, PlanZones, PlanLimits:
		return true
	}
	return false
}

// meanGap returns the mean time between two faults.
func (v PlanVersion) meanGap() time.Duration {
	if v == PlanRestores {
		return restoreGap
	}
	return meanGap
}

// linkRate returns the bytes a second of a machine's link to the store, and of that to its
// peers; zero for no limit.
func (v PlanVersion) linkRate() int {
	if v == PlanGrowth || v == PlanHard {
		return narrowLink
	}
	return 0
}

// Valid reports whether the version exists.
func (v PlanVersion) Valid() bool { return kindsOf[v] != nil }

// fault is one injected fault of a plan.
type fault struct {
	at       time.Duration
	duration time.Duration
	kind     kind
	machine  int
}

// String describes the fault for reports.
func (f fault) String() string {
	return fmt.Sprintf("%6.2fs %-11s machine %d for %.2fs", f.at.Seconds(), f.kind, f.machine, f.duration.Seconds())
}

// plan lists the faults of one soak; a seed reproduces it.
type plan []fault

// Timing of a plan.
const (
	// No new fault begins during faultFreeStart, in which nodes learn about the fleet,
	// and during faultFreeEnd, in which service must recover.
	faultFreeStart = 2 * time.Second
	faultFreeEnd   = 9 * time.Second
	// meanGap is the mean time between two faults, short enough that they overlap.
	meanGap = 700 * time.Millisecond
	// restoreGap is meanGap in plans of PlanRestores: what the store lacks after a restore
	// shows while it is sound.
	restoreGap = 2500 * time.Millisecond
	// narrowLink is a link of 10 Mbit/s, in bytes a second.
	narrowLink  = 1_250_000
	minDuration = 200 * time.Millisecond
	maxDuration = 4 * time.Second
	// seriesChance is the probability that a fault of the same kind follows shortly on
	// the next machine.
	seriesChance = 0.3
)

// makePlan draws a plan for a number of machines and a length.
func makePlan(seed uint64, machines int, length time.Duration, v PlanVersion) plan {
	kinds := kindsOf[v]
	rng := rand.New(rand.NewPCG(seed, 0))
	var p plan
	for at := faultFreeStart; at < length-faultFreeEnd; {
		flt := fault{
			at: at, kind: kinds[rng.IntN(len(kinds))], machine: rng.IntN(machines),
			duration: minDuration + time.Duration(rng.Int64N(int64(maxDuration-minDuration))),
		}
		flt.duration = min(flt.duration, length-faultFreeEnd-at)
		p = append(p, flt)
		for n := 1; rng.Float64() < seriesChance; n++ {
			next := flt
			next.machine = (flt.machine + n) % machines
			next.at += time.Duration(rng.Int64N(int64(time.Second)))
			next.duration = max(min(next.duration, length-faultFreeEnd-next.at), minDuration)
			p = append(p, next)
		}
		at += time.Duration(rng.ExpFloat64() * float64(v.meanGap()))
	}
	if v == PlanSpared {
		p.spareMachine(int(seed)%machines, machines)
	}
	sort.SliceStable(p, func(i, j int) bool { return p[i].at < p[j].at })
	return p
}

// spareMachine keeps single-machine faults away from one machine, which is the one that
// gets isolated.
func (p plan) spareMachine(spared, machines int) {
	for i := range p {
		flt := &p[i]
		switch {
		case flt.kind == kindIsolate:
			flt.machine = spared
		case flt.machine == spared:
			flt.machine = (spared + 1) % machines
		}
	}
}

// String lists the plan, one fault a line.
func (p plan) String() string {
	lines := make([]string, len(p))
	for i, flt := range p {
		lines[i] = flt.String()
	}
	return strings.Join(lines, "\n")
}
