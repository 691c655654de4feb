package server

import (
	"context"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/task"
)

// hedge is a call that runs beside another one for the same request.
type hedge struct {
	carrier *carrier
	cancel  context.CancelFunc
	// ended carries the hedge's end, once.
	ended chan entry.Step
	// step is its end, once it has been taken from ended.
	step  entry.Step
	taken bool
}

// wait takes the hedge's end.
func (h *hedge) wait() entry.Step {
	if !h.taken {
		h.step, h.taken = <-h.ended, true
	}
	return h.step
}

// won tells whether the hedge is known to have the answer; h may be nil.
func (h *hedge) won() bool {
	return h != nil && h.taken && h.step.Outcome == model.OutcomeAnswered
}

// attempted is the outcome of one attempt.
type attempted struct {
	result Result
	heard  bool
	err    error
}

// attemptHedged carries one attempt out, with a hedge beside it where the call allows
// one: from the step's HedgeAt on, or once the owner is found out of reach. When the
// hedge has an answer first, the attempt is given up.
func (c *carrier) attemptHedged(ctx context.Context, step entry.Step) (Result, bool, error) {
	if step.HedgeAt.IsZero() && !c.mayLose(step) || c.body.stream != nil {
		return c.attempt(ctx, step)
	}
	attemptCtx, giveUp := context.WithCancel(ctx)
	done := make(chan attempted, 1)
	go func() {
		var a attempted
		a.result, a.heard, a.err = c.attempt(attemptCtx, step)
		done <- a
	}()
	a := c.raceHedge(ctx, step, done, giveUp)
	if a.result.Response == nil {
		giveUp()
		return a.result, a.heard, a.err
	}
	// The answer's body is read under the attempt's context.
	a.result.Response.Body = closing{a.result.Response.Body, giveUp}
	return a.result, a.heard, a.err
}

// mayLose tells whether the attempt is worth a hedge should its owner be lost.
func (c *carrier) mayLose(step entry.Step) bool {
	return c.request.Idempotent && step.To.ID != c.caller.Self && c.hedge == nil
}

func (c *carrier) raceHedge(ctx context.Context, step entry.Step, done <-chan attempted, giveUp context.CancelFunc) attempted {
	lost, end := c.caller.UnreachableSignal.wait(step.To.ID)
	defer end()
	var late <-chan time.Time
	if !step.HedgeAt.IsZero() {
		timer := time.NewTimer(time.Until(step.HedgeAt))
		defer timer.Stop()
		late = timer.C
	}
	begin := c.call.Hedge
	select {
	case a := <-done:
		return a
	case <-late:
	case <-lost:
		begin = c.call.HedgeUnreachable
	}
	if !c.startHedge(ctx, begin) {
		return <-done
	}
	select {
	case a := <-done:
		return a
	case c.hedge.step = <-c.hedge.ended:
		c.hedge.taken = true
	}
	if c.hedge.won() {
		giveUp()
	}
	return <-done
}

// startHedge begins a call beside this one; false when the budgets forbid it.
func (c *carrier) startHedge(ctx context.Context, begin func(time.Time) (*entry.Call, bool)) bool {
	call, ok := begin(time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{carrier: &carrier{exchange: c.exchange, call: call}, cancel: cancel, ended: make(chan entry.Step, 1)}
	c.hedge = h
	go func() { h.ended <- h.carrier.carryOut(ctx) }()
	return true
}

// carryOut is carry for a goroutine that is no handler's, where a panic would end the
// process: the call then ends with an unknown outcome.
func (c *carrier) carryOut(ctx context.Context) (step entry.Step) {
	if err := task.Do(func() { step = c.carry(ctx) }); err != nil {
		c.panicked(err)
		return entry.Step{Kind: entry.StepEnd, Outcome: model.OutcomeUnknown}
	}
	return step
}

// decide tells which of the two calls the caller's answer is from.
func (c *carrier) decide(step entry.Step) (*carrier, entry.Step) {
	h := c.hedge
	if h == nil {
		return c, step
	}
	if step.Outcome == model.OutcomeAnswered {
		h.cancel()
		h.wait()
		h.carrier.drop()
		return c, step
	}
	other := h.wait()
	defer h.releaseUnlessHeld()
	if other.Outcome == model.OutcomeAnswered {
		c.drop()
		return h.carrier, other
	}
	return c, entry.CombineOutcomes(step, other)
}

// releaseUnlessHeld ends the hedge's context, but not under an answer that is
// still to be read; the exchange's own end does that.
func (h *hedge) releaseUnlessHeld() {
	if h.carrier.held == nil {
		h.cancel()
	}
}

// sent counts the attempts of a call and its hedge.
func (c *carrier) sent() int {
	if c.hedge == nil {
		return c.attempts
	}
	return c.attempts + c.hedge.carrier.attempts
}
