// Package suspension tells how long the machine has been suspended. The steady clock, on
// which ages and time-outs rest, stands still meanwhile.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total is for how long the machine has been suspended since its start: between Least and
// Most, which lie apart by what passes between two readings of the clocks.
type Total struct{ Min, Max time.Duration }

// Now returns the total until now. The error is the system's, where it has no such clock.
func Now() (Total, error) {
	before, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Total{}, err
	}
	all, err := read(unix.CLOCK_BOOTTIME)
	if err != nil {
		return Total{}, err
	}
	after, err := read(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Total{}, err
	}
	return Total{Min: all - after, Max: all - before}, nil
}

func read(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// least is the shortest suspension that is told from an inexact reading.
const least = 20 * time.Millisecond

// Since returns for how long the machine was suspended since an earlier total, zero where
// that cannot be told from none.
func (t Total) Since(earlier Total) time.Duration {
	if d := t.Min - earlier.Max; d >= least {
		return t.Max - earlier.Min
	}
	return 0
}
