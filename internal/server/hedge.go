package server

import (
	"context"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/task"
)

// hedge is a second call for the same request.
type hedge struct {
	runner *callRunner
	cancel context.CancelFunc
	// done receives the hedge's last step, once.
	done chan entry.Step
	// step is the hedge's last step after it has been received from done.
	step     entry.Step
	received bool
}

// wait waits for the hedge's last step.
func (h *hedge) wait() entry.Step {
	if !h.received {
		h.step, h.received = <-h.done, true
	}
	return h.step
}

// won reports whether the hedge is known to have a response; h may be nil.
func (h *hedge) won() bool {
	return h != nil && h.received && h.step.Outcome == model.OutcomeAnswered
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	result   Result
	reported bool
	err      error
}

// attemptHedged executes one attempt. If the call allows, a hedge is started at the
// step's HedgeAt, or once the owner becomes unreachable. The attempt is cancelled if the
// hedge responds first.
func (c *callRunner) attemptHedged(ctx context.Context, step entry.Step) (Result, bool, error) {
	if step.HedgeAt.IsZero() && !c.hedgesIfUnreachable(step) || c.body.stream != nil {
		return c.attempt(ctx, step)
	}
	attemptCtx, cancelAttempt := context.WithCancel(ctx)
	done := make(chan attemptResult, 1)
	go func() {
		var a attemptResult
		a.result, a.reported, a.err = c.attempt(attemptCtx, step)
		done <- a
	}()
	a := c.raceHedge(ctx, step, done, cancelAttempt)
	if a.result.Response == nil {
		cancelAttempt()
		return a.result, a.reported, a.err
	}
	// The response body is read under the attempt's context.
	a.result.Response.Body = cancelOnClose{a.result.Response.Body, cancelAttempt}
	return a.result, a.reported, a.err
}

// hedgesIfUnreachable reports whether the attempt is to be hedged if its owner becomes
// unreachable.
func (c *callRunner) hedgesIfUnreachable(step entry.Step) bool {
	return c.request.Idempotent && step.To.ID != c.caller.Self && c.hedge == nil
}

// raceHedge waits for the attempt's result, starts a hedge when it is due, and cancels the
// attempt if the hedge responds first.
func (c *callRunner) raceHedge(
	ctx context.Context, step entry.Step, done <-chan attemptResult, cancelAttempt context.CancelFunc,
) attemptResult {
	unreachable, end := c.caller.UnreachableSignal.wait(step.To.ID)
	defer end()
	var hedgeDue <-chan time.Time
	if !step.HedgeAt.IsZero() {
		timer := time.NewTimer(time.Until(step.HedgeAt))
		defer timer.Stop()
		hedgeDue = timer.C
	}
	begin := c.call.Hedge
	select {
	case a := <-done:
		return a
	case <-hedgeDue:
	case <-unreachable:
		begin = c.call.HedgeUnreachable
	}
	if !c.startHedge(ctx, begin) {
		return <-done
	}
	select {
	case a := <-done:
		return a
	case c.hedge.step = <-c.hedge.done:
		c.hedge.received = true
	}
	if c.hedge.won() {
		cancelAttempt()
	}
	return <-done
}

// startHedge starts a call beside this one; it returns false if the budgets do not allow
// one.
func (c *callRunner) startHedge(ctx context.Context, begin func(time.Time) (*entry.Call, bool)) bool {
	call, ok := begin(time.Now())
	if !ok {
		return false
	}
	ctx, cancel := context.WithCancel(ctx)
	h := &hedge{runner: &callRunner{exchange: c.exchange, call: call}, cancel: cancel, done: make(chan entry.Step, 1)}
	c.hedge = h
	go func() { h.done <- h.runner.runRecovering(ctx) }()
	return true
}

// runRecovering is run for a goroutine outside a handler, where a panic would end the
// process. After a panic the call ends with an unknown outcome.
func (c *callRunner) runRecovering(ctx context.Context) (step entry.Step) {
	if err := task.Do(func() { step = c.run(ctx) }); err != nil {
		c.logPanic(err)
		return entry.Step{Kind: entry.StepEnd, Outcome: model.OutcomeUnknown}
	}
	return step
}

// pickWinner returns the call of a hedged pair that decides the caller's response, and
// its last step.
func (c *callRunner) pickWinner(step entry.Step) (*callRunner, entry.Step) {
	h := c.hedge
	if h == nil {
		return c, step
	}
	if step.Outcome == model.OutcomeAnswered {
		h.cancel()
		h.wait()
		h.runner.dropResponse()
		return c, step
	}
	other := h.wait()
	defer h.cancelUnlessBuffered()
	if other.Outcome == model.OutcomeAnswered {
		c.dropResponse()
		return h.runner, other
	}
	return c, entry.CombineOutcomes(step, other)
}

// cancelUnlessBuffered cancels the hedge's context unless it has a response that is still
// to be read; the exchange then cancels it at its own end.
func (h *hedge) cancelUnlessBuffered() {
	if h.runner.buffered == nil {
		h.cancel()
	}
}

// totalAttempts counts the attempts of a call and its hedge.
func (c *callRunner) totalAttempts() int {
	if c.hedge == nil {
		return c.attempts
	}
	return c.attempts + c.hedge.runner.attempts
}
