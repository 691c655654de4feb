package local

import (
	"errors"
	"fmt"
)

// Stop performs a planned stop: the node drains, then its worker stops. The error is
// node.ErrCutOff when a request was cut off.
func (f *Fleet) Stop(m *Member) error {
	m.stop()
	err := <-m.exited
	f.markStopped(m)
	return err
}

// Kill stops a member's node and worker immediately, without draining.
func (f *Fleet) Kill(m *Member) {
	m.Node.Kill()
	f.markStopped(m)
	m.stop()
	<-m.exited
}

// KillWorker stops a member's worker immediately and closes its connections; its node
// keeps running.
func (f *Fleet) KillWorker(m *Member) error {
	if err := m.workerHTTP.Close(); err != nil {
		return fmt.Errorf("%s: stop worker: %w", m.ID, err)
	}
	return nil
}

// markStopped marks the member as stopped and closes its worker.
func (f *Fleet) markStopped(m *Member) {
	m.stopped.Store(true)
	m.workerHTTP.Close()
}

// Close kills all members and stops the platform's stand-in. The error is that of closing
// the stand-in; errors of nodes are dropped.
func (f *Fleet) Close() error {
	var errs []error
	for _, m := range f.Members() {
		if !m.stopped.Load() {
			f.Kill(m)
		}
	}
	if f.platformHTTP != nil {
		errs = append(errs, f.platformHTTP.Close())
	}
	return errors.Join(errs...)
}
