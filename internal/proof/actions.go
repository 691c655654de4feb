package proof

import (
	"fmt"
	"time"

	"gypsumstand/internal/model"
)

// chooser draws the choices of a plan. pick returns a number from 0 to n-1; what labels
// the choice.
type chooser interface{ pick(what string, n int) int }

// action is one step of a plan.
type action struct {
	name string
	do   func(w *world, c chooser)
}

// actions are the steps that every plan may take.
var actions = []action{
	{"request", (*world).request},
	{"burst", (*world).burst},
	{"spike", (*world).spike},
	{"send again", (*world).resubmit},
	{"send twice at once", (*world).submitTwice},
	{"caller gives up", (*world).cancelCall},
	{"time passes", (*world).passTime},
	{"fault", (*world).injectFault},
	{"two faults at once", (*world).injectTwoFaults},
	{"fault ends", (*world).clearFault},
}

// deadlyAction is added to the steps of plans with Deadly set.
var deadlyAction = action{"deadly request", (*world).sendDeadly}

// faults are the steps that inject a fault or change the fleet.
var faults = []action{
	{"pause node", (*world).pauseNode},
	{"pause worker", (*world).pauseWorker},
	{"crash node", (*world).crashNode},
	{"planned stop", (*world).plannedStop},
	{"drain worker", (*world).drainWorker},
	{"list says leaving", (*world).listLeaving},
	{"cold worker", (*world).coldWorker},
	{"slow worker", (*world).slowWorker},
	{"failing worker", (*world).failingWorker},
	{"lying worker", (*world).lyingWorker},
	{"lossy links", (*world).lossyLinks},
	{"breaking connections", (*world).breakingConnections},
	{"partition", (*world).partition},
	{"platform down", (*world).platformDown},
	{"stale platform", (*world).stalePlatform},
	{"sign-off", (*world).publishBundle},
	{"older version again", (*world).serveOlderBundle},
}

// durationSteps is the number of values that pickDuration chooses from.
const durationSteps = 20

// pickDuration draws a positive duration up to most, in durationSteps equal steps.
func (w *world) pickDuration(c chooser, what string, most time.Duration) time.Duration {
	return most * time.Duration(c.pick(what, durationSteps)+1) / durationSteps
}

func (w *world) pickNode(c chooser) *node { return w.nodes[c.pick("node", len(w.nodes))] }

// request sends a new request to a random entry.
func (w *world) request(c chooser) {
	w.newSubmission(c).sendTo(w.pickNode(c))
}

func (w *world) newSubmission(c chooser) *submission {
	kind := c.pick("route", 2*len(callerRoutes))
	s := &submission{
		request: model.RequestID(fmt.Sprintf("r%d", len(w.ledger.requests))),
		route:   callerRoutes[kind/2],
		keyed:   kind%2 == 0,
		tenant:  "cooperative",
	}
	if len(w.ledger.requests)%2 == 0 {
		s.tenant = "nobody"
	}
	return s.record(w)
}

// record adds the submission to the ledger.
func (s *submission) record(w *world) *submission {
	w.ledger.recordSubmission(s)
	return s
}

// sendTo sends a submission to an entry. Where no process accepts it, the connection
// fails and the submission ends without an outcome.
func (s *submission) sendTo(n *node) {
	proc := n.process
	if proc == nil || proc.callerClosed {
		s.ended = true
		return
	}
	n.w.after(time.Millisecond, func() {
		if !proc.alive || proc.callerClosed {
			s.ended = true
			return
		}
		proc.arriving = append(proc.arriving, s)
		proc.whenRunning(func() { proc.receive(s) })
	})
}

// burst sends 5 to 34 requests to one entry within 15 ms.
func (w *world) burst(c chooser) {
	n := w.pickNode(c)
	for range 5 + c.pick("size", 30) {
		s := w.newSubmission(worldChooser{w})
		w.after(w.between(0, 15*time.Millisecond), func() { s.sendTo(n) })
	}
}

// spike sends 40 to 80 requests to random entries within 30 ms, more than the workers can
// run.
func (w *world) spike(c chooser) {
	for range 40 + 10*c.pick("size", 5) {
		s := w.newSubmission(worldChooser{w})
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(w.between(0, 30*time.Millisecond), func() { s.sendTo(n) })
	}
}

// worldChooser draws from the world's random source, which keeps drawn plans short.
type worldChooser struct{ w *world }

func (c worldChooser) pick(_ string, n int) int { return c.w.rng.IntN(n) }

// resubmit repeats a submission that carries a caller's own request id, whatever its
// outcome was.
func (w *world) resubmit(c chooser) {
	if original := w.pickKeyedSubmission(c); original != nil {
		w.newResubmission(original).sendTo(w.pickNode(c))
	}
}

func (w *world) newResubmission(original *submission) *submission {
	w.ledger.count("sent again after " + original.describeOutcome())
	s := &submission{request: original.request, route: original.route, keyed: true, tenant: original.tenant}
	return s.record(w)
}

func (s *submission) describeOutcome() string {
	switch {
	case s.hasOutcome:
		return s.outcome.String()
	case s.ended:
		return "a broken connection"
	}
	return "nothing yet"
}

// pickKeyedSubmission picks one of the last eight submissions whose request id has a home
// node.
func (w *world) pickKeyedSubmission(c chooser) *submission {
	var keyed []*submission
	for _, s := range w.ledger.submissions {
		if s.hasHome() {
			keyed = append(keyed, s)
		}
	}
	if len(keyed) == 0 {
		return nil
	}
	recent := keyed[max(0, len(keyed)-8):]
	return recent[c.pick("sending", len(recent))]
}

// submitTwice sends one request id to two entries at the same time.
func (w *world) submitTwice(c chooser) {
	s := w.newSubmission(c)
	s.keyed = true
	s.sendTo(w.pickNode(c))
	w.newResubmission(s).sendTo(w.pickNode(c))
}

func (w *world) cancelCall(c chooser) {
	var open []*submission
	for _, s := range w.ledger.submissions {
		if !s.ended && s.exchange != nil {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return
	}
	x := open[c.pick("sending", len(open))].exchange
	x.proc.whenRunning(x.callerCancelled)
}

func (w *world) passTime(c chooser) { w.advance(w.pickDuration(c, "time", 3*time.Second)) }

func (w *world) injectFault(c chooser) {
	f := faults[c.pick("fault", len(faults))]
	w.trace.add(w, "fault", f.name)
	f.do(w, c)
}

func (w *world) injectTwoFaults(c chooser) {
	w.injectFault(c)
	w.injectFault(c)
}

func (w *world) pauseNode(c chooser) {
	proc := w.pickNode(c).process
	d := w.pickDuration(c, "pause", 4*time.Second)
	if proc == nil {
		return
	}
	if proc.stop != nil {
		proc.stop.paused = true
	}
	proc.pause(d)
	w.after(d, w.ledger.recordDisturbance)
}

func (w *world) pauseWorker(c chooser) {
	w.pickNode(c).worker.pause(w.pickDuration(c, "pause", 2*time.Second))
}

// crashNode ends a process without a planned stop. A new process starts 0.3 to 3 s later.
func (w *world) crashNode(c chooser) {
	n := w.pickNode(c)
	if n.process == nil {
		return
	}
	w.ledger.count("crashes")
	w.ledger.recordDisturbance()
	n.process.crash()
	w.after(w.between(300*time.Millisecond, 3*time.Second), n.boot)
}

func (w *world) plannedStop(c chooser) {
	n := w.pickNode(c)
	if n.process == nil {
		return
	}
	proc := n.process
	proc.whenRunning(proc.beginStop)
	w.after(w.between(stopTimeout, stopTimeout+3*time.Second), n.boot)
}

func (w *world) drainWorker(c chooser) {
	n := w.pickNode(c)
	n.worker.drain()
	w.after(w.between(5*time.Second, 8*time.Second), func() { n.replaceWorker() })
}

// listLeaving marks an instance as leaving in the platform's list only. Its process stops
// 8 to 10 s later.
func (w *world) listLeaving(c chooser) {
	n := w.pickNode(c)
	proc := n.process
	if proc == nil {
		return
	}
	w.platform.put(n, model.StateLeaving)
	w.after(w.between(8*time.Second, 10*time.Second), func() {
		proc.whenRunning(proc.beginStop)
		w.after(stopTimeout+time.Second, n.boot)
	})
}

// replaceWorker stops the process, if one runs, and replaces the worker beside it.
func (n *node) replaceWorker() {
	if proc := n.process; proc != nil {
		proc.whenRunning(proc.beginStop)
		n.w.after(stopTimeout+time.Second, n.boot)
	}
	n.w.after(stopTimeout, n.worker.replace)
}

func (w *world) coldWorker(c chooser) {
	wk := w.pickNode(c).worker
	wk.cold = true
	w.after(w.pickDuration(c, "cold", 3*time.Second), func() { wk.cold = false })
}

func (w *world) slowWorker(c chooser) {
	w.pickNode(c).worker.slowdown = float64(2 + c.pick("factor", 30))
}

func (w *world) failingWorker(c chooser) {
	w.pickNode(c).worker.fail = 0.5 * float64(1+c.pick("share", 2))
}

// lyingWorker makes a worker spoil its responses or delay its health reports.
func (w *world) lyingWorker(c chooser) {
	wk := w.pickNode(c).worker
	switch c.pick("lie", 5) {
	case 0:
		wk.truncate = 0.3
	case 1:
		wk.cross = 0.3
	case 2:
		wk.hangup = 0.3
	case 3:
		wk.shed = 0.5
	default:
		wk.reportLag = 2 * time.Second
	}
}

func (w *world) lossyLinks(c chooser) {
	w.net.loss = 0.1 * float64(c.pick("loss", 4))
	w.net.duplicate = 0.1 * float64(c.pick("repeat", 3))
	w.net.reorder = 0.2 * float64(c.pick("reorder", 3))
	w.net.delayFactor = float64(1 + 5*c.pick("slow", 3))
}

func (w *world) breakingConnections(c chooser) {
	w.net.broken = 0.1 * float64(1+c.pick("broken", 4))
	w.net.duplicated = 0.1 * float64(c.pick("copied", 3))
}

func (w *world) partition(c chooser) {
	sides := c.pick("sides", 1<<len(w.nodes))
	w.net.split(func(n *node) int { return sides >> n.index & 1 })
}

func (w *world) platformDown(chooser) { w.platform.down = true }

func (w *world) stalePlatform(c chooser) {
	w.platform.frozen = true
	w.platform.listLag = w.pickDuration(c, "lag", 10*time.Second)
}

func (w *world) publishBundle(chooser) { w.platform.publish() }

// serveOlderBundle makes the configuration service serve an earlier version, as a stale
// source would.
func (w *world) serveOlderBundle(c chooser) {
	w.platform.serve(1 + uint64(c.pick("version", int(w.platform.versions))))
}

// clearFault ends all faults of one kind: network, platform or workers.
func (w *world) clearFault(c chooser) {
	switch c.pick("kind", 3) {
	case 0:
		w.ledger.recordDisturbance()
		w.net.clearFaults()
	case 1:
		w.platform.clearFaults()
	default:
		for _, n := range w.nodes {
			n.worker.clearFaults()
		}
	}
}
