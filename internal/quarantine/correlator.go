package quarantine

import (
	"sync"
	"time"

	"gypsumstand/internal/model"
)

// Time windows for attributing failed runs to crashes.
const (
	// crashWindow is the longest time between the observations of two run failures that one
	// crash caused. A process that is starved of CPU reads its sockets one after the other.
	crashWindow = 300 * time.Millisecond
	// pendingTTL is how long a failed run waits for the report that its worker crashed. A
	// directory lists the next worker incarnation some seconds after its start.
	pendingTTL = 10 * time.Second
	// lateFailureWindow is how long after a crash was noticed failures of runs from before
	// it are still attributed to it.
	lateFailureWindow = 2 * time.Second
	// maxPending bounds the failed runs that wait; it exceeds the slots of any worker.
	maxPending = 512
	// abandonedWindow is how long before a crash a run may have been abandoned and still be
	// its cause: a worker may go on working after its caller has disconnected.
	abandonedWindow = 2 * time.Second
	// maxAbandoned bounds the abandoned runs that are remembered. Where many callers
	// disconnect, a single abandoned run is weak evidence.
	maxAbandoned = 32
)

// Run describes one run of a request at the worker.
type Run struct {
	Content model.Fingerprint
	// Label is a human-readable description of the request.
	Label string
	// Started is when the request was sent to the worker.
	Started time.Time
	// AlreadySuspect reports whether a crash under the same request was known when the run
	// started.
	AlreadySuspect bool
	// Trial reports whether the run was a trial of a quarantined request.
	Trial bool
}

// CrashID identifies one crash of a worker; it is the same on all nodes.
type CrashID uint64

// CrashCorrelator finds the runs that were in flight when this node's worker crashed. A
// failed run alone does not show a crash: workers reset connections and send malformed
// responses, and connections are cut. Failed runs are therefore kept until the worker is
// known to have crashed. It is safe for concurrent use; the zero value is ready.
type CrashCorrelator struct {
	mu sync.Mutex
	// pending holds failed runs without a known crash, oldest first.
	pending []failedRun
	// abandoned holds runs that were abandoned before they completed, oldest first.
	abandoned []failedRun
	// lastCrash is the latest crash with runs in flight, noticed at lastNoticed; zero
	// before the first.
	lastCrash   CrashID
	lastNoticed time.Time
}

// failedRun is a run that did not complete, and when that was noticed.
type failedRun struct {
	run Run
	at  time.Time
}

// RunFailed records a run that failed at time now. It returns the crash that the failure
// belongs to if that is already known, and zero otherwise.
func (c *CrashCorrelator) RunFailed(now time.Time, r Run) CrashID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastCrash != 0 && r.Started.Before(c.lastNoticed) && now.Sub(c.lastNoticed) < lateFailureWindow {
		return c.lastCrash
	}
	c.pending = appendNewest(c.pending, failedRun{r, now}, maxPending)
	return 0
}

// RunAbandoned records a run that was abandoned at time now, before it completed.
func (c *CrashCorrelator) RunAbandoned(now time.Time, r Run) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abandoned = appendNewest(c.abandoned, failedRun{r, now}, maxAbandoned)
}

// appendNewest appends an element and drops the oldest one if the list has reached its limit.
func appendNewest[E any](list []E, newest E, limit int) []E {
	if len(list) == limit {
		list = list[1:]
	}
	return append(list, newest)
}

// WorkerCrashed records at time now that the worker crashed, and returns the runs that were
// in flight: those that failed with it and those that were abandoned shortly before. It may
// be called several times for one crash; next is the ID of the crash if it is a new one.
func (c *CrashCorrelator) WorkerCrashed(now time.Time, next CrashID) []Run {
	c.mu.Lock()
	defer c.mu.Unlock()
	failed, abandoned := c.pending, c.abandoned
	c.pending, c.abandoned = nil, nil
	at := now
	if n := len(failed); n > 0 && now.Sub(failed[n-1].at) <= pendingTTL {
		at = failed[n-1].at
	}
	runs := runsSince(nil, failed, at.Add(-crashWindow))
	runs = runsSince(runs, abandoned, at.Add(-abandonedWindow))
	if len(runs) > 0 {
		c.lastCrash, c.lastNoticed = next, now
	}
	return runs
}

// runsSince appends the runs that failed at or after a time.
func runsSince(runs []Run, failed []failedRun, at time.Time) []Run {
	for _, f := range failed {
		if !f.at.Before(at) {
			runs = append(runs, f.run)
		}
	}
	return runs
}

// simultaneousWindow is the longest time between two run failures that one crash caused, on
// a node that is not starved of CPU.
const simultaneousWindow = 20 * time.Millisecond

// failedTogether reports whether at least two runs failed within simultaneousWindow of a
// time.
func (c *CrashCorrelator) failedTogether(at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	near := 0
	for _, f := range c.pending {
		if f.at.Sub(at).Abs() <= simultaneousWindow {
			near++
		}
	}
	return near > 1
}
