// Package member maintains a node's view of the fleet by gossip. It merges three sources:
// the platform's list, which lags; the records that each instance announces about itself;
// and reachability over control links. Peers that cannot be reached are suspected and,
// once enough observers confirm it, declared gone; a digest exchange repairs what rumours
// missed. The package also chooses the bounded set of peers that this node keeps links
// to, and writes the blackboard's Fleet section. Design: docs/DESIGN.md, "Membership".
package member

import (
	"math/rand/v2"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/suppress"
	"gypsumstand/internal/wire"
)

// Config holds the fixed settings of a Controller.
type Config struct {
	Self model.Instance
	// Seeds are peer addresses from the settings, used while the platform's list does not
	// name this node or its peers yet. It may be empty. A seed's id is unknown until its
	// link is up, so OpenLink uses the address as the id.
	Seeds []string
}

// Controller implements control.Controller. It is not safe for concurrent use: its
// accessors may only be called from the goroutine that calls Handle.
type Controller struct {
	cfg   Config
	board *blackboard.Board
	rng   *rand.Rand
	// started is the time of the first event; zero before it.
	started time.Time
	out     []control.Action

	table *table
	// dirty is set while the published view is older than the table.
	dirty    bool
	revision uint64
	// ownState is this node's own lifecycle state, as last reported by a
	// SelfStateChanged event.
	ownState    model.UpstreamState
	superseding supersedeLimiter
	// lastRecorded holds when each rate-limited event was last recorded.
	lastRecorded map[event.ID]time.Time

	links  links
	peers  peering
	gossip gossip
	sync   synchronizer
	list   listReader
	checks checker
	reaper reaper
	// unreliableUntil ends the period after a pause in which this node does not act on
	// its own observations.
	unreliableUntil time.Time
}

var _ control.Controller = (*Controller)(nil)

// New returns a controller whose view contains only this node.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	c := &Controller{cfg: cfg, board: board, rng: rng, table: newTable(), ownState: cfg.Self.State}
	c.list.timer = suppress.New(rng)
	c.lastRecorded = map[event.ID]time.Time{}
	c.peers.reset()
	c.gossip.reset()
	c.reaper.reset()
	c.table.merge(recordOf(cfg.Self))
	c.publish()
	return c
}

// Handle implements control.Controller.
func (c *Controller) Handle(now time.Time, ev control.Event) []control.Action {
	c.out = nil
	if c.started.IsZero() {
		c.start(now)
	}
	switch e := ev.(type) {
	case control.Tick:
		c.tick(now)
	case control.Paused:
		c.paused(now, e.For)
	case control.LinkUp:
		c.linkUp(now, e)
	case control.LinkDown:
		c.linkDown(now, e)
	case control.Received:
		c.received(now, e)
	case control.ListRead:
		c.listRead(now, e)
		c.publish()
	case control.ListReadFailed:
		c.listReadFailed(now, e.Err)
	case control.SelfStateChanged:
		c.selfChanged(now, e.State)
		c.publish()
	case control.OwnerUnresponsive:
		if e.NoConnection {
			c.checkPeer(now, e.Owner.ID, "a call failed to connect")
		}
	}
	return c.out
}

// ListConfirmedAt returns when the platform's list was last confirmed, by a read of this
// node or of a peer; zero if never.
func (c *Controller) ListConfirmedAt() time.Time { return c.list.timer.LastSuccess() }

// ListReads returns the number of list reads that this node has started.
func (c *Controller) ListReads() uint64 { return c.list.timer.ReadCount() }

// FleetSize returns the number of known instances that are not gone, including this node.
func (c *Controller) FleetSize() int { return max(c.table.present, 1) }

// Loaded reports whether the initial snapshot is complete: this node has loaded the whole
// fleet from its peers, or has found that none of them has it.
func (c *Controller) Loaded() bool { return c.sync.loaded }

// Self returns this node's own instance with its current incarnation.
func (c *Controller) Self() model.Instance { return instanceOf(c.self()) }

// Link describes one open link to a peer.
type Link struct {
	Peer model.InstanceID
	// Outgoing reports whether this node opened the link.
	Outgoing bool
	// LastReceived is when a message from the peer last arrived.
	LastReceived time.Time
}

// Links returns the open links, sorted by the peers' ids.
func (c *Controller) Links() []Link {
	var out []Link
	for _, l := range c.links.open() {
		out = append(out, Link{Peer: l.peer, Outgoing: l.outgoing, LastReceived: l.lastReceived})
	}
	return out
}

func (c *Controller) start(now time.Time) {
	c.started = now
	c.startPeering(now)
	c.sync.next = now.Add(c.randomBetween(digestMin, digestMax))
}

func (c *Controller) tick(now time.Time) {
	c.tickSelf(now)
	c.tickLinks(now)
	c.tickPeering(now)
	c.tickChecks(now)
	c.tickSync(now)
	c.tickList(now)
	c.tickReaper(now)
	c.flush(now)
	c.publish()
}

// pauseGrace is how long after a pause this node neither suspects nor removes instances.
const pauseGrace = 5 * time.Second

// paused handles a process pause of length d: silence during the pause proves nothing
// about peers, and this node's view may be outdated.
func (c *Controller) paused(now time.Time, d time.Duration) {
	c.unreliableUntil = now.Add(pauseGrace)
	c.list.timer.ProcessPaused(now, d)
	c.links.resetSilence(now)
	c.dropChecks()
	c.peers.dials = nil
	c.reaper.postpone(d)
	if d > tombstoneTTL {
		c.resetView()
		c.startSnapshot(now)
	}
	c.sync.next = now.Add(c.randomBetween(0, time.Second))
}

// resetView discards all records but this node's own. After a pause longer than
// tombstoneTTL, the tombstones that would correct the old view may have been dropped by
// every peer.
func (c *Controller) resetView() {
	self := c.self()
	c.table = newTable()
	c.table.merge(self)
	c.gossip.reset()
	c.reaper.reset()
	c.sync = synchronizer{}
	c.list.forget()
	c.dirty = true
}

func (c *Controller) received(now time.Time, e control.Received) {
	l := c.linkOf(now, e)
	if l == nil {
		return
	}
	l.lastReceived = now
	switch m := e.Message.(type) {
	case wire.Heartbeat:
		c.receiveHeartbeat(now, l, m)
	case wire.ListBeacon:
		c.receiveListAges(now, l, m.List, c.transitTime(now, m.Echo))
	case wire.Rumours:
		c.receiveRumours(now, l, m)
	case wire.SnapshotRequest:
		c.serveSnapshot(now, l, m)
	case wire.SnapshotChunk:
		c.receiveSnapshotChunk(now, l, m)
	case wire.Digest:
		c.receiveDigest(now, l, m)
	case wire.DigestBuckets:
		c.receiveDigestBuckets(now, l, m)
	case wire.BucketSummaries:
		c.receiveBucketSummaries(now, l, m)
	case wire.RecordRequest:
		c.receiveRecordRequest(now, l, m)
	case wire.Probe:
		c.receiveProbe(now, l, m)
	case wire.ProbeReply:
		c.receiveProbeReply(now, l, m)
	case wire.LinkReject:
		c.receiveReject(now, l, m)
	}
}

// mergeRecord merges a record received from peer (empty if this node produced it) and
// gossips it when it changed the view, unless noGossip is set.
func (c *Controller) mergeRecord(now time.Time, r wire.MemberRecord, peer model.InstanceID, noGossip bool) mergeResult {
	if r.ID == c.cfg.Self.ID && peer != "" && c.mustSupersede(r) {
		return c.supersede(now, r)
	}
	m := c.table.merge(r)
	switch {
	case m.tableFull:
		c.recordRateLimited(now, event.MemberLimit, string(r.ID), "")
		return m
	case !m.changed:
		c.gossip.alsoKnownBy(r.ID, peer, m.after == r)
		return m
	}
	c.dirty = true
	c.onStateChange(now, m)
	c.reaper.update(now, m)
	if !noGossip {
		c.gossip.queue(m.after, peer)
	}
	if r.ID == c.cfg.Self.ID && m.existed {
		c.onOwnListStatus(now, m.before, m.after)
	}
	return m
}

// onStateChange records a change of an instance's state and triggers its consequences.
func (c *Controller) onStateChange(now time.Time, m mergeResult) {
	id := m.after.ID
	newIncarnation := !m.existed || m.before.Incarnation != m.after.Incarnation
	switch {
	case newIncarnation && serving(m.after.State):
		c.checks.removeUnplannedExit(id)
		c.record(event.MemberJoined, string(id), "")
	case m.existed && m.before.State == m.after.State:
	case m.after.State == model.StateLeaving:
		c.record(event.MemberLeaving, string(id), "")
	case m.after.State == model.StateGone:
		c.record(event.MemberGone, string(id), "")
		c.onGone(now, m)
	}
}

// onGone closes the link to an instance that is gone and counts an unplanned exit.
func (c *Controller) onGone(now time.Time, m mergeResult) {
	if m.existed && serving(m.before.State) {
		c.checks.addUnplannedExit(now, m.after)
	}
	if l := c.links.get(m.after.ID); l != nil {
		c.closeLink(now, l)
	}
}

func (c *Controller) publish() {
	if !c.dirty && c.revision > 0 {
		return
	}
	c.dirty = false
	c.revision++
	c.board.Fleet.Put(&model.Fleet{Revision: c.revision, Instances: c.table.instances()})
}

func (c *Controller) emit(a control.Action) { c.out = append(c.out, a) }

func (c *Controller) send(to model.InstanceID, m wire.Message) {
	c.emit(control.Send{To: to, Message: m})
}

func (c *Controller) record(id event.ID, subject, detail string) {
	c.emit(control.Record{Event: id, Subject: subject, Detail: detail})
}

// recordInterval is the minimum time between two records of one event that peers can
// trigger at will.
const recordInterval = 10 * time.Second

func (c *Controller) recordRateLimited(now time.Time, id event.ID, subject, detail string) {
	if last, ok := c.lastRecorded[id]; ok && now.Sub(last) < recordInterval {
		return
	}
	c.lastRecorded[id] = now
	c.record(id, subject, detail)
}

// randomBetween returns a random duration in [low, high).
func (c *Controller) randomBetween(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// observationsUnreliable reports whether this node was paused so recently that it must
// not suspect or remove other instances.
func (c *Controller) observationsUnreliable(now time.Time) bool { return now.Before(c.unreliableUntil) }
