package directory

import "time"

// sleepDoubt is how long after a suspension messages may arrive that waited meanwhile.
const sleepDoubt = time.Second

// suspended takes that the machine was suspended for d, which no clock here has counted: all
// that is known is older by that.
func (c *Controller) suspended(now time.Time, d time.Duration) {
	c.sleptFor, c.sleptUntil = d, now.Add(sleepDoubt)
	c.timer.HostSuspended(d)
	c.asks.suspended(d)
	if c.confirmed.IsZero() {
		return
	}
	c.confirmed = c.confirmed.Add(-d)
	c.publishConfirmed()
}

// slept is by how much an age that is heard now may be too small.
func (c *Controller) slept(now time.Time) time.Duration {
	if now.Before(c.sleptUntil) {
		return c.sleptFor
	}
	return 0
}

func (a *asking) suspended(d time.Duration) {
	a.at = a.at.Add(-d)
	a.heard = a.heard.Add(-d)
	for i := range a.questions.list {
		one := &a.questions.list[i]
		one.at = one.at.Add(-d)
	}
}
