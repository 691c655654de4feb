package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
)

// forward is one attempt that is forwarded to another node, with its reply. It stands for
// server.Forwarder and server.PeerHandler.
type forward struct {
	x       *exchange
	turn    uint64
	attempt model.Attempt
	// owner is the process that received the attempt; nil before.
	owner *process
	job   *job
	// closed: either side has closed the connection.
	closed bool
	// duplicated: a copy of the attempt is in transit, so a failure of this connection
	// doesn't prove that nothing was sent.
	duplicated bool
}

func newForward(x *exchange, step entry.Step) *forward {
	return &forward{x: x, turn: x.turn, attempt: step.Attempt}
}

// start opens or reuses a connection to address and sends the attempt.
func (f *forward) start(address string) {
	proc, w := f.x.proc, f.x.proc.w
	target := w.nodeByAddress(address)
	switch {
	case target == nil:
		f.failUnsent(time.Millisecond)
		return
	case w.net.isCut(proc.node, target) && w.chance(0.5):
		f.failUnsent(callTimeout)
		return
	case w.chance(w.net.broken):
		f.breakConnection(target)
		return
	}
	w.net.transmit(proc.node, target, func() { f.arrive(target) })
	if w.chance(w.net.duplicated) {
		f.sendDuplicate(target)
	}
}

// failUnsent reports after d that no connection was established, so nothing was sent.
func (f *forward) failUnsent(d time.Duration) {
	f.x.proc.after(d, func() {
		f.complete(result{refusal: model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true}})
	})
}

// breakConnection breaks the connection at a random point: before anything is sent, with
// the attempt still arriving late, or before the reply arrives.
func (f *forward) breakConnection(target *node) {
	proc, w := f.x.proc, f.x.proc.w
	w.ledger.count("broken connections")
	interruptAfter := func(d time.Duration) { proc.after(d, func() { f.complete(result{interrupted: true}) }) }
	switch w.rng.IntN(3) {
	case 0:
		interruptAfter(w.between(0, 20*time.Millisecond))
	case 1:
		interruptAfter(w.between(0, 20*time.Millisecond))
		f.sendDuplicate(target)
	default:
		f.sendDuplicate(target)
		interruptAfter(w.between(2*time.Millisecond, 100*time.Millisecond))
	}
}

// sendDuplicate lets a copy of the attempt arrive at a random time; no entry waits for
// its reply. The owner can't bound the age of an attempt without its clock. Such an
// attempt is sent only once (package owner), so it arrives within its remaining
// time or not at all.
func (f *forward) sendDuplicate(target *node) {
	w := f.x.proc.w
	sentAt := w.now
	f.duplicated = true
	w.ledger.count("late or repeated attempts")
	delay := w.between(0, 30*time.Millisecond)
	if w.chance(0.3) {
		delay = w.between(0, 3*time.Second)
	}
	w.after(delay, func() {
		if target.process == nil || target.process.peerClosed {
			return
		}
		owner := target.process
		owner.whenRunning(func() {
			if f.attempt.OwnerClock > 0 || w.now.Sub(sentAt) < f.attempt.Remaining {
				owner.offer(&job{attempt: f.attempt})
			}
		})
	})
}

// arrive hands the attempt to its owner's node.
func (f *forward) arrive(target *node) {
	owner := target.process
	if owner == nil || owner.peerClosed {
		// The port is closed: nothing was sent on this connection.
		if f.duplicated {
			f.x.proc.after(f.x.proc.w.net.delay(f.x.proc.node, target), func() { f.complete(result{interrupted: true}) })
			return
		}
		f.failUnsent(f.x.proc.w.net.delay(f.x.proc.node, target))
		return
	}
	f.owner = owner
	owner.incoming = append(owner.incoming, f)
	owner.whenRunning(func() {
		if owner.peerClosed {
			f.ownerEnded()
			return
		}
		owner.observeVersion(f.attempt.ID.Entry, f.attempt.Bundle)
		f.job = &job{attempt: f.attempt, reply: f.reply}
		owner.offer(f.job)
	})
}

// reply carries the owner's result back.
func (f *forward) reply(r result) {
	f.detach()
	w := f.x.proc.w
	w.net.transmit(f.owner.node, f.x.proc.node, func() {
		f.x.proc.whenRunning(func() { f.complete(r) })
	})
}

// detach removes the forward from the owner's incoming attempts.
func (f *forward) detach() {
	f.owner.incoming = slices.DeleteFunc(f.owner.incoming, func(o *forward) bool { return o == f })
}

// complete hands the result to the exchange, unless the entry has closed the connection.
func (f *forward) complete(r result) {
	if f.closed {
		return
	}
	f.closed = true
	f.x.attemptEnded(f.turn, r)
}

// abandon closes the connection at the entry; the owner then cancels the job.
func (f *forward) abandon() {
	if f.closed {
		return
	}
	f.closed = true
	if f.owner == nil {
		return
	}
	f.x.proc.w.net.transmit(f.x.proc.node, f.owner.node, func() {
		f.owner.whenRunning(func() {
			if f.job != nil && f.job.state != jobDone {
				f.job.cancel(false)
			}
		})
	})
}

// ownerEnded breaks the connection when the owner's process ends.
func (f *forward) ownerEnded() {
	f.x.proc.w.net.transmit(f.owner.node, f.x.proc.node, func() {
		f.x.proc.whenRunning(func() { f.complete(result{interrupted: true}) })
	})
}
