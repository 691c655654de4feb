package directory

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// worker is one listed worker.
type worker struct {
	listing model.Listing
	// warmingUntil is when it is no longer warming, as its entry said last; zero when it
	// is not.
	warmingUntil time.Time
	// missingUntil is when a worker that the directory lacks after an outage is
	// taken for gone; zero while it is listed.
	missingUntil time.Time
	// missingSince is when it was first lacking.
	missingSince time.Time
}

// list takes a worker's entry, unless a newer change of it is known.
func (c *Controller) list(now time.Time, l model.Listing) {
	id := l.Instance.Worker
	w := c.workers[id]
	if l.Revision < c.removed.at(id) || w != nil && l.Revision < w.listing.Revision {
		return
	}
	if w != nil && w.missingUntil.IsZero() && w.listing == l {
		return
	}
	if w == nil || w.listing.Instance.State != l.Instance.State || w.listing.Instance.WorkerIncarnation() != l.Instance.WorkerIncarnation() || !w.missingUntil.IsZero() {
		in := &l.Instance
		c.record(event.WorkerListed, string(id), fmt.Sprintf("%s %s %s, born %d", in.ID, in.Service, in.State, in.WorkerStarted), nil)
	}
	next := &worker{listing: l}
	if l.WarmingMs > 0 {
		next.warmingUntil = now.Add(time.Duration(l.WarmingMs) * time.Millisecond)
	}
	c.workers[id] = next
	c.removed.forget(id)
	c.dirty = true
}

// remove takes a worker off the list, at once while the directory is sound. Soon
// after an outage its lease may merely have lapsed: then it has the time in which
// the living list themselves again. One that was draining is gone at once. Peers are
// told of a removal when it is seen.
func (c *Controller) remove(now time.Time, gone model.Unlisted) {
	w := c.workers[gone.Worker]
	if w == nil || gone.Revision < w.listing.Revision {
		return
	}
	c.removed.note(gone)
	if gone.Replaced || !now.Before(c.doubtUntil) || w.listing.Instance.State == model.StateLeaving {
		c.drop(gone.Worker, 0)
		return
	}
	if !w.missingUntil.IsZero() {
		return
	}
	w.missingSince = now
	w.missingUntil = c.doubtUntil
	c.record(event.WorkerMissing, string(gone.Worker), string(w.listing.Instance.ID), nil)
}

// removeOthers removes the workers that a whole list lacks.
func (c *Controller) removeOthers(now time.Time, r *control.DirectoryRead) {
	named := make(map[model.WorkerID]bool, len(r.Listed))
	for i := range r.Listed {
		named[r.Listed[i].Instance.Worker] = true
	}
	for i := range r.Unlisted {
		named[r.Unlisted[i].Worker] = true
	}
	for _, id := range c.sorted() {
		if !named[id] {
			c.remove(now, model.Unlisted{Worker: id, Revision: r.Revision})
		}
	}
}

// expire takes for gone what is still missing, unless the directory is away again, so that
// no worker can list itself. A failed reading of this node's own says nothing of that while
// peers keep its view in time.
func (c *Controller) expire(now time.Time) {
	if c.failures > 0 && now.Sub(c.confirmed) > StalenessBound {
		return
	}
	for _, id := range c.overdue(now) {
		c.drop(id, now.Sub(c.workers[id].missingSince))
	}
}

// overdue names in order the workers whose time to list themselves again is over.
// Only those are sorted: every tick asks, and mostly none is. With 10,000 workers that
// takes 0.12 ms, and 2.3 ms where all are sorted (BenchmarkExpireInALargeFleet).
func (c *Controller) overdue(now time.Time) []model.WorkerID {
	var ids []model.WorkerID
	for id, w := range c.workers {
		if !w.missingUntil.IsZero() && !now.Before(w.missingUntil) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (c *Controller) drop(id model.WorkerID, held time.Duration) {
	in := c.workers[id].listing.Instance.ID
	delete(c.workers, id)
	c.record(event.WorkerUnlisted, string(id), fmt.Sprintf("%s after %s", in, held.Round(time.Millisecond)), nil)
	c.dirty = true
}

func (c *Controller) sorted() []model.WorkerID { return slices.Sorted(maps.Keys(c.workers)) }

// usable tells whether an entry names a worker of a service of the configuration in
// force. Another is no worker to use, nor does it take the place of one that is.
func (c *Controller) usable(l *model.Listing) bool {
	set := c.board.Bundles.Get()
	if len(set.All()) == 0 {
		return true
	}
	svc, _ := set.Service(l.Instance.Service)
	return svc != nil
}

// publishFleet writes the fleet: of several workers at one instance the newest.
func (c *Controller) publishFleet() {
	c.dirty = false
	c.fleetRev++
	newest := make(map[model.InstanceID]*worker, len(c.workers))
	for _, w := range c.workers {
		l := &w.listing
		if !c.usable(l) {
			continue
		}
		if before, taken := newest[l.Instance.ID]; !taken || before.listing.Created < l.Created {
			newest[l.Instance.ID] = w
		}
	}
	instances := make([]model.Instance, 0, len(newest))
	for _, w := range newest {
		in := w.listing.Instance
		in.WarmingUntil = w.warmingUntil
		instances = append(instances, in)
	}
	slices.SortFunc(instances, func(a, b model.Instance) int { return cmp.Compare(a.ID, b.ID) })
	c.board.Fleet.Put(&model.Fleet{Revision: c.fleetRev, Instances: instances, Evacuated: c.evacuated.inForce()})
}
