package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/wire"
)

// jobState is the state of an attempt at its owner.
type jobState uint8

const (
	jobQueued jobState = iota
	// jobAdmitted: admitted by the owner, start not yet confirmed.
	jobAdmitted
	jobRunning
	jobDone
)

// job is one attempt at its owner's node. It stands for one call of server.Executor.Do.
type job struct {
	proc     *process
	attempt  model.Attempt
	sameNode bool
	offered  time.Time
	started  time.Time
	state    jobState
	// cancelled: the entry no longer waits; expired: the attempt's deadline passed.
	cancelled, expired bool
	// forced: started by a mutation although the owner refused it.
	forced bool
	run    *run
	// decision is the quarantine's latest decision about the job.
	decision quarantine.Decision
	// lease is the job's lease, if it holds one.
	lease *quarantine.Lease
	// reply takes the result; nil when no entry waits for it.
	reply func(result)
}

// result is what the entry learns about an attempt.
type result struct {
	// interrupted: the connection broke, or the response was truncated.
	interrupted bool
	response    *response
	refusal     model.Refusal
	// hasReport: report is set.
	hasReport bool
	report    model.LoadReport
	times     wire.AttemptTimes
}

// offer submits a job to the owner.
func (p *process) offer(j *job) {
	j.proc = p
	j.offered = p.w.now
	p.jobs = append(p.jobs, j)
	wasLeaving := p.leaving()
	kind, refusal := p.decide(j)
	p.w.trace.add(p.w, "offer", p.node.id, j.attempt.ID, kind, refusal.Reason)
	p.w.ledger.recordOffer(j, wasLeaving, kind, refusal)
	switch kind {
	case owner.Queue:
		p.queued[j.attempt.ID] = j
		j.acquireLease()
	case owner.Refuse:
		j.refuse(refusal)
	default:
		j.admit()
	}
}

// decide returns the owner's decision about a job, unless a mutation overrides it.
func (p *process) decide(j *job) (owner.DecisionKind, model.Refusal) {
	attempt := j.attempt
	if p.w.options.ignoreKeys {
		attempt.CallerKey = false
	}
	decision := j.evaluate()
	kind, refusal := p.core.Owner.OfferSuspect(p.now(), &attempt, j.sameNode, owner.Restrictions{
		Crashes: int(attempt.Crashes), Exclusive: decision.Exclusive(), Refusal: decision.Refusal(),
		OnlyOwner: decision.OnlyOwner, RetryAfter: decision.RetryAfter, Content: j.unprovenContent(),
	})
	if p.w.options.ignoreLeaving && p.leaving() && refusal.Reason == model.ReasonLeaving {
		j.forced = true
		return owner.Start, model.Refusal{}
	}
	return kind, refusal
}

// deliver passes on the owner's decisions about queued jobs (server.Executor.Deliver).
func (p *process) deliver(ds []owner.Decision) {
	for _, d := range ds {
		j := p.queued[d.Attempt]
		if j == nil {
			continue
		}
		delete(p.queued, d.Attempt)
		if d.Kind == owner.Refuse {
			j.refuse(d.Refusal)
			continue
		}
		j.admit()
	}
}

// admit confirms the job after up to 300 µs, during which the process may be paused.
func (j *job) admit() {
	j.state = jobAdmitted
	j.proc.after(j.proc.w.between(0, 300*time.Microsecond), j.confirm)
}

func (j *job) confirm() {
	proc := j.proc
	if !j.decision.Trial {
		if refusal := j.evaluate().Refusal(); refusal.Reason != model.ReasonNone {
			j.finish(owner.Completion{NotRun: true, Abandoned: true})
			j.refuse(refusal)
			return
		}
	}
	j.started = proc.w.now
	if !j.forced && !proc.core.Owner.Confirm(proc.now(), j.attempt.ID) {
		j.finish(owner.Completion{NotRun: true})
		j.refuse(model.Refusal{Reason: model.ReasonExpired, NotRun: true})
		return
	}
	j.attempt.Remaining -= j.started.Sub(j.offered)
	j.state = jobRunning
	j.leaseRunning()
	if j.cancelled || j.expired || j.attempt.Remaining <= 0 {
		j.fail(true)
		return
	}
	if proc.node.worker.refusesConnections() {
		j.fail(true)
		proc.observeTraffic(true)
		return
	}
	j.run = proc.node.worker.send(j)
	proc.after(j.attempt.Remaining, func() {
		if j.state == jobRunning {
			j.expired = true
			j.fail(false)
		}
	})
}

// handleResponse takes the worker's response.
func (j *job) handleResponse(resp workerResponse) {
	if j.state != jobRunning {
		return
	}
	took := j.proc.w.now.Sub(j.started)
	if resp.kind == responseClosed {
		j.fail(false)
		return
	}
	j.proc.observeTraffic(false)
	if resp.kind != responseCrossed {
		j.proc.observeRateLimit(j.proc.node.clock.read(j.started), resp.rateLimit)
	}
	if resp.leaving && resp.kind != responseCrossed {
		j.proc.observeLeaving()
	}
	switch {
	case resp.kind == responseCrossed && !j.proc.w.options.acceptCrossed:
		j.finish(owner.Completion{ServiceTime: took, Failed: true})
		j.refuse(model.Refusal{Reason: model.ReasonWorkerBroken})
	case resp.kind == responseShed:
		j.finish(owner.Completion{ServiceTime: took, NotRun: true, Delegate: true, Shed: true, Status: 503})
		j.refuse(model.Refusal{Reason: delegatedReason(&j.attempt, model.ReasonWorkerShed), NotRun: true, RetryAfter: time.Second})
	case resp.kind == responseTruncated && !j.proc.w.options.acceptTruncated:
		j.finish(owner.Completion{ServiceTime: took, Failed: true})
		j.end(result{interrupted: true})
	default:
		j.finish(owner.Completion{ServiceTime: took, Failed: resp.failed, Status: resp.status()})
		j.runCompleted()
		times := wire.AttemptTimes{Queued: j.started.Sub(j.offered), Worker: took}
		j.end(result{
			response:  &response{request: resp.request, failed: resp.failed, truncated: resp.kind == responseTruncated},
			hasReport: true, report: j.proc.report(), times: times,
		})
	}
}

// delegatedReason returns ReasonDelegated for an attempt that registers a caller's own id at
// its home node, and otherwise the given reason (package server).
func delegatedReason(a *model.Attempt, otherwise model.Reason) model.Reason {
	if a.CallerKey && !a.Idempotent && !a.Delegated {
		return model.ReasonDelegated
	}
	return otherwise
}

// fail ends a job whose exchange with the worker failed (server.Executor.failed). notRun
// means that the worker never received the request.
func (j *job) fail(notRun bool) {
	if j.run != nil {
		j.run.cancel()
	}
	crashed := !notRun && !j.cancelled && !j.expired && j.detectCrash()
	j.finish(owner.Completion{
		ServiceTime: j.proc.w.now.Sub(j.started), NotRun: notRun,
		Delegate: notRun && !j.cancelled, Failed: !j.cancelled, Expired: j.expired,
	})
	reason := model.ReasonWorkerBroken
	if !notRun && (j.cancelled || j.expired) {
		j.proc.core.Quarantine.RunAbandoned(j.proc.now(), j.quarantineRun())
	}
	switch {
	case notRun:
		j.refuse(j.refusalWorkerDown())
		return
	case j.cancelled:
		reason = model.ReasonCancelled
	case j.expired:
		reason = model.ReasonExpired
	case crashed:
		reason = model.ReasonWorkerCrashed
	}
	j.refuse(model.Refusal{Reason: reason})
}

// cancel cancels the job because the entry no longer waits; expired is set when the
// attempt's deadline is the cause.
func (j *job) cancel(expired bool) {
	j.cancelled, j.expired = !expired, expired
	switch j.state {
	case jobQueued:
		notRun, ds := j.proc.core.Owner.Cancel(j.proc.now(), j.attempt.ID)
		if notRun {
			delete(j.proc.queued, j.attempt.ID)
		}
		j.proc.deliver(ds)
		if notRun {
			j.refuse(model.Refusal{Reason: model.ReasonCancelled, NotRun: true})
		}
	case jobRunning:
		j.fail(false)
	}
}

// finish reports the job's end to the owner, which may start queued jobs.
func (j *job) finish(f owner.Completion) {
	ds := j.proc.core.Owner.Finish(j.proc.now(), j.attempt.ID, f)
	j.state = jobDone
	j.proc.deliver(ds)
}

func (j *job) refuse(r model.Refusal) {
	j.end(result{refusal: r, hasReport: true, report: j.proc.report()})
}

func (j *job) end(r result) {
	j.state = jobDone
	j.releaseLease(&r)
	j.proc.jobs = slices.DeleteFunc(j.proc.jobs, func(o *job) bool { return o == j })
	if j.reply != nil {
		j.reply(r)
	}
}

// abort ends the job with its process: the connection to the worker closes.
func (j *job) abort() {
	if j.run != nil && j.state == jobRunning {
		j.run.cancel()
	}
	j.state = jobDone
}

func (p *process) report() model.LoadReport { return p.core.Owner.Report(p.now()) }
