package proof

import "time"

// clock is a machine's clock, which all its processes read. Its origin and its rate differ from
// those of other machines.
type clock struct {
	origin time.Duration
	// rate is the clock's speed relative to the world's, as the difference from 1.
	rate float64
}

// Bounds of the clocks of separate machines.
const (
	// maxClockRate makes the greatest drift between two clocks 200 parts in a million, to which
	// the guarantees are limited (docs/PROMISES.md).
	maxClockRate   = 100e-6
	maxClockOrigin = 1000 * time.Hour
)

// newClock returns the clock of one machine: the world's own, unless machines have separate
// clocks.
func (w *world) newClock() clock {
	if !w.options.clocks {
		return clock{}
	}
	return clock{
		origin: w.between(0, maxClockOrigin),
		rate:   maxClockRate * (2*w.rng.Float64() - 1),
	}
}

// read returns what the clock shows at a time of the world.
func (c clock) read(at time.Time) time.Time {
	elapsed := at.Sub(epoch)
	return at.Add(c.origin + time.Duration(c.rate*float64(elapsed)))
}

// worldTime returns how long the world takes until d has passed on the clock.
func (c clock) worldTime(d time.Duration) time.Duration {
	return d - time.Duration(c.rate*float64(d))
}

// now returns what the process's clock shows.
func (p *process) now() time.Time { return p.node.clock.read(p.w.now) }
