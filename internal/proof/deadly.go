package proof

import (
	"fmt"
	"net/url"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/wire"
)

// Times of deadly requests.
const (
	// endsAfter is the time from a deadly run's start to its worker's end.
	endsAfter = 30 * time.Millisecond
	// deadlyEvery is the time between two sendings of one deadly request.
	deadlyEvery = 300 * time.Millisecond
	// deadlyFor is for how long its caller comes back.
	deadlyFor = 12 * time.Second
	// deadlyKnown is how long after the third end, a start or a disturbance nodes must
	// know, and deadlyMore how often the request may still reach a worker then.
	deadlyKnown = 3 * time.Second
	deadlyMore  = 3
	// tellTimeout is package node's.
	tellTimeout = 500 * time.Millisecond
)

// deadlyRequest is a request under which workers end, and when it reached them.
type deadlyRequest struct {
	name string
	runs []time.Time
	late int
}

// sendDeadly lets a caller come back with one deadly request for a while, at all entries in
// turn.
func (w *world) sendDeadly(c chooser) {
	d := &deadlyRequest{name: fmt.Sprintf("deadly-%d", w.ledger.counts["deadly requests"])}
	w.ledger.count("deadly requests")
	route := callerRoutes[c.pick("route", len(callerRoutes))]
	first := c.pick("node", len(w.nodes))
	for i := range int(deadlyFor / deadlyEvery) {
		w.after(time.Duration(i)*deadlyEvery, func() {
			if w.quiet {
				return
			}
			s := &sending{
				request: model.RequestID(fmt.Sprintf("%s.%d", d.name, i)), route: route, keyed: !route.idempotent,
				tenant: "cooperative", deadly: d,
			}
			s.in(w).to(w.nodes[(first+i)%len(w.nodes)])
		})
	}
}

// fingerprint is what a node finds of a sending. Lookups of one route are all the same, and
// so popular; what is posted differs.
func (s *sending) fingerprint() model.Fingerprint {
	body := ""
	if !s.route.idempotent {
		body = string(s.request)
	}
	if s.deadly != nil {
		body = s.deadly.name
	}
	return model.NewFingerprint(s.route.method, "", &url.URL{Path: s.route.path}, s.tenant, int64(len(body)), []byte(body))
}

// ranDeadly notes a run of a deadly request and ends its worker.
func (g *ledger) ranDeadly(wk *worker, j *job, d *deadlyRequest) {
	w := g.w
	w.after(endsAfter, wk.end)
	d.runs = append(d.runs, w.now)
	if len(d.runs) <= 3 {
		return
	}
	third := d.runs[2].Add(endsAfter)
	if w.now.Sub(latest(third, g.calmSince(), g.lives[j.l].born)) <= deadlyKnown {
		return
	}
	if !g.remembered(third) {
		g.count("excused: no process is left that knew of a deadly request")
		return
	}
	d.late++
	if d.late > deadlyMore {
		g.violate(promiseDeadly, "%s reached workers %d times, %d of them too late", d.name, len(d.runs), d.late)
	}
}

// remembered tells whether a process lives that lived then.
func (g *ledger) remembered(then time.Time) bool {
	return slices.ContainsFunc(g.w.nodes, func(n *node) bool {
		return n.life != nil && g.lives[n.life].born.Before(then)
	})
}

// end ends the worker's process with all that it runs; it is back some time later.
func (wk *worker) end() {
	if wk.cold {
		return
	}
	w := wk.n.w
	w.ledger.count("workers ended by a request")
	wk.cold = true
	w.after(w.between(time.Second, 3*time.Second), func() { wk.cold = false })
	runs := wk.inHand
	wk.inHand = nil
	for _, r := range runs {
		if !r.over {
			r.over = true
			wk.running--
			r.respond(workerAnswer{kind: answerClosed})
		}
	}
}

// judge asks the quarantine about a job (Executor.judge).
func (j *job) judge() quarantine.Decision {
	q := j.l.core.Quarantine
	j.verdict = q.Evaluate(j.l.w.now, j.sending().fingerprint(), quarantine.Submission{Crashes: int(j.attempt.Crashes), Granted: j.attempt.Granted}, j.sending().route.path)
	return j.verdict
}

func (j *job) sending() *sending { return j.l.w.ledger.attempts[j.attempt.ID].sending }

// broke tells the quarantine of a run that broke and reports whether the worker has ended
// (node.broke): its port then is closed.
func (j *job) broke() (ended bool) {
	l := j.l
	if l.core.Owner.Draining() || l.w.switches.noEvidence {
		return false
	}
	known := l.core.Quarantine.RunFailed(l.w.now, j.quarantined())
	if !known && l.node.worker.refusesConnections() {
		l.core.Quarantine.WorkerCrashed(l.w.now)
		known = true
	}
	l.suspectsChanged()
	return known
}

// quarantined tells of the job's run (content.run).
func (j *job) quarantined() quarantine.Run {
	return quarantine.Run{
		Content: j.sending().fingerprint(), Started: j.started,
		AlreadySuspect: j.attempt.Crashes > 0 || j.verdict.Crashes > 0, Trial: j.verdict.Trial,
	}
}

// completed tells the quarantine of a whole answer.
func (j *job) completed() {
	j.l.core.Quarantine.RunCompleted(j.l.w.now, j.sending().fingerprint())
	j.l.suspectsChanged()
}

// suspectsChanged hands the word on that there is something to tell peers.
func (l *life) suspectsChanged() {
	select {
	case <-l.core.Quarantine.Changed():
		l.after(0, func() { l.event(control.SuspectsChanged{}) })
	default:
	}
}

// tellSuspects stands for Node.tellSuspects.
func (l *life) tellSuspects(a control.SendSuspectUpdate) {
	answered := false
	l.after(tellTimeout, func() {
		if !answered {
			l.core.Quarantine.SendFailed(l.w.now, a)
			l.suspectsChanged()
		}
	})
	l.postSuspects(a.To.PeerAddress, a.Update, func(reply wire.SuspectUpdate) {
		answered = true
		more, differ := l.core.Quarantine.HandleReply(l.w.now, reply)
		l.suspectsChanged()
		if differ {
			l.postSuspects(a.To.PeerAddress, more, func(wire.SuspectUpdate) {})
		}
	})
}

// postSuspects carries a message in its wire form to the node at an address, and its answer
// back; what takes too long, or meets a fault, is lost.
func (l *life) postSuspects(address string, news wire.SuspectUpdate, answered func(wire.SuspectUpdate)) {
	w := l.w
	target := w.at(address)
	if target == nil || w.net.isCut(l.node, target) || w.chance(w.net.broken) {
		return
	}
	begun := w.now
	w.after(w.net.delay(l.node, target), func() {
		peer := target.life
		if peer == nil || peer.peerClosed {
			return
		}
		peer.data(func() {
			reply := peer.core.Quarantine.HandleUpdate(w.now, recoded(news))
			peer.suspectsChanged()
			if w.net.isCut(l.node, target) || w.chance(w.net.broken) {
				return
			}
			w.after(w.net.delay(l.node, target), func() {
				l.data(func() {
					if w.now.Sub(begun) < tellTimeout {
						answered(recoded(reply))
					}
				})
			})
		})
	})
}

// recoded passes a message through its wire form.
func recoded(news wire.SuspectUpdate) wire.SuspectUpdate {
	data, err := wire.EncodeSuspects(&news)
	if err != nil {
		panic(err)
	}
	out, err := wire.DecodeSuspects(data)
	if err != nil {
		panic(err)
	}
	return out
}
