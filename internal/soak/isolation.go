package soak

import (
	"context"
	"fmt"
	"net"
	"syscall"
	"time"

	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// Ways to make the other machines unusable for one machine.
const (
	isolateByStop = iota
	isolateByKill
	isolateByPartition
	isolateByStalls
	isolationModes
)

const (
	// unresponsiveWorkers is the number of listed workers whose nodes accept connections
	// and never respond.
	unresponsiveWorkers = 40
	// stallLength is the length of each stall of a series, stallGap the time between two
	// stalls.
	stallLength, stallGap = 300 * time.Millisecond, 200 * time.Millisecond
	// meanConfigGap is the mean time between the configuration changes of a series.
	meanConfigGap = 700 * time.Millisecond
)

// isolate makes all machines but one unusable for that one, while the store serves it and
// configurations change.
func (f *fleet) isolate(ctx context.Context, flt fault) {
	mode := int(flt.duration.Milliseconds()) % isolationModes
	for _, m := range f.machines {
		if m.index == flt.machine {
			continue
		}
		defer f.ledger.beginFault(m.index, false)()
		defer m.makeReachable(mode)
		m.makeUnreachable(ctx, mode, flt.duration)
	}
	f.configureRepeatedly(ctx, flt)
}

func (m *machine) makeUnreachable(ctx context.Context, mode int, duration time.Duration) {
	switch mode {
	case isolateByStop:
		m.signalNode(syscall.SIGSTOP, false)
	case isolateByKill:
		m.signalNode(syscall.SIGKILL, true)
	case isolateByPartition:
		m.peerProxy.setFaults(linkFaults{blockToFar: true, blockFromFar: true})
	case isolateByStalls:
		go m.stallRepeatedly(ctx, duration)
	}
}

func (m *machine) makeReachable(mode int) {
	switch mode {
	case isolateByStop:
		m.signalNode(syscall.SIGCONT, false)
	case isolateByKill:
		m.startNodeIfDown()
	case isolateByPartition:
		m.peerProxy.setFaults(linkFaults{})
	}
}

// stallRepeatedly stops and continues the node repeatedly for a duration.
func (m *machine) stallRepeatedly(ctx context.Context, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		m.signalNode(syscall.SIGSTOP, false)
		sleep(ctx, stallLength)
		m.signalNode(syscall.SIGCONT, false)
		sleep(ctx, stallGap)
	}
}

// configureRepeatedly writes a series of configurations.
func (f *fleet) configureRepeatedly(ctx context.Context, flt fault) {
	for i, end := 1, time.Now().Add(flt.duration); time.Now().Before(end) && ctx.Err() == nil; i++ {
		f.configure(ctx)
		// The gaps of a series differ, and a seed reproduces them.
		gap := time.Duration(int(flt.duration)*i%7+1) * meanConfigGap / 4
		sleep(ctx, min(gap, time.Until(end)))
	}
}

// listUnresponsive lists workers of the archive whose nodes accept connections and never
// respond.
func (f *fleet) listUnresponsive(ctx context.Context, flt fault) error {
	if err := f.openUnresponsive(); err != nil {
		return err
	}
	for i := range f.unresponsive {
		f.store.PutWorker(standin.WorkerEntry{
			ID: unresponsiveID(i), Service: serviceArchive, Zone: fmt.Sprintf("dc-%d", i%3),
			Address: net.JoinHostPort(f.ip(networkUnresponsive, i), "80"), State: names.StateReady, Slots: workerSlots,
		})
	}
	sleep(ctx, flt.duration)
	for i := range f.unresponsive {
		f.store.Remove(names.WorkerKeyPrefix + unresponsiveID(i))
	}
	return nil
}

func unresponsiveID(i int) string { return fmt.Sprintf("s%d-0", i) }

// openUnresponsive opens the ports of the unresponsive nodes.
func (f *fleet) openUnresponsive() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.unresponsive); i < unresponsiveWorkers; i++ {
		l, err := net.Listen("tcp", net.JoinHostPort(f.ip(networkUnresponsive, i), f.peerPort))
		if err != nil {
			return err
		}
		f.unresponsive = append(f.unresponsive, l)
	}
	return nil
}
