package proof

import (
	"time"

	"gypsumstand/internal/model"
)

// Bounds of recovery.
const (
	// recoveryTime is how long after the last fault service is full again.
	recoveryTime = 15 * time.Second
	// lastCalls is how long the calls then made take.
	lastCalls = 3 * time.Second
	// replaceRounds is how often leaving processes are replaced: a stop that was
	// under way may have been followed by a start beside a worker that drains.
	replaceRounds = 2
)

// recover ends all faults, lets the stated time pass and checks that every
// process serves every route on the newest version.
func (w *world) recover() {
	w.endFaults()
	w.advance(recoveryTime)
	w.checkViews()
	probes := w.probe()
	w.advance(lastCalls)
	w.checkEnded(probes)
	w.ledger.checkSpread()
}

// endFaults ends what is under way; processes that are leaving or gone, and
// workers that drain, are replaced.
func (w *world) endFaults() {
	w.quiet = true
	w.net.calm()
	w.platform.calm()
	for range replaceRounds {
		for _, n := range w.nodes {
			n.worker.calm()
			if l := n.life; l != nil && (n.worker.draining || l.leaving()) {
				l.data(l.leave)
			}
		}
		w.advance(stopTimeout + 4*time.Second)
		for _, n := range w.nodes {
			if n.life == nil {
				n.worker.replace()
				n.boot()
			}
		}
	}
	w.ledger.disturb()
}

func (w *world) checkViews() {
	for _, n := range w.nodes {
		if n.life == nil {
			w.ledger.violate(recovery, "%s does not run", n.id)
			continue
		}
		fleet := n.life.core.Board.Fleet.Get()
		if len(fleet.Instances) != len(w.nodes) {
			w.ledger.violate(recovery, "%s sees %d instances of %d", n.id, len(fleet.Instances), len(w.nodes))
		}
		for _, in := range fleet.Instances {
			if in.State != model.StateLive {
				w.ledger.violate(recovery, "%s sees %s as %s", n.id, in.ID, in.State)
			}
		}
	}
}

// probe sends a request of every route, with and without the caller's own id, to
// every entry.
func (w *world) probe() []*sending {
	var out []*sending
	for i, n := range w.nodes {
		for kind := range 2 * len(callerRoutes) {
			s := w.newSending(fixedChooser(kind))
			s.tenant = "nobody"
			w.after(time.Duration(i*2*len(callerRoutes)+kind)*20*time.Millisecond, func() { s.to(n) })
			out = append(out, s)
		}
	}
	return out
}

type fixedChooser int

func (f fixedChooser) pick(string, int) int { return int(f) }

// checkEnded checks that probes were answered and that no caller waits still.
func (w *world) checkEnded(probes []*sending) {
	for _, s := range probes {
		if !s.told || s.outcome != model.OutcomeAnswered {
			w.ledger.violate(recovery, "sending %d (%s) ended as: %s", s.number, s.route.path, s.state())
		}
	}
	for _, s := range w.ledger.sendings {
		if !s.ended {
			w.ledger.violate(recovery, "sending %d of %v was never told anything", s.number, s.begun.Sub(epoch))
		}
	}
}
