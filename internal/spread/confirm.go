package spread

import (
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

const (
	// maxReadings bounds the readings that this node has yet to catch up with.
	maxReadings = 4
	// maxDigests bounds the digests that this node remembers to have had.
	maxDigests = 32
	// unconfirmedAlarm is the age of the last confirmation that raises an alarm.
	unconfirmedAlarm = time.Minute
)

// reading is a reading of the index whose versions were all in force at its
// reader, with the digest of what the reader then held.
type reading struct {
	at     time.Time
	digest uint64
}

// confirmation tells as of when this node is known to hold what the platform
// does. Versions never decrease, so a node that has had a reader's digest at any
// time holds everything that the reader had found.
type confirmation struct {
	// newest is the newest reading known; beacons pass it on.
	newest reading
	// waiting are readings of digests that this node has not had, oldest first.
	waiting []reading
	// past is a ring of the digests that this node has had.
	past [maxDigests]uint64
	next int
	size int
	at   time.Time
	// doubted is when everything was last forgotten.
	doubted time.Time
}

// heard takes a reading.
func (f *confirmation) heard(r reading) {
	if r.at.After(f.newest.at) {
		f.newest = r
	}
	if !r.at.After(f.at) {
		return
	}
	if f.had(r.digest) {
		f.at = r.at
		return
	}
	for i := range f.waiting {
		if f.waiting[i].digest == r.digest {
			f.waiting[i].at = latest(f.waiting[i].at, r.at)
			return
		}
	}
	if len(f.waiting) == maxReadings {
		f.waiting = append(f.waiting[:0], f.waiting[1:]...)
	}
	f.waiting = append(f.waiting, r)
}

// holds notes that this node now has digest.
func (f *confirmation) holds(digest uint64) {
	f.past[f.next] = digest
	f.next = (f.next + 1) % maxDigests
	f.size = min(f.size+1, maxDigests)
	kept := f.waiting[:0]
	for _, r := range f.waiting {
		if r.digest == digest {
			f.at = latest(f.at, r.at)
			continue
		}
		kept = append(kept, r)
	}
	f.waiting = kept
}

func (f *confirmation) had(digest uint64) bool {
	for _, d := range f.past[:f.size] {
		if d == digest {
			return true
		}
	}
	return false
}

// reset forgets every reading, not what this node holds.
func (f *confirmation) reset(now time.Time) {
	f.doubted = now
	f.newest = reading{}
	f.waiting = nil
	f.at = time.Time{}
}

// ownReading is this node's last good reading of the index until all that it
// listed is in force or refused.
type ownReading struct {
	at   time.Time
	open []model.BundleVersion
}

// resolveReading turns the own reading into a confirmation once nothing is open.
func (c *Controller) resolveReading() {
	r := c.platform.reading
	if r == nil {
		return
	}
	kept := r.open[:0]
	for _, v := range r.open {
		if c.held.version(v.Name) < v.Version && !c.refused.holds(c.now, v) {
			kept = append(kept, v)
		}
	}
	r.open = kept
	if len(r.open) > 0 {
		return
	}
	c.platform.reading = nil
	c.confirm.heard(reading{at: r.at, digest: c.held.digest})
}

// alarmWhenUnconfirmed logs that nothing has confirmed this node for long.
func (c *Controller) alarmWhenUnconfirmed() {
	if !c.start.ready {
		return
	}
	since := latest(c.confirm.at, latest(c.start.readyAt, c.confirm.doubted))
	age := c.now.Sub(since)
	if age < unconfirmedAlarm {
		c.log.reset(event.ConfigUnconfirmed, "")
		return
	}
	c.record(event.ConfigUnconfirmed, "", age.Round(time.Second).String(), nil)
}
