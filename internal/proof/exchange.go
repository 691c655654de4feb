package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Timeouts of outcome resolution (package node).
const (
	resolveTimeout = 500 * time.Millisecond
	notifyTimeout  = 250 * time.Millisecond
)

// response is a worker's response; request is the request that it belongs to.
type response struct {
	request model.RequestID
	failed  bool
	// truncated marks an incomplete body.
	truncated bool
}

// exchange is one caller's request at its entry. It stands for the type of the same name
// in package server.
type exchange struct {
	proc       *process
	submission *submission
	call       *entry.Call
	// turn increases with each step, so that results of earlier steps can be recognised
	// and dropped.
	turn     uint64
	current  *forward
	local    *job
	response *response
	done     bool
	// cancelled is set when the caller has closed its connection.
	cancelled bool
	// lastRefusal is the reason of the last refusal.
	lastRefusal model.Reason
}

// isResend reports whether the next attempt goes to the same owner again with a fresh
// clock or incarnation, rather than to a newly chosen one.
func (x *exchange) isResend() bool {
	return x.lastRefusal == model.ReasonStale || x.lastRefusal == model.ReasonIncarnation
}

// receive accepts a caller's request at this entry (server.CallerHandler.ServeHTTP).
func (p *process) receive(s *submission) {
	p.arriving = slices.DeleteFunc(p.arriving, func(o *submission) bool { return o == s })
	target, ok := p.core.Board.Bundles.Get().Match(s.route.method, s.route.path)
	if !ok {
		p.refuseUnrouted(s)
		return
	}
	req := entry.Request{
		ID:          s.request,
		CallerKey:   s.keyed,
		Target:      target,
		Tenant:      model.OtherTenant,
		Idempotent:  target.Idempotent,
		Timeout:     target.Class.Deadline(),
		RetryBudget: target.Bundle.Retry.PerPath,
		Replayable:  true,
	}
	if target.Bundle.Tenant(s.tenant) != nil {
		req.Tenant = s.tenant
	}
	x := &exchange{proc: p, submission: s}
	s.exchange = x
	p.exchanges = append(p.exchanges, x)
	x.call = p.core.Engine.Begin(p.now(), req)
	p.after(x.call.Deadline().Sub(p.now()), x.expire)
	x.drive()
}

// refuseUnrouted answers a request that no route matches
// (server.CallerHandler.refuseUnrouted).
func (p *process) refuseUnrouted(s *submission) {
	ready := p.core.Board.Readiness.Get()
	switch {
	case ready != nil && ready.Ready:
		p.w.ledger.recordOutcome(s, model.OutcomeNotRun, model.ReasonNoRoute, nil)
	case s.keyed:
		p.w.ledger.recordOutcome(s, model.OutcomeUnknown, model.ReasonNotReady, nil)
	default:
		p.w.ledger.recordOutcome(s, model.OutcomeNotRun, model.ReasonNotReady, nil)
	}
}

// drive asks the call for its next step and carries it out.
func (x *exchange) drive() {
	if x.done {
		return
	}
	x.turn++
	turn := x.turn
	step := x.call.Next(x.proc.now())
	switch step.Kind {
	case entry.StepSend:
		x.send(step)
	case entry.StepResolve:
		x.resolve(step)
	case entry.StepWait:
		x.proc.after(step.Until.Sub(x.proc.now()), func() {
			if x.turn == turn {
				x.drive()
			}
		})
	case entry.StepEnd:
		x.finish(step)
	}
}

// send carries out an attempt.
func (x *exchange) send(step entry.Step) {
	proc, turn := x.proc, x.turn
	x.response = nil
	proc.w.ledger.recordAttempt(x, step)
	if step.To.ID == proc.node.id {
		x.local = &job{attempt: step.Attempt, sameNode: true, cancelled: x.cancelled}
		x.local.reply = func(r result) { x.attemptEnded(turn, r) }
		proc.offer(x.local)
		return
	}
	if x.cancelled {
		x.attemptEnded(turn, result{refusal: model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true}})
		return
	}
	x.current = newForward(x, step)
	x.current.start(step.To.PeerAddress)
}

// attemptEnded takes the result of an attempt. A result of an earlier turn comes from an
// abandoned connection and is dropped.
func (x *exchange) attemptEnded(turn uint64, r result) {
	if x.done || turn != x.turn {
		return
	}
	x.turn++
	x.current, x.local = nil, nil
	x.lastRefusal = r.refusal.Reason
	now := x.proc.now()
	if r.hasReport {
		x.proc.core.Table.Observe(now, r.report)
		x.proc.observeVersion(r.report.Owner, r.report.Bundle)
		x.call.Report(now, r.report)
	}
	switch {
	case r.interrupted:
		x.interrupted()
	case r.response == nil:
		x.call.Refused(now, r.refusal)
	default:
		x.response = r.response
		x.call.SetOwnerTime(r.times)
		x.call.Answered(now, r.response.failed)
	}
	x.drive()
}

func (x *exchange) interrupted() {
	if x.proc.w.options.brokenMeansNotRun {
		x.call.Refused(x.proc.now(), model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true})
		return
	}
	x.call.Interrupted(x.proc.now(), false)
	x.noteCancelled()
}

func (x *exchange) noteCancelled() {
	if x.cancelled {
		x.call.CallerCancelled(x.proc.now())
	}
}

// expire ends the call's context at its deadline.
func (x *exchange) expire() { x.contextDone(true) }

// callerCancelled ends the call's context because the caller closed its connection.
func (x *exchange) callerCancelled() {
	if x.done {
		return
	}
	x.cancelled = true
	x.contextDone(false)
}

// contextDone interrupts the operation that the exchange waits for.
func (x *exchange) contextDone(expired bool) {
	switch {
	case x.done:
		return
	case x.local != nil:
		x.local.cancel(expired)
		return
	case x.current != nil:
		x.current.abandon()
		x.attemptEnded(x.turn, result{interrupted: true})
		return
	}
	x.call.ResolveFailed(x.proc.now())
	x.noteCancelled()
	x.drive()
}

// resolve asks an owner for the outcome of an attempt (package node).
func (x *exchange) resolve(step entry.Step) {
	proc, turn := x.proc, x.turn
	proc.w.ledger.count("settlements")
	remaining := x.call.Deadline().Sub(proc.now())
	q := wire.Resolve{
		Attempt:          step.Attempt.ID,
		OwnerIncarnation: step.Attempt.OwnerIncarnation,
		Request:          step.Attempt.Request,
		Remaining:        remaining,
	}
	if proc.w.options.skipResolve {
		x.resolved(turn, wire.ResolveReply{Attempt: q.Attempt, State: model.AttemptNeverSeen,
			Report: model.LoadReport{Owner: step.To.ID, Incarnation: q.OwnerIncarnation}})
		return
	}
	if step.To.ID == proc.node.id {
		reply, ds := proc.core.Owner.Resolve(proc.now(), q)
		proc.deliver(ds)
		x.resolved(turn, reply)
		return
	}
	proc.pendingResolves[q.Attempt] = &pendingResolve{onReply: func(r wire.ResolveReply) { x.resolved(turn, r) }}
	timeout := min(resolveTimeout, step.Until.Sub(proc.now()), remaining)
	proc.after(timeout, func() { x.resolveFailed(turn) })
	proc.links.sendTo(step.To, q, func(ok bool) {
		if !ok {
			x.resolveFailed(turn)
		}
	})
}

func (x *exchange) resolved(turn uint64, r wire.ResolveReply) {
	if x.done || turn != x.turn {
		return
	}
	x.proc.core.Table.Observe(x.proc.now(), r.Report)
	x.proc.w.trace.add(x.proc.w, "settled", r.Attempt, r.State)
	x.proc.w.ledger.count("settled " + r.State.String())
	x.call.Resolved(x.proc.now(), r)
	x.drive()
}

func (x *exchange) resolveFailed(turn uint64) {
	if x.done || turn != x.turn {
		return
	}
	x.call.ResolveFailed(x.proc.now())
	x.noteCancelled()
	x.drive()
}

// finish notifies the request's home node, where the step names one, and then replies to
// the caller.
func (x *exchange) finish(step entry.Step) {
	x.done = true
	if step.Notify == nil {
		x.reply(step)
		return
	}
	proc := x.proc
	if step.To.ID == proc.node.id {
		proc.core.Owner.FinishDelegated(proc.now(), *step.Notify)
		x.reply(step)
		return
	}
	if step.Notify.Outcome != model.OutcomeNotRun {
		proc.links.sendTo(step.To, *step.Notify, func(bool) {})
		x.reply(step)
		return
	}
	replied := false
	replyOnce := func() {
		if !replied {
			replied = true
			x.reply(step)
		}
	}
	proc.after(notifyTimeout, replyOnce)
	proc.links.sendTo(step.To, *step.Notify, func(bool) { replyOnce() })
}

// reply records the outcome that the caller receives.
func (x *exchange) reply(step entry.Step) {
	proc := x.proc
	proc.exchanges = slices.DeleteFunc(proc.exchanges, func(o *exchange) bool { return o == x })
	if step.Outcome == model.OutcomeAnswered && x.response != nil {
		proc.w.ledger.recordOutcome(x.submission, step.Outcome, step.Reason, x.response)
		return
	}
	proc.w.ledger.recordOutcome(x.submission, step.Outcome, step.Reason, nil)
}

// processEnded breaks the caller's connection when the entry's process ends.
func (x *exchange) processEnded() {
	x.done = true
	x.proc.w.ledger.recordDisconnect(x.submission)
	if x.current != nil {
		x.current.abandon()
	}
}
