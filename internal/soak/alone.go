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

// Ways in which all other machines become of no use to one.
const (
	aloneStopped = iota
	aloneKilled
	aloneSilenced
	aloneStalling
	aloneWays
)

const (
	// silentWorkers is how many workers are listed whose nodes never answer.
	silentWorkers = 40
	// stallEach and stallGap are the standstills of a series and the time between.
	stallEach, stallGap = 300 * time.Millisecond, 200 * time.Millisecond
	// changeGap is the mean time between the changes of a series.
	changeGap = 700 * time.Millisecond
)

// leaveAlone makes all machines but one of no use to it, while the store serves it and
// takes changes.
func (f *fleet) leaveAlone(ctx context.Context, t trouble) {
	way := int(t.lasts.Milliseconds()) % aloneWays
	for _, m := range f.machines {
		if m.index == t.machine {
			continue
		}
		defer f.ledger.begin(m.index, false)()
		defer m.rejoin(way)
		m.leave(ctx, way, t.lasts)
	}
	f.changeAgainAndAgain(ctx, t)
}

func (m *machine) leave(ctx context.Context, way int, lasts time.Duration) {
	switch way {
	case aloneStopped:
		m.signal(syscall.SIGSTOP, false)
	case aloneKilled:
		m.signal(syscall.SIGKILL, true)
	case aloneSilenced:
		m.peerWire.set(wire{cutTo: true, cutFrom: true})
	case aloneStalling:
		go m.stall(ctx, lasts)
	}
}

func (m *machine) rejoin(way int) {
	switch way {
	case aloneStopped:
		m.signal(syscall.SIGCONT, false)
	case aloneKilled:
		m.startAgain()
	case aloneSilenced:
		m.peerWire.set(wire{})
	}
}

// stall stops the node again and again.
func (m *machine) stall(ctx context.Context, lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end) && ctx.Err() == nil; {
		m.signal(syscall.SIGSTOP, false)
		sleep(ctx, stallEach)
		m.signal(syscall.SIGCONT, false)
		sleep(ctx, stallGap)
	}
}

// changeAgainAndAgain writes configurations in series.
func (f *fleet) changeAgainAndAgain(ctx context.Context, t trouble) {
	for i, end := 1, time.Now().Add(t.lasts); time.Now().Before(end) && ctx.Err() == nil; i++ {
		f.configure(ctx)
		// No two gaps of one series are alike, and a seed repeats them.
		part := time.Duration(int(t.lasts)*i%7+1) * changeGap / 4
		sleep(ctx, min(part, time.Until(end)))
	}
}

// listSilent lists workers of the archive whose nodes take connections and never answer.
func (f *fleet) listSilent(ctx context.Context, t trouble) error {
	if err := f.openSilent(); err != nil {
		return err
	}
	for i := range f.silent {
		f.store.PutWorker(standin.WorkerEntry{
			ID: silentID(i), Service: serviceArchive, Zone: fmt.Sprintf("dc-%d", i%3),
			Address: net.JoinHostPort(ip(networkSilent, i), "80"), State: names.StateReady, Slots: workerSlots,
		})
	}
	sleep(ctx, t.lasts)
	for i := range f.silent {
		f.store.Remove(names.WorkerKeyPrefix + silentID(i))
	}
	return nil
}

func silentID(i int) string { return fmt.Sprintf("s%d-0", i) }

// openSilent opens the ports of the silent nodes.
func (f *fleet) openSilent() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := len(f.silent); i < silentWorkers; i++ {
		l, err := net.Listen("tcp", net.JoinHostPort(ip(networkSilent, i), f.peerPort))
		if err != nil {
			return err
		}
		f.silent = append(f.silent, l)
	}
	return nil
}
