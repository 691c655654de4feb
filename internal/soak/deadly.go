package soak

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"gypsumstand/platform/standin"
)

// Timing and limits of deadly requests, which crash the workers that run them.
const (
	// deadlyInterval is the time between two submissions of one deadly request.
	deadlyInterval = 400 * time.Millisecond
	// crashDelay is the time from the start of a deadly run to the worker's crash,
	// restartDelay the time from the crash until the worker accepts connections again.
	crashDelay   = 30 * time.Millisecond
	restartDelay = 1500 * time.Millisecond
	// lateCrashDelay is the crash delay of a late deadly request; its caller has timed
	// out by then.
	lateCrashDelay = routeTimeout + 500*time.Millisecond
	// deadlyCrashes is the number of crashes after which nodes must quarantine a request,
	// maxDeadlyRuns the number of times that it may still reach a worker afterwards.
	deadlyCrashes, maxDeadlyRuns = 3, 3
)

// deadlyClass is the prefix of a deadly request's class, which is also an element of its
// path; lateClass is that of a late one.
const (
	deadlyClass = "deadly-"
	lateClass   = deadlyClass + "late-"
)

func (r *request) deadly() bool { return strings.HasPrefix(r.class, deadlyClass) }

// crashDelayOf returns the time from the start of a deadly run to its worker's crash.
func crashDelayOf(class string) time.Duration {
	if strings.HasPrefix(class, lateClass) {
		return lateCrashDelay
	}
	return crashDelay
}

// deadlyClassOf returns the class of a deadly request from its path, or "" for other
// requests.
func deadlyClassOf(path string) string {
	_, after, found := strings.Cut(path, "/"+deadlyClass)
	if !found {
		return ""
	}
	name, _, _ := strings.Cut(after, "/")
	return deadlyClass + name
}

// startDeadlyPair starts callers of two deadly requests to one service at the same time.
func (f *fleet) startDeadlyPair(ctx context.Context, flt fault) {
	f.startDeadly(ctx, flt, deadlyClass+"one-")
	f.startDeadly(ctx, flt, deadlyClass+"other-")
}

// startDeadly starts a caller that submits one deadly request of a class to all machines
// in turn, repeatedly, until ctx ends.
func (f *fleet) startDeadly(ctx context.Context, flt fault, class string) {
	name := fmt.Sprintf("%s%d-%d", class, flt.at.Milliseconds(), flt.machine)
	route, service := "browse", serviceCatalogue
	if flt.machine%2 == 0 {
		route, service = "order", serviceOrders
	}
	// The run hangs until the worker crashes.
	uri := fmt.Sprintf("/%s/%s/hang", route, name)
	f.deadlyCallers.Add(1)
	go func() {
		defer f.deadlyCallers.Done()
		c := newClient(f, 0, 0)
		defer c.http.CloseIdleConnections()
		for i := flt.machine; ctx.Err() == nil; i++ {
			c.machine = f.machines[i%len(f.machines)]
			r := &request{id: fmt.Sprintf("%s-%d", name, i), class: name, service: service, machine: c.machine.index}
			c.send(ctx, r, uri, name)
			sleep(ctx, deadlyInterval)
		}
	}()
}

// onRun records a run of the worker and schedules its crash if the request is deadly.
func (m *machine) onRun(run standin.Run) {
	m.fleet.ledger.recordRun(run)
	if class := deadlyClassOf(run.Request.URL.Path); class != "" {
		time.AfterFunc(crashDelayOf(class), m.crashWorker)
	}
}

// crashWorker simulates a crash of the worker's process: its port and all connections
// close until the worker recovers as a new incarnation.
func (m *machine) crashWorker() {
	m.mu.Lock()
	down := m.workerDown
	m.workerDown = true
	m.mu.Unlock()
	if down {
		return
	}
	m.workerProxy.closePort()
	time.AfterFunc(restartDelay, m.recoverWorker)
}

func (m *machine) recoverWorker() {
	m.replaceWorker()
	if err := m.workerProxy.openPort(); err != nil {
		m.fleet.ledger.recordViolation("soak", "open the port of worker %d: %v", m.index, err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.workerDown = false
}

// recordNodeStart and recordNodeExit record the time in which a node's process runs.
func (l *ledger) recordNodeStart(machine int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.processSpans[machine] = append(l.processSpans[machine], span{from: time.Now()})
}

func (l *ledger) recordNodeExit(machine int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	spans := l.processSpans[machine]
	spans[len(spans)-1].to = time.Now()
}

// checkDeadly checks that undisturbed machines keep a deadly request away from workers,
// from undisturbedTime after its third crash on.
func (l *ledger) checkDeadly() {
	runs := map[string][]time.Time{}
	for _, r := range l.order {
		if r.deadly() {
			for _, run := range r.runs {
				runs[r.class] = append(runs[r.class], run.StartedAt)
			}
		}
	}
	late := map[string]int{}
	for _, r := range l.order {
		starts := runs[r.class]
		if !r.deadly() || len(starts) <= deadlyCrashes {
			continue
		}
		sort.Slice(starts, func(i, j int) bool { return starts[i].Before(starts[j]) })
		for _, run := range r.runs {
			if l.isLateDeadlyRun(starts[deadlyCrashes-1].Add(crashDelayOf(r.class)), r, run) {
				late[r.class]++
			}
		}
	}
	for class, n := range late {
		if n > maxDeadlyRuns {
			l.addViolation("deadly", "%s reached workers %d times, %d of them more than %s after it had crashed three workers", class, len(runs[class]), n, undisturbedTime)
		}
	}
}

// isLateDeadlyRun reports whether a run of a deadly request came too long after its third
// crash, although the sending and the running machine were undisturbed and some node
// could have retained the evidence.
func (l *ledger) isLateDeadlyRun(thirdCrash time.Time, r *request, run standin.Run) bool {
	at := run.StartedAt
	if at.Sub(thirdCrash) <= undisturbedTime || !l.evidenceRetained(thirdCrash, at) {
		return false
	}
	return l.undisturbed(r.machine, at, at) && l.undisturbed(workerMachine(run.Worker), at, at)
}

// evidenceRetained reports whether at each moment of a period some node had been running
// for undisturbedTime. If all nodes restart, the evidence about a request is lost with
// them.
func (l *ledger) evidenceRetained(from, to time.Time) bool {
	for at := from; at.Before(to); at = at.Add(100 * time.Millisecond) {
		if !l.anyNodeUp(at) {
			return false
		}
	}
	return true
}

func (l *ledger) anyNodeUp(at time.Time) bool {
	for _, spans := range l.processSpans {
		for _, s := range spans {
			if at.Sub(s.from) >= undisturbedTime && (s.to.IsZero() || s.to.After(at)) {
				return true
			}
		}
	}
	return false
}
