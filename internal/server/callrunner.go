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

// callRunner executes the steps of one entry.Call. An exchange has one, and a second one
// if its call is hedged.
type callRunner struct {
	*exchange
	call     *entry.Call
	attempts int
	added    time.Duration
	queued   time.Duration
	worker   time.Duration
	buffered *bufferedResponse
	upstream model.InstanceID
	// hedge is the hedge of this call; nil if there is none.
	hedge *hedge
}

// bufferedResponse holds the beginning of the last response, and the rest as a stream
// unless it is complete.
type bufferedResponse struct {
	response *Response
	prefix   []byte
	complete bool
}

// run executes the call to its end.
func (c *callRunner) run(ctx context.Context) entry.Step {
	for {
		step := c.call.Next(time.Now())
		switch step.Kind {
		case entry.StepSend:
			c.send(ctx, step)
		case entry.StepResolve:
			c.resolve(ctx, step)
		case entry.StepWait:
			c.wait(ctx, step)
		case entry.StepEnd:
			return step
		}
	}
}

func (c *callRunner) wait(ctx context.Context, step entry.Step) {
	timer := time.NewTimer(time.Until(step.Until))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		c.checkCancelled(ctx)
	}
}

// checkCancelled ends the call if its context was cancelled: the caller has gone, or the
// other call of a hedged pair has won.
func (c *callRunner) checkCancelled(ctx context.Context) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.call.CallerCancelled(time.Now())
	}
}

func (c *callRunner) resolve(ctx context.Context, step entry.Step) {
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
		c.checkCancelled(ctx)
		return
	}
	c.caller.Table.Observe(time.Now(), reply.Report)
	c.call.Resolved(time.Now(), reply)
}

// send executes one attempt and reports its result to the call.
func (c *callRunner) send(ctx context.Context, step entry.Step) {
	c.attempts++
	c.upstream = step.To.ID
	c.logPlaced(step)
	c.dropResponse()
	began := time.Now()
	result, reported, err := c.attemptHedged(ctx, step)
	now := time.Now()
	if c.hedge.won() {
		c.cancelForHedge(now, result)
		return
	}
	if reported {
		c.caller.Table.Observe(now, result.Report)
		c.caller.BundleReported(step.To.ID, result.Report.Bundle)
		c.caller.FreshnessReported(step.To.ID, result.Report.Directory.Aged(transit(now.Sub(began), result.Times)))
		c.call.Report(now, result.Report)
	}
	if !reported && result.Response == nil && !result.Acknowledged {
		c.reportUnanswered(ctx, step, result.Refusal.Reason)
	}
	if c.body.stream != nil {
		c.call.SetReplayable(!c.body.partlyRead.Load())
	}
	switch {
	case err != nil:
		c.interrupted(ctx, now, step, err)
	case result.Response == nil:
		c.call.Refused(now, result.Refusal)
		c.checkCancelled(ctx)
	default:
		c.bufferResponse(ctx, now, step, result)
	}
}

// transit returns an upper bound of a response's time in the network: the attempt's
// duration less the time that the owner and its worker report. A response can wait behind
// a broken link for seconds, so the freshness in it may be that much older than when it
// was sent.
func transit(elapsed time.Duration, ownerTime wire.AttemptTimes) time.Duration {
	return max(elapsed-ownerTime.Queued-ownerTime.Worker, 0)
}

// reportUnanswered reports an owner that did not reply, unless the caller's departure is
// the cause. This node's own owner always replies, unless the attempt panicked.
func (c *callRunner) reportUnanswered(ctx context.Context, step entry.Step, reason model.Reason) {
	if !errors.Is(ctx.Err(), context.Canceled) && step.To.ID != c.caller.Self {
		c.caller.AttemptUnanswered(step.To, reason)
	}
}

// logPlaced logs the estimate that the choice of the upstream was based on.
func (c *callRunner) logPlaced(step entry.Step) {
	age := int64(-1)
	if step.Estimate.Reported {
		age = step.Estimate.Age.Milliseconds()
	}
	event.Log(c.caller.RequestLog, event.AttemptPlaced).
		Str("request", string(step.Attempt.Request)).Str("attempt", step.Attempt.ID.String()).
		Str("upstream", string(step.To.ID)).Int("expected_ms", step.Estimate.Expected.Milliseconds()).
		Int("load", int64(step.Estimate.Load)).Int("age_ms", age).Send()
}

// interrupted reports an attempt that ended without a complete response. If the caller
// has gone, this is no evidence against the upstream.
func (c *callRunner) interrupted(ctx context.Context, now time.Time, step entry.Step, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		c.call.CallerCancelled(now)
		return
	}
	c.logInterrupted(step, err)
	c.call.Interrupted(now, false)
}

func (c *callRunner) logInterrupted(step entry.Step, err error) {
	event.Log(c.caller.RequestLog, event.AttemptInterrupted).
		Str("request", string(step.Attempt.Request)).Str("attempt", step.Attempt.ID.String()).
		Str("upstream", string(step.To.ID)).Err(err).Send()
}

// logUnprovenRefusal logs a status that means "not run" to callers in the response to an
// attempt that its owner takes for run.
func (c *callRunner) logUnprovenRefusal(step entry.Step, status int) {
	event.Log(c.caller.RequestLog, event.UnprovenRefusal).
		Str("request", string(step.Attempt.Request)).Str("attempt", step.Attempt.ID.String()).
		Str("upstream", string(step.To.ID)).Int("status", int64(status)).Send()
}

// attempt executes one attempt; beside a hedge it runs outside the handler's goroutine. A
// panic counts as an interrupted attempt: it would end the process in that goroutine, and
// cut off the caller in the handler's.
func (c *callRunner) attempt(ctx context.Context, step entry.Step) (result Result, reported bool, err error) {
	if panicked := task.Do(func() { result, reported, err = c.offer(ctx, step) }); panicked != nil {
		c.logPanic(panicked)
		return Result{}, false, panicked
	}
	return result, reported, err
}

// logPanic logs a panic after which the request continues.
func (c *callRunner) logPanic(err error) {
	event.Log(c.caller.RequestLog, event.ComponentFailed).Str("request", string(c.request.ID)).Err(err).Send()
}

// offer offers the attempt to its owner, which is either this node's or reached through its
// peer port. The results are those of Forwarder.Do.
func (c *callRunner) offer(ctx context.Context, step entry.Step) (Result, bool, error) {
	known := c.caller.DirectoryFreshness()
	step.Attempt.DirectoryEra, step.Attempt.DirectoryRevision = known.Era, known.Revision
	message := &AttemptMessage{
		Attempt:       step.Attempt,
		Method:        c.r.Method,
		URL:           c.r.URL,
		Host:          c.r.Host,
		Header:        c.outgoingHeader(),
		Body:          c.body.open(),
		BufferedBody:  c.body.buffered,
		ContentLength: c.body.length,
		AcknowledgeBy: step.AcknowledgeBy,
		Reserve:       step.Reserve,
	}
	if step.To.ID == c.caller.Self {
		message.SameNode = true
		return c.caller.Executor.Do(ctx, message), true, nil
	}
	return c.caller.Forwarder.Do(ctx, step.To.PeerAddress, message)
}

// bufferResponse buffers the beginning of the response, so that a short one is known to
// be complete before the caller receives any of it. A response whose status would tell the
// caller "not run" is not passed on: owners report a request that a worker did not run as a
// refusal.
func (c *callRunner) bufferResponse(ctx context.Context, now time.Time, step entry.Step, result Result) {
	c.queued = result.Times.Queued
	c.worker = result.Times.Worker
	c.added = now.Sub(c.began) - result.Times.Queued - result.Times.Worker
	resp := result.Response
	prefix, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedResponse))
	if err != nil {
		resp.Body.Close()
		c.interrupted(ctx, time.Now(), step, err)
		return
	}
	complete := len(prefix) < maxBufferedResponse
	if complete {
		resp.Body.Close()
	}
	c.buffered = &bufferedResponse{response: resp, prefix: prefix, complete: complete}
	c.call.SetOwnerTime(result.Times)
	if c.caller.Dialect.MeansNotRun(resp.Status) {
		c.logUnprovenRefusal(step, resp.Status)
		c.dropResponse()
		c.call.Refused(time.Now(), model.Refusal{Reason: model.ReasonUnprovenRefusal})
		return
	}
	c.call.Answered(time.Now(), resp.Status >= http.StatusInternalServerError)
}

// cancelForHedge ends a call whose hedge has the response.
func (c *callRunner) cancelForHedge(now time.Time, result Result) {
	if result.Response != nil {
		result.Response.Body.Close()
	}
	c.call.CallerCancelled(now)
}

// dropResponse closes a response that is not passed on.
func (c *callRunner) dropResponse() {
	if c.buffered != nil {
		c.buffered.response.Body.Close()
		c.buffered = nil
	}
}
