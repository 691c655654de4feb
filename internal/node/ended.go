package node

import (
	"errors"
	"syscall"
	"time"

	"gypsumstand/internal/pause"
	"gypsumstand/internal/quarantine"
)

const (
	// othersTimeout is how long a run that broke waits for the others that its worker had
	// in hand: when it ended, all of them break at one moment, and a starved node reads that
	// one after the other.
	othersTimeout = 5 * time.Millisecond
	// endedTimeout bounds the wait for the word whether the worker has ended, by a run that
	// was alone. The measuring budget lets a poll pass every tenth of a second or so.
	endedTimeout = 100 * time.Millisecond
	// lookInterval is the time between two looks, askAgainPause the pause where the budget
	// lets nobody ask.
	lookInterval  = time.Millisecond
	askAgainPause = 5 * time.Millisecond
)

// broke takes a run that broke at the own worker and tells whether the worker seems to have
// ended. It implements server.ExecutorConfig.Broke.
func (n *Node) broke(r quarantine.Run) (ended bool) {
	if n.core.Owner.Draining() {
		return false
	}
	now := time.Now()
	if n.core.Quarantine.RunFailed(now, r) {
		return true
	}
	n.start(func() { n.watch.askWhetherGone(now) })
	return n.seemsEnded(now)
}

// seemsEnded tells whether the worker seems to have ended at the break of a run: its port is
// closed, or another run broke at the same moment. While others go on it has not. The evidence
// does not rest on this guess, which comes in time for the next attempt of the request.
func (n *Node) seemsEnded(since time.Time) bool {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		if ended, known := n.watch.lastWord(since); known {
			return ended
		}
		if n.core.Quarantine.FailedTogether(since) {
			return true
		}
		age := time.Since(since)
		if age > endedTimeout || age > othersTimeout && n.core.Owner.Running() > 0 {
			return false
		}
		select {
		case <-ticker.C:
		case <-n.ctx.Done():
			return false
		}
	}
}

// workerRefused takes that a connection for an attempt found no listener at the worker's
// port. It implements server.ExecutorConfig.PortClosed.
func (n *Node) workerRefused() {
	now := time.Now()
	n.watch.noteRefused(syscall.ECONNREFUSED)
	n.portClosed(now)
}

// ask polls the worker once and takes what came of it.
func (w *workerWatch) ask(path string) {
	began := time.Now()
	p := w.poll(path)
	if p.Answered {
		w.mu.Lock()
		w.answeredSince = began
		w.mu.Unlock()
	}
	w.polled(p)
	if p.Refused {
		w.node.portClosed(began)
	}
}

// portClosed takes that a poll that began then found no listener at the worker's port.
func (n *Node) portClosed(began time.Time) {
	ended, known := n.watch.lastWord(began)
	if known && ended && !n.core.Owner.Draining() {
		n.core.Quarantine.WorkerCrashed(time.Now())
	}
}

// noteRefused notes that nobody listens on the worker's port, if err says so.
func (w *workerWatch) noteRefused(err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusedAt = time.Now()
}

// askWhetherGone polls, within the measuring budget, until the worker's port is found closed
// or the worker has answered since a moment, for endedTimeout at most. A worker that is back
// by then is told by its next life.
func (w *workerWatch) askWhetherGone(since time.Time) {
	for time.Since(since) < endedTimeout {
		if _, known := w.lastWord(since); known {
			return
		}
		select {
		case <-w.refreshing():
		case <-w.node.ctx.Done():
			return
		}
		pause.For(w.node.ctx, askAgainPause)
	}
}

// lastWord tells whether the worker's port was found closed after since, or has answered
// since then.
func (w *workerWatch) lastWord(since time.Time) (ended, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.refusedAt.Before(since) {
		return true, true
	}
	return false, w.answeredSince.After(since)
}
