package directory

import "time"

// suspensionGrace is how long after a suspension messages may arrive that were delayed by
// it.
const suspensionGrace = time.Second

// handleSuspension ages the view by d, the length of a suspension of the machine, which the
// clock does not count.
func (c *Controller) handleSuspension(now time.Time, d time.Duration) {
	c.suspendedFor, c.suspensionGraceUntil = d, now.Add(suspensionGrace)
	c.timer.HostSuspended(d)
	c.peers.shift(d)
	if c.confirmed.IsZero() {
		return
	}
	c.confirmed = c.confirmed.Add(-d)
	c.publishConfirmed()
}

// suspensionAllowance returns by how much an age received now may be too small.
func (c *Controller) suspensionAllowance(now time.Time) time.Duration {
	if now.Before(c.suspensionGraceUntil) {
		return c.suspendedFor
	}
	return 0
}

// shift moves the times of requests and messages back by d, the length of a suspension.
func (s *peerSync) shift(d time.Duration) {
	s.requestedAt = s.requestedAt.Add(-d)
	s.lastReceived = s.lastReceived.Add(-d)
	for i := range s.requests.list {
		r := &s.requests.list[i]
		r.sentAt = r.sentAt.Add(-d)
	}
}
