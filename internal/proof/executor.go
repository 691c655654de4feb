package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
	"gypsumstand/internal/wire"
)

// jobState is where an attempt stands at its owner.
type jobState uint8

const (
	jobWaiting jobState = iota
	// jobAdmitted: may start; not yet confirmed.
	jobAdmitted
	jobRunning
	jobOver
)

// job is one attempt in the hands of its owner's node; it stands for one call of
// server.Executor.Do.
type job struct {
	l        *life
	attempt  model.Attempt
	sameNode bool
	offered  time.Time
	started  time.Time
	state    jobState
	// gaveUp: the entry no longer waits; expired: its deadline ended that.
	gaveUp, expired bool
	// forced: started by a switch, against the owner's word.
	forced bool
	run    *run
	// verdict is what the quarantine said of it.
	verdict quarantine.Decision
	// reply takes the result; nil when nobody waits for one.
	reply func(result)
}

// result is what the entry hears of an attempt.
type result struct {
	// broken: the way broke, or the answer was cut.
	broken  bool
	answer  *answer
	refusal model.Refusal
	// heard: report is the owner's.
	heard  bool
	report model.LoadReport
	times  wire.AttemptTimes
}

// offer begins a job.
func (l *life) offer(j *job) {
	j.l = l
	j.offered = l.w.now
	l.jobs = append(l.jobs, j)
	knew := l.leaving()
	verdict, refusal := l.decide(j)
	l.w.trace.add(l.w, "offer", l.node.id, j.attempt.ID, verdict, refusal.Reason)
	l.w.ledger.offered(j, knew, verdict, refusal)
	switch verdict {
	case owner.Queue:
		l.waiting[j.attempt.ID] = j
	case owner.Refuse:
		j.refuse(refusal)
	default:
		j.admitted()
	}
}

// decide asks the owner, or breaks it.
func (l *life) decide(j *job) (owner.DecisionKind, model.Refusal) {
	a := j.attempt
	if l.w.switches.forgetKeys {
		a.CallerKey = false
	}
	v := j.judge()
	verdict, refusal := l.core.Owner.OfferSuspect(l.w.now, &a, j.sameNode, owner.Restrictions{
		Crashes: int(a.Crashes), Exclusive: v.Exclusive(), Refusal: v.Refusal(), OnlyOwner: v.OnlyOwner, RetryAfter: v.RetryAfter,
	})
	if l.w.switches.ignoreLeaving && l.leaving() && refusal.Reason == model.ReasonLeaving {
		j.forced = true
		return owner.Start, model.Refusal{}
	}
	return verdict, refusal
}

// deliver hands on decisions (Executor.Deliver).
func (l *life) deliver(ds []owner.Decision) {
	for _, d := range ds {
		j := l.waiting[d.Attempt]
		if j == nil {
			continue
		}
		delete(l.waiting, d.Attempt)
		if d.Kind == owner.Refuse {
			j.refuse(d.Refusal)
			continue
		}
		j.admitted()
	}
}

// admitted goes on after a short time, in which the process may be paused.
func (j *job) admitted() {
	j.state = jobAdmitted
	j.l.after(j.l.w.between(0, 300*time.Microsecond), j.confirm)
}

func (j *job) confirm() {
	l := j.l
	if !j.verdict.Trial {
		if refusal := j.judge().Refusal(); refusal.Reason != model.ReasonNone {
			j.finish(owner.Completion{NotRun: true, Abandoned: true})
			j.refuse(refusal)
			return
		}
	}
	j.started = l.w.now
	if !j.forced && !l.core.Owner.Confirm(l.w.now, j.attempt.ID) {
		j.finish(owner.Completion{NotRun: true})
		j.refuse(model.Refusal{Reason: model.ReasonExpired, NotRun: true})
		return
	}
	j.attempt.Remaining -= j.started.Sub(j.offered)
	j.state = jobRunning
	if j.gaveUp || j.expired || j.attempt.Remaining <= 0 {
		j.failed(true)
		return
	}
	if l.node.worker.refusesConnections() {
		j.failed(true)
		l.traffic(true)
		return
	}
	j.run = l.node.worker.send(j)
	l.after(j.attempt.Remaining, func() {
		if j.state == jobRunning {
			j.expired = true
			j.failed(false)
		}
	})
}

// responded takes what the worker sent.
func (j *job) responded(a workerAnswer) {
	if j.state != jobRunning {
		return
	}
	took := j.l.w.now.Sub(j.started)
	if a.kind == answerClosed {
		j.failed(false)
		return
	}
	j.l.traffic(false)
	switch {
	case a.kind == answerCrossed && !j.l.w.switches.acceptCrossed:
		j.finish(owner.Completion{ServiceTime: took, Failed: true})
		j.refuse(model.Refusal{Reason: model.ReasonWorkerBroken})
	case a.kind == answerShed:
		j.finish(owner.Completion{ServiceTime: took, NotRun: true, Delegate: true, Shed: true, Status: 503})
		j.refuse(model.Refusal{Reason: delegated(&j.attempt, model.ReasonWorkerShed), NotRun: true, RetryAfter: time.Second})
	case a.kind == answerCut && !j.l.w.switches.acceptCut:
		j.finish(owner.Completion{ServiceTime: took, Failed: true})
		j.end(result{broken: true})
	default:
		j.finish(owner.Completion{ServiceTime: took, Failed: a.failed, Status: a.status()})
		j.completed()
		times := wire.AttemptTimes{Queued: j.started.Sub(j.offered), Worker: took}
		j.end(result{answer: &answer{request: a.request, failed: a.failed, cut: a.kind == answerCut}, heard: true, report: j.l.report(), times: times})
	}
}

// delegated stands for the function of that name in package server.
func delegated(a *model.Attempt, otherwise model.Reason) model.Reason {
	if a.CallerKey && !a.Idempotent && !a.Delegated {
		return model.ReasonDelegated
	}
	return otherwise
}

// failed ends a job whose exchange with the worker failed (Executor.failed).
func (j *job) failed(notRun bool) {
	if j.run != nil {
		j.run.cancel()
	}
	j.finish(owner.Completion{
		ServiceTime: j.l.w.now.Sub(j.started), NotRun: notRun,
		Delegate: notRun && !j.gaveUp, Failed: !j.gaveUp, Expired: j.expired,
	})
	reason := model.ReasonWorkerBroken
	if !notRun && (j.gaveUp || j.expired) {
		j.l.core.Quarantine.RunAbandoned(j.l.w.now, j.quarantined())
	}
	switch {
	case notRun:
		reason = delegated(&j.attempt, model.ReasonWorkerUnreachable)
	case j.gaveUp:
		reason = model.ReasonCancelled
	case j.expired:
		reason = model.ReasonExpired
	case j.broke():
		reason = model.ReasonWorkerCrashed
	}
	j.refuse(model.Refusal{Reason: reason, NotRun: notRun})
}

// giveUp tells the owner that the entry no longer waits.
func (j *job) giveUp(expired bool) {
	j.gaveUp, j.expired = !expired, expired
	switch j.state {
	case jobWaiting:
		notRun, ds := j.l.core.Owner.Cancel(j.l.w.now, j.attempt.ID)
		if notRun {
			delete(j.l.waiting, j.attempt.ID)
		}
		j.l.deliver(ds)
		if notRun {
			j.refuse(model.Refusal{Reason: model.ReasonCancelled, NotRun: true})
		}
	case jobRunning:
		j.failed(false)
	}
}

// finish tells the owner; others may start.
func (j *job) finish(f owner.Completion) {
	ds := j.l.core.Owner.Finish(j.l.w.now, j.attempt.ID, f)
	j.state = jobOver
	j.l.deliver(ds)
}

func (j *job) refuse(r model.Refusal) {
	j.end(result{refusal: r, heard: true, report: j.l.report()})
}

func (j *job) end(r result) {
	j.state = jobOver
	j.l.jobs = slices.DeleteFunc(j.l.jobs, func(o *job) bool { return o == j })
	if j.reply != nil {
		j.reply(r)
	}
}

// abandon is the end of the process with the job in hand: its connection to the
// worker closes.
func (j *job) abandon() {
	if j.run != nil && j.state == jobRunning {
		j.run.cancel()
	}
	j.state = jobOver
}

func (l *life) report() model.LoadReport { return l.core.Owner.Report(l.w.now) }
