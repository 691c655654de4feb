package soak

import (
	"context"
	"fmt"
	"slices"
	"time"

	"gypsumstand/internal/window"
	"gypsumstand/platform/standin"
)

// Limits of evacuations and of cold workers.
const (
	// maxEvacuationTime bounds how long work may go to a zone after its evacuation.
	maxEvacuationTime = 5 * time.Second
	// minEvacuation is the shortest evacuation: the limit, plus time in which a violation
	// would show.
	minEvacuation = maxEvacuationTime + 2*time.Second
	// coldRequestsPerS is the request rate that a cold worker can take,
	// maxColdRequestsPerS the most requests that it may receive within a second.
	coldRequestsPerS    = 13
	maxColdRequestsPerS = 27
	// coldDuration is how long a worker is cold after its start.
	coldDuration = 1500 * time.Millisecond
	// warmingSettings are the nodes' settings that bound the requests to cold workers.
	warmingSettings = "warming_ratio = 1.5\nwarming_extra = 8\n"
)

const zoneCount = 3

func zoneOf(machine int) string { return fmt.Sprintf("dc-%d", machine%zoneCount) }

// evacuate evacuates the zone of a fault's machine and ends the evacuation. Of
// overlapping ones, the last to end ends the evacuation.
func (f *fleet) evacuate(ctx context.Context, flt fault) {
	zone := zoneOf(flt.machine)
	f.mu.Lock()
	f.evacuations[zone]++
	if f.evacuations[zone] == 1 {
		f.store.Evacuate(zone, true)
		f.ledger.recordEvacuation(zone, true)
	}
	f.mu.Unlock()
	sleep(ctx, minEvacuation+flt.duration)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations[zone]--
	if f.evacuations[zone] == 0 {
		f.ledger.recordEvacuation(zone, false)
		f.store.Evacuate(zone, false)
	}
}

// setCold makes a worker cold if the plan has cold workers.
func (m *machine) setCold(d time.Duration) {
	if m.fleet.coldWorkers {
		m.worker.SetCold(d)
	}
}

// recordEvacuation records that a zone's evacuation was acknowledged, or that it is about
// to end.
func (l *ledger) recordEvacuation(zone string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.evacuatedAt[zone] = time.Now()
		return
	}
	delete(l.evacuatedAt, zone)
}

// checkEvacuation checks a run against an evacuation of its worker's zone; l.mu is held.
func (l *ledger) checkEvacuation(r *request, run standin.Run) {
	machine := workerMachine(run.Worker)
	at, on := l.evacuatedAt[zoneOf(machine)]
	if !on || run.StartedAt.Sub(at) <= maxEvacuationTime {
		return
	}
	if l.undisturbed(r.machine, run.StartedAt, run.StartedAt) && l.undisturbed(machine, run.StartedAt, run.StartedAt) {
		l.addViolation("evacuated", "%s reached %s %s after the evacuation of %s", r.id, run.Worker, run.StartedAt.Sub(at), zoneOf(machine))
	}
}

// causesBursts reports whether a machine's worker may receive requests in bursts during a
// fault of this kind.
func (k kind) causesBursts() bool {
	switch k {
	case kindPause, kindStallSeries, kindDelay, kindReset, kindCutOneWay, kindPartition, kindPartitionConfig, kindMute:
		return true
	}
	return false
}

// checkColdWorkers checks how many requests cold workers received in any second, also
// during most faults: only bursts and stalls are excused. l.mu is held.
func (l *ledger) checkColdWorkers() {
	runs := map[string][]time.Time{}
	for _, r := range l.order {
		for _, run := range r.runs {
			if run.Cold {
				runs[run.Worker] = append(runs[run.Worker], run.StartedAt)
			}
		}
	}
	for worker, times := range runs {
		l.checkColdWorker(worker, times)
	}
}

func (l *ledger) checkColdWorker(worker string, times []time.Time) {
	if n := l.unexcusedExcess(worker, times, time.Second, maxColdRequestsPerS); n > 0 {
		l.addViolation("cold", "%s got %d requests within a second while it was cold, limit %d", worker, n, maxColdRequestsPerS)
	}
}

// unexcusedExcess returns the number of requests that a worker received within a window of
// a length when that first was more than allowed, or zero. Bursts and stalls on the way to
// the worker excuse a window. times are the requests' starts, which it sorts; l.mu is held.
func (l *ledger) unexcusedExcess(worker string, times []time.Time, length time.Duration, allowed float64) int {
	machine := workerMachine(worker)
	slices.SortFunc(times, time.Time.Compare)
	recent := window.NewCounter(length)
	for _, at := range times {
		n := recent.Add(at)
		if float64(n) <= allowed {
			continue
		}
		since := recent.Oldest().Add(-time.Second)
		if faultFree(l.burstSpans[machine], since, at) && faultFree(l.stalls[machine], since, at) {
			return n
		}
	}
	return 0
}
