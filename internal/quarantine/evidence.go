package quarantine

import (
	"sync"
	"time"

	"gypsumstand/internal/model"
)

// Times of evidence.
const (
	// togetherFor is how far apart the breaks of runs may be noticed that one end broke:
	// a process that is starved reads its sockets one after the other.
	togetherFor = 300 * time.Millisecond
	// unexplainedFor is how long a break may wait for the word that its worker ended: a
	// directory tells of the next life after its start, some seconds later.
	unexplainedFor = 10 * time.Second
	// lateFor is how long after an end was noticed breaks of runs from before it may come.
	lateFor = 2 * time.Second
	// maxUnexplained bounds the breaks that wait: more than any worker has slots.
	maxUnexplained = 512
	// leftFor is how long before an end a run may have been given up and still be its cause: a
	// worker may work on for a while after its caller has left.
	leftFor = 2 * time.Second
	// maxLeft bounds the runs that were given up and are remembered. Where many callers leave
	// each of them is hardly suspect.
	maxLeft = 32
)

// Run is one run of a request at the worker.
type Run struct {
	Content model.Fingerprint
	// Label is for people: what the request asked for.
	Label string
	// Started is when it was sent to the worker.
	Started time.Time
	// Doubted: when it began, a worker had ended under the same request already.
	AlreadySuspect bool
	// Trial: it was a trial of a request that is put aside.
	Trial bool
}

// CrashID names one end of a worker's life, in all nodes' words.
type CrashID uint64

// CrashCorrelator finds which runs were in hand when the own worker's life ended. A run that
// breaks shows no end by itself: workers reset connections, garble answers, and links are
// cut. So breaks wait until the worker is known to have ended. It is safe for concurrent
// use; the zero value is ready.
type CrashCorrelator struct {
	mu sync.Mutex
	// unexplained are the breaks of which no end is known, oldest first.
	unexplained []brokenRun
	// left are the runs that were given up before they ended, oldest first.
	left []brokenRun
	// last is the end that was noticed last, at the time noticed; zero before the first.
	last    CrashID
	noticed time.Time
}

// brokenRun is a run that did not come to its end, with the time at which that was noticed.
type brokenRun struct {
	run Run
	at  time.Time
}

// RunFailed takes a run that broke at time now. It returns the end that it belongs to when
// that is known already, else zero.
func (e *CrashCorrelator) RunFailed(now time.Time, r Run) CrashID {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last != 0 && r.Started.Before(e.noticed) && now.Sub(e.noticed) < lateFor {
		return e.last
	}
	e.unexplained = appendNewest(e.unexplained, brokenRun{r, now}, maxUnexplained)
	return 0
}

// RunAbandoned takes a run that was given up at time now, before it came to its end.
func (e *CrashCorrelator) RunAbandoned(now time.Time, r Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.left = appendNewest(e.left, brokenRun{r, now}, maxLeft)
}

// appendNewest appends a run and drops the oldest where there are most already.
func appendNewest(runs []brokenRun, r brokenRun, most int) []brokenRun {
	if len(runs) == most {
		runs = runs[1:]
	}
	return append(runs, r)
}

// WorkerCrashed takes the word, at time now, that the worker's life has ended, and returns the runs
// that were in hand: those that broke with it, and those that had been given up shortly
// before. It may be told more than once of one end; next names a new one.
func (e *CrashCorrelator) WorkerCrashed(now time.Time, next CrashID) []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	broken, left := e.unexplained, e.left
	e.unexplained, e.left = nil, nil
	at := now
	if n := len(broken); n > 0 && now.Sub(broken[n-1].at) <= unexplainedFor {
		at = broken[n-1].at
	}
	runs := since(nil, broken, at.Add(-togetherFor))
	runs = since(runs, left, at.Add(-leftFor))
	if len(runs) > 0 {
		e.last, e.noticed = next, now
	}
	return runs
}

// since adds the runs that ended at a time or later.
func since(runs []Run, ended []brokenRun, at time.Time) []Run {
	for _, b := range ended {
		if !b.at.Before(at) {
			runs = append(runs, b.run)
		}
	}
	return runs
}

// sameMoment is how far apart runs break that one end broke, on a node that is not starved.
const sameMoment = 20 * time.Millisecond

// together tells whether at least two runs broke about that time.
func (e *CrashCorrelator) together(at time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	near := 0
	for _, b := range e.unexplained {
		if b.at.Sub(at).Abs() <= sameMoment {
			near++
		}
	}
	return near > 1
}
