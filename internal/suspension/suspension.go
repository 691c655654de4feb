// Package suspension measures how long the machine has been suspended. The monotonic clock,
// which ages and timeouts use, stops during a suspension.
package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total is the time that the machine has been suspended since boot. It lies between Min and
// Max, which differ by the time that passes between the clock readings.
type Total struct{ Min, Max time.Duration }

// Now returns the total up to now. It returns an error if the system does not have one of
// the clocks.
func Now() (Total, error) {
	before, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Total{}, err
	}
	boot, err := readClock(unix.CLOCK_BOOTTIME)
	if err != nil {
		return Total{}, err
	}
	after, err := readClock(unix.CLOCK_MONOTONIC)
	if err != nil {
		return Total{}, err
	}
	return Total{Min: boot - after, Max: boot - before}, nil
}

// readClock returns the time of a system clock.
func readClock(clock int32) (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		return 0, err
	}
	return time.Duration(ts.Nano()), nil
}

// minSuspension is the shortest suspension that Since distinguishes from inaccurate clock
// readings.
const minSuspension = 20 * time.Millisecond

// Since returns the upper bound of the time suspended since an earlier total, or zero if
// that time is too short to distinguish from no suspension.
func (t Total) Since(earlier Total) time.Duration {
	if d := t.Min - earlier.Max; d >= minSuspension {
		return t.Max - earlier.Min
	}
	return 0
}
