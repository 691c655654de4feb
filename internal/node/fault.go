package node

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/pause"
	"gypsumstand/internal/task"
)

// PortError says that a port no longer takes connections.
type PortError struct {
	// Port is "caller", "peer" or "operator".
	Port string
	Err  error
}

// Error implements error.
func (e *PortError) Error() string { return e.Port + " port: " + e.Err.Error() }

// Unwrap returns the listener's error.
func (e *PortError) Unwrap() error { return e.Err }

// errStuck says that a stop did not end at its bound.
var errStuck = fmt.Errorf("%w: the stop itself is stuck", ErrCutOff)

// errLeftOver says that a part waits for something that never comes, as for a lock that
// another one left when it panicked.
var errLeftOver = errors.New("a part of the node did not end with it")

// maxFaultLines bounds the log lines about faults: what panics once may panic at each tick
// until the stop has ended.
const maxFaultLines = 8

// fail takes that a part of the node has failed. It is logged at once, and Run stops the
// node as planned: what the other parts have in hand is finished.
func (n *Node) fail(err error) {
	if n.faults.Add(1) <= maxFaultLines {
		event.Log(&n.log, event.Fatal).Err(err).Send()
	}
	select {
	case n.failed <- err:
	default:
		// The first fault is the one that Run returns.
	}
}

// firstFault returns the first fault that Run has not taken, nil when there is none.
func (n *Node) firstFault() error {
	select {
	case err := <-n.failed:
		return err
	default:
		return nil
	}
}

// partFailed logs a fault that the node goes on with.
func (n *Node) partFailed(err error) { event.Log(&n.log, event.ComponentFailed).Err(err).Send() }

// start runs f in a goroutine of the node, unless the node is being cleaned up.
func (n *Node) start(f func()) {
	n.startMu.Lock()
	defer n.startMu.Unlock()
	if n.ctx.Err() != nil {
		return
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		if err := task.Do(f); err != nil {
			n.fail(err)
		}
	}()
}

// againPause is how long a loop that panicked waits before it goes on.
const againPause = 10 * time.Millisecond

// startLoop runs f, which ends with the node. After a panic it is run again: the node
// stops then, and without its loops peers would not be told, and nothing that waits at the
// owner would begin.
func (n *Node) startLoop(f func()) {
	n.start(func() {
		for n.ctx.Err() == nil {
			if err := task.Do(f); err != nil {
				n.fail(err)
				pause.For(n.ctx, againPause)
			}
		}
	})
}

// serve serves a port; it fails when its listener does.
func (n *Node) serve(port string, s *http.Server, l net.Listener) {
	n.start(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.fail(&PortError{Port: port, Err: err})
		}
	})
}

// Times that a stop gets beyond its bound. A part that holds a lock for good must not keep
// the process from ending.
const (
	// stopSlack is what a stop needs to notice that its bound has ended.
	stopSlack   = 500 * time.Millisecond
	cleanUpTime = time.Second
)

// stopInTime is stop, which it leaves behind when it is stuck.
func (n *Node) stopInTime() error {
	result := make(chan error, 1)
	if !n.within(n.cfg.StopTimeout+stopSlack, func() { result <- n.stop() }) {
		event.Log(&n.log, event.DrainTimeout).Err(errStuck).Send()
		return errStuck
	}
	select {
	case err := <-result:
		return err
	default:
		// It panicked, and that has been logged.
		return ErrCutOff
	}
}

// cleanUpInTime is cleanUp, which it leaves behind when a part is stuck: nothing is in hand
// any more, and the process ends with it.
func (n *Node) cleanUpInTime() {
	if !n.within(cleanUpTime, n.cleanUp) {
		n.partFailed(errLeftOver)
	}
}

// withinSteps is the number of steps in which within waits: a process that is stopped
// meanwhile loses one of them.
const withinSteps = 20

// within runs f and waits for its end, for d at most; false when it has not ended.
func (n *Node) within(d time.Duration, f func()) (ended bool) {
	done := make(chan struct{})
	task.Go(func() {
		defer close(done)
		f()
	}, n.fail)
	ticker := time.NewTicker(max(d/withinSteps, 1))
	defer ticker.Stop()
	for range withinSteps {
		select {
		case <-done:
			return true
		case <-ticker.C:
		}
	}
	return false
}
