// Package window counts events within a sliding window of time, for checks of rates. It
// reads no clock.
package window

import "time"

// Counter counts the events of the last moments; NewCounter returns one.
type Counter struct {
	length time.Duration
	// times are the counted events, the oldest first.
	times []time.Time
}

// NewCounter returns a counter whose window has a length above zero.
func NewCounter(length time.Duration) Counter { return Counter{length: length} }

// Add adds an event, which is not before the one that was added last, and returns the
// number of events, with this one, that are less than the window's length before it.
func (c *Counter) Add(at time.Time) int {
	c.times = append(c.times, at)
	for at.Sub(c.times[0]) >= c.length {
		c.times = c.times[1:]
	}
	return len(c.times)
}

// Oldest returns the oldest event that the last Add counted.
func (c *Counter) Oldest() time.Time { return c.times[0] }
