package spread

import (
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

const (
	// maxReadings bounds the readings that this node has yet to catch up with.
	maxReadings = 4
	// maxDigests bounds the digests of its own past states that this node stores.
	maxDigests = 32
	// unconfirmedAlertAge is the age of the last confirmation above which an alert is
	// raised.
	unconfirmedAlertAge = time.Minute
)

// reading is an index read whose versions were all in force at its reader, with the
// digest of the versions that the reader then held.
type reading struct {
	at     time.Time
	digest uint64
}

// confirmation tracks the time as of which this node is known to hold every version that
// the configuration service served. Versions never decrease, so a node that has had a
// reader's digest at any time holds everything that the reader found.
type confirmation struct {
	// newest is the newest known reading; beacons pass it on.
	newest reading
	// waiting holds readings with digests that this node has not had, in the order in
	// which the digests were first reported.
	waiting []reading
	// pastDigests is a ring of the digests that this node has had.
	pastDigests [maxDigests]uint64
	next        int
	size        int
	// at is the time of the newest reading that this node has caught up with; zero for
	// none.
	at time.Time
	// resetAt is when reset was last called.
	resetAt time.Time
}

// addReading handles a reading of this node or of a peer.
func (f *confirmation) addReading(r reading) {
	if r.at.After(f.newest.at) {
		f.newest = r
	}
	if !r.at.After(f.at) {
		return
	}
	if f.hasHeld(r.digest) {
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

// setDigest notes that this node now has digest.
func (f *confirmation) setDigest(digest uint64) {
	f.pastDigests[f.next] = digest
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

func (f *confirmation) hasHeld(digest uint64) bool {
	for _, d := range f.pastDigests[:f.size] {
		if d == digest {
			return true
		}
	}
	return false
}

// reset discards all readings but keeps the digests that this node has had.
func (f *confirmation) reset(now time.Time) {
	f.resetAt = now
	f.newest = reading{}
	f.waiting = nil
	f.at = time.Time{}
}

// indexReading is this node's last successful index read until all versions that it
// listed are in force or refused.
type indexReading struct {
	at      time.Time
	missing []model.BundleVersion
}

// confirmOwnReading turns the own index read into a reading once none of its versions is
// missing.
func (c *Controller) confirmOwnReading() {
	r := c.configReads.ownReading
	if r == nil {
		return
	}
	kept := r.missing[:0]
	for _, v := range r.missing {
		if c.inForce.version(v.Name) < v.Version && !c.refused.holds(c.now, v) {
			kept = append(kept, v)
		}
	}
	r.missing = kept
	if len(r.missing) > 0 {
		return
	}
	c.configReads.ownReading = nil
	c.confirmation.addReading(reading{at: r.at, digest: c.inForce.digest})
}

// alertWhenUnconfirmed logs that this node has not been confirmed for
// unconfirmedAlertAge.
func (c *Controller) alertWhenUnconfirmed() {
	if !c.startup.ready {
		return
	}
	since := latest(c.confirmation.at, latest(c.startup.readyAt, c.confirmation.resetAt))
	age := c.now.Sub(since)
	if age < unconfirmedAlertAge {
		c.log.reset(event.ConfigUnconfirmed, "")
		return
	}
	c.record(event.ConfigUnconfirmed, "", age.Round(time.Second).String(), nil)
}
