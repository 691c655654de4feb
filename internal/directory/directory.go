// Package directory follows a source that holds both the workers and the
// configuration, and that this system can only read. It writes the fleet and the
// bundle in force to the blackboard. It does no I/O; an adapter feeds it with what
// the source tells. Design: docs/PLATFORM.md, "Who reads the store".
package directory

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/member"
	"gypsumstand/internal/model"
	"gypsumstand/internal/spread"
)

// Times after an outage of the directory.
const (
	// relistTime is how long after the directory's return a living worker may
	// take to list itself again: heartbeats come every 1.5 s, and the platform's
	// owners promise "about two seconds".
	relistTime = 2200 * time.Millisecond
	// outageMemory is how long after a failed read a removal may still be the
	// lapse of a lease that could not be renewed, not a worker's leaving.
	outageMemory = 3 * time.Second
)

// Config is a controller's fixed setting.
type Config struct {
	// Self is this node's own instance.
	Self model.InstanceID
}

// Controller implements control.Controller. Its accessors are for the goroutine
// that calls Handle.
type Controller struct {
	cfg   Config
	board *blackboard.Board

	workers map[model.WorkerID]*worker
	// confirmed is when the directory last answered, zero for never; failed when
	// it last did not.
	confirmed time.Time
	failed    time.Time
	// lost says that the last read failed.
	lost     bool
	reads    uint64
	revision uint64
	dirty    bool
	out      []control.Action
}

// worker is one listed life of a worker.
type worker struct {
	listing model.Listing
	// missingUntil is when a worker that the directory lacks after an outage is
	// taken for gone; zero while it is listed.
	missingUntil time.Time
	// missingSince is when it was first lacking.
	missingSince time.Time
}

var _ control.Controller = (*Controller)(nil)

// New returns a controller that knows nothing.
func New(cfg Config, board *blackboard.Board) *Controller {
	c := &Controller{cfg: cfg, board: board, workers: map[model.WorkerID]*worker{}}
	c.publish()
	return c
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	c.out = nil
	switch e := ev.(type) {
	case control.DirectoryRead:
		c.read(now, e)
	case control.DirectoryFailed:
		c.readFailed(now, e.Err)
	case control.Tick:
		c.expire(now)
	}
	if c.dirty {
		c.publish()
	}
	return c.out
}

func (c *Controller) read(now time.Time, r control.DirectoryRead) {
	c.reads++
	if c.lost || c.confirmed.IsZero() {
		c.record(event.DirectoryAnswers, "", since(now, c.confirmed), nil)
	}
	c.lost = false
	c.confirmed = now
	if r.Bundle != nil {
		c.takeBundle(r.Bundle)
	}
	for _, l := range r.Listed {
		c.list(l)
	}
	for _, id := range r.Gone {
		c.remove(now, id)
	}
	if r.Whole {
		c.removeOthers(now, r.Listed)
	}
}

func (c *Controller) readFailed(now time.Time, err error) {
	if !c.lost {
		c.record(event.DirectoryLost, "", since(now, c.confirmed), err)
	}
	c.lost = true
	c.failed = now
}

// since words the time since t.
func since(now, t time.Time) string {
	if t.IsZero() {
		return "never answered"
	}
	return now.Sub(t).Round(time.Millisecond).String()
}

// takeBundle puts a newer configuration in force; an older one never is.
func (c *Controller) takeBundle(b *bundle.Bundle) {
	held := c.board.Bundles.Get().Bundle(b.Name)
	switch {
	case held != nil && held.Version == b.Version:
		return
	case held != nil && held.Version > b.Version:
		c.record(event.ConfigOlder, b.VersionID().String(), held.VersionID().String(), nil)
		return
	}
	c.board.Bundles.Put(bundle.NewSet([]*bundle.Bundle{b}))
	c.record(event.ConfigInForce, b.VersionID().String(), fmt.Sprintf("%d services, %d classes", len(b.Services), len(b.Classes)), nil)
}

func (c *Controller) list(l model.Listing) {
	w := c.workers[l.Instance.Worker]
	if w != nil && w.listing == l && w.missingUntil.IsZero() {
		return
	}
	if w == nil {
		w = &worker{}
		c.workers[l.Instance.Worker] = w
	}
	if w.listing.Instance.State != l.Instance.State || !w.missingUntil.IsZero() {
		in := &l.Instance
		c.record(event.WorkerListed, string(in.Worker), fmt.Sprintf("%s %s %s", in.ID, in.Service, in.State), nil)
	}
	*w = worker{listing: l}
	c.dirty = true
}

// remove takes a worker off the list, at once while the directory is sound. Soon
// after an outage its lease may merely have lapsed: then it has the time in which
// the living list themselves again. One that was draining is gone at once.
func (c *Controller) remove(now time.Time, id model.WorkerID) {
	w := c.workers[id]
	if w == nil || !w.missingUntil.IsZero() {
		return
	}
	doubted := !c.failed.IsZero() && now.Sub(c.failed) < outageMemory
	if !doubted || w.listing.Instance.State == model.StateLeaving {
		c.drop(id, 0)
		return
	}
	w.missingSince = now
	w.missingUntil = now.Add(relistTime)
	c.record(event.WorkerMissing, string(id), string(w.listing.Instance.ID), nil)
}

// removeOthers removes the workers that a whole list lacks.
func (c *Controller) removeOthers(now time.Time, listed []model.Listing) {
	named := make(map[model.WorkerID]bool, len(listed))
	for i := range listed {
		named[listed[i].Instance.Worker] = true
	}
	for _, id := range c.sorted() {
		if !named[id] {
			c.remove(now, id)
		}
	}
}

// expire takes for gone what is still missing.
func (c *Controller) expire(now time.Time) {
	for _, id := range c.sorted() {
		w := c.workers[id]
		if c.lost || w.missingUntil.IsZero() || now.Before(w.missingUntil) {
			continue
		}
		c.drop(id, now.Sub(w.missingSince))
	}
}

func (c *Controller) drop(id model.WorkerID, held time.Duration) {
	in := c.workers[id].listing.Instance.ID
	delete(c.workers, id)
	c.record(event.WorkerUnlisted, string(id), fmt.Sprintf("%s after %s", in, held.Round(time.Millisecond)), nil)
	c.dirty = true
}

func (c *Controller) sorted() []model.WorkerID {
	ids := make([]model.WorkerID, 0, len(c.workers))
	for id := range c.workers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// publish writes the fleet: of several lives at one instance the newest.
func (c *Controller) publish() {
	c.dirty = false
	c.revision++
	newest := make(map[model.InstanceID]model.Listing, len(c.workers))
	for _, w := range c.workers {
		l := w.listing
		if before, taken := newest[l.Instance.ID]; !taken || before.Created < l.Created {
			newest[l.Instance.ID] = l
		}
	}
	instances := make([]model.Instance, 0, len(newest))
	for _, l := range newest {
		instances = append(instances, l.Instance)
	}
	slices.SortFunc(instances, func(a, b model.Instance) int { return cmp.Compare(a.ID, b.ID) })
	c.board.Fleet.Put(&model.Fleet{Revision: c.revision, Instances: instances})
}

func (c *Controller) record(id event.ID, subject, detail string, err error) {
	c.out = append(c.out, control.Record{Event: id, Subject: subject, Detail: detail, Err: err})
}

// Listed tells whether the directory names a worker beside this node: known is
// false while the directory has never answered.
func (c *Controller) Listed() (listed, known bool) {
	if c.confirmed.IsZero() {
		return false, false
	}
	for _, w := range c.workers {
		if w.listing.Instance.ID == c.cfg.Self {
			return true, true
		}
	}
	return false, true
}

// Missing names what the node still needs before it can serve.
func (c *Controller) Missing() []string {
	if c.confirmed.IsZero() {
		return []string{"an answer of the directory"}
	}
	if len(c.board.Bundles.Get().All()) == 0 {
		return []string{"a configuration"}
	}
	return nil
}

// FleetSize returns the number of instances, this node included.
func (c *Controller) FleetSize() int { return max(1, len(c.board.Fleet.Get().Instances)) }

// Links returns none: nodes that follow a directory keep no links to each other.
func (c *Controller) Links() []member.Link { return nil }

// ListConfirmed returns when the directory last answered.
func (c *Controller) ListConfirmed() time.Time { return c.confirmed }

// Confirmed returns when the directory last answered.
func (c *Controller) Confirmed() time.Time { return c.confirmed }

// ListReads counts the directory's answers.
func (c *Controller) ListReads() uint64 { return c.reads }

// IndexReads counts the directory's answers.
func (c *Controller) IndexReads() uint64 { return c.reads }

// Counters returns zero: bundles are not spread between nodes.
func (c *Controller) Counters() spread.Counters { return spread.Counters{} }
