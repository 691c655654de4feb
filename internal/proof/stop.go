package proof

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// plannedStop is a graceful stop under way (package node, Node.stop).
type plannedStop struct {
	begun time.Time
	// disturbed: the process was paused meanwhile, so the bound may not hold.
	disturbed bool
}

// stopPoll is how often a stop looks whether requests are still in flight.
const stopPoll = 10 * time.Millisecond

// leave begins the process's planned stop.
func (l *life) leave() {
	if l.stop != nil || !l.alive {
		return
	}
	l.stop = &plannedStop{begun: l.w.now}
	l.w.platform.put(l.node, model.StateLeaving)
	l.w.ledger.leaves(l)
	l.event(control.SelfStateChanged{State: model.StateLeaving})
	if l.w.switches.cutOff {
		l.after(leaveGrace, l.exit)
		return
	}
	l.after(leaveGrace, func() {
		l.callerClosed = true
		l.drainCallers()
	})
}

// drainCallers waits for the calls in flight, then for the attempts.
func (l *life) drainCallers() {
	if len(l.exchanges) > 0 && !l.stopEnds() {
		l.after(stopPoll, l.drainCallers)
		return
	}
	l.peerClosed = true
	l.drainPeers()
}

func (l *life) drainPeers() {
	if l.busy() && !l.stopEnds() {
		l.after(stopPoll, l.drainPeers)
		return
	}
	l.exit()
}

// busy tells whether attempts of peers are in flight here.
func (l *life) busy() bool {
	for _, f := range l.inbound {
		if f.job != nil && !f.closed {
			return true
		}
	}
	return len(l.jobs) > 0
}

func (l *life) stopEnds() bool { return l.w.now.Sub(l.stop.begun) >= stopTimeout }

// exit ends the process after its planned stop.
func (l *life) exit() {
	l.w.ledger.stopped(l)
	l.crash()
}
