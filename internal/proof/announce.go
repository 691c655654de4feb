package proof

import "time"

// announceAction is added to the steps of plans with Announcements set.
var announceAction = action{"worker says it leaves", (*world).announceLeaving}

// announceLeaving makes a worker say in its responses, and nowhere else, that it is leaving,
// until it is replaced with its node.
func (w *world) announceLeaving(c chooser) {
	w.ledger.count("announced leavings")
	n := w.pickNode(c)
	n.worker.announces = true
	w.after(w.between(5*time.Second, 8*time.Second), func() { n.replaceWorker() })
}

// observeLeaving passes on to the owner that a response says that the worker is leaving.
func (p *process) observeLeaving() {
	if p.heardLeaving.IsZero() {
		p.heardLeaving = p.w.now
	}
	if !p.w.options.ignoreAnnouncements {
		p.core.Owner.ObserveLeaving(p.now(), p.core.Worker())
	}
}

// checkAnnounced checks that no request reaches a worker later than leavingTime after the
// process that sends it has heard that the worker is leaving.
func (g *ledger) checkAnnounced(j *job) {
	if heard := j.proc.heardLeaving; !heard.IsZero() && j.offered.Sub(heard) > leavingTime {
		g.violate(promiseLeaving, "%s sent %s to its worker, %v after the worker said that it leaves",
			j.proc.node.id, j.attempt.ID, j.offered.Sub(heard))
	}
}
