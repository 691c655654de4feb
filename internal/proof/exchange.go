package proof

import (
	"slices"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Bounds of settlement (package node, settle.go).
const (
	settleTimeout = 500 * time.Millisecond
	notifyTimeout = 250 * time.Millisecond
)

// answer is what a worker answered: the request that it is an answer to.
type answer struct {
	request model.RequestID
	failed  bool
	// cut: a part only.
	cut bool
}

// exchange is one caller's request in an entry's hands; it stands for the type
// of that name in package server.
type exchange struct {
	l       *life
	sending *sending
	call    *entry.Call
	// turn grows with each step; what belongs to an earlier one comes late.
	turn    uint64
	current *forward
	local   *job
	held    *answer
	over    bool
	// gone: the caller gave up.
	gone bool
	// refused is the reason of the last refusal.
	refused model.Reason
}

// resends tells whether the attempt that follows is sent to the same owner again
// with a fresh stamp, which is no new choice.
func (x *exchange) resends() bool {
	return x.refused == model.ReasonStale || x.refused == model.ReasonIncarnation
}

// receive takes a caller's request at this entry (server.Caller.ServeHTTP).
func (l *life) receive(s *sending) {
	l.arriving = slices.DeleteFunc(l.arriving, func(o *sending) bool { return o == s })
	target, ok := l.core.Board.Bundles.Get().Match(s.route.method, s.route.path)
	if !ok {
		l.unrouted(s)
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
	x := &exchange{l: l, sending: s}
	s.exchange = x
	l.exchanges = append(l.exchanges, x)
	x.call = l.core.Engine.Begin(l.w.now, req)
	l.after(x.call.Deadline().Sub(l.w.now), x.expire)
	x.drive()
}

// unrouted stands for Caller.refuseUnrouted.
func (l *life) unrouted(s *sending) {
	ready := l.core.Board.Readiness.Get()
	switch {
	case ready != nil && ready.Ready:
		l.w.ledger.told(s, model.OutcomeNotRun, model.ReasonNoRoute, nil)
	case s.keyed:
		l.w.ledger.told(s, model.OutcomeUnknown, model.ReasonNotReady, nil)
	default:
		l.w.ledger.told(s, model.OutcomeNotRun, model.ReasonNotReady, nil)
	}
}

// drive carries out the next step.
func (x *exchange) drive() {
	if x.over {
		return
	}
	x.turn++
	turn := x.turn
	step := x.call.Next(x.l.w.now)
	switch step.Kind {
	case entry.StepSend:
		x.send(step)
	case entry.StepResolve:
		x.settle(step)
	case entry.StepWait:
		x.l.after(step.Until.Sub(x.l.w.now), func() {
			if x.turn == turn {
				x.drive()
			}
		})
	case entry.StepEnd:
		x.end(step)
	}
}

// send carries an attempt out.
func (x *exchange) send(step entry.Step) {
	l, turn := x.l, x.turn
	x.held = nil
	l.w.ledger.sent(x, step)
	if step.To.ID == l.node.id {
		x.local = &job{attempt: step.Attempt, sameNode: true, gaveUp: x.gone}
		x.local.reply = func(r result) { x.arrived(turn, r) }
		l.offer(x.local)
		return
	}
	if x.gone {
		x.arrived(turn, result{refusal: model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true}})
		return
	}
	x.current = newForward(x, step)
	x.current.start(step.To.PeerAddress)
}

// arrived takes how an attempt ended. A result of an earlier turn belongs to a
// connection that was given up.
func (x *exchange) arrived(turn uint64, r result) {
	if x.over || turn != x.turn {
		return
	}
	x.turn++
	x.current, x.local = nil, nil
	x.refused = r.refusal.Reason
	now := x.l.w.now
	if r.heard {
		x.l.core.Table.Observe(now, r.report)
		x.l.saw(r.report.Owner, r.report.Bundle)
		x.call.Report(now, r.report)
	}
	switch {
	case r.broken:
		x.broke()
	case r.answer == nil:
		x.call.Refused(now, r.refusal)
	default:
		x.held = r.answer
		x.call.SetOwnerTime(r.times)
		x.call.Answered(now, r.answer.failed)
	}
	x.drive()
}

func (x *exchange) broke() {
	if x.l.w.switches.brokenIsNotRun {
		x.call.Refused(x.l.w.now, model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true})
		return
	}
	x.call.Interrupted(x.l.w.now, false)
	x.noteGone()
}

func (x *exchange) noteGone() {
	if x.gone {
		x.call.CallerCancelled(x.l.w.now)
	}
}

// expire is the end of the call's context at its deadline.
func (x *exchange) expire() { x.contextEnds(true) }

// callerGone is the end of the caller's connection.
func (x *exchange) callerGone() {
	if x.over {
		return
	}
	x.gone = true
	x.contextEnds(false)
}

// contextEnds ends whatever the exchange waits for.
func (x *exchange) contextEnds(expired bool) {
	switch {
	case x.over:
		return
	case x.local != nil:
		x.local.giveUp(expired)
		return
	case x.current != nil:
		x.current.close()
		x.arrived(x.turn, result{broken: true})
		return
	}
	x.call.ResolveFailed(x.l.w.now)
	x.noteGone()
	x.drive()
}

// settle asks an owner what became of an attempt (package node, settler).
func (x *exchange) settle(step entry.Step) {
	l, turn := x.l, x.turn
	l.w.ledger.count("settlements")
	remaining := x.call.Deadline().Sub(l.w.now)
	q := wire.Resolve{
		Attempt:          step.Attempt.ID,
		OwnerIncarnation: step.Attempt.OwnerIncarnation,
		Request:          step.Attempt.Request,
		Remaining:        remaining,
	}
	if l.w.switches.skipSettle {
		x.settled(turn, wire.ResolveReply{Attempt: q.Attempt, State: model.AttemptNeverSeen,
			Report: model.LoadReport{Owner: step.To.ID, Incarnation: q.OwnerIncarnation}})
		return
	}
	if step.To.ID == l.node.id {
		reply, ds := l.core.Owner.Resolve(l.w.now, q)
		l.deliver(ds)
		x.settled(turn, reply)
		return
	}
	l.settling[q.Attempt] = &question{answer: func(r wire.ResolveReply) { x.settled(turn, r) }}
	patience := min(settleTimeout, step.Until.Sub(l.w.now), remaining)
	l.after(patience, func() { x.unsettled(turn) })
	l.links.sendTo(step.To, q, func(ok bool) {
		if !ok {
			x.unsettled(turn)
		}
	})
}

func (x *exchange) settled(turn uint64, r wire.ResolveReply) {
	if x.over || turn != x.turn {
		return
	}
	x.l.core.Table.Observe(x.l.w.now, r.Report)
	x.l.w.trace.add(x.l.w, "settled", r.Attempt, r.State)
	x.l.w.ledger.count("settled " + r.State.String())
	x.call.Resolved(x.l.w.now, r)
	x.drive()
}

func (x *exchange) unsettled(turn uint64) {
	if x.over || turn != x.turn {
		return
	}
	x.call.ResolveFailed(x.l.w.now)
	x.noteGone()
	x.drive()
}

// end tells the request's home, then the caller.
func (x *exchange) end(step entry.Step) {
	x.over = true
	if step.Notify == nil {
		x.tell(step)
		return
	}
	l := x.l
	if step.To.ID == l.node.id {
		l.core.Owner.FinishDelegated(l.w.now, *step.Notify)
		x.tell(step)
		return
	}
	if step.Notify.Outcome != model.OutcomeNotRun {
		l.links.sendTo(step.To, *step.Notify, func(bool) {})
		x.tell(step)
		return
	}
	told := false
	once := func() {
		if !told {
			told = true
			x.tell(step)
		}
	}
	l.after(notifyTimeout, once)
	l.links.sendTo(step.To, *step.Notify, func(bool) { once() })
}

// tell answers the caller.
func (x *exchange) tell(step entry.Step) {
	l := x.l
	l.exchanges = slices.DeleteFunc(l.exchanges, func(o *exchange) bool { return o == x })
	if step.Outcome == model.OutcomeAnswered && x.held != nil {
		l.w.ledger.told(x.sending, step.Outcome, step.Reason, x.held)
		return
	}
	l.w.ledger.told(x.sending, step.Outcome, step.Reason, nil)
}

// lost is the end of the entry's process: the caller's connection breaks.
func (x *exchange) lost() {
	x.over = true
	x.l.w.ledger.disconnected(x.sending)
	if x.current != nil {
		x.current.close()
	}
}
