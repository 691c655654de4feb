package node

import (
	"errors"
	"syscall"
	"time"

	"gypsumstand/internal/pause"
	"gypsumstand/internal/quarantine"
)

const (
	// concurrentTimeout is how long an interrupted run waits for the other runs that its
	// worker had in flight: a crash interrupts all of them at once, but a node short of
	// CPU time notices the interruptions one after the other.
	concurrentTimeout = 5 * time.Millisecond
	// crashTimeout bounds the wait for evidence of a crash if no other run is in flight.
	// The measuring budget allows a poll about every tenth of a second.
	crashTimeout = 100 * time.Millisecond
	// checkInterval is the time between two checks for evidence, pollRetryPause the pause
	// after a poll, or after the budget allowed none.
	checkInterval  = time.Millisecond
	pollRetryPause = 5 * time.Millisecond
)

// runInterrupted records a run that was interrupted at this node's worker and looks for
// evidence of a crash. It implements server.ExecutorConfig.RunInterrupted.
func (n *Node) runInterrupted(r quarantine.Run) (seemsCrashed func() bool) {
	if n.core.Owner.Draining() {
		return func() bool { return false }
	}
	now := time.Now()
	if n.core.Quarantine.RunFailed(now, r) {
		return func() bool { return true }
	}
	n.start(func() { n.watch.pollUntilKnown(now) })
	return func() bool { return n.seemsCrashed(now) }
}

// seemsCrashed reports whether the worker seems to have crashed when a run was
// interrupted: its port is closed, or another run was interrupted at the same moment. A
// worker whose other runs continue has not crashed. The quarantine's evidence does not
// depend on this estimate, which is made in time for the request's next attempt.
func (n *Node) seemsCrashed(since time.Time) bool {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		if crashed, known := n.watch.crashState(since); known {
			return crashed
		}
		if n.core.Quarantine.FailedTogether(since) {
			return true
		}
		age := time.Since(since)
		if age > crashTimeout || age > concurrentTimeout && n.core.Owner.InFlight() > 0 {
			return false
		}
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return false
		}
	}
}

// workerPortClosed handles a connection for an attempt that found no listener on the
// worker's port. It implements server.ExecutorConfig.PortClosed.
func (n *Node) workerPortClosed() {
	now := time.Now()
	n.watch.recordRefused(syscall.ECONNREFUSED)
	n.recordPortClosed(now)
}

// pollOnce polls the worker once and evaluates the result.
func (w *workerWatch) pollOnce(path string) {
	began := time.Now()
	p := w.poll(path)
	if p.Answered {
		w.mu.Lock()
		w.answeredPollBegan = began
		w.mu.Unlock()
	}
	w.recordPoll(p)
	if p.Refused {
		w.node.recordPortClosed(began)
	}
}

// recordPortClosed handles a connection attempt, begun at the given time, that failed at
// the worker's port. The worker has crashed if nothing was listening there.
func (n *Node) recordPortClosed(began time.Time) {
	crashed, known := n.watch.crashState(began)
	if known && crashed && !n.core.Owner.Draining() {
		n.core.Quarantine.WorkerCrashed(time.Now())
	}
}

// recordRefused records that nothing listens on the worker's port, if err shows that.
func (w *workerWatch) recordRefused(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusedAt = time.Now()
}

// pollUntilKnown polls, within the measuring budget, until the worker's port is found
// closed or the worker has responded after since, for at most crashTimeout. A worker that
// has restarted by then is detected by its new incarnation.
func (w *workerWatch) pollUntilKnown(since time.Time) {
	for time.Since(since) < crashTimeout {
		if _, known := w.crashState(since); known {
			return
		}
		select {
		case <-w.startPoll():
		case <-w.node.ctx.Done():
			return
		}
		pause.For(w.node.ctx, pollRetryPause)
	}
}

// crashState reports whether the worker's port was found closed after since (crashed),
// and whether that or a response since then is known.
func (w *workerWatch) crashState(since time.Time) (crashed, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.refusedAt.Before(since) {
		return true, true
	}
	return false, w.answeredPollBegan.After(since)
}
