package proof

import (
	"fmt"
	"time"

	"gypsumstand/internal/model"
)

// chooser draws the choices of a plan: a number from 0 to n-1.
type chooser interface{ pick(what string, n int) int }

// action is one step of a plan.
type action struct {
	name string
	do   func(w *world, c chooser)
}

// actions are all steps that a plan may take.
var actions = []action{
	{"request", (*world).request},
	{"burst", (*world).burst},
	{"spike", (*world).spike},
	{"send again", (*world).sendAgain},
	{"send twice at once", (*world).sendTwice},
	{"caller gives up", (*world).callerGivesUp},
	{"time passes", (*world).timePasses},
	{"fault", (*world).fault},
	{"two faults at once", (*world).twoFaults},
	{"fault ends", (*world).faultEnds},
}

// deadlyAction is a step of plans that ask for it.
var deadlyAction = action{"deadly request", (*world).sendDeadly}

// faults are the steps that bring faults and changes about.
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
	{"sign-off", (*world).signOff},
	{"older version again", (*world).republish},
}

// maxPicks are the sizes of the choices of times.
const timeSteps = 20

// wait draws a time up to most.
func (w *world) wait(c chooser, what string, most time.Duration) time.Duration {
	return most * time.Duration(c.pick(what, timeSteps)+1) / timeSteps
}

func (w *world) pickNode(c chooser) *node { return w.nodes[c.pick("node", len(w.nodes))] }

// request sends a new request to some entry.
func (w *world) request(c chooser) {
	w.newSending(c).to(w.pickNode(c))
}

func (w *world) newSending(c chooser) *sending {
	kind := c.pick("route", 2*len(callerRoutes))
	s := &sending{
		request: model.RequestID(fmt.Sprintf("r%d", len(w.ledger.requests))),
		route:   callerRoutes[kind/2],
		keyed:   kind%2 == 0,
		tenant:  "cooperative",
	}
	if len(w.ledger.requests)%2 == 0 {
		s.tenant = "nobody"
	}
	return s.in(w)
}

// in notes the sending.
func (s *sending) in(w *world) *sending {
	w.ledger.begin(s)
	return s
}

// to carries a sending to an entry; where none takes it the caller knows.
func (s *sending) to(n *node) {
	l := n.life
	if l == nil || l.callerClosed {
		s.ended = true
		return
	}
	n.w.after(time.Millisecond, func() {
		if !l.alive || l.callerClosed {
			s.ended = true
			return
		}
		l.arriving = append(l.arriving, s)
		l.data(func() { l.receive(s) })
	})
}

// burst sends many requests to one entry within a few milliseconds.
func (w *world) burst(c chooser) {
	n := w.pickNode(c)
	for range 5 + c.pick("size", 30) {
		s := w.newSending(burstChooser{w})
		w.after(w.between(0, 15*time.Millisecond), func() { s.to(n) })
	}
}

// spike sends many more requests than the workers can take, to all entries, within
// some milliseconds.
func (w *world) spike(c chooser) {
	for range 40 + 10*c.pick("size", 5) {
		s := w.newSending(burstChooser{w})
		n := w.nodes[w.rng.IntN(len(w.nodes))]
		w.after(w.between(0, 30*time.Millisecond), func() { s.to(n) })
	}
}

// burstChooser draws from the world, so that plans stay short.
type burstChooser struct{ w *world }

func (b burstChooser) pick(_ string, n int) int { return b.w.rng.IntN(n) }

// sendAgain repeats a sending of a caller's own id, whatever became of it.
func (w *world) sendAgain(c chooser) {
	if first := w.pickKeyed(c); first != nil {
		w.repeat(first).to(w.pickNode(c))
	}
}

func (w *world) repeat(first *sending) *sending {
	w.ledger.count("sent again after " + first.state())
	s := &sending{request: first.request, route: first.route, keyed: true, tenant: first.tenant}
	return s.in(w)
}

func (s *sending) state() string {
	switch {
	case s.told:
		return s.outcome.String()
	case s.ended:
		return "a broken connection"
	}
	return "nothing yet"
}

// pickKeyed picks one of the last keyed sendings.
func (w *world) pickKeyed(c chooser) *sending {
	var keyed []*sending
	for _, s := range w.ledger.sendings {
		if s.bound() {
			keyed = append(keyed, s)
		}
	}
	if len(keyed) == 0 {
		return nil
	}
	recent := keyed[max(0, len(keyed)-8):]
	return recent[c.pick("sending", len(recent))]
}

// sendTwice sends one id to two entries at the same time.
func (w *world) sendTwice(c chooser) {
	s := w.newSending(c)
	s.keyed = true
	s.to(w.pickNode(c))
	w.repeat(s).to(w.pickNode(c))
}

func (w *world) callerGivesUp(c chooser) {
	var open []*sending
	for _, s := range w.ledger.sendings {
		if !s.ended && s.exchange != nil {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return
	}
	x := open[c.pick("sending", len(open))].exchange
	x.l.data(x.callerGone)
}

func (w *world) timePasses(c chooser) { w.advance(w.wait(c, "time", 3*time.Second)) }

func (w *world) fault(c chooser) {
	f := faults[c.pick("fault", len(faults))]
	w.trace.add(w, "fault", f.name)
	f.do(w, c)
}

func (w *world) twoFaults(c chooser) {
	w.fault(c)
	w.fault(c)
}

func (w *world) pauseNode(c chooser) {
	l := w.pickNode(c).life
	d := w.wait(c, "pause", 4*time.Second)
	if l == nil {
		return
	}
	if l.stop != nil {
		l.stop.disturbed = true
	}
	l.pause(d)
	w.after(d, w.ledger.disturb)
}

func (w *world) pauseWorker(c chooser) { w.pickNode(c).worker.pause(w.wait(c, "pause", 2*time.Second)) }

// crashNode ends a process; another starts in its place some time later.
func (w *world) crashNode(c chooser) {
	n := w.pickNode(c)
	if n.life == nil {
		return
	}
	w.ledger.count("crashes")
	w.ledger.disturb()
	n.life.crash()
	w.after(w.between(300*time.Millisecond, 3*time.Second), n.boot)
}

func (w *world) plannedStop(c chooser) {
	n := w.pickNode(c)
	if n.life == nil {
		return
	}
	l := n.life
	l.data(l.leave)
	w.after(w.between(stopTimeout, stopTimeout+3*time.Second), n.boot)
}

func (w *world) drainWorker(c chooser) {
	n := w.pickNode(c)
	n.worker.drain()
	w.after(w.between(5*time.Second, 8*time.Second), func() { n.renew() })
}

// listLeaving lets only the platform's list say that an instance leaves; its
// process is stopped some seconds later.
func (w *world) listLeaving(c chooser) {
	n := w.pickNode(c)
	l := n.life
	if l == nil {
		return
	}
	w.platform.put(n, model.StateLeaving)
	w.after(w.between(8*time.Second, 10*time.Second), func() {
		l.data(l.leave)
		w.after(stopTimeout+time.Second, n.boot)
	})
}

// renew replaces the worker and the process beside it.
func (n *node) renew() {
	if l := n.life; l != nil {
		l.data(l.leave)
		n.w.after(stopTimeout+time.Second, n.boot)
	}
	n.w.after(stopTimeout, n.worker.replace)
}

func (w *world) coldWorker(c chooser) {
	wk := w.pickNode(c).worker
	wk.cold = true
	w.after(w.wait(c, "cold", 3*time.Second), func() { wk.cold = false })
}

func (w *world) slowWorker(c chooser) { w.pickNode(c).worker.slow = float64(2 + c.pick("factor", 30)) }

func (w *world) failingWorker(c chooser) {
	w.pickNode(c).worker.fail = 0.5 * float64(1+c.pick("share", 2))
}

// lyingWorker spoils answers and reports.
func (w *world) lyingWorker(c chooser) {
	wk := w.pickNode(c).worker
	switch c.pick("lie", 5) {
	case 0:
		wk.cut = 0.3
	case 1:
		wk.cross = 0.3
	case 2:
		wk.hup = 0.3
	case 3:
		wk.shed = 0.5
	default:
		wk.lag = 2 * time.Second
	}
}

func (w *world) lossyLinks(c chooser) {
	w.net.loss = 0.1 * float64(c.pick("loss", 4))
	w.net.repeat = 0.1 * float64(c.pick("repeat", 3))
	w.net.reorder = 0.2 * float64(c.pick("reorder", 3))
	w.net.slow = float64(1 + 5*c.pick("slow", 3))
}

func (w *world) breakingConnections(c chooser) {
	w.net.broken = 0.1 * float64(1+c.pick("broken", 4))
	w.net.copied = 0.1 * float64(c.pick("copied", 3))
}

func (w *world) partition(c chooser) {
	sides := c.pick("sides", 1<<len(w.nodes))
	w.net.split(func(n *node) int { return sides >> n.index & 1 })
}

func (w *world) platformDown(chooser) { w.platform.down = true }

func (w *world) stalePlatform(c chooser) {
	w.platform.frozen = true
	w.platform.listLag = w.wait(c, "lag", 10*time.Second)
}

func (w *world) signOff(chooser) { w.platform.signOff() }

// republish serves an older version again, as a stale source would.
func (w *world) republish(c chooser) {
	w.platform.show(1 + uint64(c.pick("version", int(w.platform.versions))))
}

// faultEnds ends one kind of fault.
func (w *world) faultEnds(c chooser) {
	switch c.pick("kind", 3) {
	case 0:
		w.ledger.disturb()
		w.net.calm()
	case 1:
		w.platform.calm()
	default:
		for _, n := range w.nodes {
			n.worker.calm()
		}
	}
}
