package soak

import (
	"context"
	"fmt"
	"sort"
	"time"

	"gypsumstand/platform/standin"
)

// Bounds of evacuations and of cold workers.
const (
	// evacuateTime bounds how long work may go to a zone after its evacuation.
	evacuateTime = 5 * time.Second
	// evacuationLasts is the shortest evacuation: the bound, and some time to see it broken.
	evacuationLasts = evacuateTime + 2*time.Second
	// coldPerS is what a cold worker bears in a second, coldMost the most that it may get.
	coldPerS = 13
	coldMost = 27
	// coldAfterStart is how long a worker is cold after the start of a life.
	coldAfterStart = 1500 * time.Millisecond
	// warmingSettings are the bounds as the nodes' settings give them.
	warmingSettings = "warming_ratio = 1.5\nwarming_extra = 8\n"
)

const zones = 3

func zoneOf(machine int) string { return fmt.Sprintf("dc-%d", machine%zones) }

// evacuate empties the zone of a trouble's machine and takes it back. Of two that overlap the
// last one to end takes it back.
func (f *fleet) evacuate(ctx context.Context, t trouble) {
	zone := zoneOf(t.machine)
	f.mu.Lock()
	f.evacuations[zone]++
	if f.evacuations[zone] == 1 {
		f.store.Evacuate(zone, true)
		f.ledger.evacuated(zone, true)
	}
	f.mu.Unlock()
	sleep(ctx, evacuationLasts+t.lasts)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations[zone]--
	if f.evacuations[zone] == 0 {
		f.ledger.evacuated(zone, false)
		f.store.Evacuate(zone, false)
	}
}

// chill makes a worker cold, where the plan has cold workers.
func (m *machine) chill(d time.Duration) {
	if m.fleet.coldWorkers {
		m.worker.SetCold(d)
	}
}

// evacuated notes that a zone's evacuation was acknowledged, or is about to be taken back.
func (l *ledger) evacuated(zone string, on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if on {
		l.evacuations[zone] = time.Now()
		return
	}
	delete(l.evacuations, zone)
}

// checkEvacuated holds a run against the evacuation of its worker's zone. mu is held.
func (l *ledger) checkEvacuated(r *request, run standin.Run) {
	machine := workerMachine(run.Worker)
	at, on := l.evacuations[zoneOf(machine)]
	if !on || run.StartedAt.Sub(at) <= evacuateTime {
		return
	}
	if l.inTouch(r.machine, run.StartedAt, run.StartedAt) && l.inTouch(machine, run.StartedAt, run.StartedAt) {
		l.note("evacuated", "%s reaches %s %s after the evacuation of %s", r.id, run.Worker, run.StartedAt.Sub(at), zoneOf(machine))
	}
}

// bunches tells whether what a machine sends its worker may come in bunches during a trouble.
func (k kind) bunches() bool {
	switch k {
	case kindPause, kindStalls, kindDelay, kindReset, kindCutOneWay, kindSilence, kindCutConfig, kindMute:
		return true
	}
	return false
}

// bunched opens a span in which a machine's worker may get bunches, and returns its end.
func (l *ledger) bunched(machine int) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := len(l.bunches[machine])
	l.bunches[machine] = append(l.bunches[machine], span{from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.bunches[machine][at].to = time.Now()
	}
}

// checkCold holds the runs of cold workers against what they may get in any second, whoever
// is in touch. mu is held.
func (l *ledger) checkCold() {
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
	machine := workerMachine(worker)
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	from := 0
	for i, at := range times {
		for at.Sub(times[from]) >= time.Second {
			from++
		}
		if i-from+1 <= coldMost {
			continue
		}
		since := times[from].Add(-time.Second)
		if calm(l.bunches[machine], since, at) && calm(l.stalls[machine], since, at) {
			l.note("cold", "%s got %d requests within a second while it was cold, at most %d are allowed", worker, i-from+1, coldMost)
			return
		}
	}
}
