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

// Times and limits of deadly requests.
const (
	// crashDelay is the time from the start of a deadly run to the crash of its worker.
	crashDelay = 30 * time.Millisecond
	// deadlyInterval is the time between two submissions of one deadly request.
	deadlyInterval = 300 * time.Millisecond
	// deadlyDuration is how long the caller goes on submitting a deadly request.
	deadlyDuration = 12 * time.Second
	// deadlyLearnTime is how long after the third crash, a process start or a network
	// disturbance nodes must quarantine the request; maxLateDeadlyRuns is how often it
	// may still reach a worker after that.
	deadlyLearnTime   = 3 * time.Second
	maxLateDeadlyRuns = 3
	// suspectUpdateTimeout is package node's timeout of a suspect update.
	suspectUpdateTimeout = 500 * time.Millisecond
)

// deadlyRequest is a request that crashes its workers, with the times at which it reached
// them. lateRuns counts the runs that the quarantine should have prevented.
type deadlyRequest struct {
	name     string
	runs     []time.Time
	lateRuns int
}

// sendDeadly starts a caller that submits one deadly request to all entries in turn for
// deadlyDuration.
func (w *world) sendDeadly(c chooser) {
	d := &deadlyRequest{name: fmt.Sprintf("deadly-%d", w.ledger.counts["deadly requests"])}
	w.ledger.count("deadly requests")
	route := callerRoutes[c.pick("route", len(callerRoutes))]
	first := c.pick("node", len(w.nodes))
	for i := range int(deadlyDuration / deadlyInterval) {
		w.after(time.Duration(i)*deadlyInterval, func() {
			if w.stopDeadly {
				return
			}
			s := &submission{
				request: model.RequestID(fmt.Sprintf("%s.%d", d.name, i)), route: route, keyed: !route.idempotent,
				tenant: "cooperative", deadly: d,
			}
			s.record(w).sendTo(w.nodes[(first+i)%len(w.nodes)])
		})
	}
}

// fingerprint returns the content fingerprint that a node computes for the submission.
// All lookups of one route have the same content, as popular requests do; each POST has
// its own body.
func (s *submission) fingerprint() model.Fingerprint {
	body := ""
	if !s.route.idempotent {
		body = string(s.request)
	}
	if s.deadly != nil {
		body = s.deadly.name
	}
	return model.NewFingerprint(s.route.method, "", &url.URL{Path: s.route.path}, s.tenant, int64(len(body)), []byte(body))
}

// recordDeadlyRun records a run of a deadly request and schedules the crash of its
// worker. A run counts as late when the quarantine should have prevented it.
func (g *ledger) recordDeadlyRun(wk *worker, j *job, d *deadlyRequest) {
	w := g.w
	w.after(crashDelay, wk.crash)
	d.runs = append(d.runs, w.now)
	if len(d.runs) <= 3 {
		return
	}
	third := d.runs[2].Add(crashDelay)
	if w.now.Sub(latest(third, g.undisturbedSince(), g.processes[j.proc].startedAt)) <= deadlyLearnTime {
		return
	}
	if !g.anyStartedBefore(third) {
		g.count("excused: no process is left that knew of a deadly request")
		return
	}
	d.lateRuns++
	if d.lateRuns > maxLateDeadlyRuns {
		g.violate(promiseDeadly, "%s reached workers %d times, %d of them after it should have been quarantined",
			d.name, len(d.runs), d.lateRuns)
	}
}

// anyStartedBefore reports whether a process still runs that started before then.
func (g *ledger) anyStartedBefore(then time.Time) bool {
	return slices.ContainsFunc(g.w.nodes, func(n *node) bool {
		return n.process != nil && g.processes[n.process].startedAt.Before(then)
	})
}

// crash ends the worker's process and everything that it runs, unless the worker is cold.
// It accepts connections again 1 to 3 s later.
func (wk *worker) crash() {
	if wk.cold {
		return
	}
	w := wk.node.w
	w.ledger.count("workers ended by a request")
	wk.cold = true
	w.after(w.between(time.Second, 3*time.Second), func() { wk.cold = false })
	runs := wk.inFlight
	wk.inFlight = nil
	for _, r := range runs {
		if !r.done {
			r.done = true
			wk.running--
			r.respond(workerResponse{kind: responseClosed})
		}
	}
}

// evaluate asks the quarantine for its decision about a job (server.Executor.evaluate).
func (j *job) evaluate() quarantine.Decision {
	q := j.proc.core.Quarantine
	j.decision = q.Evaluate(j.proc.now(), j.submission().fingerprint(), j.quarantineSubmission(), j.submission().route.path)
	return j.decision
}

// quarantineSubmission describes the job's submission to the quarantine.
func (j *job) quarantineSubmission() quarantine.Submission {
	return quarantine.Submission{Crashes: int(j.attempt.Crashes), Granted: j.attempt.Granted}
}

func (j *job) submission() *submission { return j.proc.w.ledger.attempts[j.attempt.ID].submission }

// refusalWorkerDown refuses a job whose worker could not be reached
// (server.Executor.refuseWorkerDown).
func (j *job) refusalWorkerDown() model.Refusal {
	refusal := model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true}
	d := j.proc.core.Quarantine.EvaluateReroute(j.proc.now(), j.submission().fingerprint(), j.quarantineSubmission(), j.submission().route.path)
	if d != (quarantine.Decision{}) {
		d.Deferred = true
		refusal = d.Refusal()
	}
	refusal.Reason = delegatedReason(&j.attempt, refusal.Reason)
	return refusal
}

// unprovenContent returns the content of a job of which one may run at a time, else zero.
func (j *job) unprovenContent() model.Fingerprint {
	if f := j.submission().fingerprint(); j.attempt.Idempotent && j.proc.core.Quarantine.Unproven(f) {
		return f
	}
	return model.Fingerprint{}
}

// acquireLease announces a queued job (server.Executor.acquireLease).
func (j *job) acquireLease() {
	if !j.attempt.Idempotent {
		return
	}
	j.lease = j.proc.core.Quarantine.AcquireLease(j.submission().fingerprint(), j.proc.node.clock.read(j.offered).Add(j.attempt.Remaining))
	j.proc.suspectsChanged()
}

// leaseRunning records that a job starts (server.Executor.leaseRunning).
func (j *job) leaseRunning() {
	q, now := j.proc.core.Quarantine, j.proc.now()
	switch {
	case j.lease != nil:
		q.LeaseRunning(now, j.lease)
	case j.attempt.Idempotent:
		j.lease = q.AcquireRunning(now, j.submission().fingerprint(), now.Add(j.attempt.Remaining))
	}
	j.proc.suspectsChanged()
}

// releaseLease gives up the job's lease, if it holds one.
func (j *job) releaseLease(r *result) {
	if j.lease == nil {
		return
	}
	j.proc.core.Quarantine.ReleaseLease(j.lease, quarantine.LeaseEndOf(r.response != nil, &r.refusal))
	j.lease = nil
	j.proc.suspectsChanged()
}

// detectCrash reports a failed run to the quarantine. It returns true when the worker has
// crashed, which a refused connection also shows (package node).
func (j *job) detectCrash() (crashed bool) {
	proc := j.proc
	if proc.core.Owner.Draining() || proc.w.options.ignoreCrashes {
		return false
	}
	known := proc.core.Quarantine.RunFailed(proc.now(), j.quarantineRun())
	if !known && proc.node.worker.refusesConnections() {
		proc.core.Quarantine.WorkerCrashed(proc.now())
		known = true
	}
	proc.suspectsChanged()
	return known
}

// quarantineRun describes the job's run to the quarantine.
func (j *job) quarantineRun() quarantine.Run {
	return quarantine.Run{
		Content: j.submission().fingerprint(), Started: j.proc.node.clock.read(j.started),
		AlreadySuspect: j.attempt.Crashes > 0 || j.decision.Crashes > 0, Trial: j.decision.Trial,
	}
}

// runCompleted reports a complete response to the quarantine.
func (j *job) runCompleted() {
	j.proc.core.Quarantine.Responding(j.submission().fingerprint())
	j.proc.core.Quarantine.RunCompleted(j.proc.now(), j.submission().fingerprint())
	j.proc.suspectsChanged()
}

// suspectsChanged posts an event when the quarantine has an update for peers.
func (p *process) suspectsChanged() {
	select {
	case <-p.core.Quarantine.Changed():
		p.after(0, func() { p.postEvent(control.SuspectsChanged{}) })
	default:
	}
}

// sendSuspectUpdate sends an update of suspect requests to a peer (package node).
func (p *process) sendSuspectUpdate(action control.SendSuspectUpdate) {
	replied := false
	p.after(suspectUpdateTimeout, func() {
		if !replied {
			p.core.Quarantine.SendFailed(p.now(), action)
			p.suspectsChanged()
		}
	})
	p.exchangeSuspects(action.To.PeerAddress, action.Update, func(reply wire.SuspectUpdate) {
		replied = true
		more, differ := p.core.Quarantine.HandleReply(p.now(), reply)
		p.suspectsChanged()
		if differ {
			p.exchangeSuspects(action.To.PeerAddress, more, func(wire.SuspectUpdate) {})
		}
	})
}

// exchangeSuspects sends an encoded update to the node at address and passes the reply to
// onReply. Either message is lost to a fault, and a reply after suspectUpdateTimeout is
// dropped.
func (p *process) exchangeSuspects(address string, update wire.SuspectUpdate, onReply func(wire.SuspectUpdate)) {
	w := p.w
	target := w.nodeByAddress(address)
	if target == nil || w.net.isCut(p.node, target) || w.chance(w.net.broken) {
		return
	}
	sentAt := w.now
	w.after(w.net.delay(p.node, target), func() {
		peer := target.process
		if peer == nil || peer.peerClosed {
			return
		}
		peer.whenRunning(func() {
			reply := peer.core.Quarantine.HandleUpdate(peer.now(), reencode(update))
			peer.suspectsChanged()
			if w.net.isCut(p.node, target) || w.chance(w.net.broken) {
				return
			}
			w.after(w.net.delay(p.node, target), func() {
				p.whenRunning(func() {
					if w.now.Sub(sentAt) < suspectUpdateTimeout {
						onReply(reencode(reply))
					}
				})
			})
		})
	})
}

// reencode returns the update after a round trip through its wire encoding.
func reencode(update wire.SuspectUpdate) wire.SuspectUpdate {
	data, err := wire.EncodeSuspects(&update)
	if err != nil {
		panic(err)
	}
	out, err := wire.DecodeSuspects(data)
	if err != nil {
		panic(err)
	}
	return out
}
