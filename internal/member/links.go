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
	// silenceLimit is the silence on a link after which its peer is suspected.
	silenceLimit = 4 * time.Second
	// freshFor is how old the last message may be for a link to prove that its
	// peer is reachable.
	freshFor = 2 * time.Second
	// deadLinkLimit is the silence after which a link is given up.
	deadLinkLimit = 3 * silenceLimit
	// closingGrace is how long messages may come in after a link was closed; later
	// ones come by a link that the peer opened as well.
	closingGrace = 2 * time.Second
	// closingLimit is how long a link that was closed is remembered as such.
	closingLimit = 5 * time.Second
	// shortLink is the age under which the end of a peer's link is no cause for
	// suspicion: the peer only wanted to see whether it can be opened.
	shortLink = 10 * time.Second
	// driftShare bounds how much faster this node's clock may run than a peer's.
	driftShare = 1000
)

// link is what is open to one peer; both sides may have opened one.
type link struct {
	peer     model.InstanceID
	outgoing bool
	since    time.Time
	heard    time.Time
	nextBeat time.Time
	// peerClock was heard at peerClockAt; zero for none.
	peerClock   wire.Clock
	peerClockAt time.Time
	// closingSince is when this node closed it; zero while it is open.
	closingSince time.Time
	// greet is when to open a first digest exchange; zero for never.
	greet time.Time
}

// fresh reports whether the link shows its peer reachable.
func (l *link) fresh(now time.Time) bool {
	return l.closingSince.IsZero() && now.Sub(l.heard) < freshFor
}

// echo returns a lower bound of the peer's clock.
func (l *link) echo(now time.Time) wire.Clock {
	if l.peerClock == 0 {
		return 0
	}
	since := now.Sub(l.peerClockAt)
	since -= since / driftShare
	return l.peerClock + wire.Clock(since/time.Millisecond)
}

// links is the set of links, sorted by peer.
type links struct {
	all []*link
	// ended are links that ended just now.
	ended []endedLink
}

type endedLink struct {
	peer model.InstanceID
	at   time.Time
}

// endedJustNow reports whether a link to id ended within closingGrace.
func (s *links) endedJustNow(now time.Time, id model.InstanceID) bool {
	s.ended = slices.DeleteFunc(s.ended, func(e endedLink) bool { return now.Sub(e.at) > closingGrace })
	return slices.ContainsFunc(s.ended, func(e endedLink) bool { return e.peer == id })
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

// open returns the links that are not closing. The result is a new slice.
func (s *links) open() []*link {
	out := make([]*link, 0, len(s.all))
	for _, l := range s.all {
		if l.closingSince.IsZero() {
			out = append(out, l)
		}
	}
	return out
}

// fresh returns the links that show their peers reachable.
func (s *links) fresh(now time.Time) []*link {
	return slices.DeleteFunc(s.open(), func(l *link) bool { return !l.fresh(now) })
}

// count returns the open links that this node opened, or those that peers did.
func (s *links) count(outgoing bool) int {
	n := 0
	for _, l := range s.all {
		if l.closingSince.IsZero() && l.outgoing == outgoing {
			n++
		}
	}
	return n
}

// pardon starts all silences anew.
func (s *links) pardon(now time.Time) {
	for _, l := range s.all {
		l.heard = now
	}
}

func (c *Controller) linkUp(now time.Time, e control.LinkUp) {
	slot := c.endDial(e.Peer.ID, e.Peer.PeerAddress)
	l := c.links.get(e.Peer.ID)
	if l == nil {
		l = &link{peer: e.Peer.ID, since: now}
		c.links.add(l)
	}
	l.closingSince = time.Time{}
	l.heard = now
	l.outgoing = l.outgoing || e.Outgoing
	l.nextBeat = now
	l.greet = now.Add(c.between(0, greetWithin))
	if e.Peer.ID == c.cfg.Self.ID {
		c.closeLink(now, l)
		return
	}
	if r := recordOf(e.Peer); wellFormed(r) {
		c.learn(now, r, r.ID, false)
	}
	c.checks.reached(e.Peer.ID)
	c.answerProbes(now)
	c.beat(now, l)
	c.send(l.peer, wire.Rumours{Records: []wire.MemberRecord{c.self()}})
	c.limitLinks(now, l, slot && e.Outgoing)
	c.startSnapshot(now)
}

// linkOf returns the link that a message came by. A heartbeat shows one that
// this node does not know of, or whose own half it has closed; nil when there is
// none.
func (c *Controller) linkOf(now time.Time, e control.Received) *link {
	l := c.links.get(e.From)
	if _, beat := e.Message.(wire.Heartbeat); !beat {
		return l
	}
	if _, known := c.table.get(e.From); l == nil && known && !c.links.endedJustNow(now, e.From) {
		l = &link{peer: e.From, since: now, nextBeat: now}
		c.links.add(l)
		c.limitLinks(now, l, false)
		return l
	}
	if l != nil && !l.closingSince.IsZero() && now.Sub(l.closingSince) > closingGrace {
		l.closingSince = time.Time{}
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
	planned := !e.Failed || !l.closingSince.IsZero()
	planned = planned || !l.outgoing && now.Sub(l.since) < shortLink
	c.links.remove(l)
	c.links.ended = append(c.links.ended, endedLink{peer: l.peer, at: now})
	c.checks.unreached(l.peer)
	c.peers.delay(now, c.refillWithin())
	if !planned {
		c.suspect(now, l.peer, "its link broke")
	}
}

// closeLink closes a link. One that the peer opened can only be asked for.
func (c *Controller) closeLink(now time.Time, l *link) {
	if !l.closingSince.IsZero() {
		return
	}
	l.closingSince = now
	if !l.outgoing {
		c.send(l.peer, wire.LinkReject{})
		return
	}
	c.act(control.CloseLink{Peer: l.peer})
}

func (c *Controller) closeAll(now time.Time) {
	for _, l := range c.links.open() {
		c.closeLink(now, l)
	}
}

// tickLinks sends heartbeats and watches for silence.
func (c *Controller) tickLinks(now time.Time) {
	for _, l := range slices.Clone(c.links.all) {
		silence := now.Sub(l.heard)
		switch {
		case !l.closingSince.IsZero():
			c.forgetClosed(now, l)
			continue
		case silence > deadLinkLimit:
			c.closeLink(now, l)
			continue
		case silence > silenceLimit:
			c.suspect(now, l.peer, "its link is silent")
		}
		if !now.Before(l.nextBeat) {
			c.beat(now, l)
		}
	}
}

func (c *Controller) forgetClosed(now time.Time, l *link) {
	if now.Sub(l.closingSince) > closingLimit {
		c.links.remove(l)
	}
}

// beat sends a heartbeat; a random part of the interval keeps links out of step.
func (c *Controller) beat(now time.Time, l *link) {
	l.nextBeat = now.Add(heartbeatInterval - c.between(0, control.TickInterval))
	c.send(l.peer, wire.Heartbeat{Clock: c.clock(now), Echo: l.echo(now), List: c.listAges(now)})
}

func (c *Controller) heartbeat(now time.Time, l *link, m wire.Heartbeat) {
	if m.Clock > l.peerClock {
		l.peerClock = m.Clock
		l.peerClockAt = now
	}
	c.heardList(now, l, m.List, c.waited(now, m.Echo))
}

// clock returns this node's own clock.
func (c *Controller) clock(now time.Time) wire.Clock {
	return wire.Clock(now.Sub(c.started)/time.Millisecond) + 1
}

// waited returns an upper bound of the time that a message was on its way, from
// the echo of this node's own clock in it; zero when it carries none.
func (c *Controller) waited(now time.Time, echo wire.Clock) time.Duration {
	own := c.clock(now)
	if echo == 0 || echo > own {
		return 0
	}
	return time.Duration(own-echo+1) * time.Millisecond
}
