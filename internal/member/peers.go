package member

import (
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// outgoingLinks is the number of links that a node opens and keeps.
	outgoingLinks = 4
	// incomingLinks bounds the links that a node accepts.
	incomingLinks = 12
	// dialExpiry is how long opening a link may take.
	dialExpiry = 5 * time.Second
	// maxKeptDials bounds the dials in flight that fill outgoing links.
	maxKeptDials = 2
	// openSpread is the range of the random delay before the first dials, and before a
	// link that ended is replaced. In the second case it grows by openSpreadPerInstance
	// with the fleet size, since the cause that ended one link may have ended many.
	openSpread            = 300 * time.Millisecond
	openSpreadPerInstance = 100 * time.Microsecond
	// noCandidateWait is the delay before the next attempt when no peer is eligible.
	noCandidateWait = time.Second
	// Backoff of an unreachable peer; it doubles with each failure, and a random part of
	// up to its own length is added.
	backoffMin = time.Second
	backoffMax = time.Minute
	// rejectedFor is the minimum time before a peer that rejected a link is dialled
	// again.
	rejectedFor = time.Minute
	// Interval at which a random outgoing link is replaced, so that the topology stays
	// random whatever the order in which nodes started.
	rotateMin = 5 * time.Minute
	rotateMax = 15 * time.Minute
	// isolatedAfter is the time without any link after which isolation is recorded.
	isolatedAfter = 10 * time.Second
	// maxAlternatives is the number of other instances that a rejection names.
	maxAlternatives = 4
	// maxBackoffs bounds the peers whose backoff is stored.
	maxBackoffs = 512
)

// dial is an attempt in flight to open a link.
type dial struct {
	peer      model.InstanceID
	address   string
	startedAt time.Time
	// keep reports whether the link is to become one of the outgoing links; otherwise it
	// only tests whether the peer is reachable.
	keep bool
}

type backoff struct {
	failures int
	until    time.Time
}

// peering keeps the outgoing links filled.
type peering struct {
	dials      []dial
	backoffs   map[model.InstanceID]backoff
	nextOpen   time.Time
	nextRotate time.Time
	// nextExplore is the time of the next attempt beyond the outgoing limit.
	nextExplore time.Time
	// lastLinked is when this node last had a link.
	lastLinked time.Time
	// isolated reports whether the current isolation has been recorded.
	isolated bool
}

func (p *peering) reset() { p.backoffs = map[model.InstanceID]backoff{} }

// delayOpening postpones the next dial until d from now, unless it is already later.
func (p *peering) delayOpening(now time.Time, d time.Duration) {
	if at := now.Add(d); at.After(p.nextOpen) {
		p.nextOpen = at
	}
}

func (p *peering) dialing(id model.InstanceID) bool {
	return slices.ContainsFunc(p.dials, func(d dial) bool { return d.peer == id })
}

func (p *peering) keptDials() int {
	n := 0
	for _, d := range p.dials {
		if d.keep {
			n++
		}
	}
	return n
}

func (c *Controller) startPeering(now time.Time) {
	c.peers.lastLinked = now
	c.peers.delayOpening(now, c.randomBetween(0, openSpread))
	c.peers.nextRotate = now.Add(c.randomBetween(rotateMin, rotateMax))
	c.peers.nextExplore = now.Add(c.randomBetween(exploreMin, 2*exploreMin))
}

// refillDelay returns a random delay before a link that ended is replaced.
func (c *Controller) refillDelay() time.Duration {
	return c.randomBetween(0, openSpread+time.Duration(c.FleetSize())*openSpreadPerInstance)
}

func (c *Controller) tickPeering(now time.Time) {
	c.expireDials(now)
	c.recordIsolation(now)
	if c.ownState == model.StateGone || now.Before(c.peers.nextOpen) {
		return
	}
	if now.After(c.peers.nextRotate) {
		c.rotateLink(now)
	}
	if now.After(c.peers.nextExplore) {
		c.explore(now)
	}
	missing := outgoingLinks - c.links.count(true) - c.peers.keptDials()
	for range min(missing, maxKeptDials-c.peers.keptDials()) {
		if !c.openOne(now) {
			c.peers.delayOpening(now, noCandidateWait+c.refillDelay())
			return
		}
	}
}

// openOne dials a random peer, or a seed when no peer is eligible and no link exists.
func (c *Controller) openOne(now time.Time) bool {
	if r, ok := c.choosePeer(now); ok {
		c.dial(now, r.ID, r.PeerAddress, true)
		return true
	}
	return len(c.links.all) == 0 && c.openSeed(now)
}

func (c *Controller) openSeed(now time.Time) bool {
	start := 0
	if len(c.cfg.Seeds) > 0 {
		start = c.rng.IntN(len(c.cfg.Seeds))
	}
	for i := range c.cfg.Seeds {
		address := c.cfg.Seeds[(start+i)%len(c.cfg.Seeds)]
		id := model.InstanceID(address)
		if address == c.cfg.Self.PeerAddress || c.peers.dialing(id) || now.Before(c.peers.backoffs[id].until) {
			continue
		}
		c.dial(now, id, address, true)
		return true
	}
	return false
}

func (c *Controller) dial(now time.Time, id model.InstanceID, address string, keep bool) {
	if c.peers.dialing(id) {
		return
	}
	c.peers.dials = append(c.peers.dials, dial{peer: id, address: address, startedAt: now, keep: keep})
	c.emit(control.OpenLink{Peer: id, Address: address})
}

// choosePeer picks a random peer for an outgoing link. In order of preference: an
// instance of another data centre if no link goes to one, one of this data centre if no
// link stays within it, any serving instance, and any that is leaving.
func (c *Controller) choosePeer(now time.Time) (wire.MemberRecord, bool) {
	own := c.cfg.Self.DataCentre
	hasOwn, hasOther := c.outgoingLocations()
	servingAndEligible := func(r wire.MemberRecord) bool { return serving(r.State) && c.eligible(now, r) }
	if !hasOther && len(c.table.serving) > 1 {
		if r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
			return r.DataCentre != own && servingAndEligible(r)
		}); ok {
			return r, true
		}
	}
	if !hasOwn && c.table.serving[own] > 1 {
		if r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
			return r.DataCentre == own && servingAndEligible(r)
		}); ok {
			return r, true
		}
	}
	if r, ok := c.table.pick(c.rng, servingAndEligible); ok {
		return r, true
	}
	return c.table.pick(c.rng, func(r wire.MemberRecord) bool { return c.eligible(now, r) })
}

// outgoingLocations reports whether this node has, or is opening, an outgoing link within
// its own data centre and one to another.
func (c *Controller) outgoingLocations() (own, other bool) {
	note := func(id model.InstanceID) {
		r, ok := c.table.get(id)
		own = own || ok && r.DataCentre == c.cfg.Self.DataCentre
		other = other || ok && r.DataCentre != c.cfg.Self.DataCentre
	}
	for _, l := range c.links.all {
		if l.outgoing && l.closedAt.IsZero() {
			note(l.peer)
		}
	}
	for _, d := range c.peers.dials {
		note(d.peer)
	}
	return own, other
}

// eligible reports whether r may become the peer of an outgoing link.
func (c *Controller) eligible(now time.Time, r wire.MemberRecord) bool {
	return r.State != model.StateGone && c.unlinked(r) && !now.Before(c.peers.backoffs[r.ID].until)
}

// unlinked reports whether r has an address and no link or dial exists to it.
func (c *Controller) unlinked(r wire.MemberRecord) bool {
	return r.ID != c.cfg.Self.ID && r.PeerAddress != "" && c.links.get(r.ID) == nil && !c.peers.dialing(r.ID)
}

// finishDial ends the dials that an opened link completes, and reports whether one of
// them was for an outgoing link. The instance that answered at the address may not be the
// one that was dialled.
func (c *Controller) finishDial(id model.InstanceID, address string) (keep bool) {
	delete(c.peers.backoffs, id)
	c.peers.dials = slices.DeleteFunc(c.peers.dials, func(d dial) bool {
		ends := d.peer == id || d.address == address
		keep = keep || ends && d.keep
		return ends
	})
	return keep
}

// dialFailed handles the failure of the dial to id; it returns false when there is none.
func (c *Controller) dialFailed(now time.Time, id model.InstanceID) bool {
	at := slices.IndexFunc(c.peers.dials, func(d dial) bool { return d.peer == id })
	if at < 0 {
		return false
	}
	keep := c.peers.dials[at].keep
	c.peers.dials = slices.Delete(c.peers.dials, at, at+1)
	b := c.peers.backoffs[id]
	wait := min(backoffMin<<min(b.failures, 10), backoffMax)
	c.setBackoff(now, id, backoff{failures: b.failures + 1, until: now.Add(wait + c.randomBetween(0, wait))})
	c.checks.markUnreachable(id)
	if keep {
		c.checkPeer(now, id, "opening a link failed")
	}
	return true
}

func (c *Controller) setBackoff(now time.Time, id model.InstanceID, b backoff) {
	if len(c.peers.backoffs) >= maxBackoffs {
		for other, old := range c.peers.backoffs {
			if now.After(old.until) {
				delete(c.peers.backoffs, other)
			}
		}
	}
	if len(c.peers.backoffs) < maxBackoffs {
		c.peers.backoffs[id] = b
	}
}

func (c *Controller) expireDials(now time.Time) {
	for _, d := range slices.Clone(c.peers.dials) {
		if now.Sub(d.startedAt) > dialExpiry {
			c.dialFailed(now, d.peer)
		}
	}
}

// rotateLink closes a random outgoing link; the next tick replaces it.
func (c *Controller) rotateLink(now time.Time) {
	c.peers.nextRotate = now.Add(c.randomBetween(rotateMin, rotateMax))
	out := slices.DeleteFunc(c.links.open(), func(l *link) bool { return !l.outgoing })
	if len(out) < outgoingLinks || c.FleetSize() <= outgoingLinks+2 {
		return
	}
	c.closeLink(now, out[c.rng.IntN(len(out))])
}

// limitLinks closes a link when the limit is exceeded: another outgoing link than l when
// keep is set, otherwise l.
func (c *Controller) limitLinks(now time.Time, l *link, keep bool) {
	if c.links.count(l.outgoing) <= linkLimit(l.outgoing) {
		return
	}
	if !l.outgoing {
		c.redirect(now, l)
		return
	}
	if !keep {
		c.closeLink(now, l)
		return
	}
	older := slices.DeleteFunc(c.links.open(), func(o *link) bool { return o == l || !o.outgoing })
	c.closeLink(now, older[c.rng.IntN(len(older))])
}

func linkLimit(outgoing bool) int {
	if outgoing {
		return outgoingLinks
	}
	return incomingLinks
}

// redirect rejects an incoming link and names other instances to dial.
func (c *Controller) redirect(now time.Time, l *link) {
	l.closedAt = now
	var m wire.LinkReject
	for range maxAlternatives {
		r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
			return serving(r.State) && r.ID != l.peer && r.ID != c.cfg.Self.ID
		})
		if ok {
			m.Alternatives = append(m.Alternatives, r)
		}
	}
	c.send(l.peer, m)
}

// receiveReject closes a link that the peer rejected and merges the instances that it
// named.
func (c *Controller) receiveReject(now time.Time, l *link, m wire.LinkReject) {
	for _, r := range m.Alternatives[:min(len(m.Alternatives), maxAlternatives)] {
		c.mergeWithoutGossip(now, l, r)
	}
	c.closeLink(now, l)
	c.setBackoff(now, l.peer, backoff{until: now.Add(rejectedFor + c.randomBetween(0, rejectedFor))})
}

func (c *Controller) recordIsolation(now time.Time) {
	if len(c.links.all) > 0 {
		c.peers.lastLinked = now
		c.peers.isolated = false
		return
	}
	if c.peers.isolated || c.FleetSize() == 1 || now.Sub(c.peers.lastLinked) < isolatedAfter {
		return
	}
	c.peers.isolated = true
	c.record(event.Isolated, string(c.cfg.Self.ID), "")
}
