package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// Limits of a store that is restored from a copy.
const (
	// minCopyAge is the least age of the copy; the rest is drawn by the fault's duration.
	minCopyAge = time.Second
	// restoreOutage is how long the store is away before it comes back.
	restoreOutage = 400 * time.Millisecond
	// rewriteTime is the time within which the operator and the workers write again what
	// they had written.
	rewriteTime = time.Second
	// leaseTime is how long the entries of workers that have ended stay in the restored
	// store.
	leaseTime = 3 * time.Second
	// foreignWrites is the number of changes that other programs made since the copy. They
	// are not made again, so revisions stay behind for a while.
	foreignWrites = 40
	// noticeTime is the time in which nodes learn of these changes before the store goes
	// away.
	noticeTime = 1200 * time.Millisecond
)

// restore takes the store away for a moment and brings it back as it was some seconds
// before. Then its writers write again what they had written.
func (f *fleet) restore(ctx context.Context, flt fault) {
	if !f.restoring.CompareAndSwap(false, true) {
		return
	}
	defer f.restoring.Store(false)
	defer f.ledger.beginFault(storeFaults, false)()
	copied := time.Now().Add(-minCopyAge - flt.duration)
	for range foreignWrites {
		f.store.Put("app/other", "{}")
	}
	sleep(ctx, noticeTime)
	f.store.SetFaults(standin.StoreFaults{Status: http.StatusServiceUnavailable})
	sleep(ctx, restoreOutage)
	f.store.Restore(copied)
	f.store.SetFaults(standin.StoreFaults{})
	rewritten := make(chan struct{}, len(f.machines)+1)
	writeAgain := func(write func()) {
		go func() {
			sleep(ctx, time.Duration(rand.Int64N(int64(rewriteTime))))
			write()
			rewritten <- struct{}{}
		}()
	}
	writeAgain(f.writeOperatorItems)
	for _, m := range f.machines {
		writeAgain(m.relistWorker)
	}
	for range cap(rewritten) {
		<-rewritten
	}
	go f.expireLeases(ctx)
}

// writeOperatorItems writes the newest configuration and the evacuations in progress again.
func (f *fleet) writeOperatorItems() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.Put(names.ConfigKey, f.configuration())
	for i := range zoneCount {
		zone := zoneOf(i)
		listed := slices.Contains(f.store.Keys(names.EvacuationKeyPrefix), names.EvacuationKeyPrefix+zone)
		if inProgress := f.evacuations[zone] > 0; inProgress != listed {
			f.store.Evacuate(zone, inProgress)
		}
	}
}

// relistWorker writes the worker's entry again, unless another writer has replaced it.
func (m *machine) relistWorker() {
	m.mu.Lock()
	state, replaced := m.listedState, m.entryReplaced
	m.mu.Unlock()
	if !replaced {
		m.listWorker(state)
	}
}

func (m *machine) setEntryReplaced(on bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.entryReplaced = on
}

// expireLeases removes the entries of workers that have ended.
func (f *fleet) expireLeases(ctx context.Context) {
	sleep(ctx, leaseTime)
	for _, key := range f.store.Keys(names.WorkerKeyPrefix) {
		id := strings.TrimPrefix(key, names.WorkerKeyPrefix)
		i := workerMachine(id)
		if i >= 0 && i < len(f.machines) && f.machines[i].worker.ID() != id {
			f.store.Remove(key)
		}
	}
}

// workerAtMachine is a worker of which a machine passes on responses.
type workerAtMachine struct {
	machine int
	worker  string
}

// recordAnnounced records that a machine passed on a response in which its worker said that
// it was leaving; l.mu is held.
func (l *ledger) recordAnnounced(r *request, resp *http.Response) {
	if resp.Header.Get(names.Leaving) == "" || len(r.runs) == 0 {
		return
	}
	key := workerAtMachine{r.machine, r.runs[len(r.runs)-1].Worker}
	if _, told := l.toldLeaving[key]; !told {
		l.toldLeaving[key] = r.completed
	}
}

// checkAnnounced checks a run against what the machine of its request had passed on, also
// during faults: only a fault of that machine since then excuses it. l.mu is held.
func (l *ledger) checkAnnounced(r *request, run standin.Run) {
	told, ok := l.toldLeaving[workerAtMachine{r.machine, run.Worker}]
	if !ok || r.sent.Sub(told) <= maxDrainTime {
		return
	}
	if l.machineFaultFree(r.machine, told, run.StartedAt) {
		l.addViolation("announced", "%s was sent to machine %d %s after it had passed on that %s was leaving, and reached it",
			r.id, r.machine, r.sent.Sub(told).Round(time.Millisecond), run.Worker)
	}
}
