// Package member keeps a node's view of the fleet: from the platform's lagging
// list, the owners' own word and what links show. It also chooses the bounded
// number of peers that this node keeps links to. It writes the blackboard's
// Fleet section. Design: docs/DESIGN.md, "Membership".
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

// Config is a controller's fixed setting.
type Config struct {
	Self model.Instance
	// Seeds are peer addresses from the settings, for a node that the platform's
	// list has not reached yet. May be empty. As a seed's id is not known before
	// its link is up, OpenLink names it by its address.
	Seeds []string
}

// Controller implements control.Controller. Its accessors are for the goroutine
// that calls Handle.
type Controller struct {
	cfg   Config
	board *blackboard.Board
	rng   *rand.Rand
	// started is the time of the first event; zero before.
	started time.Time
	out     []control.Action

	table *table
	// dirty says that the table has changed since it was published.
	dirty    bool
	revision uint64
	// stage is this node's own life stage, as the node's life cycle said.
	stage  model.UpstreamState
	raises raises
	// said is when an event that peers can cause was last recorded.
	said map[event.ID]time.Time

	links  links
	peers  peering
	gossip gossip
	sync   synchronizer
	list   listReader
	checks checker
	reaper reaper
	// doubtUntil is how long this node trusts its own observations less, since
	// it was paused.
	doubtUntil time.Time
}

var _ control.Controller = (*Controller)(nil)

// New returns a controller that knows itself only.
func New(cfg Config, board *blackboard.Board, rng *rand.Rand) *Controller {
	c := &Controller{cfg: cfg, board: board, rng: rng, table: newTable(), stage: cfg.Self.State}
	c.list.timer = suppress.New(rng)
	c.said = map[event.ID]time.Time{}
	c.peers.init()
	c.gossip.init()
	c.reaper.init()
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
			c.suspect(now, e.Owner.ID, "a call could not connect")
		}
	}
	return c.out
}

// ListConfirmed returns the time at which the platform's list was last
// confirmed, by this node's reading or a peer's; zero for never.
func (c *Controller) ListConfirmed() time.Time { return c.list.timer.LastSuccess() }

// ListReads counts this node's own reads of the platform's list.
func (c *Controller) ListReads() uint64 { return c.list.timer.ReadCount() }

// FleetSize returns the number of known instances that are not gone, this node
// included.
func (c *Controller) FleetSize() int { return max(c.table.present, 1) }

// Loaded reports whether this node has taken over the whole fleet from its
// peers, or has found that none of them has it.
func (c *Controller) Loaded() bool { return c.sync.loaded }

// Self returns this node's own instance with its present incarnation.
func (c *Controller) Self() model.Instance { return instanceOf(c.self()) }

// Link is one open link to a peer.
type Link struct {
	Peer model.InstanceID
	// Outgoing tells whether this node opened it.
	Outgoing bool
	// LastReceived is when the peer was last heard on it.
	LastReceived time.Time
}

// Links returns the open links in the order of the peers' ids.
func (c *Controller) Links() []Link {
	var out []Link
	for _, l := range c.links.open() {
		out = append(out, Link{Peer: l.peer, Outgoing: l.outgoing, LastReceived: l.heard})
	}
	return out
}

func (c *Controller) start(now time.Time) {
	c.started = now
	c.startPeering(now)
	c.sync.next = now.Add(c.between(digestMin, digestMax))
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

// pauseDoubt is how long after a pause this node suspects and accuses nobody.
const pauseDoubt = 5 * time.Second

// paused takes that the process stood still for d: what it last heard is no
// evidence, and its view may be old.
func (c *Controller) paused(now time.Time, d time.Duration) {
	c.doubtUntil = now.Add(pauseDoubt)
	c.list.timer.ProcessPaused(now, d)
	c.links.pardon(now)
	c.dropChecks()
	c.peers.dials = nil
	c.reaper.delay(d)
	if d > tombstoneFor {
		c.forgetOthers()
		c.startSnapshot(now)
	}
	c.sync.next = now.Add(c.between(0, time.Second))
}

// forgetOthers starts anew: after so long a pause, tombstones that would
// contradict the old view may have been dropped everywhere.
func (c *Controller) forgetOthers() {
	self := c.self()
	c.table = newTable()
	c.table.merge(self)
	c.gossip.init()
	c.reaper.init()
	c.sync = synchronizer{}
	c.list.forget()
	c.dirty = true
}

func (c *Controller) received(now time.Time, e control.Received) {
	l := c.linkOf(now, e)
	if l == nil {
		return
	}
	l.heard = now
	switch m := e.Message.(type) {
	case wire.Heartbeat:
		c.heartbeat(now, l, m)
	case wire.ListBeacon:
		c.heardList(now, l, m.List, c.waited(now, m.Echo))
	case wire.Rumours:
		c.rumours(now, l, m)
	case wire.SnapshotRequest:
		c.serveSnapshot(now, l, m)
	case wire.SnapshotChunk:
		c.snapshotPiece(now, l, m)
	case wire.Digest:
		c.digest(now, l, m)
	case wire.DigestBuckets:
		c.digestBuckets(now, l, m)
	case wire.BucketSummaries:
		c.bucketSummaries(now, l, m)
	case wire.RecordRequest:
		c.want(now, l, m)
	case wire.Probe:
		c.probe(now, l, m)
	case wire.ProbeReply:
		c.probeReply(now, l, m)
	case wire.LinkReject:
		c.rejected(now, l, m)
	}
}

// learn merges a record that peer told (empty: this node found it out) and
// spreads it when it is news, unless quiet.
func (c *Controller) learn(now time.Time, r wire.MemberRecord, peer model.InstanceID, quiet bool) merged {
	if r.ID == c.cfg.Self.ID && peer != "" && c.contradicts(r) {
		return c.contradicted(now, r)
	}
	m := c.table.merge(r)
	switch {
	case m.refused:
		c.recordRarely(now, event.MemberLimit, string(r.ID), "")
		return m
	case !m.changed:
		c.gossip.alsoKnownBy(r.ID, peer, m.now == r)
		return m
	}
	c.dirty = true
	c.noteStage(now, m)
	c.reaper.note(now, m)
	if !quiet {
		c.gossip.queue(m.now, peer)
	}
	if r.ID == c.cfg.Self.ID && m.known {
		c.listedSelf(now, m.old, m.now)
	}
	return m
}

// noteStage records what changed and follows it up.
func (c *Controller) noteStage(now time.Time, m merged) {
	id := m.now.ID
	newLife := !m.known || m.old.Incarnation != m.now.Incarnation
	switch {
	case newLife && serving(m.now.State):
		c.checks.noteReturn(id)
		c.record(event.MemberJoined, string(id), "")
	case m.known && m.old.State == m.now.State:
	case m.now.State == model.StateLeaving:
		c.record(event.MemberLeaving, string(id), "")
	case m.now.State == model.StateGone:
		c.record(event.MemberGone, string(id), "")
		c.gone(now, m)
	}
}

// gone drops what this node still holds open for an instance.
func (c *Controller) gone(now time.Time, m merged) {
	if m.known && serving(m.old.State) {
		c.checks.noteLoss(now, m.now)
	}
	if l := c.links.get(m.now.ID); l != nil {
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

func (c *Controller) act(a control.Action) { c.out = append(c.out, a) }

func (c *Controller) send(to model.InstanceID, m wire.Message) {
	c.act(control.Send{To: to, Message: m})
}

func (c *Controller) record(id event.ID, subject, detail string) {
	c.act(control.Record{Event: id, Subject: subject, Detail: detail})
}

// recordInterval is the least time between two records of an event that a peer
// can cause at will.
const recordInterval = 10 * time.Second

func (c *Controller) recordRarely(now time.Time, id event.ID, subject, detail string) {
	if last, ok := c.said[id]; ok && now.Sub(last) < recordInterval {
		return
	}
	c.said[id] = now
	c.record(id, subject, detail)
}

// between returns a random duration from low up to high.
func (c *Controller) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.rng.Int64N(int64(high-low)))
}

// doubts reports whether this node trusts its own observations too little to
// speak against others.
func (c *Controller) doubts(now time.Time) bool { return now.Before(c.doubtUntil) }
