package member

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// heartbeatInterval is the time between two heartbeats on a link.
	heartbeatInterval = time.Second
	// silenceLimit is how long a link may be silent before its peer is checked.
	silenceLimit = 4 * time.Second
	// freshWindow is the maximum age of the last message for a link to prove that its
	// peer is reachable.
	freshWindow = 2 * time.Second
	// deadLinkLimit is the silence after which a link is closed.
	deadLinkLimit = 3 * silenceLimit
	// closingGrace is how long messages may still arrive on a link after it was closed;
	// later ones must have come over a link that the peer opened.
	closingGrace = 2 * time.Second
	// closedLinkMemory is how long a closed link is remembered.
	closedLinkMemory = 5 * time.Second
	// shortLinkAge is the age below which the end of an incoming link causes no check:
	// the peer may have opened it only to test reachability.
	shortLinkAge = 10 * time.Second
	// clockDriftDivisor bounds clock drift: this node's clock may run faster than a
	// peer's by one part in clockDriftDivisor.
	clockDriftDivisor = 1000
)

// link is the connection to one peer; both sides may have opened one.
type link struct {
	peer          model.InstanceID
	outgoing      bool
	openedAt      time.Time
	lastReceived  time.Time
	nextHeartbeat time.Time
	// peerClock is the peer's latest clock value and peerClockReceivedAt when it arrived;
	// zero if none did.
	peerClock           wire.Clock
	peerClockReceivedAt time.Time
	// closedAt is when this node closed the link; zero while it is open.
	closedAt time.Time
	// firstDigestAt is when to start the first digest exchange; zero for never.
	firstDigestAt time.Time
}

// fresh reports whether the link proves that its peer is reachable.
func (l *link) fresh(now time.Time) bool {
	return l.closedAt.IsZero() && now.Sub(l.lastReceived) < freshWindow
}

// echo returns a lower bound of the peer's current clock; zero if unknown.
func (l *link) echo(now time.Time) wire.Clock {
	if l.peerClock == 0 {
		return 0
	}
	since := now.Sub(l.peerClockReceivedAt)
	since -= since / clockDriftDivisor
	return l.peerClock + wire.Clock(since/time.Millisecond)
}

// links is the set of links, sorted by peer.
type links struct {
	all []*link
	// recentlyEnded holds links that ended within closingGrace.
	recentlyEnded []endedLink
}

type endedLink struct {
	peer model.InstanceID
	at   time.Time
}

// endedRecently reports whether a link to id ended within closingGrace.
func (s *links) endedRecently(now time.Time, id model.InstanceID) bool {
	s.recentlyEnded = slices.DeleteFunc(s.recentlyEnded, func(e endedLink) bool { return now.Sub(e.at) > closingGrace })
	return slices.ContainsFunc(s.recentlyEnded, func(e endedLink) bool { return e.peer == id })
}

func comparePeer(l *link, id model.InstanceID) int { return cmp.Compare(l.peer, id) }

func (s *links) get(id model.InstanceID) *link {
	at, ok := slices.BinarySearchFunc(s.all, id, comparePeer)
	if !ok {
		return nil
	}
	return s.all[at]
}

func (s *links) add(l *link) {
	at, _ := slices.BinarySearchFunc(s.all, l.peer, comparePeer)
	s.all = slices.Insert(s.all, at, l)
}

func (s *links) remove(l *link) {
	s.all = slices.DeleteFunc(s.all, func(other *link) bool { return other == l })
}

// open returns a new slice of the links that are not closing.
func (s *links) open() []*link {
	out := make([]*link, 0, len(s.all))
	for _, l := range s.all {
		if l.closedAt.IsZero() {
			out = append(out, l)
		}
	}
	return out
}

// fresh returns the links that prove their peers reachable.
func (s *links) fresh(now time.Time) []*link {
	return slices.DeleteFunc(s.open(), func(l *link) bool { return !l.fresh(now) })
}

// count returns the number of open links that this node opened, if outgoing is set, or
// else that its peers opened.
func (s *links) count(outgoing bool) int {
	n := 0
	for _, l := range s.all {
		if l.closedAt.IsZero() && l.outgoing == outgoing {
			n++
		}
	}
	return n
}

// resetSilence restarts the silence timers of all links.
func (s *links) resetSilence(now time.Time) {
	for _, l := range s.all {
		l.lastReceived = now
	}
}

func (c *Controller) linkUp(now time.Time, e control.LinkUp) {
	keep := c.finishDial(e.Peer.ID, e.Peer.PeerAddress)
	l := c.links.get(e.Peer.ID)
	if l == nil {
		l = &link{peer: e.Peer.ID, openedAt: now}
		c.links.add(l)
	}
	l.closedAt = time.Time{}
	l.lastReceived = now
	l.outgoing = l.outgoing || e.Outgoing
	l.nextHeartbeat = now
	l.firstDigestAt = now.Add(c.randomBetween(0, firstDigestSpread))
	if e.Peer.ID == c.cfg.Self.ID {
		c.closeLink(now, l)
		return
	}
	if r := recordOf(e.Peer); wellFormed(r) {
		c.mergeRecord(now, r, r.ID, false)
	}
	c.checks.markReachable(e.Peer.ID)
	c.finishReachableChecks(now)
	c.sendHeartbeat(now, l)
	c.send(l.peer, wire.Rumours{Records: []wire.MemberRecord{c.self()}})
	c.limitLinks(now, l, keep && e.Outgoing)
	c.startSnapshot(now)
}

// linkOf returns the link over which a message arrived, or nil if there is none. A
// heartbeat proves a link that this node does not know of, or the peer's half of one
// whose own half this node has closed.
func (c *Controller) linkOf(now time.Time, e control.Received) *link {
	l := c.links.get(e.From)
	if _, isHeartbeat := e.Message.(wire.Heartbeat); !isHeartbeat {
		return l
	}
	if _, known := c.table.get(e.From); l == nil && known && !c.links.endedRecently(now, e.From) {
		l = &link{peer: e.From, openedAt: now, nextHeartbeat: now}
		c.links.add(l)
		c.limitLinks(now, l, false)
		return l
	}
	if l != nil && !l.closedAt.IsZero() && now.Sub(l.closedAt) > closingGrace {
		l.closedAt = time.Time{}
		l.outgoing = false
		c.limitLinks(now, l, false)
	}
	return l
}

func (c *Controller) linkDown(now time.Time, e control.LinkDown) {
	if c.dialFailed(now, e.Peer) {
		return
	}
	l := c.links.get(e.Peer)
	if l == nil {
		return
	}
	planned := !e.Failed || !l.closedAt.IsZero()
	planned = planned || !l.outgoing && now.Sub(l.openedAt) < shortLinkAge
	c.links.remove(l)
	c.links.recentlyEnded = append(c.links.recentlyEnded, endedLink{peer: l.peer, at: now})
	c.checks.markUnreachable(l.peer)
	c.peers.delayOpening(now, c.refillDelay())
	if !planned {
		c.checkPeer(now, l.peer, "link broke")
	}
}

// closeLink closes a link. A link that the peer opened can only be closed by the peer, so
// it is asked to.
func (c *Controller) closeLink(now time.Time, l *link) {
	if !l.closedAt.IsZero() {
		return
	}
	l.closedAt = now
	if !l.outgoing {
		c.send(l.peer, wire.LinkReject{})
		return
	}
	c.emit(control.CloseLink{Peer: l.peer})
}

func (c *Controller) closeAllLinks(now time.Time) {
	for _, l := range c.links.open() {
		c.closeLink(now, l)
	}
}

// tickLinks sends heartbeats and detects silent links.
func (c *Controller) tickLinks(now time.Time) {
	for _, l := range slices.Clone(c.links.all) {
		silence := now.Sub(l.lastReceived)
		switch {
		case !l.closedAt.IsZero():
			c.forgetClosed(now, l)
			continue
		case silence > deadLinkLimit:
			c.closeLink(now, l)
			continue
		case silence > silenceLimit:
			c.checkPeer(now, l.peer, "link is silent")
		}
		if !now.Before(l.nextHeartbeat) {
			c.sendHeartbeat(now, l)
		}
	}
}

func (c *Controller) forgetClosed(now time.Time, l *link) {
	if now.Sub(l.closedAt) > closedLinkMemory {
		c.links.remove(l)
	}
}

// sendHeartbeat sends a heartbeat. The next one is due after a randomly shortened
// interval, so that links do not send in step.
func (c *Controller) sendHeartbeat(now time.Time, l *link) {
	l.nextHeartbeat = now.Add(heartbeatInterval - c.randomBetween(0, control.TickInterval))
	c.send(l.peer, wire.Heartbeat{Clock: c.clock(now), Echo: l.echo(now), List: c.listAges(now)})
}

func (c *Controller) receiveHeartbeat(now time.Time, l *link, m wire.Heartbeat) {
	if m.Clock > l.peerClock {
		l.peerClock = m.Clock
		l.peerClockReceivedAt = now
	}
	c.receiveListAges(now, l, m.List, c.transitTime(now, m.Echo))
}

// clock returns this node's clock: milliseconds since its first event, plus one.
func (c *Controller) clock(now time.Time) wire.Clock {
	return wire.Clock(now.Sub(c.started)/time.Millisecond) + 1
}

// transitTime returns an upper bound of the time that a message was in transit, from the
// echo of this node's clock in it; zero if it carries none.
func (c *Controller) transitTime(now time.Time, echo wire.Clock) time.Duration {
	own := c.clock(now)
	if echo == 0 || echo > own {
		return 0
	}
	return time.Duration(own-echo+1) * time.Millisecond
}
