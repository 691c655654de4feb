package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// links are the control links of one process. They stand for package link.
type links struct {
	proc   *process
	byPeer map[model.InstanceID][]*linkEnd
}

// linkEnd is one side of a link.
type linkEnd struct {
	proc     *process
	peer     model.Instance
	other    *linkEnd
	outgoing bool
	// transient marks a link that carries outcome resolution only.
	transient bool
	closed    bool
	// lastArrival is when the newest message of this end arrives; later messages don't
	// overtake it, since a link keeps their order.
	lastArrival time.Time
}

func newLinks(proc *process) *links {
	return &links{proc: proc, byPeer: map[model.InstanceID][]*linkEnd{}}
}

// open stands for link.Manager.Open. A failure is reported as LinkDown.
func (s *links) open(peer model.InstanceID, address string) {
	s.dial(address, false, func(e *linkEnd) {
		if e == nil {
			s.proc.postEvent(control.LinkDown{Peer: peer, Failed: true})
		}
	})
}

// dial opens a link. done receives this side of it, or nil after a failure.
func (s *links) dial(address string, transient bool, done func(*linkEnd)) {
	proc, w := s.proc, s.proc.w
	target := w.nodeByAddress(address)
	failAfter := func(d time.Duration) { proc.after(d, func() { done(nil) }) }
	switch {
	case target == nil || target == proc.node:
		failAfter(time.Millisecond)
		return
	case w.net.isCut(proc.node, target):
		failAfter(dialTimeout)
		return
	}
	dialledAt := w.now
	w.after(w.net.delay(proc.node, target), func() {
		if target.process == nil || target.process.peerClosed {
			failAfter(w.net.delay(proc.node, target))
			return
		}
		// A paused process completes the handshake after it resumes.
		target.process.whenRunning(func() { s.accept(target.process, transient, dialledAt, done) })
	})
}

// accept creates both ends once the peer has completed the handshake within dialTimeout.
func (s *links) accept(peer *process, transient bool, dialledAt time.Time, done func(*linkEnd)) {
	proc, w := s.proc, s.proc.w
	if peer == nil || !proc.alive || w.now.Sub(dialledAt) > dialTimeout || w.net.isCut(proc.node, peer.node) {
		proc.after(dialTimeout-w.now.Sub(dialledAt), func() { done(nil) })
		return
	}
	mine := &linkEnd{proc: proc, peer: peer.instance(), outgoing: true, transient: transient}
	theirs := &linkEnd{proc: peer, peer: proc.instance(), transient: transient, other: mine}
	mine.other = theirs
	peer.links.add(theirs)
	w.after(w.net.delay(proc.node, peer.node), func() {
		proc.whenRunning(func() {
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
	if !e.transient {
		s.proc.postEvent(control.LinkUp{Peer: e.peer, Outgoing: e.outgoing})
	}
}

// remove drops e and reports LinkDown when it was the last permanent link to its peer.
func (s *links) remove(e *linkEnd, planned bool) {
	if e.closed {
		return
	}
	e.closed = true
	id := e.peer.ID
	before := len(s.byPeer[id])
	s.byPeer[id] = slices.DeleteFunc(s.byPeer[id], func(o *linkEnd) bool { return o == e })
	if len(s.byPeer[id]) == before || e.transient {
		return
	}
	if !slices.ContainsFunc(s.byPeer[id], func(o *linkEnd) bool { return !o.transient }) {
		s.proc.postEvent(control.LinkDown{Peer: id, Failed: !planned})
	}
}

// shutdown closes this end and, after the network delay, the other one.
func (e *linkEnd) shutdown(planned bool) {
	e.proc.links.remove(e, planned)
	e.proc.w.net.transmit(e.proc.node, e.other.proc.node, func() {
		if e.other.proc.alive {
			e.other.proc.links.remove(e.other, false)
		}
	})
}

// reset closes this end after the other side has shown that it has no such link, like a
// TCP reset.
func (e *linkEnd) reset() {
	e.proc.w.net.transmit(e.other.proc.node, e.proc.node, func() {
		if e.proc.alive {
			e.proc.links.remove(e, false)
		}
	})
}

// close stands for link.Manager.CloseLink.
func (s *links) close(peer model.InstanceID) {
	for _, e := range slices.Clone(s.byPeer[peer]) {
		if e.outgoing && !e.transient {
			e.shutdown(true)
		}
	}
}

// breakAll closes this side of all links to peer, as TCP does after its retransmission
// timeout.
func (s *links) breakAll(peer model.InstanceID) {
	for _, e := range slices.Clone(s.byPeer[peer]) {
		s.remove(e, false)
	}
}

// closeAll closes all links when the process ends.
func (s *links) closeAll() {
	for _, n := range s.proc.w.nodes {
		for _, e := range slices.Clone(s.byPeer[n.id]) {
			e.shutdown(true)
		}
	}
}

// send stands for link.Manager.Send. It returns false when there is no link.
func (s *links) send(to model.InstanceID, m wire.Message) bool {
	ends := s.byPeer[to]
	if len(ends) == 0 {
		return false
	}
	ends[0].send(m)
	return true
}

// sendTo stands for link.Manager.SendTo: it opens a transient link when there is none.
// onSent receives whether the message was sent.
func (s *links) sendTo(to model.Instance, m wire.Message, onSent func(ok bool)) {
	if s.send(to.ID, m) {
		onSent(true)
		return
	}
	s.dial(to.PeerAddress, true, func(e *linkEnd) {
		ok := e != nil && e.peer.ID == to.ID
		if ok {
			e.send(m)
		}
		onSent(ok)
	})
}

// send encodes a message and sends it subject to the network's faults.
func (e *linkEnd) send(m wire.Message) {
	w := e.proc.w
	data, err := wire.Encode(m)
	if err != nil {
		panic(err)
	}
	if w.chance(w.net.loss) {
		return
	}
	e.deliver(data)
	if w.chance(w.net.duplicate) {
		e.deliver(data)
	}
}

func (e *linkEnd) deliver(data []byte) {
	w := e.proc.w
	to := e.other
	arrive := func() {
		if to.closed || !to.proc.alive {
			e.reset()
			return
		}
		m, err := wire.Decode(data)
		if err != nil {
			panic(err)
		}
		w.trace.add(w, "message", e.proc.node.id, to.proc.node.id, m.Kind(), len(data))
		if _, probe := m.(wire.LoadProbe); probe {
			w.ledger.count("probes arrived")
		}
		to.proc.postEvent(control.Received{From: e.proc.node.id, Message: m})
	}
	if w.net.isCut(e.proc.node, to.proc.node) {
		w.net.transmit(e.proc.node, to.proc.node, arrive)
		return
	}
	if w.chance(w.net.reorder) {
		w.after(w.between(0, 300*time.Millisecond), arrive)
		return
	}
	at := w.now.Add(w.net.delay(e.proc.node, to.proc.node))
	if at.Before(e.lastArrival) {
		at = e.lastArrival
	}
	e.lastArrival = at
	w.after(at.Sub(w.now), arrive)
}
