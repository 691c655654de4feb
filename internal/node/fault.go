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

// PortError is returned if a port no longer accepts connections.
type PortError struct {
	// Port is "caller", "peer" or "operator".
	Port string
	Err  error
}

// Error implements error.
func (e *PortError) Error() string { return e.Port + " port: " + e.Err.Error() }

// Unwrap returns the listener's error.
func (e *PortError) Unwrap() error { return e.Err }

// errStopStuck is returned if a stop did not return at its time limit.
var errStopStuck = fmt.Errorf("%w: the stop did not return", ErrCutOff)

// errNotStopped reports a component that waits indefinitely, for example for a lock that
// a panicking goroutine holds.
var errNotStopped = errors.New("a component of the node did not stop")

// maxFaultLines bounds the number of log lines about faults: code that panicked once may
// panic at each tick until the stop has completed.
const maxFaultLines = 8

// fail handles the failure of a component. It logs the error at once, and Run then stops
// the node as planned, so that the requests in flight in other components complete.
func (n *Node) fail(err error) {
	if n.faults.Add(1) <= maxFaultLines {
		event.Log(&n.log, event.Fatal).Err(err).Send()
	}
	select {
	case n.failed <- err:
	default:
		// Run returns the first fault.
	}
}

// firstFault returns the first fault that Run has not received, nil if there is none.
func (n *Node) firstFault() error {
	select {
	case err := <-n.failed:
		return err
	default:
		return nil
	}
}

// componentFailed logs a fault after which the node continues.
func (n *Node) componentFailed(err error) { event.Log(&n.log, event.ComponentFailed).Err(err).Send() }

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

// restartPause is how long a loop that panicked waits before it is restarted.
const restartPause = 10 * time.Millisecond

// startLoop runs f, which returns when the node ends. After a panic it is restarted: the
// node then stops, but without its loops peers would not be informed, and nothing that is
// queued at the owner would start.
func (n *Node) startLoop(f func()) {
	n.start(func() {
		for n.ctx.Err() == nil {
			if err := task.Do(f); err != nil {
				n.fail(err)
				pause.For(n.ctx, restartPause)
			}
		}
	})
}

// serve serves a port and fails the node if its listener fails.
func (n *Node) serve(port string, s *http.Server, l net.Listener) {
	n.start(func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			n.fail(&PortError{Port: port, Err: err})
		}
	})
}

// Times that a stop gets beyond its time limit. A component that holds a lock forever
// must not keep the process from ending.
const (
	// stopSlack is the time that a stop needs to notice that its time limit has passed.
	stopSlack      = 500 * time.Millisecond
	cleanUpTimeout = time.Second
)

// stopWithTimeout runs stop and abandons it if it does not return.
func (n *Node) stopWithTimeout() error {
	result := make(chan error, 1)
	if !n.waitFor(n.cfg.StopTimeout+stopSlack, func() { result <- n.stop() }) {
		event.Log(&n.log, event.DrainTimeout).Err(errStopStuck).Send()
		return errStopStuck
	}
	select {
	case err := <-result:
		return err
	default:
		// It panicked; the panic has been logged.
		return ErrCutOff
	}
}

// cleanUpWithTimeout runs cleanUp and abandons it if a component does not end: no request
// is in flight any more, and the process ends with the component.
func (n *Node) cleanUpWithTimeout() {
	if !n.waitFor(cleanUpTimeout, n.cleanUp) {
		n.componentFailed(errNotStopped)
	}
}

// waitSteps is the number of steps in which waitFor waits. A process that is suspended
// meanwhile loses only one of them.
const waitSteps = 20

// waitFor runs f and waits at most d for its end; it returns false if f has not returned.
func (n *Node) waitFor(d time.Duration, f func()) (ended bool) {
	done := make(chan struct{})
	task.Go(func() {
		defer close(done)
		f()
	}, n.fail)
	ticker := time.NewTicker(max(d/waitSteps, 1))
	defer ticker.Stop()
	for range waitSteps {
		select {
		case <-done:
			return true
		case <-ticker.C:
		}
	}
	return false
}
