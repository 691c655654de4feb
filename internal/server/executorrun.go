package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/upstream"
)

// run sends the started attempt to the worker. The owner's Finish is called at the end of
// the response body, or here if there is none.
func (x *Executor) run(ctx context.Context, fp *fingerprinter, started time.Time) Result {
	m := fp.message
	deadline := started.Add(m.Attempt.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	// If this process is suspended here, it may resume after the deadline. Anything
	// written then would run after the caller was told that the call had ended.
	trace := upstream.RequestTrace{SendDeadline: deadline}
	worker := x.worker()
	resp, err := x.send(ctx, m, worker, &trace)
	if err != nil {
		defer cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.portClosed()
		}
		return x.failed(ctx, fp, started, trace.NotRun())
	}
	x.connectionObserved(false)
	head := resp.head
	x.Deliver(x.owner.ObserveLoad(time.Now(), head.Load))
	if resp.invalid != nil {
		resp.Body.Close()
		cancel()
		x.responseInvalid(m, resp)
		x.finish(m.Attempt.ID, owner.Completion{ServiceTime: time.Since(started), Failed: true})
		return Result{Refusal: model.Refusal{Reason: model.ReasonWorkerBroken}}
	}
	if head.Worker != "" && x.workerIdentified != nil {
		x.workerIdentified(head.Worker)
	}
	if head.Refusal != model.ReasonWorkerReplaced {
		x.workerDescribed(started, worker, head)
	}
	x.responding(fp, head)
	if head.NotRun {
		defer cancel()
		defer resp.Body.Close()
		return x.rejected(m, resp, started)
	}
	return Result{Response: &Response{
		Status: resp.StatusCode, Header: endToEnd(resp.Header), ContentLength: resp.ContentLength,
		Body: x.responseBody(ctx, cancel, fp, resp, started),
	}}
}

// rejected ends an attempt that the worker refused to run.
func (x *Executor) rejected(m *AttemptMessage, resp workerResponse, started time.Time) Result {
	head := resp.head
	shed := head.Refusal == model.ReasonWorkerShed
	spurious := shed && head.Load.HasSpareSlots()
	x.finish(m.Attempt.ID, owner.Completion{
		ServiceTime: time.Since(started), NotRun: true, Delegate: true,
		Shed: shed && !spurious, SpuriousRefusal: spurious, Abandoned: !shed, Status: resp.StatusCode,
	})
	after := head.RetryAfter
	if spurious && after == 0 {
		after = spuriousRetry
	}
	return Result{Refusal: model.Refusal{
		Reason: delegatedReason(&m.Attempt, head.Refusal), NotRun: true, RetryAfter: after,
	}}
}

// responseBody returns the body of a response, whose end ends the attempt.
func (x *Executor) responseBody(
	ctx context.Context, cancel context.CancelFunc, fp *fingerprinter, resp workerResponse, started time.Time,
) io.ReadCloser {
	id := fp.message.Attempt.ID
	return &responseBody{ReadCloser: x.limitResponse(resp.Body), done: func(end bodyEnd) {
		complete := end == bodyComplete
		c := completionOf(resp.StatusCode, complete, time.Since(started))
		c.Abandoned = end == bodyBroken && cancelledByEntry(ctx)
		c.Expired = end == bodyBroken && ctx.Err() != nil && !c.Abandoned
		cancel()
		switch {
		case complete:
			x.finish(id, c)
			x.completed(fp)
		case end == bodyTooLong:
			x.logInvalidResponse(fp.message, resp, errBodyOverLimit)
			x.finish(id, c)
		case c.Abandoned || c.Expired:
			x.finish(id, c)
			x.quarantine.RunAbandoned(time.Now(), fp.run(started))
		default:
			seemsCrashed := x.runInterrupted(fp.run(started))
			x.finish(id, c)
			// The entry must not retry before the evidence of a crash is complete.
			seemsCrashed()
		}
	}}
}

// delegatedReason returns ReasonDelegated if this node is the home node of the caller's
// request id: its owner then records that the entry node tries another owner. Otherwise it
// returns the given reason.
func delegatedReason(a *model.Attempt, otherwise model.Reason) model.Reason {
	if a.CallerKey && !a.Idempotent && !a.Delegated {
		return model.ReasonDelegated
	}
	return otherwise
}

func completionOf(status int, complete bool, took time.Duration) owner.Completion {
	c := owner.Completion{ServiceTime: took, Failed: !complete || status >= http.StatusInternalServerError}
	if complete {
		c.Status = status
	}
	return c
}

// failed ends an attempt whose RoundTrip failed. A body that its sender did not send to the
// end says nothing about the worker.
func (x *Executor) failed(ctx context.Context, fp *fingerprinter, started time.Time, notRun bool) Result {
	m := fp.message
	cancelled := cancelledByEntry(ctx) || m.bodyBroken.Load()
	ended := ctx.Err() != nil || m.bodyBroken.Load()
	seemsCrashed := func() bool { return false }
	if !notRun && !ended {
		seemsCrashed = x.runInterrupted(fp.run(started))
	}
	x.finish(m.Attempt.ID, owner.Completion{
		ServiceTime: time.Since(started),
		NotRun:      notRun,
		Delegate:    notRun && !cancelled,
		Failed:      !cancelled,
		Expired:     ended && !cancelled,
		Abandoned:   cancelled || notRun && ended,
	})
	if notRun && !ended {
		x.connectionObserved(true)
	}
	reason := model.ReasonWorkerBroken
	if !notRun && ended {
		x.quarantine.RunAbandoned(time.Now(), fp.run(started))
	}
	switch {
	case cancelled:
		reason = model.ReasonCancelled
	case notRun:
		return Result{Refusal: x.refuseWorkerDown(fp)}
	case ended:
		reason = model.ReasonExpired
	case seemsCrashed():
		reason = model.ReasonWorkerCrashed
	}
	return Result{Refusal: model.Refusal{Reason: reason, NotRun: notRun}}
}

// cancelledByEntry distinguishes an attempt that the entry node gave up from one whose
// time ran out. A connection's read deadline cancels the context just as a departing
// entry node does, at the deadline or slightly earlier.
func cancelledByEntry(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return errors.Is(ctx.Err(), context.Canceled) && (!ok || time.Until(deadline) > cancelMargin)
}

// cancelMargin is how long before its deadline a cancelled context is treated as expired.
const cancelMargin = 5 * time.Millisecond

// spuriousRetry is the Retry-After for a request that a worker refused although it had
// room; another worker may accept it, and so may this one. It is short compared to the
// callers' latency objectives (600 ms and more), and long enough for a slot to become
// free.
const spuriousRetry = 50 * time.Millisecond

// limitResponse returns body, with an error in place of what is beyond the limit.
func (x *Executor) limitResponse(body io.ReadCloser) io.ReadCloser {
	if limit := x.responseLimit.Load(); limit > 0 {
		return http.MaxBytesReader(nil, body, limit)
	}
	return body
}

// bodyEnd is how a response body ended.
type bodyEnd uint8

const (
	// bodyBroken means that it was cut off or closed early.
	bodyBroken bodyEnd = iota
	// bodyTooLong means that it was broken off as it exceeded the limit.
	bodyTooLong
	bodyComplete
)

// bodyEndOf returns how a body ended whose read returned err.
func bodyEndOf(err error) bodyEnd {
	switch {
	case err == io.EOF:
		return bodyComplete
	case exceedsLimit(err):
		return bodyTooLong
	}
	return bodyBroken
}

// responseBody calls done once when the body ends, is cut off, or is closed early.
type responseBody struct {
	io.ReadCloser
	once sync.Once
	done func(end bodyEnd)
}

// Read implements io.Reader.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(bodyEndOf(err))
	}
	return n, err
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(bodyBroken)
	return err
}

func (b *responseBody) finish(end bodyEnd) { b.once.Do(func() { b.done(end) }) }
