package proof

import (
	"time"

	"gypsumstand/internal/model"
)

// Time bounds of recovery.
const (
	// recoveryTime is how long after the last fault service must be complete again.
	recoveryTime = 15 * time.Second
	// probeTime is the time allowed for the probes that follow.
	probeTime = 3 * time.Second
	// replaceRounds is how often leaving processes are replaced. One round isn't enough:
	// a process may have been started after a stop beside a worker that still drains.
	replaceRounds = 2
)

// recover ends all faults, waits for recoveryTime and checks that every process serves
// every route on the newest version.
func (w *world) recover() {
	w.clearAllFaults()
	w.advance(recoveryTime)
	w.checkViews()
	probes := w.sendProbes()
	w.advance(probeTime)
	w.checkProbes(probes)
	w.ledger.checkPropagation()
}

// clearAllFaults ends all faults and replaces processes that are leaving or gone and
// workers that drain.
func (w *world) clearAllFaults() {
	w.stopDeadly = true
	w.net.clearFaults()
	w.platform.clearFaults()
	for range replaceRounds {
		for _, n := range w.nodes {
			n.worker.clearFaults()
			if proc := n.process; proc != nil && (n.worker.draining || proc.leaving()) {
				proc.whenRunning(proc.beginStop)
			}
		}
		w.advance(stopTimeout + 4*time.Second)
		for _, n := range w.nodes {
			if n.process == nil {
				n.worker.replace()
				n.boot()
			}
		}
	}
	w.ledger.recordDisturbance()
}

func (w *world) checkViews() {
	for _, n := range w.nodes {
		if n.process == nil {
			w.ledger.violate(promiseRecovery, "%s has no running process", n.id)
			continue
		}
		fleet := n.process.core.Board.Fleet.Get()
		if len(fleet.Instances) != len(w.nodes) {
			w.ledger.violate(promiseRecovery, "%s sees %d instances of %d", n.id, len(fleet.Instances), len(w.nodes))
		}
		for _, in := range fleet.Instances {
			if in.State != model.StateLive {
				w.ledger.violate(promiseRecovery, "%s sees %s as %s", n.id, in.ID, in.State)
			}
		}
	}
}

// sendProbes sends a request of every route to every entry, with and without a caller's
// own id.
func (w *world) sendProbes() []*submission {
	var out []*submission
	for i, n := range w.nodes {
		for kind := range 2 * len(callerRoutes) {
			s := w.newSubmission(fixedChooser(kind))
			s.tenant = "nobody"
			w.after(time.Duration(i*2*len(callerRoutes)+kind)*20*time.Millisecond, func() { s.sendTo(n) })
			out = append(out, s)
		}
	}
	return out
}

type fixedChooser int

func (f fixedChooser) pick(string, int) int { return int(f) }

// checkProbes checks that all probes were answered and that no caller still waits.
func (w *world) checkProbes(probes []*submission) {
	for _, s := range probes {
		if !s.hasOutcome || s.outcome != model.OutcomeAnswered {
			w.ledger.violate(promiseRecovery, "probe, submission %d (%s): outcome %s, want answered",
				s.number, s.route.path, s.describeOutcome())
		}
	}
	for _, s := range w.ledger.submissions {
		if !s.ended {
			w.ledger.violate(promiseRecovery, "submission %d, made at %v, got no outcome", s.number, s.submittedAt.Sub(epoch))
		}
	}
}
