// Package reach finds out which owners this node cannot connect to, so that few
// callers' requests are spent on finding out. An owner is probed on a connection of its
// own when a request could not reach it, its way broke, it has been silent for long, or
// a peer says that it cannot reach it. While probes fail the routing table leaves the
// owner out. Each node judges for itself and for a short while only: a peer's word makes
// it probe and nothing else, and a probe that gets through ends the matter at once. No
// I/O. Design: docs/DESIGN.md, "Owners out of reach".
package reach

import (
	"math/rand/v2"
	"slices"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

const (
	// interval is the time between two probes of one owner. Load: a cut of some
	// seconds, or a node that restarts within one; on average an owner that is back
	// is used again after half of it. Ten nodes and a dead one cost 50 probes a
	// second over the fleet, of about 0.3 KB each with its connection (reckoned).
	interval = 200 * time.Millisecond
	// maxDoubted bounds the owners that are probed at the same time, so that a lost
	// data centre of thousands costs this node no more than 64 probes an interval.
	maxDoubted = 64
	// aliveAge is how recently an owner must have been heard to need no probe when an
	// attempt's time ran out there: a slow worker is no lost owner. It is twice the
	// time in which a called owner is heard at 10 calls a second.
	aliveAge = 200 * time.Millisecond
	// soundAge is for how long an owner that was heard, or answered a probe, is not
	// probed for what peers say or for silence. Peers that are cut off themselves would
	// otherwise have everybody probe everybody.
	soundAge = time.Second
	// silentAge is how long an owner with attempts of this node must have been silent
	// to be probed, if that is over twice the time that it was expected to take. A
	// machine without power ends no connection that is open; the time-outs of requests
	// are 1.2 s and more.
	silentAge = 500 * time.Millisecond
)

// Table is what the controller needs of a route.Table.
type Table interface {
	// MarkUnreachable leaves an owner out of choices for a short while from now on, and
	// tells whether it is known at that address.
	MarkUnreachable(now time.Time, owner model.Instance) bool
	// MarkReachable takes that back.
	MarkReachable(id model.InstanceID)
	// ReportedWithin tells whether the owner itself was heard in the last age.
	ReportedWithin(now time.Time, id model.InstanceID, age time.Duration) bool
	// Owner returns an owner that may be chosen; ok is false for others.
	Owner(id model.InstanceID) (owner model.Instance, ok bool)
	// SilentOwners returns owners with attempts of this node that nothing was heard of for
	// age, nor for twice the time that an answer was expected to take.
	SilentOwners(now time.Time, age time.Duration) []model.Instance
}

// Controller probes doubted owners. It is fed by one goroutine.
type Controller struct {
	self    model.InstanceID
	table   Table
	board   *blackboard.Board
	rng     *rand.Rand
	doubted map[model.InstanceID]*doubt
	// sound holds when an owner last answered a probe.
	sound map[model.InstanceID]time.Time
}

// doubt is one owner that may be out of reach.
type doubt struct {
	owner model.Instance
	// lost is when it was first found out of reach, zero before.
	lost time.Time
	// told: the attempts there were told.
	told bool
	// probing: a probe is under way. next is when another one is due.
	probing bool
	next    time.Time
}

// New returns a controller of the node self that doubts nobody. It writes the board's
// section OutOfReach.
func New(self model.InstanceID, table Table, board *blackboard.Board, rng *rand.Rand) *Controller {
	return &Controller{
		self: self, table: table, board: board, rng: rng,
		doubted: map[model.InstanceID]*doubt{}, sound: map[model.InstanceID]time.Time{},
	}
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	switch e := ev.(type) {
	case control.OwnerUnresponsive:
		return c.unanswered(now, e)
	case control.OwnersReportedUnreachable:
		return c.saidLost(now, e.Owners)
	case control.ReachabilityProbed:
		return c.probed(now, e)
	case control.Tick:
		return c.tick(now)
	case control.Paused:
		// Failures that waited while the process was stopped are its own.
		clear(c.doubted)
		c.publish()
	}
	return nil
}

// unanswered doubts an owner that gave an attempt no answer.
func (c *Controller) unanswered(now time.Time, e control.OwnerUnresponsive) []control.Action {
	if !e.NoConnection && c.table.ReportedWithin(now, e.Owner.ID, aliveAge) {
		return nil
	}
	out := c.doubt(e.Owner)
	switch {
	case len(out) == 0:
	case e.NoConnection:
		out = append(out, c.lose(now, c.doubted[e.Owner.ID], "a request could not connect")...)
	case e.NotAcknowledged:
		out = append(out, c.lose(now, c.doubted[e.Owner.ID], "an attempt was not taken up")...)
	}
	return out
}

// saidLost doubts owners that a peer cannot connect to.
func (c *Controller) saidLost(now time.Time, ids []model.InstanceID) []control.Action {
	var out []control.Action
	for _, id := range ids {
		if owner, ok := c.table.Owner(id); ok && id != c.self && !c.isSound(now, id) {
			out = append(out, c.doubt(owner)...)
		}
	}
	return out
}

// isSound tells whether an owner was heard, or answered a probe, a short while ago.
func (c *Controller) isSound(now time.Time, id model.InstanceID) bool {
	return now.Sub(c.sound[id]) < soundAge || c.table.ReportedWithin(now, id, soundAge)
}

// doubt begins to probe an owner, unless it is doubted already.
func (c *Controller) doubt(owner model.Instance) []control.Action {
	if c.doubted[owner.ID] != nil || len(c.doubted) == maxDoubted {
		return nil
	}
	d := &doubt{owner: owner}
	c.doubted[owner.ID] = d
	return []control.Action{d.probe()}
}

// tick doubts owners that have been silent, and probes those whose time has come.
func (c *Controller) tick(now time.Time) []control.Action {
	for id, at := range c.sound {
		if now.Sub(at) >= soundAge {
			delete(c.sound, id)
		}
	}
	out := c.probeDue(now)
	for _, owner := range c.table.SilentOwners(now, silentAge) {
		if !c.isSound(now, owner.ID) {
			out = append(out, c.doubt(owner)...)
		}
	}
	return out
}

// probed takes the end of a probe.
func (c *Controller) probed(now time.Time, e control.ReachabilityProbed) []control.Action {
	d := c.doubted[e.Owner.ID]
	if d == nil || d.owner.PeerAddress != e.Owner.PeerAddress {
		return nil
	}
	d.probing = false
	if e.Err == nil {
		delete(c.doubted, e.Owner.ID)
		c.sound[e.Owner.ID] = now
		c.table.MarkReachable(e.Owner.ID)
		c.publish()
		if d.lost.IsZero() {
			return nil
		}
		return record(event.OwnerReachable, d, now.Sub(d.lost).String(), nil)
	}
	if !c.table.MarkUnreachable(now, d.owner) {
		delete(c.doubted, e.Owner.ID)
		c.publish()
		return nil
	}
	// Half of the interval is random, so that the nodes that lost an owner together
	// do not probe it together.
	half := interval / 2
	d.next = now.Add(half + time.Duration(c.rng.Int64N(int64(interval))))
	var out []control.Action
	if !d.told {
		d.told = true
		out = append(out, control.OwnerUnreachable{Owner: d.owner.ID})
	}
	if !d.lost.IsZero() {
		return out
	}
	d.lost = now
	c.publish()
	return append(out, record(event.OwnerUnreachable, d, "a probe failed", e.Err)...)
}

// lose leaves the owner out of choices until a probe gets through.
func (c *Controller) lose(now time.Time, d *doubt, why string) []control.Action {
	if !c.table.MarkUnreachable(now, d.owner) {
		return nil
	}
	d.lost = now
	c.publish()
	return record(event.OwnerUnreachable, d, why, nil)
}

// publish names the owners out of reach, for peers.
func (c *Controller) publish() {
	var lost []model.InstanceID
	for id, d := range c.doubted {
		if !d.lost.IsZero() {
			lost = append(lost, id)
		}
	}
	slices.Sort(lost)
	c.board.Unreachable.Put(&lost)
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
	return control.ProbeReachability{Owner: d.owner}
}

func record(id event.ID, d *doubt, detail string, err error) []control.Action {
	return []control.Action{control.Record{Event: id, Subject: string(d.owner.ID), Detail: detail, Err: err}}
}
