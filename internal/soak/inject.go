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

// injectFault injects one fault and ends it after its duration.
func (f *fleet) injectFault(ctx context.Context, flt fault) {
	m := f.machines[flt.machine]
	switch flt.kind {
	case kindConfig:
		f.configure(ctx)
		return
	case kindDeadly:
		f.startDeadly(ctx, flt, deadlyClass)
		return
	case kindDeadlyLate:
		f.startDeadly(ctx, flt, lateClass)
		return
	case kindDeadlyPair:
		f.startDeadlyPair(ctx, flt)
		return
	case kindCompact:
		f.store.Compact()
		return
	case kindEvacuate:
		f.evacuate(ctx, flt)
		return
	case kindWorkerCold:
		m.setCold(flt.duration)
		return
	case kindRateLimit:
		m.limitWorker(ctx, flt)
		return
	case kindRestore:
		f.restore(ctx, flt)
		return
	case kindAnnounce:
		defer f.ledger.beginFault(flt.machine, true)()
		m.announceLeaving(ctx)
		return
	case kindIsolate:
		f.isolate(ctx, flt)
		return
	case kindUnresponsivePeers:
		if err := f.listUnresponsive(ctx, flt); err != nil {
			f.ledger.recordViolation("soak", "open unresponsive nodes: %v", err)
		}
		return
	case kindConfigSeries:
		f.configureRepeatedly(ctx, flt)
		return
	case kindStoreDown, kindStoreSlow:
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
		return
	case kindTerm, kindHangUp:
		defer f.ledger.beginFault(flt.machine, true)()
		m.stopOrReload(flt.kind)
		return
	case kindWorkerDrain:
		defer f.ledger.beginFault(flt.machine, true)()
		m.drainWorker(ctx)
		return
	case kindKillMany:
		f.killMany(ctx, flt)
		return
	case kindForeignWriter:
		defer f.ledger.beginFault(flt.machine, true)()
		m.replaceEntry(ctx, flt)
		return
	case kindPartitionConfig:
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

func (m *machine) stopOrReload(k kind) {
	if k == kindHangUp {
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
		m.setResponseFault(standin.ResponseFaults[int(flt.duration)%len(standin.ResponseFaults)])
	case kindWorkerShed:
		m.worker.SetShedding(true)
	case kindWorkerSlow:
		m.worker.SetSlowdown(400)
	}
}

// endFault ends a fault of one machine.
func (m *machine) endFault(flt fault) {
	switch flt.kind {
	case kindKill:
		m.startNodeIfDown()
	case kindPause:
		m.signalNode(syscall.SIGCONT, false)
	case kindBadResponses:
		m.setResponseFault("")
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
