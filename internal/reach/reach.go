// Package reach finds out which owners this node cannot connect to, so that no
// caller's request is spent on finding out. An owner that a request could not
// reach, or whose way broke, is probed on a connection of its own; while that fails,
// the routing table leaves the owner out. Each node judges for itself and for a short
// while only: what it finds is passed on to nobody, and a probe that gets through
// ends it at once. No I/O. Design: docs/DESIGN.md, "Owners out of reach".
package reach

import (
	"math/rand/v2"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

const (
	// interval is the time between two probes of one owner. Load: a cut of some
	// seconds, or a node that restarts within one; on average an owner that is back
	// is used again after half of it. Ten nodes and a dead one cost 50 probes a
	// second over the fleet, of about 150 bytes each.
	interval = 200 * time.Millisecond
	// maxDoubted bounds the owners that are probed at the same time, so that a lost
	// data centre of thousands costs this node no more than 64 probes an interval.
	maxDoubted = 64
	// aliveAge is how recently an owner must have been heard to need no probe when an
	// attempt's time ran out there: a slow worker is no lost owner. It is twice the
	// time in which a called owner is heard at 10 calls a second.
	aliveAge = 200 * time.Millisecond
)

// Table is what the controller needs of a route.Table.
type Table interface {
	// Unreached leaves an owner out of choices for a short while from now on, and
	// tells whether it is known at that address.
	Unreached(now time.Time, owner model.Instance) bool
	// Reached takes that back.
	Reached(now time.Time, id model.InstanceID)
	// HeardWithin tells whether the owner itself was heard in the last age.
	HeardWithin(now time.Time, id model.InstanceID, age time.Duration) bool
}

// Controller probes doubted owners. It is fed by one goroutine.
type Controller struct {
	table   Table
	rng     *rand.Rand
	doubted map[model.InstanceID]*doubt
}

// doubt is one owner that may be out of reach.
type doubt struct {
	owner model.Instance
	// lost is when it was first found out of reach, zero before.
	lost time.Time
	// probing: a probe is under way. next is when another one is due.
	probing bool
	next    time.Time
}

// New returns a controller that doubts nobody.
func New(table Table, rng *rand.Rand) *Controller {
	return &Controller{table: table, rng: rng, doubted: map[model.InstanceID]*doubt{}}
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	switch e := ev.(type) {
	case control.OwnerDoubted:
		return c.doubt(now, e)
	case control.ReachProbed:
		return c.probed(now, e)
	case control.Tick:
		return c.probeDue(now)
	case control.Paused:
		// Failures that waited while the process was stopped are its own.
		clear(c.doubted)
	}
	return nil
}

// doubt begins to probe an owner.
func (c *Controller) doubt(now time.Time, e control.OwnerDoubted) []control.Action {
	if c.doubted[e.Owner.ID] != nil || len(c.doubted) == maxDoubted {
		return nil
	}
	if !e.NoConnection && c.table.HeardWithin(now, e.Owner.ID, aliveAge) {
		return nil
	}
	d := &doubt{owner: e.Owner}
	c.doubted[e.Owner.ID] = d
	var out []control.Action
	if e.NoConnection {
		out = c.lose(now, d)
	}
	return append(out, d.probe())
}

// probed takes the end of a probe.
func (c *Controller) probed(now time.Time, e control.ReachProbed) []control.Action {
	d := c.doubted[e.Owner.ID]
	if d == nil || d.owner.PeerAddress != e.Owner.PeerAddress {
		return nil
	}
	d.probing = false
	if e.Err == nil {
		delete(c.doubted, e.Owner.ID)
		c.table.Reached(now, e.Owner.ID)
		if d.lost.IsZero() {
			return nil
		}
		return record(event.OwnerReached, d, now.Sub(d.lost).String(), nil)
	}
	if !c.table.Unreached(now, d.owner) {
		delete(c.doubted, e.Owner.ID)
		return nil
	}
	// Half of the interval is random, so that the nodes that lost an owner together
	// do not probe it together.
	half := interval / 2
	d.next = now.Add(half + time.Duration(c.rng.Int64N(int64(interval))))
	if !d.lost.IsZero() {
		return nil
	}
	d.lost = now
	return record(event.OwnerUnreached, d, "a probe failed", e.Err)
}

// lose leaves the owner out of choices until a probe gets through.
func (c *Controller) lose(now time.Time, d *doubt) []control.Action {
	if !c.table.Unreached(now, d.owner) {
		return nil
	}
	d.lost = now
	return record(event.OwnerUnreached, d, "a request could not connect", nil)
}

// probeDue probes the owners whose time has come.
func (c *Controller) probeDue(now time.Time) []control.Action {
	var out []control.Action
	for _, d := range c.doubted {
		if !d.probing && !now.Before(d.next) {
			out = append(out, d.probe())
		}
	}
	return out
}

func (d *doubt) probe() control.Action {
	d.probing = true
	return control.ProbeReach{Owner: d.owner}
}

func record(id event.ID, d *doubt, detail string, err error) []control.Action {
	return []control.Action{control.Record{Event: id, Subject: string(d.owner.ID), Detail: detail, Err: err}}
}
