package soak

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is one process of a node.
type process struct {
	cmd *exec.Cmd
	// exitExpected is set once the process was asked to exit.
	exitExpected bool
	exited       chan struct{}
}

// startNode starts the node's process.
func (m *machine) startNode() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	logFile, err := os.OpenFile(filepath.Join(m.fleet.dir, fmt.Sprintf("node-%d.log", m.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(m.fleet.program, "-settings", m.settings)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	err = cmd.Start()
	logFile.Close()
	if err != nil {
		return err
	}
	p := &process{cmd: cmd, exited: make(chan struct{})}
	m.process = p
	m.fleet.ledger.recordNodeStart(m.index)
	go m.awaitExit(p)
	return nil
}

// awaitExit waits for a process to exit and records it; an unexpected exit is a
// violation.
func (m *machine) awaitExit(p *process) {
	err := p.cmd.Wait()
	m.mu.Lock()
	if !p.exitExpected {
		m.fleet.ledger.recordViolation("process", "node %d exited unexpectedly: %v", m.index, err)
	}
	if m.process == p {
		m.process = nil
		m.fleet.ledger.recordNodeExit(m.index)
	}
	m.mu.Unlock()
	close(p.exited)
}

// signalNode sends a signal to the node if it runs, and returns its process; expectExit
// marks the exit as requested.
func (m *machine) signalNode(s syscall.Signal, expectExit bool) *process {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.process
	if p == nil {
		return nil
	}
	p.exitExpected = p.exitExpected || expectExit
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		m.fleet.ledger.recordViolation("soak", "signal %v to node %d: %v", s, m.index, err)
	}
	return p
}

// startNodeIfDown starts the node unless it runs.
func (m *machine) startNodeIfDown() {
	m.mu.Lock()
	down := m.process == nil
	m.mu.Unlock()
	if !down {
		return
	}
	if err := m.startNode(); err != nil {
		m.fleet.ledger.recordViolation("soak", "start node %d: %v", m.index, err)
	}
}

// killTimeout is the time after SIGTERM at which a node is killed.
const killTimeout = stopTimeout + 2*time.Second

// stopNode stops the node with SIGTERM and waits for its exit.
func (m *machine) stopNode() {
	p := m.signalNode(syscall.SIGTERM, true)
	if p == nil {
		return
	}
	timer := time.NewTimer(killTimeout)
	defer timer.Stop()
	select {
	case <-p.exited:
	case <-timer.C:
		m.fleet.ledger.recordViolation("stop", "node %d did not stop within %s of SIGTERM", m.index, killTimeout)
		m.signalNode(syscall.SIGKILL, true)
		<-p.exited
	}
}
