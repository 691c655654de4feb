package directory

import (
	"slices"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Asking peers.
const (
	// gossipQuiet is how long a node that hears no marks with its traffic waits
	// before it asks a random peer: three times within the second after which it
	// would read the directory itself.
	gossipQuiet = 300 * time.Millisecond
	// askTimeout is how long an answer of a peer is awaited before it is asked again.
	askTimeout = 500 * time.Millisecond
	// askGap is the least time between questions to two peers: the first may be a
	// machine that is slow, and all others know as much. An answer takes 1 to 5 ms.
	askGap = 60 * time.Millisecond
	// behindLimit is how long a node that has heard of a newer revision waits for its
	// peers before it reads the directory itself.
	behindLimit = 250 * time.Millisecond
	// newsFanOut is how many random peers a node tells of news the moment it has them.
	// Told on by everybody they reach 19 in 20 nodes within some 5 ms for each doubling;
	// gossip and traffic reach the others. A change's longest way into force fell from
	// 2.4 s to 1.0 s in fleets of 300 that serve one call a second and node
	// (TestAChangeIsInForceWithinItsBound).
	newsFanOut = 3
	// nearShare is how many of this many random peers are of the own data centre
	// where it has any: what is asked there crosses no link between data centres.
	nearShare, nearOf = 3, 4
	// peerDraws is how many are drawn for one that is near, or is not this node itself: of
	// nine data centres of one size some is near in 85 of 100 cases, and of two instances
	// the other is drawn but for once in 65,000.
	peerDraws = 16
)

// asking is the state of questions to peers.
type asking struct {
	// peer is the one that was asked last, at the time of asking; empty when it has
	// answered.
	peer model.InstanceID
	at   time.Time
	// heard is when any peer was last heard.
	heard time.Time
	// newest is the greatest revision heard of, behindSince when this node first
	// heard of one that it lacks; zero while it lacks none.
	newest      uint64
	behindSince time.Time
	questions   questions
}

// open tells whether a peer may be asked now.
func (a *asking) open(now time.Time, peer model.InstanceID) bool {
	switch a.peer {
	case "":
		return true
	case peer:
		return now.Sub(a.at) >= askTimeout
	}
	return now.Sub(a.at) >= askGap
}

// note takes the revision that a peer knows; known is this node's.
func (a *asking) note(now time.Time, revision, known uint64) {
	a.newest = max(a.newest, revision)
	if a.newest > known && a.behindSince.IsZero() {
		a.behindSince = now
	}
}

// caughtUp takes the revision that this node knows now.
func (a *asking) caughtUp(known uint64) {
	if known >= a.newest {
		a.behindSince = time.Time{}
	}
}

// answered takes the revision that this node's own reading of the directory told. Nothing
// newer was there: what was heard of it was false, or is heard again.
func (a *asking) answered(revision uint64) {
	a.newest = revision
	a.behindSince = time.Time{}
}

// overdue tells whether peers have had their time to tell what this node lacks, and
// begins that time anew.
func (a *asking) overdue(now time.Time) bool {
	if a.behindSince.IsZero() || now.Sub(a.behindSince) < behindLimit {
		return false
	}
	a.behindSince = now
	return true
}

func (a *asking) begin(now time.Time, peer model.InstanceID) { a.peer, a.at = peer, now }

func (a *asking) end(peer model.InstanceID) {
	if a.peer == peer {
		a.peer = ""
	}
}

// heard takes a peer's mark. One of the same revision makes this node's knowledge as
// fresh as the peer's, if its age is known; a greater one is asked for.
func (c *Controller) heard(now time.Time, e control.PeerFreshnessReceived) {
	c.asks.heard = now
	c.asks.note(now, e.Freshness.Revision, c.revision)
	age := time.Duration(e.Freshness.AgeMs) * time.Millisecond
	switch {
	case e.Freshness.Revision > c.revision:
		if in, ok := c.instance(e.From); ok && c.asks.open(now, e.From) {
			c.ask(now, in)
		}
	case e.Freshness.Revision == c.revision && c.revision != 0:
		c.hearFresh(now, age+c.slept(now))
	}
}

// told takes a peer's answer; its age holds what it may have waited on its way.
func (c *Controller) told(now time.Time, e control.PeerDirectoryReceived) {
	c.asks.end(e.From)
	c.asks.questions.answered(e.From, !e.ReadsFailing)
	c.asks.heard = now
	if e.Revision < c.revision {
		return
	}
	c.noteReturn(now)
	e.Age += c.slept(now)
	c.take(now, &e.DirectoryRead, "peer "+string(e.From))
	c.hearFresh(now, e.Age)
}

// hearFresh notes that what is known was the newest an age ago. Failed attempts of
// others are not heard of: the directory may turn some nodes away and serve others,
// and those must not wait for it.
func (c *Controller) hearFresh(now time.Time, age time.Duration) {
	if !now.Add(-age).After(c.confirmed) {
		return
	}
	c.noteReturn(now)
	c.inRow = 0
	c.timer.ObservePeer(now, age, age)
	c.confirm(now.Add(-age))
}

// gossip asks a random peer when none was heard for a while, and before this node reads
// the directory: whoever has read it since is found, and whoever can't is known.
func (c *Controller) gossip(now time.Time) {
	if now.Sub(c.asks.heard) < gossipQuiet && now.Sub(c.confirmed) < pace.Interval {
		return
	}
	if peer, ok := c.randomPeer(); ok && c.asks.open(now, peer.ID) {
		c.ask(now, peer)
	}
}

// tellNews tells some random peers of a newer revision: each question carries the
// asker's, and whoever lacks it asks back.
func (c *Controller) tellNews(now time.Time) {
	for range newsFanOut {
		if peer, ok := c.randomPeer(); ok {
			c.question(now, peer)
		}
	}
}

func (c *Controller) ask(now time.Time, peer model.Instance) {
	c.asks.begin(now, peer.ID)
	c.question(now, peer)
}

func (c *Controller) question(now time.Time, peer model.Instance) {
	c.asks.questions.asked(now, peer.ID)
	c.do(control.RequestPeerDirectory{Peer: peer, After: c.revision})
}

// randomPeer draws another instance, mostly of the own data centre. It looks at a few
// of them, so that the fleet's size costs nothing.
func (c *Controller) randomPeer() (peer model.Instance, found bool) {
	fleet := c.board.Fleet.Get().Instances
	if len(fleet) == 0 {
		return model.Instance{}, false
	}
	near := c.rng.IntN(nearOf) < nearShare
	for range peerDraws {
		in := &fleet[c.rng.IntN(len(fleet))]
		if in.ID == c.cfg.Self.ID {
			continue
		}
		peer, found = *in, true
		if !near || in.DataCentre == c.cfg.Self.DataCentre {
			break
		}
	}
	return peer, found
}

func (c *Controller) instance(id model.InstanceID) (model.Instance, bool) {
	return c.board.Fleet.Get().Instance(id)
}

// publishForPeers writes what peers may ask for.
func (c *Controller) publishForPeers() {
	d := &blackboard.Directory{
		Revision: c.revision, Confirmed: c.confirmed,
		Unlisted: slices.Clone(c.removed.list), CompactedRevision: max(c.removed.floor, c.evacuated.floor), Config: c.config,
		Evacuations: c.evacuated.forPeers(),
	}
	for _, id := range c.sorted() {
		if w := c.workers[id]; w.missingUntil.IsZero() {
			d.Listed = append(d.Listed, w.listing)
		}
	}
	d.FailedAt, d.Refused = c.failedAt, c.refused
	c.published = c.confirmed
	c.board.Directory.Put(d)
}

// publishConfirmed writes that what peers may ask for was the newest at a later time.
func (c *Controller) publishConfirmed() {
	c.republish(func(d *blackboard.Directory) { d.Confirmed, d.FailedAt = c.confirmed, c.failedAt })
	c.published = c.confirmed
}

// publishFailed writes that this node's reading failed.
func (c *Controller) publishFailed(now time.Time) {
	c.failedAt = now
	c.republish(func(d *blackboard.Directory) { d.FailedAt = now })
}

// republish writes what peers may ask for with a change that concerns no worker.
func (c *Controller) republish(change func(*blackboard.Directory)) {
	before := c.board.Directory.Get()
	if before == nil {
		return
	}
	d := *before
	change(&d)
	c.board.Directory.Put(&d)
}

// onlyReader is the number of own readings in a row, none of a peer's heard of between, that
// make a node the only one which reads: of ten that take turns one in a hundred has two.
const onlyReader = 2

// readers estimates how many nodes read the directory in turn. One whose own reading failed
// may have been cut off with many that come back at the same moment; when several failed it
// leaves the reading to whoever lives.
func (c *Controller) readers(now time.Time) int {
	listed := c.FleetSize()
	switch c.failures {
	case 0:
		if c.inRow >= onlyReader {
			return 1
		}
		return c.asks.questions.readers(now, listed)
	case 1:
		return max(c.asks.questions.readers(now, listed), listed/crowd)
	}
	return max(c.asks.questions.living(now, listed), listed/crowd)
}

// Changes returns what a node that knows every change up to a revision lacks of d.
func Changes(d *blackboard.Directory, after uint64) control.DirectoryRead {
	out := control.DirectoryRead{Revision: d.Revision, Full: after < d.CompactedRevision || after == 0}
	for _, l := range d.Listed {
		if out.Full || l.Revision > after {
			out.Listed = append(out.Listed, l)
		}
	}
	for _, gone := range d.Unlisted {
		if gone.Revision > after {
			out.Unlisted = append(out.Unlisted, gone)
		}
	}
	for _, e := range d.Evacuations {
		if out.Full && !e.Ended || !out.Full && e.Revision > after {
			out.Evacuations = append(out.Evacuations, e)
		}
	}
	if d.Config != nil && (out.Full || d.Config.Revision > after) {
		out.Config = d.Config
	}
	if d.Refused != nil && (out.Full || d.Refused.Revision > after) {
		out.Refused = d.Refused
	}
	return out
}
