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
	answer *Response
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
		case entry.StepResolve:
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
		c.call.CallerCancelled(time.Now())
	}
}

func (c *carrier) settle(ctx context.Context, step entry.Step) {
	ctx, cancel := context.WithDeadline(ctx, step.Until)
	defer cancel()
	s := wire.Resolve{
		Attempt:          step.Attempt.ID,
		OwnerIncarnation: step.Attempt.OwnerIncarnation,
		Request:          step.Attempt.Request,
		Remaining:        time.Until(c.call.Deadline()),
	}
	reply, err := c.caller.Resolver.Resolve(ctx, step.To, s)
	if err != nil {
		c.call.ResolveFailed(time.Now())
		c.noteCallerGone(ctx)
		return
	}
	c.caller.Table.Observe(time.Now(), reply.Report)
	c.call.Resolved(time.Now(), reply)
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
		c.caller.BundleReported(step.To.ID, result.Report.Bundle)
		c.caller.FreshnessReported(step.To.ID, result.Report.Directory.Aged(transit(now.Sub(began), result.Times)))
		c.call.Report(now, result.Report)
	}
	if !heard && result.Response == nil {
		c.unanswered(ctx, step, result.Refusal.Reason)
	}
	if c.body.stream != nil {
		c.call.SetReplayable(!c.body.touched.Load())
	}
	switch {
	case err != nil:
		c.ended(ctx, now, step, err)
	case result.Response == nil:
		c.call.Refused(now, result.Refusal)
		c.noteCallerGone(ctx)
	default:
		c.take(ctx, now, step, result)
	}
}

// transit bounds the time that an answer was on its way: the attempt's whole time less
// what the owner and its worker say that they held it. An answer may wait behind a cut
// link for seconds, with a mark that was fresh when it was sent.
func transit(whole time.Duration, held wire.AttemptTimes) time.Duration {
	return max(whole-held.Queued-held.Worker, 0)
}

// unanswered tells of an owner that gave no answer, unless the caller's leaving is
// why. This node's own owner always answers, unless the attempt panicked.
func (c *carrier) unanswered(ctx context.Context, step entry.Step, reason model.Reason) {
	if !errors.Is(ctx.Err(), context.Canceled) && step.To.ID != c.caller.Self {
		c.caller.AttemptUnanswered(step.To, reason)
	}
}

// placed logs the choice behind an attempt.
func (c *carrier) placed(step entry.Step) {
	age := int64(-1)
	if step.Estimate.Reported {
		age = step.Estimate.Age.Milliseconds()
	}
	event.Log(c.caller.RequestLog, event.AttemptPlaced).
		Str("request", string(step.Attempt.Request)).Str("attempt", step.Attempt.ID.String()).
		Str("upstream", string(step.To.ID)).Int("expected_ms", step.Estimate.Expected.Milliseconds()).
		Int("load", int64(step.Estimate.Load)).Int("age_ms", age).Send()
}

// ended reports an attempt that ended without a whole answer. When the caller has
// gone that says nothing of the upstream.
func (c *carrier) ended(ctx context.Context, now time.Time, step entry.Step, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.call.CallerCancelled(now)
		return
	}
	c.broke(step, err)
	c.call.Interrupted(now, false)
}

func (c *carrier) broke(step entry.Step, err error) {
	event.Log(c.caller.RequestLog, event.AttemptBroken).
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
	event.Log(c.caller.RequestLog, event.ComponentFailed).Str("request", string(c.request.ID)).Err(err).Send()
}

// offer offers the attempt to its owner.
func (c *carrier) offer(ctx context.Context, step entry.Step) (Result, bool, error) {
	step.Attempt.DirectoryRevision = c.caller.DirectoryFreshness().Revision
	work := &AttemptMessage{
		Attempt:       step.Attempt,
		Method:        c.r.Method,
		URL:           c.r.URL,
		Host:          c.r.Host,
		Header:        c.outgoingHeader(),
		Body:          c.body.open(),
		BufferedBody:  c.body.held,
		ContentLength: c.body.length,
		AcknowledgeBy: step.AcknowledgeBy,
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
	a := result.Response
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
	c.call.SetOwnerTime(result.Times)
	c.call.Answered(time.Now(), a.Status >= http.StatusInternalServerError)
}

// lose ends a call whose hedge has the answer.
func (c *carrier) lose(now time.Time, result Result) {
	if result.Response != nil {
		result.Response.Body.Close()
	}
	c.call.CallerCancelled(now)
}

// drop lets go of an answer that is not passed on.
func (c *carrier) drop() {
	if c.held != nil {
		c.held.answer.Body.Close()
		c.held = nil
	}
}
