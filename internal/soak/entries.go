package soak

import (
	"context"
	"time"

	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// drainDuration is how long a worker drains before it is replaced.
const drainDuration = 3500 * time.Millisecond

func (m *machine) drainWorker(ctx context.Context) {
	id := m.worker.ID()
	m.worker.SetLeaving()
	m.listWorker(names.StateDraining)
	m.fleet.ledger.recordDraining(id)
	sleep(ctx, drainDuration)
	if m.worker.ID() == id {
		m.replaceWorker()
	}
}

// announceLeaving makes a worker say in its responses that it is leaving, while its entry
// stays as it is, and replaces it.
func (m *machine) announceLeaving(ctx context.Context) {
	id := m.worker.ID()
	m.worker.SetLeaving()
	sleep(ctx, maxDrainTime+drainDuration)
	if m.worker.ID() == id {
		m.replaceWorker()
	}
}

// replaceEntry simulates another writer that replaces the worker's entry for a while and
// adds an entry of an unknown service.
func (m *machine) replaceEntry(ctx context.Context, flt fault) {
	id := m.worker.ID()
	m.setEntryReplaced(true)
	defer m.setEntryReplaced(false)
	m.fleet.store.Put(names.WorkerKeyPrefix+id,
		standin.InvalidWorkerValues[int(flt.duration)%len(standin.InvalidWorkerValues)])
	m.fleet.ledger.recordDraining(id)
	extra := m.workerEntry(names.StateReady)
	extra.ID, extra.Service = "beside-"+id, "nobody"
	m.fleet.store.PutWorker(extra)
	sleep(ctx, flt.duration)
	m.fleet.store.Remove(names.WorkerKeyPrefix + extra.ID)
	if m.worker.ID() == id {
		m.fleet.ledger.recordListed(id)
		m.listWorker(names.StateReady)
	}
}
