package soak

import "time"

// span is a period of time; its end is zero while it lasts.
type span struct{ from, to time.Time }

// storeFaults takes the place of a machine among the faults.
const storeFaults = -1

// beginSpan opens a span of a machine and returns the function that closes it.
func (l *ledger) beginSpan(spans map[int][]span, machine int) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	index := len(spans[machine])
	spans[machine] = append(spans[machine], span{from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		spans[machine][index].to = time.Now()
	}
}

// beginFault opens a span of faults, or of planned operations, of a machine or of
// storeFaults, and returns the function that closes it.
func (l *ledger) beginFault(machine int, planned bool) (end func()) {
	if planned {
		return l.beginSpan(l.plannedFaults, machine)
	}
	return l.beginSpan(l.machineFaults, machine)
}

// beginBursts opens a span in which a machine's worker may receive bursts, and returns
// the function that closes it.
func (l *ledger) beginBursts(machine int) (end func()) {
	return l.beginSpan(l.burstSpans, machine)
}

// faultFree reports whether no span of list overlaps the time between from and to.
func faultFree(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// machineFaultFree reports whether a machine was free of faults and planned operations
// between from and to.
func (l *ledger) machineFaultFree(machine int, from, to time.Time) bool {
	return faultFree(l.machineFaults[machine], from, to) && faultFree(l.plannedFaults[machine], from, to)
}

// undisturbed reports whether a machine and the store were free of faults and planned
// operations from undisturbedTime before from until to.
func (l *ledger) undisturbed(machine int, from, to time.Time) bool {
	from = from.Add(-undisturbedTime)
	return l.machineFaultFree(machine, from, to) && faultFree(l.machineFaults[storeFaults], from, to)
}
