package directory

import (
	"fmt"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// A directory that is restored from an older copy loses what was written since, and gives
// out its revisions again: they order changes within one era only. So a view belongs to an
// era. A view of an earlier era confirms nothing and passes on nothing but its configuration;
// a later era replaces the view by the complete content. What does not depend on the
// directory's own order stays known: a configuration's version, that a worker incarnation
// left, and which of two entries of a worker it wrote later. What the copy lacks is kept in
// use until its writers have had the time to write it again.

const (
	// departedHold is how long a worker that was known to be gone, and is listed again after
	// a restore in an entry that it wrote before, stays unused: the three heartbeats after
	// which the entry of a worker that has ended expires, and some time to read of that.
	departedHold = 5500 * time.Millisecond
	// maxDeparted bounds the workers that are known to have left in earlier eras.
	maxDeparted = 4 * maxRemovals
	// listPage is the number of entries that the directory returns at once.
	listPage = 500
	// fullReadWait is how long a node that noticed a restore waits for another's read of
	// everything, and fullReadSpread the time for each page over which its own read is drawn
	// from then on. In a large fleet of which most nodes are dead it takes a second until
	// the word of the first read has reached the others.
	fullReadWait   = 500 * time.Millisecond
	fullReadSpread = 200 * time.Millisecond
	// readersPerPage is, for each page of the list, how many nodes notice a restore for one
	// that reads everything at once. Noticing takes a call, so with two the pages of those
	// reads are half as many as the calls that are granted.
	readersPerPage = 2
)

// departure is a worker that was removed in an earlier era.
type departure struct {
	// last is the last entry that was known of it.
	last model.Listing
	// heldUntil is until when an entry that is no newer does not put it to use.
	heldUntil time.Time
}

// scheduleFullRead handles the discovery of a restore by an own read: everything has to be
// read, unless a peer sends it first. Of the nodes of a large fleet that notice it together
// only a few read at once, so that all of them stay within the calls that the directory
// grants.
func (c *Controller) scheduleFullRead(now time.Time, r *control.DirectoryRead) {
	if r.Era <= c.revision.Era || !c.fullReadAt.IsZero() {
		return
	}
	pages := c.FleetSize() / listPage
	if pages == 0 || c.rng.IntN(pages*readersPerPage) == 0 {
		c.startFullRead(now)
		return
	}
	c.fullReadAt = now.Add(fullReadWait + time.Duration(c.rng.Int64N(int64(pages)*int64(fullReadSpread))))
}

// fullReadDue reports whether everything is to be read now.
func (c *Controller) fullReadDue(now time.Time) bool {
	return !c.fullReadAt.IsZero() && !now.Before(c.fullReadAt)
}

func (c *Controller) startFullRead(now time.Time) {
	c.fullReadAt = time.Time{}
	c.startReadAfter(now, CauseRestored, model.Revision{})
}

// enterEra makes the view one of a later era, before the complete content is applied.
func (c *Controller) enterEra(now time.Time, r *control.DirectoryRead, source string) {
	c.fullReadAt = time.Time{}
	if c.revision.IsZero() {
		c.revision.Era = r.Era
		return
	}
	c.record(event.DirectoryRestored, fmt.Sprint("era ", r.Era), fmt.Sprintf("revision %s; %s before; from %s", r.At(), c.revision, source), nil)
	c.revision = model.Revision{Era: r.Era}
	c.removalGraceUntil = now.Add(relistGrace)
	for _, w := range c.workers {
		w.listing.Revision = 0
		w.earlierEra = true
	}
	c.rememberDeparted(now)
	c.evacuated.enterEra(r.Revision, now.Add(relistGrace))
	c.refused = nil
	c.transfer.knownTo, c.transfer.changedBy = 0, 0
	if c.config != nil {
		config := *c.config
		config.Revision = r.Revision
		if c.decoded == c.config {
			c.decoded = &config
		}
		c.config = &config
	}
}

// rememberDeparted moves the removals of the era that ends to the departed workers. Of the
// departed before, those that were leaving stay: that is final.
func (c *Controller) rememberDeparted(now time.Time) {
	for id, d := range c.departed {
		if d.last.Instance.State != model.StateLeaving || len(c.departed) > maxDeparted {
			delete(c.departed, id)
		}
	}
	for _, r := range c.removed.list {
		c.departed[r.Worker] = departure{last: r.last, heldUntil: now.Add(departedHold)}
	}
	c.removed = removals{}
}

// reconcile combines a worker's listing with what is known of the worker from before: its
// leaving is final, and after a restore its entry may be an older one. held is until when the
// worker is not used; zero means that it is.
func (c *Controller) reconcile(now time.Time, l model.Listing, known *worker) (out model.Listing, held time.Time) {
	if known != nil {
		return reconcileKnown(l, known), time.Time{}
	}
	d, departed := c.departed[l.Instance.Worker]
	if !departed || d.last.Instance.WorkerIncarnation() != l.Instance.WorkerIncarnation() {
		return l, time.Time{}
	}
	if d.last.Instance.State == model.StateLeaving {
		l.Instance.State = model.StateLeaving
		return l, time.Time{}
	}
	if l.Heartbeats <= d.last.Heartbeats && now.Before(d.heldUntil) {
		return l, d.heldUntil
	}
	return l, time.Time{}
}

// reconcileKnown combines a listing with the one that is known of the same worker.
func reconcileKnown(l model.Listing, known *worker) model.Listing {
	last := &known.listing
	if last.Instance.WorkerIncarnation() != l.Instance.WorkerIncarnation() {
		return l
	}
	if known.earlierEra && l.Heartbeats < last.Heartbeats {
		l.Instance, l.WarmingMs, l.Heartbeats = last.Instance, last.WarmingMs, last.Heartbeats
	}
	if last.Instance.State == model.StateLeaving {
		l.Instance.State = model.StateLeaving
	}
	return l
}

// releaseHeld puts workers to use that were listed again after a restore and are still
// listed.
func (c *Controller) releaseHeld(now time.Time) {
	for id, w := range c.workers {
		if w.heldUntil.IsZero() || now.Before(w.heldUntil) {
			continue
		}
		w.heldUntil = time.Time{}
		c.recordListed(id, &w.listing)
		c.dirty = true
	}
}

// handleVersionSeen requests the changes of a peer that holds a configuration which this node
// does not know, unless it is receiving one: after a restore the directory may hold an older
// one.
func (c *Controller) handleVersionSeen(now time.Time, e control.VersionSeen) {
	if e.Version.Version <= c.heldVersion() || c.transfer.awaitsPeer(now) {
		return
	}
	if in, ok := c.instance(e.From); ok && c.peers.mayRequest(now, e.From) {
		c.request(now, in)
	}
}
