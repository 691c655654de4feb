package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// links are one life's control links; they stand for package link.
type links struct {
	l      *life
	byPeer map[model.InstanceID][]*linkEnd
}

// linkEnd is one side of a link.
type linkEnd struct {
	l        *life
	peer     model.Instance
	other    *linkEnd
	outgoing bool
	// brief marks a link for settlement only.
	brief  bool
	closed bool
	// last is when the newest message of this end arrives, as a link keeps order.
	last time.Time
}

func newLinks(l *life) *links {
	return &links{l: l, byPeer: map[model.InstanceID][]*linkEnd{}}
}

// open stands for Manager.Open.
func (s *links) open(peer model.InstanceID, address string) {
	s.dial(address, false, func(e *linkEnd) {
		if e == nil {
			s.l.event(control.LinkDown{Peer: peer, Failed: true})
		}
	})
}

// dial opens a link; done gets its end, or nil when it failed.
func (s *links) dial(address string, brief bool, done func(*linkEnd)) {
	l, w := s.l, s.l.w
	target := w.at(address)
	failed := func(d time.Duration) { l.after(d, func() { done(nil) }) }
	switch {
	case target == nil || target == l.node:
		failed(time.Millisecond)
		return
	case w.net.isCut(l.node, target):
		failed(dialTimeout)
		return
	}
	begun := w.now
	w.after(w.net.delay(l.node, target), func() {
		if target.life == nil || target.life.peerClosed {
			failed(w.net.delay(l.node, target))
			return
		}
		// A process that stands still accepts and greets when it wakes.
		target.life.data(func() { s.accepted(target.life, brief, begun, done) })
	})
}

// accepted makes both ends once the peer has greeted in time.
func (s *links) accepted(peer *life, brief bool, begun time.Time, done func(*linkEnd)) {
	l, w := s.l, s.l.w
	if peer == nil || !l.alive || w.now.Sub(begun) > dialTimeout || w.net.isCut(l.node, peer.node) {
		l.after(dialTimeout-w.now.Sub(begun), func() { done(nil) })
		return
	}
	mine := &linkEnd{l: l, peer: peer.instance(), outgoing: true, brief: brief}
	theirs := &linkEnd{l: peer, peer: l.instance(), brief: brief, other: mine}
	mine.other = theirs
	peer.links.add(theirs)
	w.after(w.net.delay(l.node, peer.node), func() {
		l.data(func() {
			if mine.closed {
				done(nil)
				return
			}
			s.add(mine)
			done(mine)
		})
	})
}

func (s *links) add(e *linkEnd) {
	s.byPeer[e.peer.ID] = append(s.byPeer[e.peer.ID], e)
	if !e.brief {
		s.l.event(control.LinkUp{Peer: e.peer, Outgoing: e.outgoing})
	}
}

// remove forgets e; the last peer link's end is told.
func (s *links) remove(e *linkEnd, planned bool) {
	if e.closed {
		return
	}
	e.closed = true
	id := e.peer.ID
	before := len(s.byPeer[id])
	s.byPeer[id] = slices.DeleteFunc(s.byPeer[id], func(o *linkEnd) bool { return o == e })
	if len(s.byPeer[id]) == before || e.brief {
		return
	}
	if !slices.ContainsFunc(s.byPeer[id], func(o *linkEnd) bool { return !o.brief }) {
		s.l.event(control.LinkDown{Peer: id, Failed: !planned})
	}
}

// end closes this end and, after the delay, the other.
func (e *linkEnd) end(planned bool) {
	e.l.links.remove(e, planned)
	e.l.w.net.carry(e.l.node, e.other.l.node, func() {
		if e.other.l.alive {
			e.other.l.links.remove(e.other, false)
		}
	})
}

// reset ends this side once the other has shown that it knows no such link, as
// TCP does.
func (e *linkEnd) reset() {
	e.l.w.net.carry(e.other.l.node, e.l.node, func() {
		if e.l.alive {
			e.l.links.remove(e, false)
		}
	})
}

// close stands for Manager.CloseLink.
func (s *links) close(peer model.InstanceID) {
	for _, e := range slices.Clone(s.byPeer[peer]) {
		if e.outgoing && !e.brief {
			e.end(true)
		}
	}
}

// breakAll ends all links to peer at this side, as TCP does in the end.
func (s *links) breakAll(peer model.InstanceID) {
	for _, e := range slices.Clone(s.byPeer[peer]) {
		s.remove(e, false)
	}
}

// closeAll ends all links as the process ends.
func (s *links) closeAll() {
	for _, n := range s.l.w.nodes {
		for _, e := range slices.Clone(s.byPeer[n.id]) {
			e.end(true)
		}
	}
}

// send stands for Manager.Send: false when there is no link.
func (s *links) send(to model.InstanceID, m wire.Message) bool {
	ends := s.byPeer[to]
	if len(ends) == 0 {
		return false
	}
	ends[0].send(m)
	return true
}

// sendTo stands for Manager.SendTo: it opens a brief link when there is none.
// sent is told whether the message is on its way.
func (s *links) sendTo(to model.Instance, m wire.Message, sent func(ok bool)) {
	if s.send(to.ID, m) {
		sent(true)
		return
	}
	s.dial(to.PeerAddress, true, func(e *linkEnd) {
		ok := e != nil && e.peer.ID == to.ID
		if ok {
			e.send(m)
		}
		sent(ok)
	})
}

// send carries a message in its wire form, with the network's faults.
func (e *linkEnd) send(m wire.Message) {
	w := e.l.w
	data, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	if w.chance(w.net.loss) {
		return
	}
	e.deliver(data)
	if w.chance(w.net.repeat) {
		e.deliver(data)
	}
}

func (e *linkEnd) deliver(data []byte) {
	w := e.l.w
	to := e.other
	arrive := func() {
		if to.closed || !to.l.alive {
			e.reset()
			return
		}
		m, err := wire.Decode(data)
		if err != nil {
			panic(err)
		}
		w.trace.add(w, "message", e.l.node.id, to.l.node.id, m.Kind(), len(data))
		if _, probe := m.(wire.LoadProbe); probe {
			w.ledger.count("probes arrived")
		}
		to.l.event(control.Received{From: e.l.node.id, Message: m})
	}
	if w.net.isCut(e.l.node, to.l.node) {
		w.net.carry(e.l.node, to.l.node, arrive)
		return
	}
	if w.chance(w.net.reorder) {
		w.after(w.between(0, 300*time.Millisecond), arrive)
		return
	}
	at := w.now.Add(w.net.delay(e.l.node, to.l.node))
	if at.Before(e.last) {
		at = e.last
	}
	e.last = at
	w.after(at.Sub(w.now), arrive)
}
