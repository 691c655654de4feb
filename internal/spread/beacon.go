package spread

import (
	"time"

	"gypsumstand/internal/suppress"
	"gypsumstand/internal/wire"
)

// Thresholds above which a beacon is sent.
const (
	// attemptStep is how much newer an attempt must be than the one that the peer knows.
	// Several nodes may read at nearly the same time; one flood covers all of them.
	attemptStep = 400 * time.Millisecond
	// readingStep is the same for successes and readings, which usually travel with the
	// next attempt.
	readingStep = 3 * time.Second
	// beaconInterval is the minimum time between two beacons on one link.
	beaconInterval = 200 * time.Millisecond
	// responseWait is how long the beacon of an own attempt waits for the response, so
	// that one flood reports both. An attempt without a known success makes every timer
	// assume that reads fail.
	responseWait = 300 * time.Millisecond
)

// beaconTimes holds the contents of a beacon as times of this node's clock; zero for
// never.
type beaconTimes struct {
	attempt time.Time
	success time.Time
	read    time.Time
}

// sufficientlyNewerThan reports whether t is so much newer than the times that a peer knows
// that a beacon should be sent to it.
func (t beaconTimes) sufficientlyNewerThan(known beaconTimes) bool {
	return newerBy(t.attempt, known.attempt, attemptStep) ||
		newerBy(t.success, known.success, readingStep) ||
		newerBy(t.read, known.read, readingStep)
}

func newerBy(a, b time.Time, by time.Duration) bool {
	return !a.IsZero() && (b.IsZero() || a.Sub(b) >= by)
}

// merge keeps the newer of each time.
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

// receiveBeacon handles a peer's ages. After a pause, beacons that may have waited
// through it are dropped.
func (c *Controller) receiveBeacon(l *link, m wire.BundleBeacon) {
	if !l.fresh {
		return
	}
	attempt, success := ageOfMs(m.AttemptAgeMs), ageOfMs(m.SuccessAgeMs)
	read := ageOfMs(m.ReadAgeMs)
	c.timer.ObservePeer(c.now, attempt, success)
	l.knownTimes.merge(beaconTimes{attempt: c.timeOf(attempt), success: c.timeOf(success), read: c.timeOf(read)})
	if read != suppress.Never {
		c.confirmation.addReading(reading{at: c.timeOf(read), digest: m.ReadDigest})
	}
}

// sendBeacons sends a beacon to each peer that does not know the newest times.
func (c *Controller) sendBeacons() {
	if c.configReads.responseExpectedSoon(c.now) {
		return
	}
	attempt, success := c.timer.Ages(c.now)
	known := beaconTimes{attempt: c.timeOf(attempt), success: c.timeOf(success), read: c.confirmation.newest.at}
	var m wire.BundleBeacon
	made := false
	for _, l := range c.links.list {
		if c.now.Sub(l.beaconAt) < beaconInterval || !known.sufficientlyNewerThan(l.knownTimes) {
			continue
		}
		if !made {
			m = c.makeBeacon(attempt, success)
			made = true
		}
		l.knownTimes.merge(known)
		l.beaconAt = c.now
		c.emit(send(l.id, m))
	}
}

func (c *Controller) makeBeacon(attempt, success time.Duration) wire.BundleBeacon {
	m := wire.BundleBeacon{
		AttemptAgeMs: msOfAge(attempt),
		SuccessAgeMs: msOfAge(success),
		ReadAgeMs:    wire.BundleAgeNever,
	}
	if r := c.confirmation.newest; !r.at.IsZero() {
		m.ReadAgeMs = msOfAge(c.now.Sub(r.at))
		m.ReadDigest = r.digest
	}
	return m
}

// timeOf returns the time that lies age before now; zero for suppress.Never.
func (c *Controller) timeOf(age time.Duration) time.Time {
	if age == suppress.Never {
		return time.Time{}
	}
	return c.now.Add(-age)
}

// msOfAge converts an age to milliseconds, rounding up so that an age never shrinks in
// transit.
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
