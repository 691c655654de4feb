package entry

import (
	"time"

	"gypsumstand/internal/bundle"
)

// Parent is the running request for which a worker makes a call.
type Parent struct {
	// Priority is the parent's priority, from 0; a smaller number is more urgent.
	Priority int
	// HasPriority is false if the parent's priority is not known; the call then keeps that
	// of its own class.
	HasPriority bool
	// Deadline is the parent's.
	Deadline time.Time
}

// Inherit marks the request, which arrived at time now, as a call for the given parent. It
// gives the request the parent's priority, and bounds its deadline by the parent's: a
// response that comes later has no use.
func (r *Request) Inherit(now time.Time, p Parent) {
	r.WorkerCall = true
	if p.HasPriority {
		r.InheritedPriority = uint16(min(max(p.Priority, 0), bundle.MaxPriority)) + 1
	}
	r.Timeout = min(r.Timeout, p.Deadline.Sub(now))
}
