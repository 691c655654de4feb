package node

import (
	"errors"
	"syscall"
	"time"

	"gypsumstand/internal/quarantine"
)

const (
	// endedTimeout bounds the wait for the word whether the worker has ended, for which
	// the caller of a broken attempt waits too. The worker is on this machine and answers
	// in 1 ms; a node that is starved takes longer to ask.
	endedTimeout = 100 * time.Millisecond
	// askAgainPause is the pause where the measuring budget lets nobody ask.
	askAgainPause = 5 * time.Millisecond
)

// broke takes a run that broke at the own worker and tells whether the worker has ended.
// It implements server.ExecutorConfig.Broke.
func (n *Node) broke(r quarantine.Run) (ended bool) {
	if n.core.Owner.Departing() {
		return false
	}
	now := time.Now()
	if n.core.Quarantine.Broke(now, r) {
		return true
	}
	if !n.watch.gone(now) {
		return false
	}
	return true
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
	if known && ended && !n.core.Owner.Departing() {
		n.core.Quarantine.Ended(time.Now())
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

// gone tells whether the worker's port is found closed after since. It asks within the
// measuring budget and blocks for endedTimeout at most; a worker that is back by then is
// told by its next life.
func (w *workerWatch) gone(since time.Time) bool {
	timer := time.NewTimer(endedTimeout)
	defer timer.Stop()
	for {
		ended, known := w.lastWord(since)
		if known {
			return ended
		}
		select {
		case <-w.refreshing():
			if ended, known = w.lastWord(since); known {
				return ended
			}
		case <-timer.C:
			return false
		}
		select {
		case <-time.After(askAgainPause):
		case <-timer.C:
			return false
		}
	}
}

// lastWord tells whether the worker's port was found closed after since, or has answered
// since then.
func (w *workerWatch) lastWord(since time.Time) (ended, known bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.refusedAt.After(since) {
		return true, true
	}
	return false, w.answeredSince.After(since)
}
