package spread

import (
	"time"

	"gypsumstand/internal/suppress"
	"gypsumstand/internal/wire"
)

// When a beacon is worth its bytes.
const (
	// attemptNews is how much newer an attempt must be than the one that the
	// peer knows. Several nodes may read at nearly the same time; one flood tells
	// of all of them.
	attemptNews = 400 * time.Millisecond
	// readingNews is the same for successes and readings. They usually ride with
	// the next attempt.
	readingNews = 3 * time.Second
	// beaconGap is the least time between two beacons on one link.
	beaconGap = 200 * time.Millisecond
	// answerWait is how long the beacon of an own attempt waits for its answer, so
	// that one flood tells of both. An attempt whose success is not known makes
	// every timer believe that reads fail.
	answerWait = 300 * time.Millisecond
)

// beaconTimes are the contents of a beacon as times of this node's clock, zero
// for never.
type beaconTimes struct {
	attempt time.Time
	success time.Time
	read    time.Time
}

// newsFor reports whether t tells a peer that knows other enough.
func (t beaconTimes) newsFor(other beaconTimes) bool {
	return newer(t.attempt, other.attempt, attemptNews) ||
		newer(t.success, other.success, readingNews) ||
		newer(t.read, other.read, readingNews)
}

func newer(a, b time.Time, by time.Duration) bool {
	return !a.IsZero() && (b.IsZero() || a.Sub(b) >= by)
}

// merge takes the newer of each.
func (t *beaconTimes) merge(o beaconTimes) {
	t.attempt = latest(t.attempt, o.attempt)
	t.success = latest(t.success, o.success)
	t.read = latest(t.read, o.read)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// beacon takes a peer's ages. After a pause, beacons that may have waited
// through it are dropped.
func (c *Controller) beacon(l *link, m wire.BundleBeacon) {
	if !l.fresh {
		return
	}
	attempt, success := ageOfMs(m.AttemptAgeMs), ageOfMs(m.SuccessAgeMs)
	read := ageOfMs(m.ReadAgeMs)
	c.timer.ObservePeer(c.now, attempt, success)
	l.told.merge(beaconTimes{attempt: c.timeOf(attempt), success: c.timeOf(success), read: c.timeOf(read)})
	if read != suppress.Never {
		c.confirm.heard(reading{at: c.timeOf(read), digest: m.ReadDigest})
	}
}

// sendBeacons tells each peer what it does not know yet.
func (c *Controller) sendBeacons() {
	if c.platform.awaits(c.now) {
		return
	}
	attempt, success := c.timer.Ages(c.now)
	known := beaconTimes{attempt: c.timeOf(attempt), success: c.timeOf(success), read: c.confirm.newest.at}
	var m wire.BundleBeacon
	made := false
	for _, l := range c.links.list {
		if c.now.Sub(l.beaconAt) < beaconGap || !known.newsFor(l.told) {
			continue
		}
		if !made {
			m = c.makeBeacon(attempt, success)
			made = true
		}
		l.told.merge(known)
		l.beaconAt = c.now
		c.do(send(l.id, m))
	}
}

func (c *Controller) makeBeacon(attempt, success time.Duration) wire.BundleBeacon {
	m := wire.BundleBeacon{
		AttemptAgeMs: msOfAge(attempt),
		SuccessAgeMs: msOfAge(success),
		ReadAgeMs:    wire.BundleAgeNever,
	}
	if r := c.confirm.newest; !r.at.IsZero() {
		m.ReadAgeMs = msOfAge(c.now.Sub(r.at))
		m.ReadDigest = r.digest
	}
	return m
}

// timeOf returns the time that lies age before now; zero for Never.
func (c *Controller) timeOf(age time.Duration) time.Time {
	if age == suppress.Never {
		return time.Time{}
	}
	return c.now.Add(-age)
}

// msOfAge rounds up, so that no age shrinks on its way.
func msOfAge(age time.Duration) uint32 {
	if age >= wire.BundleAgeNever*time.Millisecond {
		return wire.BundleAgeNever
	}
	return uint32((max(age, 0) + time.Millisecond - 1) / time.Millisecond)
}

func ageOfMs(ms uint32) time.Duration {
	if ms == wire.BundleAgeNever {
		return suppress.Never
	}
	return time.Duration(ms) * time.Millisecond
}
