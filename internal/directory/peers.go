package directory

import (
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Parameters of requests to peers.
const (
	// gossipIdle is how long a node that receives no freshness with its traffic waits before
	// it sends a request to a random peer. About three such requests precede the time, one
	// second, after which it would read the directory itself.
	gossipIdle = 300 * time.Millisecond
	// requestTimeout is how long a peer's reply is awaited before another request to it.
	requestTimeout = 500 * time.Millisecond
	// requestGap is the shortest time between requests to two peers: the first may be on a
	// slow machine, and any other has the same information. A reply takes 1 to 5 ms.
	requestGap = 60 * time.Millisecond
	// behindTimeout is how long a node that knows of a newer revision waits for its peers
	// before it reads the directory itself.
	behindTimeout = 250 * time.Millisecond
	// maxBehindDoublings bounds the doublings of behindTimeout to 4 s.
	maxBehindDoublings = 4
	// announceFanOut is the number of random peers to which a node announces a change at
	// once. Relayed by every receiver, an announcement reaches 19 in 20 nodes within some 5
	// ms for each doubling; gossip and traffic reach the others. In fleets of 300 with one
	// call a second per node it reduced the longest time until a change is in force from
	// 2.4 s to 1.0 s (TestChangeIsInForceWithinBound).
	announceFanOut = 3
	// localShare of localShareOf random peers are in this node's data centre if it has any:
	// requests to them cross no link between data centres.
	localShare, localShareOf = 3, 4
	// maxPeerDraws bounds the draws for a peer that is in this data centre, or is not this
	// node itself. With nine data centres of equal size one is found in 85 of 100 cases,
	// and in a fleet of two instances the other one is missed once in 65,000.
	maxPeerDraws = 16
)

// peerSync is the state of the requests to peers.
type peerSync struct {
	// pendingPeer received the last request, at requestedAt; empty once it has replied.
	pendingPeer model.InstanceID
	requestedAt time.Time
	// lastReceived is when a message from any peer was last received.
	lastReceived time.Time
	// newestRevision is the highest revision received, behindSince when this node first
	// received one that it does not have; zero while it has all.
	newestRevision model.Revision
	behindSince    time.Time
	requests       requestHistory
}

// mayRequest reports whether a request may be sent to a peer now.
func (s *peerSync) mayRequest(now time.Time, peer model.InstanceID) bool {
	switch s.pendingPeer {
	case "":
		return true
	case peer:
		return now.Sub(s.requestedAt) >= requestTimeout
	}
	return now.Sub(s.requestedAt) >= requestGap
}

// noteRevision records a peer's revision; known is this node's.
func (s *peerSync) noteRevision(now time.Time, revision, known model.Revision) {
	if s.newestRevision.Before(revision) {
		s.newestRevision = revision
	}
	if known.Before(s.newestRevision) && s.behindSince.IsZero() {
		s.behindSince = now
	}
}

// caughtUp records that this node's view has reached a revision.
func (s *peerSync) caughtUp(known model.Revision) {
	if !known.Before(s.newestRevision) {
		s.behindSince = time.Time{}
	}
}

// resetNewest records the revision of this node's own read of the directory. A higher
// revision received before was false, or will be received again.
func (s *peerSync) resetNewest(revision model.Revision) {
	s.newestRevision = revision
	s.behindSince = time.Time{}
}

// behindTooLong reports whether peers have failed to send a missing revision within
// behindTimeout, and restarts that time. It doubles for each own read in progress: another
// one may meet a better connection, but many fill a slow link, and then none ends.
func (s *peerSync) behindTooLong(now time.Time, readsInProgress int) bool {
	if s.behindSince.IsZero() || now.Sub(s.behindSince) < behindTimeout<<min(readsInProgress, maxBehindDoublings) {
		return false
	}
	s.behindSince = now
	return true
}

func (s *peerSync) begin(now time.Time, peer model.InstanceID) {
	s.pendingPeer, s.requestedAt = peer, now
}

func (s *peerSync) finish(peer model.InstanceID) {
	if s.pendingPeer == peer {
		s.pendingPeer = ""
	}
}

// handleFreshness handles a peer's freshness. With an equal revision and a known age it
// makes this node's view as fresh as the peer's; with a higher revision the changes are
// requested.
func (c *Controller) handleFreshness(now time.Time, e control.PeerFreshnessReceived) {
	c.peers.lastReceived = now
	revision := e.Freshness.At()
	c.peers.noteRevision(now, revision, c.revision)
	age := time.Duration(e.Freshness.AgeMs) * time.Millisecond
	switch {
	case c.revision.Before(revision):
		if in, ok := c.instance(e.From); ok && c.peers.mayRequest(now, e.From) {
			c.request(now, in)
		}
	case revision == c.revision && !revision.IsZero():
		c.confirmFromPeer(now, age+c.suspensionAllowance(now))
	}
}

// handlePeerDirectory applies a peer's reply, whose age includes its delay. Of a view of an
// earlier revision only a newer configuration counts, which its own version orders. The reads
// of a peer of an earlier era are of no use to this node.
func (c *Controller) handlePeerDirectory(now time.Time, e control.PeerDirectoryReceived) {
	c.peers.finish(e.From)
	c.peers.requests.replied(e.From, !e.ReadsFailing && e.Era >= c.revision.Era)
	c.peers.lastReceived = now
	if e.At().Before(c.revision) {
		c.handleEarlierView(now, e)
		return
	}
	if e.Era > c.revision.Era && !e.Full {
		return
	}
	c.detectRecovery(now)
	e.Age += c.suspensionAllowance(now)
	c.apply(now, &e.DirectoryRead, e.From)
	c.confirmFromPeer(now, e.Age)
}

// handleEarlierView takes a newer configuration from a peer whose view is of an earlier
// revision.
func (c *Controller) handleEarlierView(now time.Time, e control.PeerDirectoryReceived) {
	if e.Bundle != nil {
		c.applyEarlierBundle(now, &e.DirectoryRead, sourceName(e.From))
	}
	if e.Separate != nil && e.Separate.Version > c.heldVersion() {
		c.addOffer(e.From, e.Separate.Version)
		c.continueTransfer(now)
	}
}

// confirmFromPeer records that the view was the latest an age ago. Only successful reads of
// peers delay this node's own: the directory may reject some nodes and serve others, which
// must not wait because of that.
func (c *Controller) confirmFromPeer(now time.Time, age time.Duration) {
	if !now.Add(-age).After(c.confirmed) {
		return
	}
	c.detectRecovery(now)
	c.consecutiveReads = 0
	c.timer.ObservePeer(now, age, age)
	c.confirm(now.Add(-age))
}

// gossip sends a request to a random peer if no message was received for gossipIdle, if
// the view was not confirmed within the read interval, so that this node would read next, or
// if the peer may hold a newer configuration. The reply may show that the peer has read the
// directory since, or that it cannot.
func (c *Controller) gossip(now time.Time) {
	if now.Sub(c.peers.lastReceived) < gossipIdle && now.Sub(c.confirmed) < readSchedule.Interval && !c.configBehind() {
		return
	}
	if peer, ok := c.randomPeer(); ok && c.peers.mayRequest(now, peer.ID) {
		c.request(now, peer)
	}
}

// announceRevision sends requests to random peers after a change: each request carries the
// sender's revision, and a peer that is behind requests the changes in return.
func (c *Controller) announceRevision(now time.Time) {
	for range announceFanOut {
		if peer, ok := c.randomPeer(); ok {
			c.sendRequest(now, peer)
		}
	}
}

func (c *Controller) request(now time.Time, peer model.Instance) {
	c.peers.begin(now, peer.ID)
	c.sendRequest(now, peer)
}

func (c *Controller) sendRequest(now time.Time, peer model.Instance) {
	c.peers.requests.add(now, peer.ID)
	c.emit(control.RequestPeerDirectory{Peer: peer, After: c.revision, Config: c.heldVersion()})
}

// randomPeer picks another instance, mostly in this node's data centre. It draws a bounded
// number of times, so its cost does not depend on the size of the fleet.
func (c *Controller) randomPeer() (peer model.Instance, found bool) {
	fleet := c.board.Fleet.Get().Instances
	if len(fleet) == 0 {
		return model.Instance{}, false
	}
	local := c.rng.IntN(localShareOf) < localShare
	for range maxPeerDraws {
		in := &fleet[c.rng.IntN(len(fleet))]
		if in.ID == c.cfg.Self.ID {
			continue
		}
		peer, found = *in, true
		if !local || in.DataCentre == c.cfg.Self.DataCentre {
			break
		}
	}
	return peer, found
}

func (c *Controller) instance(id model.InstanceID) (model.Instance, bool) {
	return c.board.Fleet.Get().Instance(id)
}

// publishForPeers publishes the view that peers may request.
func (c *Controller) publishForPeers() {
	if c.config == nil && c.configBehind() {
		// Peers hold all that this node knows, and a configuration.
		return
	}
	d := &blackboard.Directory{
		Revision: c.revision, Confirmed: c.confirmed,
		Unlisted:          c.removed.forPeers(),
		CompactedRevision: max(c.removed.compactedRevision, c.evacuated.compactedRevision),
		Config:            c.config, ConfigKnownTo: min(c.transfer.knownTo, c.revision.Number), ConfigChangedBy: c.transfer.changedBy,
		Evacuations: c.evacuated.sorted(),
	}
	for _, id := range c.sortedWorkers() {
		if w := c.workers[id]; w.missingUntil.IsZero() {
			d.Listed = append(d.Listed, w.listing)
		}
	}
	d.FailedAt, d.Refused = c.failedAt, c.refused
	c.publishedConfirmed = c.confirmed
	c.board.Directory.Put(d)
}

// publishConfigKnown publishes up to which revision the configuration is known.
func (c *Controller) publishConfigKnown() {
	if c.board.Directory.Get() == nil {
		c.publishForPeers()
		return
	}
	c.republish(func(d *blackboard.Directory) {
		d.ConfigKnownTo, d.ConfigChangedBy = min(c.transfer.knownTo, d.Revision.Number), c.transfer.changedBy
	})
}

// publishConfirmed publishes a later confirmation of the view.
func (c *Controller) publishConfirmed() {
	c.republish(func(d *blackboard.Directory) { d.Confirmed, d.FailedAt = c.confirmed, c.failedAt })
	c.publishedConfirmed = c.confirmed
}

// publishFailed publishes that this node's read failed.
func (c *Controller) publishFailed(now time.Time) {
	c.failedAt = now
	c.republish(func(d *blackboard.Directory) { d.FailedAt = now })
}

// republish publishes the view with a change that does not concern workers.
func (c *Controller) republish(change func(*blackboard.Directory)) {
	before := c.board.Directory.Get()
	if before == nil {
		return
	}
	d := *before
	change(&d)
	c.board.Directory.Put(&d)
}

// soleReaderReads is the number of consecutive own reads, without a fresher view from a
// peer, after which a node takes itself for the only reader. Of ten nodes that take turns,
// one in a hundred has two such reads.
const soleReaderReads = 2

// estimateReaders estimates how many nodes take turns reading the directory. A node with
// one failed read may have been isolated together with many others that return at the same
// time; after several failures it leaves the reading to responsive peers.
func (c *Controller) estimateReaders(now time.Time) int {
	listed := c.FleetSize()
	switch c.readFailures {
	case 0:
		if c.consecutiveReads >= soleReaderReads {
			return 1
		}
		return c.peers.requests.estimateReaders(now, listed)
	case 1:
		return max(c.peers.requests.estimateReaders(now, listed), listed/maxSoleReaders)
	}
	return max(c.peers.requests.estimateResponsive(now, listed), listed/maxSoleReaders)
}
