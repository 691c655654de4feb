package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
)

// forward is one attempt on its way to another node and back; it stands for
// server.Forwarder and server.Peer.
type forward struct {
	x       *exchange
	turn    uint64
	attempt model.Attempt
	// owner is the process that took the attempt; nil before.
	owner *life
	job   *job
	// closed: the connection has ended, at either side.
	closed bool
	// copied: the attempt may arrive more than once, so that its bytes have left
	// whatever becomes of this connection.
	copied bool
}

func newForward(x *exchange, step entry.Step) *forward {
	return &forward{x: x, turn: x.turn, attempt: step.Attempt}
}

// start opens or reuses a connection to address and sends the attempt.
func (f *forward) start(address string) {
	l, w := f.x.l, f.x.l.w
	target := w.at(address)
	switch {
	case target == nil:
		f.unreached(time.Millisecond)
		return
	case w.net.isCut(l.node, target) && w.chance(0.5):
		f.unreached(callTimeout)
		return
	case w.chance(w.net.broken):
		f.breakUp(target)
		return
	}
	w.net.carry(l.node, target, func() { f.reach(target) })
	if w.chance(w.net.copied) {
		f.copyTo(target)
	}
}

// unreached reports that no connection could be had: not a byte has left.
func (f *forward) unreached(d time.Duration) {
	f.x.l.after(d, func() {
		f.answer(result{refusal: model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true}})
	})
}

// breakUp ends the connection: before the attempt arrives, with the attempt late
// on its way, or before the answer does.
func (f *forward) breakUp(target *node) {
	l, w := f.x.l, f.x.l.w
	w.ledger.count("broken connections")
	broken := func(d time.Duration) { l.after(d, func() { f.answer(result{broken: true}) }) }
	switch w.rng.IntN(3) {
	case 0:
		broken(w.between(0, 20*time.Millisecond))
	case 1:
		broken(w.between(0, 20*time.Millisecond))
		f.copyTo(target)
	default:
		f.copyTo(target)
		broken(w.between(2*time.Millisecond, 100*time.Millisecond))
	}
}

// copyTo lets the attempt arrive at some time, with nobody who waits for it. An
// attempt without a stamp, whose age its owner cannot bound, arrives in time if
// at all: package owner (ledger) says so, as each attempt is sent but once.
func (f *forward) copyTo(target *node) {
	w := f.x.l.w
	begun := w.now
	f.copied = true
	w.ledger.count("late or repeated attempts")
	late := w.between(0, 30*time.Millisecond)
	if w.chance(0.3) {
		late = w.between(0, 3*time.Second)
	}
	w.after(late, func() {
		if target.life == nil || target.life.peerClosed {
			return
		}
		owner := target.life
		owner.data(func() {
			if f.attempt.OwnerClock > 0 || w.now.Sub(begun) < f.attempt.Remaining {
				owner.offer(&job{attempt: f.attempt})
			}
		})
	})
}

// reach is the attempt's arrival at its owner's node.
func (f *forward) reach(target *node) {
	owner := target.life
	if owner == nil || owner.peerClosed {
		// The port is closed: no connection, not a byte left.
		if f.copied {
			f.x.l.after(f.x.l.w.net.delay(f.x.l.node, target), func() { f.answer(result{broken: true}) })
			return
		}
		f.unreached(f.x.l.w.net.delay(f.x.l.node, target))
		return
	}
	f.owner = owner
	owner.inbound = append(owner.inbound, f)
	owner.data(func() {
		if owner.peerClosed {
			f.ownerDied()
			return
		}
		owner.saw(f.attempt.ID.Entry, f.attempt.Bundle)
		f.job = &job{attempt: f.attempt, reply: f.reply}
		owner.offer(f.job)
	})
}

// reply carries the owner's result back.
func (f *forward) reply(r result) {
	f.leave()
	w := f.x.l.w
	w.net.carry(f.owner.node, f.x.l.node, func() {
		f.x.l.data(func() { f.answer(r) })
	})
}

// leave ends the owner's part.
func (f *forward) leave() {
	f.owner.inbound = slices.DeleteFunc(f.owner.inbound, func(o *forward) bool { return o == f })
}

// answer hands the result to the exchange unless the connection was given up.
func (f *forward) answer(r result) {
	if f.closed {
		return
	}
	f.closed = true
	f.x.arrived(f.turn, r)
}

// close is the entry's giving up; the owner sees its connection end.
func (f *forward) close() {
	if f.closed {
		return
	}
	f.closed = true
	if f.owner == nil {
		return
	}
	f.x.l.w.net.carry(f.x.l.node, f.owner.node, func() {
		f.owner.data(func() {
			if f.job != nil && f.job.state != jobOver {
				f.job.giveUp(false)
			}
		})
	})
}

// ownerDied is the end of the owner's process: the connection breaks.
func (f *forward) ownerDied() {
	f.x.l.w.net.carry(f.owner.node, f.x.l.node, func() {
		f.x.l.data(func() { f.answer(result{broken: true}) })
	})
}
