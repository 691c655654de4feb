// Package reach detects which owners this node cannot connect to, so that few callers'
// requests are spent on unreachable ones. It probes an owner on a separate connection when
// a request could not connect to it, a connection to it failed, it has been silent for
// long, or a peer reports that it cannot reach it. While probes fail, the routing table
// excludes the owner. Each node decides for itself and for a short time only: a peer's
// report causes a probe and nothing else, and a successful probe makes the owner eligible
// at once. The package does no I/O. Design: docs/DESIGN.md, "Owners out of reach".
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
	// probeInterval is the mean time between two probes of one owner. A network partition
	// or a node restart lasts some seconds; an owner that recovers is used again after half
	// the interval on average. One dead node in a fleet of ten costs 50 probes a second
	// over the fleet, computed, of about 0.3 KB each including the connection.
	probeInterval = 200 * time.Millisecond
	// maxProbed bounds the owners that are probed concurrently, so that an unreachable data
	// centre with thousands of instances costs this node at most 64 probes per interval.
	maxProbed = 64
	// recentReportAge is the age of an owner's report up to which an attempt that timed out
	// there causes no probe, as a slow worker does not make its owner unreachable. It is
	// twice the time between two reports of an owner that gets 10 calls a second.
	recentReportAge = 200 * time.Millisecond
	// reachableAge is how long after a report or a successful probe an owner is not probed
	// because of peers' reports or silence. Otherwise peers that are cut off themselves would
	// make all nodes probe each other.
	reachableAge = time.Second
	// maxSilence is how long an owner with attempts in flight must have been silent to be
	// probed, unless twice the expected latency is longer. Open connections to an instance
	// that lost power do not fail, and requests time out after 1.2 s or more.
	maxSilence = 500 * time.Millisecond
)

// Table is the part of route.Table that the controller uses.
type Table interface {
	// MarkUnreachable excludes an owner from choices for a short time from now, and reports
	// whether it is known at that address.
	MarkUnreachable(now time.Time, owner model.Instance) bool
	// MarkReachable revokes MarkUnreachable.
	MarkReachable(id model.InstanceID)
	// ReportedWithin reports whether a report of the owner itself was received within the
	// last age.
	ReportedWithin(now time.Time, id model.InstanceID, age time.Duration) bool
	// Owner returns an owner that is neither unknown nor leaving; ok is false for others.
	Owner(id model.InstanceID) (owner model.Instance, ok bool)
	// SilentOwners returns the owners with attempts of this node in flight from which nothing
	// was received for age and for twice the expected latency.
	SilentOwners(now time.Time, age time.Duration) []model.Instance
}

// Controller probes owners of uncertain reachability. It is used by one goroutine.
type Controller struct {
	self      model.InstanceID
	table     Table
	board     *blackboard.Board
	rng       *rand.Rand
	uncertain map[model.InstanceID]*uncertainOwner
	// lastReachable holds when an owner last replied to a probe.
	lastReachable map[model.InstanceID]time.Time
}

// uncertainOwner is an owner that may be unreachable.
type uncertainOwner struct {
	owner model.Instance
	// unreachableSince is when the owner was first found unreachable, zero before.
	unreachableSince time.Time
	// attemptsNotified reports that the attempts in flight there were notified.
	attemptsNotified bool
	probing          bool
	nextProbeAt      time.Time
}

// New returns a controller of the node self without uncertain owners. It writes the board's
// section Unreachable.
func New(self model.InstanceID, table Table, board *blackboard.Board, rng *rand.Rand) *Controller {
	return &Controller{
		self: self, table: table, board: board, rng: rng,
		uncertain: map[model.InstanceID]*uncertainOwner{}, lastReachable: map[model.InstanceID]time.Time{},
	}
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	switch e := ev.(type) {
	case control.OwnerUnresponsive:
		return c.ownerUnresponsive(now, e)
	case control.OwnersReportedUnreachable:
		return c.peersReported(now, e.Owners)
	case control.ReachabilityProbed:
		return c.probeDone(now, e)
	case control.Tick:
		return c.tick(now)
	case control.Paused:
		// Failures that were buffered while the process was paused are due to the pause.
		clear(c.uncertain)
		c.publish()
	}
	return nil
}

// ownerUnresponsive handles an attempt that its owner did not respond to.
func (c *Controller) ownerUnresponsive(now time.Time, e control.OwnerUnresponsive) []control.Action {
	if !e.NoConnection && c.table.ReportedWithin(now, e.Owner.ID, recentReportAge) {
		return nil
	}
	out := c.startProbing(e.Owner)
	switch {
	case len(out) == 0:
	case e.NoConnection:
		out = append(out, c.markUnreachable(now, c.uncertain[e.Owner.ID], "a request could not connect")...)
	case e.NotAcknowledged:
		out = append(out, c.markUnreachable(now, c.uncertain[e.Owner.ID], "an attempt was not acknowledged")...)
	}
	return out
}

// peersReported handles a peer's report of owners that it cannot connect to.
func (c *Controller) peersReported(now time.Time, ids []model.InstanceID) []control.Action {
	var out []control.Action
	for _, id := range ids {
		if owner, ok := c.table.Owner(id); ok && id != c.self && !c.knownReachable(now, id) {
			out = append(out, c.startProbing(owner)...)
		}
	}
	return out
}

// knownReachable reports whether the owner sent a report or replied to a probe within
// reachableAge.
func (c *Controller) knownReachable(now time.Time, id model.InstanceID) bool {
	return now.Sub(c.lastReachable[id]) < reachableAge || c.table.ReportedWithin(now, id, reachableAge)
}

// startProbing starts to probe an owner, unless it is being probed or maxProbed are.
func (c *Controller) startProbing(owner model.Instance) []control.Action {
	if c.uncertain[owner.ID] != nil || len(c.uncertain) == maxProbed {
		return nil
	}
	o := &uncertainOwner{owner: owner}
	c.uncertain[owner.ID] = o
	return []control.Action{o.probe()}
}

// tick probes owners whose next probe is due, and starts to probe silent ones.
func (c *Controller) tick(now time.Time) []control.Action {
	for id, reachedAt := range c.lastReachable {
		if now.Sub(reachedAt) >= reachableAge {
			delete(c.lastReachable, id)
		}
	}
	out := c.probeDue(now)
	for _, owner := range c.table.SilentOwners(now, maxSilence) {
		if !c.knownReachable(now, owner.ID) {
			out = append(out, c.startProbing(owner)...)
		}
	}
	return out
}

// probeDone handles the result of a probe.
func (c *Controller) probeDone(now time.Time, e control.ReachabilityProbed) []control.Action {
	o := c.uncertain[e.Owner.ID]
	if o == nil || o.owner.PeerAddress != e.Owner.PeerAddress {
		return nil
	}
	o.probing = false
	if e.Err == nil {
		delete(c.uncertain, e.Owner.ID)
		c.lastReachable[e.Owner.ID] = now
		c.table.MarkReachable(e.Owner.ID)
		c.publish()
		if o.unreachableSince.IsZero() {
			return nil
		}
		return record(event.OwnerReachable, o, now.Sub(o.unreachableSince).String(), nil)
	}
	if !c.table.MarkUnreachable(now, o.owner) {
		delete(c.uncertain, e.Owner.ID)
		c.publish()
		return nil
	}
	// The delay is random, from 0.5 to 1.5 of the interval, so that the nodes that lost an
	// owner at the same time do not probe it at the same time.
	half := probeInterval / 2
	o.nextProbeAt = now.Add(half + time.Duration(c.rng.Int64N(int64(probeInterval))))
	var out []control.Action
	if !o.attemptsNotified {
		o.attemptsNotified = true
		out = append(out, control.OwnerUnreachable{Owner: o.owner.ID})
	}
	if !o.unreachableSince.IsZero() {
		return out
	}
	o.unreachableSince = now
	c.publish()
	return append(out, record(event.OwnerUnreachable, o, "a probe failed", e.Err)...)
}

// markUnreachable excludes the owner from choices until a probe succeeds.
func (c *Controller) markUnreachable(now time.Time, o *uncertainOwner, reason string) []control.Action {
	if !c.table.MarkUnreachable(now, o.owner) {
		return nil
	}
	o.unreachableSince = now
	c.publish()
	return record(event.OwnerUnreachable, o, reason, nil)
}

// publish writes the unreachable owners to the board, for peers.
func (c *Controller) publish() {
	var unreachable []model.InstanceID
	for id, o := range c.uncertain {
		if !o.unreachableSince.IsZero() {
			unreachable = append(unreachable, id)
		}
	}
	slices.Sort(unreachable)
	c.board.Unreachable.Put(&unreachable)
}

// probeDue probes the owners whose next probe is due.
func (c *Controller) probeDue(now time.Time) []control.Action {
	var out []control.Action
	for _, o := range c.uncertain {
		if !o.probing && !now.Before(o.nextProbeAt) {
			out = append(out, o.probe())
		}
	}
	return out
}

func (o *uncertainOwner) probe() control.Action {
	o.probing = true
	return control.ProbeReachability{Owner: o.owner}
}

func record(id event.ID, o *uncertainOwner, detail string, err error) []control.Action {
	return []control.Action{control.Record{Event: id, Subject: string(o.owner.ID), Detail: detail, Err: err}}
}
