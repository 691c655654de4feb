package proof

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// plannedStop is a graceful stop in progress (package node).
type plannedStop struct {
	startedAt time.Time
	// paused: the process was paused during the stop, so its time limit may not hold.
	paused bool
}

// stopPoll is the interval at which a stop checks for requests in flight.
const stopPoll = 10 * time.Millisecond

// beginStop begins the process's planned stop.
func (p *process) beginStop() {
	if p.stop != nil || !p.alive {
		return
	}
	p.stop = &plannedStop{startedAt: p.w.now}
	p.w.platform.put(p.node, model.StateLeaving)
	p.w.ledger.recordLeaving(p)
	p.postEvent(control.SelfStateChanged{State: model.StateLeaving, HandoverUntil: p.now().Add(stopTimeout / 2)})
	p.awaitLeaving()
}

// awaitLeaving waits until the core has handed over its request ids and leaves.
func (p *process) awaitLeaving() {
	if !p.leaving() && !p.stopExpired() {
		p.after(stopPoll, p.awaitLeaving)
		return
	}
	if p.w.options.skipDrain {
		p.after(leaveGrace, p.exit)
		return
	}
	p.after(leaveGrace, func() {
		p.callerClosed = true
		p.drainCallers()
	})
}

// drainCallers waits for the calls in flight and then closes the peer port.
func (p *process) drainCallers() {
	if len(p.exchanges) > 0 && !p.stopExpired() {
		p.after(stopPoll, p.drainCallers)
		return
	}
	p.peerClosed = true
	p.drainPeers()
}

func (p *process) drainPeers() {
	if p.hasAttempts() && !p.stopExpired() {
		p.after(stopPoll, p.drainPeers)
		return
	}
	p.exit()
}

// hasAttempts reports whether attempts of peers or jobs are in flight here.
func (p *process) hasAttempts() bool {
	for _, f := range p.incoming {
		if f.job != nil && !f.closed {
			return true
		}
	}
	return len(p.jobs) > 0
}

func (p *process) stopExpired() bool { return p.w.now.Sub(p.stop.startedAt) >= stopTimeout }

// exit ends the process after its planned stop.
func (p *process) exit() {
	p.w.ledger.checkStop(p)
	p.crash()
}
