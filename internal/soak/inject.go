package soak

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gypsumstand/platform/standin"
)

// playPlan injects the faults of a plan and waits until all of them are over.
func (f *fleet) playPlan(ctx context.Context, p plan) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, flt := range p {
		sleep(ctx, time.Until(start.Add(flt.at)))
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.injectFault(ctx, flt)
		}()
	}
	wg.Wait()
	// Overlapping faults may have left a node down.
	for _, m := range f.machines {
		m.startNodeIfDown()
	}
}

// fleetFaults are the faults that concern more than one machine, or record their spans
// themselves.
var fleetFaults = map[kind]func(*fleet, context.Context, fault){
	kindConfig:       func(f *fleet, ctx context.Context, _ fault) { f.configure(ctx) },
	kindConfigSeries: (*fleet).configureRepeatedly,
	kindGrow:         func(f *fleet, ctx context.Context, _ fault) { f.grow(ctx) },
	kindCompact:      func(f *fleet, _ context.Context, _ fault) { f.store.Compact() },
	kindRestore:      (*fleet).restore,
	kindSurge:        (*fleet).surge,
	kindStoreDown:    (*fleet).disturbStore,
	kindStoreSlow:    (*fleet).disturbStore,
	kindDeadly:       func(f *fleet, ctx context.Context, flt fault) { f.startDeadly(ctx, flt, deadlyClass) },
	kindDeadlyLate:   func(f *fleet, ctx context.Context, flt fault) { f.startDeadly(ctx, flt, lateClass) },
	kindDeadlyPair:   (*fleet).startDeadlyPair,
	kindEvacuate:     (*fleet).evacuate,
	kindIsolate:      (*fleet).isolate,
	kindKillMany:     (*fleet).killMany,
	kindUnresponsivePeers: func(f *fleet, ctx context.Context, flt fault) {
		if err := f.listUnresponsive(ctx, flt); err != nil {
			f.ledger.recordViolation("soak", "open unresponsive nodes: %v", err)
		}
	},
	kindWorkerCold:  func(f *fleet, _ context.Context, flt fault) { f.machines[flt.machine].setCold(flt.duration) },
	kindWorkerCrash: func(f *fleet, ctx context.Context, flt fault) { f.machines[flt.machine].crash(ctx, flt) },
	kindRateLimit:   func(f *fleet, ctx context.Context, flt fault) { f.machines[flt.machine].limitWorker(ctx, flt) },
}

// plannedOperations are the planned operations of one machine.
var plannedOperations = map[kind]func(*machine, context.Context, fault){
	kindTerm:          (*machine).stopOrReload,
	kindHangUp:        (*machine).stopOrReload,
	kindWorkerDrain:   func(m *machine, ctx context.Context, _ fault) { m.drainWorker(ctx) },
	kindAnnounce:      func(m *machine, ctx context.Context, _ fault) { m.announceLeaving(ctx) },
	kindForeignWriter: (*machine).replaceEntry,
}

// injectFault injects one fault and ends it after its duration.
func (f *fleet) injectFault(ctx context.Context, flt fault) {
	if inject := fleetFaults[flt.kind]; inject != nil {
		inject(f, ctx, flt)
		return
	}
	m := f.machines[flt.machine]
	if operate := plannedOperations[flt.kind]; operate != nil {
		defer f.ledger.beginFault(flt.machine, true)()
		operate(m, ctx, flt)
		return
	}
	if flt.kind == kindPartitionConfig {
		// The configuration is written once the machine is reachable again.
		defer f.configure(ctx)
	}
	defer f.ledger.beginFault(flt.machine, false)()
	if flt.kind.causesBursts() {
		defer f.ledger.beginBursts(flt.machine)()
	}
	m.applyFault(ctx, flt)
	sleep(ctx, flt.duration)
	m.endFault(flt)
}

// disturbStore makes the store slow, unavailable or silent for a while.
func (f *fleet) disturbStore(ctx context.Context, flt fault) {
	defer f.ledger.beginFault(storeFaults, false)()
	faults := standin.StoreFaults{Status: http.StatusServiceUnavailable}
	if flt.machine%2 == 0 {
		faults = standin.StoreFaults{Hang: true}
	}
	if flt.kind == kindStoreSlow {
		faults = standin.StoreFaults{Delay: 400 * time.Millisecond}
	}
	f.store.SetFaults(faults)
	sleep(ctx, flt.duration)
	f.store.SetFaults(standin.StoreFaults{})
}

// stopOrReload restarts the node as planned, or makes it read its settings again.
func (m *machine) stopOrReload(_ context.Context, flt fault) {
	if flt.kind == kindHangUp {
		m.signalNode(syscall.SIGHUP, false)
		return
	}
	m.stopNode()
	m.startNodeIfDown()
}

// killMany kills every other node at once.
func (f *fleet) killMany(ctx context.Context, flt fault) {
	for i, m := range f.machines {
		if i%2 != flt.machine%2 {
			continue
		}
		defer f.ledger.beginFault(i, false)()
		m.signalNode(syscall.SIGKILL, true)
	}
	sleep(ctx, flt.duration)
	for _, m := range f.machines {
		m.startNodeIfDown()
	}
}

// applyFault begins a fault of one machine.
func (m *machine) applyFault(ctx context.Context, flt fault) {
	proxies := []*proxy{m.peerProxy, m.storeProxy, m.workerProxy}
	setAll := func(faults linkFaults) {
		for _, p := range proxies {
			p.setFaults(faults)
		}
	}
	switch flt.kind {
	case kindKill:
		m.signalNode(syscall.SIGKILL, true)
	case kindPause:
		m.signalNode(syscall.SIGSTOP, false)
	case kindDelay:
		setAll(linkFaults{delay: 30 * time.Millisecond})
	case kindReset:
		for _, p := range proxies {
			p.resetAll()
		}
	case kindMute:
		for _, p := range proxies {
			p.muteOpen()
		}
	case kindStallSeries:
		m.stallRepeatedly(ctx, flt.duration)
	case kindWorkerRestart:
		m.restartWorker()
	case kindCutOneWay:
		setAll(linkFaults{blockFromFar: true})
	case kindPartition, kindPartitionConfig:
		setAll(linkFaults{blockToFar: true, blockFromFar: true})
	case kindStoreCut:
		m.storeProxy.setFaults(linkFaults{blockToFar: true, blockFromFar: true})
	case kindBadResponses:
		m.setResponseFault(pickFault(standin.ResponseFaults, flt))
	case kindRunStatus:
		m.setResponseFault(pickFault(standin.StatusFaults, flt))
	case kindLateCopies:
		m.setResponseFault("late")
		m.worker.SetRepeatedRejections(rejectEvery)
	case kindWorkerShed:
		m.worker.SetShedding(true)
	case kindWorkerSlow:
		m.worker.SetSlowdown(400)
	}
}

// rejectEvery is the number of requests of which a worker with late copies rejects one.
const rejectEvery = 3

// pickFault picks the fault of a worker's responses by the duration of flt.
func pickFault(faults []string, flt fault) string { return faults[int(flt.duration)%len(faults)] }

// endFault ends a fault of one machine.
func (m *machine) endFault(flt fault) {
	switch flt.kind {
	case kindKill:
		m.startNodeIfDown()
	case kindPause:
		m.signalNode(syscall.SIGCONT, false)
	case kindBadResponses, kindRunStatus:
		m.setResponseFault("")
	case kindLateCopies:
		m.setResponseFault("")
		m.worker.SetRepeatedRejections(0)
	case kindWorkerShed:
		m.worker.SetShedding(false)
	case kindWorkerSlow:
		m.worker.SetSlowdown(100)
	default:
		for _, p := range []*proxy{m.peerProxy, m.storeProxy, m.workerProxy} {
			p.setFaults(linkFaults{})
		}
	}
}
