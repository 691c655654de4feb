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
	// dialLimit is how long an opening may take.
	dialLimit = 5 * time.Second
	// slotDials bounds the openings in flight to fill outgoing links.
	slotDials = 2
	// openWithin is the spread of the first openings, and of one that replaces a
	// lost link; it grows by refillPerNode with the fleet, since what broke one
	// link may have broken many.
	openWithin    = 300 * time.Millisecond
	refillPerNode = 100 * time.Microsecond
	// noCandidateWait is the time to the next look when no peer suits.
	noCandidateWait = time.Second
	// Backoff of a peer that could not be reached, doubling.
	backoffMin = time.Second
	backoffMax = time.Minute
	// rejectedFor is the least time before a peer that has enough links is asked again.
	rejectedFor = time.Minute
	// An outgoing link is replaced by another now and then, so that the links of
	// the fleet stay random whatever order its nodes started in.
	rotateMin = 5 * time.Minute
	rotateMax = 15 * time.Minute
	// isolatedAfter is the time without any link after which it is logged.
	isolatedAfter = 10 * time.Second
	// redirects is the number of others that a rejection names.
	redirects = 4
	// maxBackoffs bounds the memory of unreachable peers.
	maxBackoffs = 512
)

// dial is an opening of a link in flight.
type dial struct {
	peer    model.InstanceID
	address string
	since   time.Time
	// slot says that it is to become one of the outgoing links; otherwise it
	// only finds out whether the peer is reachable.
	slot bool
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
	// nextExplore is the time of the next try beyond the outgoing links.
	nextExplore time.Time
	// linked is the last time at which there was a link.
	linked time.Time
	// isolated says that the lack of links has been logged.
	isolated bool
}

func (p *peering) init() { p.backoffs = map[model.InstanceID]backoff{} }

// delay puts the next opening off to at least d from now.
func (p *peering) delay(now time.Time, d time.Duration) {
	if at := now.Add(d); at.After(p.nextOpen) {
		p.nextOpen = at
	}
}

func (p *peering) dialing(id model.InstanceID) bool {
	return slices.ContainsFunc(p.dials, func(d dial) bool { return d.peer == id })
}

func (p *peering) slotDials() int {
	n := 0
	for _, d := range p.dials {
		if d.slot {
			n++
		}
	}
	return n
}

func (c *Controller) startPeering(now time.Time) {
	c.peers.linked = now
	c.peers.delay(now, c.between(0, openWithin))
	c.peers.nextRotate = now.Add(c.between(rotateMin, rotateMax))
	c.peers.nextExplore = now.Add(c.between(exploreMin, 2*exploreMin))
}

// refillWithin draws the time after which a lost link is replaced.
func (c *Controller) refillWithin() time.Duration {
	return c.between(0, openWithin+time.Duration(c.FleetSize())*refillPerNode)
}

func (c *Controller) tickPeering(now time.Time) {
	c.expireDials(now)
	c.watchIsolation(now)
	if c.stage == model.StateGone || now.Before(c.peers.nextOpen) {
		return
	}
	if now.After(c.peers.nextRotate) {
		c.rotate(now)
	}
	if now.After(c.peers.nextExplore) {
		c.explore(now)
	}
	missing := outgoingLinks - c.links.count(true) - c.peers.slotDials()
	for range min(missing, slotDials-c.peers.slotDials()) {
		if !c.openOne(now) {
			c.peers.delay(now, noCandidateWait+c.refillWithin())
			return
		}
	}
}

// openOne opens a link to a random peer, or to a seed when no peer is known.
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

func (c *Controller) dial(now time.Time, id model.InstanceID, address string, slot bool) {
	if c.peers.dialing(id) {
		return
	}
	c.peers.dials = append(c.peers.dials, dial{peer: id, address: address, since: now, slot: slot})
	c.act(control.OpenLink{Peer: id, Address: address})
}

// choosePeer picks a random peer for an outgoing link: first one of another
// data centre, then one of this, then any, and last one that is leaving.
func (c *Controller) choosePeer(now time.Time) (wire.MemberRecord, bool) {
	own := c.cfg.Self.DataCentre
	hasOwn, hasOther := c.outgoingPlaces()
	suits := func(r wire.MemberRecord) bool { return serving(r.State) && c.suits(now, r) }
	if !hasOther && len(c.table.serving) > 1 {
		if r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool { return r.DataCentre != own && suits(r) }); ok {
			return r, true
		}
	}
	if !hasOwn && c.table.serving[own] > 1 {
		if r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool { return r.DataCentre == own && suits(r) }); ok {
			return r, true
		}
	}
	if r, ok := c.table.pick(c.rng, suits); ok {
		return r, true
	}
	return c.table.pick(c.rng, func(r wire.MemberRecord) bool { return c.suits(now, r) })
}

// outgoingPlaces tells whether this node has, or is opening, a link within its
// data centre and one to another.
func (c *Controller) outgoingPlaces() (own, other bool) {
	note := func(id model.InstanceID) {
		r, ok := c.table.get(id)
		own = own || ok && r.DataCentre == c.cfg.Self.DataCentre
		other = other || ok && r.DataCentre != c.cfg.Self.DataCentre
	}
	for _, l := range c.links.all {
		if l.outgoing && l.closingSince.IsZero() {
			note(l.peer)
		}
	}
	for _, d := range c.peers.dials {
		note(d.peer)
	}
	return own, other
}

// suits reports whether r may become an outgoing link's peer.
func (c *Controller) suits(now time.Time, r wire.MemberRecord) bool {
	return r.State != model.StateGone && c.unlinked(r) && !now.Before(c.peers.backoffs[r.ID].until)
}

// unlinked reports whether a link to r could be opened: there is none yet.
func (c *Controller) unlinked(r wire.MemberRecord) bool {
	return r.ID != c.cfg.Self.ID && r.PeerAddress != "" && c.links.get(r.ID) == nil && !c.peers.dialing(r.ID)
}

// endDial ends the opening that a link came of, and reports whether it was for
// one of the outgoing links. Another instance may have answered at the address
// than was asked for.
func (c *Controller) endDial(id model.InstanceID, address string) (slot bool) {
	delete(c.peers.backoffs, id)
	c.peers.dials = slices.DeleteFunc(c.peers.dials, func(d dial) bool {
		ends := d.peer == id || d.address == address
		slot = slot || ends && d.slot
		return ends
	})
	return slot
}

// dialFailed takes the end of a failed opening; it reports false when there was
// none to id.
func (c *Controller) dialFailed(now time.Time, id model.InstanceID) bool {
	at := slices.IndexFunc(c.peers.dials, func(d dial) bool { return d.peer == id })
	if at < 0 {
		return false
	}
	slot := c.peers.dials[at].slot
	c.peers.dials = slices.Delete(c.peers.dials, at, at+1)
	b := c.peers.backoffs[id]
	wait := min(backoffMin<<min(b.failures, 10), backoffMax)
	c.putBackoff(now, id, backoff{failures: b.failures + 1, until: now.Add(wait + c.between(0, wait))})
	c.checks.unreached(id)
	if slot {
		c.suspect(now, id, "no link could be opened")
	}
	return true
}

func (c *Controller) putBackoff(now time.Time, id model.InstanceID, b backoff) {
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
		if now.Sub(d.since) > dialLimit {
			c.dialFailed(now, d.peer)
		}
	}
}

// rotate closes a random outgoing link; the next tick replaces it.
func (c *Controller) rotate(now time.Time) {
	c.peers.nextRotate = now.Add(c.between(rotateMin, rotateMax))
	out := slices.DeleteFunc(c.links.open(), func(l *link) bool { return !l.outgoing })
	if len(out) < outgoingLinks || c.FleetSize() <= outgoingLinks+2 {
		return
	}
	c.closeLink(now, out[c.rng.IntN(len(out))])
}

// limitLinks closes a link when there is one too many: an older one when the
// new one, l, is to stay.
func (c *Controller) limitLinks(now time.Time, l *link, stays bool) {
	if c.links.count(l.outgoing) <= linkLimit(l.outgoing) {
		return
	}
	if !l.outgoing {
		c.redirect(now, l)
		return
	}
	if !stays {
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

// redirect rejects a peer's link and names others to try.
func (c *Controller) redirect(now time.Time, l *link) {
	l.closingSince = now
	var m wire.LinkReject
	for range redirects {
		r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
			return serving(r.State) && r.ID != l.peer && r.ID != c.cfg.Self.ID
		})
		if ok {
			m.Alternatives = append(m.Alternatives, r)
		}
	}
	c.send(l.peer, m)
}

// rejected closes a link whose peer has enough, and takes over whom it named.
func (c *Controller) rejected(now time.Time, l *link, m wire.LinkReject) {
	for _, r := range m.Alternatives[:min(len(m.Alternatives), redirects)] {
		c.takeOver(now, l, r)
	}
	c.closeLink(now, l)
	c.putBackoff(now, l.peer, backoff{until: now.Add(rejectedFor + c.between(0, rejectedFor))})
}

func (c *Controller) watchIsolation(now time.Time) {
	if len(c.links.all) > 0 {
		c.peers.linked = now
		c.peers.isolated = false
		return
	}
	if c.peers.isolated || c.FleetSize() == 1 || now.Sub(c.peers.linked) < isolatedAfter {
		return
	}
	c.peers.isolated = true
	c.record(event.Isolated, string(c.cfg.Self.ID), "")
}
