package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/task"
	"gypsumstand/internal/wire"
)

// carrier carries out the steps of one entry.Call. An exchange has one, and a
// second when its call is hedged.
type carrier struct {
	*exchange
	call     *entry.Call
	attempts int
	added    time.Duration
	queued   time.Duration
	worker   time.Duration
	held     *heldAnswer
	upstream model.InstanceID
	// hedge is the call beside this one; nil when there is none.
	hedge *hedge
}

// heldAnswer is the last answer's beginning, and the rest when it streams.
type heldAnswer struct {
	answer *Answer
	start  []byte
	whole  bool
}

// carry carries the call out to its end.
func (c *carrier) carry(ctx context.Context) entry.Step {
	for {
		step := c.call.Next(time.Now())
		switch step.Kind {
		case entry.StepSend:
			c.send(ctx, step)
		case entry.StepSettle:
			c.settle(ctx, step)
		case entry.StepWait:
			c.wait(ctx, step)
		case entry.StepEnd:
			return step
		}
	}
}

func (c *carrier) wait(ctx context.Context, step entry.Step) {
	timer := time.NewTimer(time.Until(step.Until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		c.noteCallerGone(ctx)
	}
}

// noteCallerGone ends the call when nobody waits for it any more: the caller is
// gone, or the call beside it has won.
func (c *carrier) noteCallerGone(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.call.CallerGone(time.Now())
	}
}

func (c *carrier) settle(ctx context.Context, step entry.Step) {
	ctx, cancel := context.WithDeadline(ctx, step.Until)
	defer cancel()
	s := wire.Settle{
		Attempt:          step.Attempt.ID,
		OwnerIncarnation: step.Attempt.OwnerIncarnation,
		Request:          step.Attempt.Request,
		Remaining:        time.Until(c.call.Deadline()),
	}
	reply, err := c.caller.Settler.Settle(ctx, step.To, s)
	if err != nil {
		c.call.SettleFailed(time.Now())
		c.noteCallerGone(ctx)
		return
	}
	c.caller.Table.Observe(time.Now(), reply.Report)
	c.call.Settled(time.Now(), reply)
}

// send carries one attempt out and reports how it ended.
func (c *carrier) send(ctx context.Context, step entry.Step) {
	c.attempts++
	c.upstream = step.To.ID
	c.placed(step)
	c.drop()
	began := time.Now()
	result, heard, err := c.attemptHedged(ctx, step)
	now := time.Now()
	if c.hedge.won() {
		c.lose(now, result)
		return
	}
	if heard {
		c.caller.Table.Observe(now, result.Report)
		c.caller.Seen(step.To.ID, result.Report.Bundle)
		c.caller.Heard(step.To.ID, result.Report.Directory.Aged(transit(now.Sub(began), result.Times)))
		c.call.Report(now, result.Report)
	}
	if !heard && result.Answer == nil {
		c.unanswered(ctx, step, result.Refusal.Reason)
	}
	if c.body.stream != nil {
		c.call.SetReplayable(!c.body.touched.Load())
	}
	switch {
	case err != nil:
		c.ended(ctx, now, step, err)
	case result.Answer == nil:
		c.call.Refused(now, result.Refusal)
		c.noteCallerGone(ctx)
	default:
		c.take(ctx, now, step, result)
	}
}

// transit bounds the time that an answer was on its way: the attempt's whole time less
// what the owner and its worker say that they held it. An answer may wait behind a cut
// link for seconds, with a mark that was fresh when it was sent.
func transit(whole time.Duration, held wire.Times) time.Duration {
	return max(whole-held.Queued-held.Worker, 0)
}

// unanswered tells of an owner that gave no answer, unless the caller's leaving is
// why. This node's own owner always answers, unless the attempt panicked.
func (c *carrier) unanswered(ctx context.Context, step entry.Step, reason model.Reason) {
	if !errors.Is(ctx.Err(), context.Canceled) && step.To.ID != c.caller.Self {
		c.caller.Unanswered(step.To, reason)
	}
}

// placed logs the choice behind an attempt.
func (c *carrier) placed(step entry.Step) {
	age := int64(-1)
	if step.Believed.Heard {
		age = step.Believed.Age.Milliseconds()
	}
	event.Log(c.caller.Requests, event.AttemptPlaced).
		Str("request", string(step.Attempt.Request)).Str("attempt", step.Attempt.ID.String()).
		Str("upstream", string(step.To.ID)).Int("expected_ms", step.Believed.Expected.Milliseconds()).
		Int("load", int64(step.Believed.Load)).Int("age_ms", age).Send()
}

// ended reports an attempt that ended without a whole answer. When the caller has
// gone that says nothing of the upstream.
func (c *carrier) ended(ctx context.Context, now time.Time, step entry.Step, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.call.CallerGone(now)
		return
	}
	c.broke(step, err)
	c.call.Broken(now, false)
}

func (c *carrier) broke(step entry.Step, err error) {
	event.Log(c.caller.Requests, event.AttemptBroke).
		Str("request", string(step.Attempt.Request)).Str("attempt", step.Attempt.ID.String()).
		Str("upstream", string(step.To.ID)).Err(err).Send()
}

// attempt carries out one attempt, beside a hedge in a goroutine that is no handler's. A
// panic is an attempt that broke: it would end the process there, and cut the caller off
// here.
func (c *carrier) attempt(ctx context.Context, step entry.Step) (result Result, heard bool, err error) {
	if panicked := task.Do(func() { result, heard, err = c.offer(ctx, step) }); panicked != nil {
		c.panicked(panicked)
		return Result{}, false, panicked
	}
	return result, heard, err
}

// panicked logs a panic that the request goes on after.
func (c *carrier) panicked(err error) {
	event.Log(c.caller.Requests, event.PartFailed).Str("request", string(c.request.ID)).Err(err).Send()
}

// offer offers the attempt to its owner.
func (c *carrier) offer(ctx context.Context, step entry.Step) (Result, bool, error) {
	step.Attempt.DirectoryRevision = c.caller.Mark().Revision
	work := &Work{
		Attempt:       step.Attempt,
		Method:        c.r.Method,
		URL:           c.r.URL,
		Host:          c.r.Host,
		Header:        c.outgoingHeader(),
		Body:          c.body.open(),
		Held:          c.body.held,
		ContentLength: c.body.length,
		TakenUpBy:     step.TakenUpBy,
	}
	if step.To.ID == c.caller.Self {
		work.SameNode = true
		return c.caller.Executor.Do(ctx, work), true, nil
	}
	return c.caller.Forwarder.Do(ctx, step.To.PeerAddress, work)
}

// take holds the answer's beginning, so that a short one is known to be whole
// before the caller hears of it.
func (c *carrier) take(ctx context.Context, now time.Time, step entry.Step, result Result) {
	c.queued = result.Times.Queued
	c.worker = result.Times.Worker
	c.added = now.Sub(c.began) - result.Times.Queued - result.Times.Worker
	a := result.Answer
	start, err := io.ReadAll(io.LimitReader(a.Body, holdAnswerBytes))
	if err != nil {
		a.Body.Close()
		c.ended(ctx, time.Now(), step, err)
		return
	}
	whole := len(start) < holdAnswerBytes
	if whole {
		a.Body.Close()
	}
	c.held = &heldAnswer{answer: a, start: start, whole: whole}
	c.call.Held(result.Times)
	c.call.Answered(time.Now(), a.Status >= http.StatusInternalServerError)
}

// lose ends a call whose hedge has the answer.
func (c *carrier) lose(now time.Time, result Result) {
	if result.Answer != nil {
		result.Answer.Body.Close()
	}
	c.call.CallerGone(now)
}

// drop lets go of an answer that is not passed on.
func (c *carrier) drop() {
	if c.held != nil {
		c.held.answer.Body.Close()
		c.held = nil
	}
}
