package server

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/upstream"
)

// run sends the started attempt to the worker. Finish comes with the end of the
// answer's body, or here when there is none.
func (x *Executor) run(ctx context.Context, asked *content, started time.Time) Result {
	w := asked.work
	deadline := started.Add(w.Attempt.Remaining)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	// A process that is stopped here wakes late: what it then writes would run after
	// its caller was told that the call has ended.
	proof := upstream.RequestTrace{SendDeadline: deadline}
	req := proof.Attach(x.request(ctx, w))
	upstream.PreventReplay(req)
	resp, err := x.transportFor(&w.Attempt).RoundTrip(req)
	if err != nil {
		defer cancel()
		if errors.Is(err, syscall.ECONNREFUSED) {
			x.portClosed()
		}
		return x.failed(ctx, asked, started, proof.NotRun())
	}
	x.traffic(false)
	head := x.dialect.ReadResponse(resp, &w.Attempt)
	x.Deliver(x.owner.ObserveLoad(time.Now(), head.Load))
	if refusal, ok := x.checkHead(w, resp, head); !ok {
		proof.CloseConn()
		resp.Body.Close()
		cancel()
		x.finish(w.Attempt.ID, owner.Completion{ServiceTime: time.Since(started), Failed: true})
		return Result{Refusal: refusal}
	}
	if head.Worker != "" && x.said != nil {
		x.said(head.Worker)
	}
	if head.NotRun {
		defer cancel()
		defer resp.Body.Close()
		shed := head.Refusal == model.ReasonWorkerShed
		whim := shed && head.Load.HasSpareSlots()
		x.finish(w.Attempt.ID, owner.Completion{
			ServiceTime: time.Since(started), NotRun: true, Delegate: true,
			Shed: shed && !whim, SpuriousRefusal: whim, Abandoned: !shed, Status: resp.StatusCode,
		})
		after := head.RetryAfter
		if whim && after == 0 {
			after = whimRetry
		}
		return Result{Refusal: model.Refusal{Reason: delegated(&w.Attempt, head.Refusal), NotRun: true, RetryAfter: after}}
	}
	body := &answerBody{ReadCloser: resp.Body, done: func(whole bool) {
		f := finishOf(resp.StatusCode, whole, time.Since(started))
		f.Abandoned = !whole && givenUp(ctx)
		f.Expired = !whole && ctx.Err() != nil && !f.Abandoned
		cancel()
		x.finish(w.Attempt.ID, f)
		switch {
		case whole:
			x.completed(asked)
		case f.Abandoned || f.Expired:
			x.suspects.RunAbandoned(time.Now(), asked.run(started))
		default:
			x.broke(asked.run(started))
		}
	}}
	answer := &Response{Status: resp.StatusCode, Header: endToEnd(resp.Header), ContentLength: resp.ContentLength, Body: body}
	return Result{Response: answer}
}

// delegated gives the reason of a refusal after which the owner, as the home of
// a caller's own request id, remembers that the entry goes elsewhere with it.
func delegated(a *model.Attempt, otherwise model.Reason) model.Reason {
	if a.CallerKey && !a.Idempotent && !a.Delegated {
		return model.ReasonDelegated
	}
	return otherwise
}

func finishOf(status int, whole bool, took time.Duration) owner.Completion {
	f := owner.Completion{ServiceTime: took, Failed: !whole || status >= http.StatusInternalServerError}
	if whole {
		f.Status = status
	}
	return f
}

// failed ends an attempt whose RoundTrip failed.
func (x *Executor) failed(ctx context.Context, asked *content, started time.Time, notRun bool) Result {
	w := asked.work
	gaveUp := givenUp(ctx)
	x.finish(w.Attempt.ID, owner.Completion{
		ServiceTime: time.Since(started),
		NotRun:      notRun,
		Delegate:    notRun && !gaveUp,
		Failed:      !gaveUp,
		Expired:     ctx.Err() != nil && !gaveUp,
		Abandoned:   gaveUp || notRun && ctx.Err() != nil,
	})
	if notRun && ctx.Err() == nil {
		x.traffic(true)
	}
	reason := model.ReasonWorkerBroken
	if !notRun && ctx.Err() != nil {
		x.suspects.RunAbandoned(time.Now(), asked.run(started))
	}
	switch {
	case gaveUp:
		reason = model.ReasonCancelled
	case notRun && asked.verdict.Crashes > 0:
		return Result{Refusal: x.stillAway(asked)}
	case notRun:
		reason = delegated(&w.Attempt, model.ReasonWorkerUnreachable)
	case ctx.Err() != nil:
		reason = model.ReasonExpired
	case x.broke(asked.run(started)):
		reason = model.ReasonWorkerCrashed
	}
	return Result{Refusal: model.Refusal{Reason: reason, NotRun: notRun}}
}

// givenUp tells an attempt that the entry gave up from one whose time ended. A
// connection's read limit ends the context as a departing entry does, at the
// deadline or a little earlier.
func givenUp(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return errors.Is(ctx.Err(), context.Canceled) && (!ok || time.Until(deadline) > giveUpMargin)
}

// giveUpMargin is how long before its deadline a context that is cancelled is
// taken to have reached it.
const giveUpMargin = 5 * time.Millisecond

// checkHead refuses crossed answers, those whose wholeness cannot be known, and a
// switch of protocols, which no request asked for (RFC 9110, section 15.2.2) and
// whose body would end with the connection only.
func (x *Executor) checkHead(w *AttemptMessage, resp *http.Response, head dialect.ResponseHead) (model.Refusal, bool) {
	broken := model.Refusal{Reason: model.ReasonWorkerBroken}
	if head.Echo == dialect.EchoMismatch || head.Echo == dialect.EchoAbsent && x.echo.Load() {
		return broken, false
	}
	if resp.StatusCode < http.StatusOK {
		return broken, false
	}
	if !x.dialect.AcceptsCloseDelimited() && upstream.CheckFraming(resp, w.Method) != nil {
		return broken, false
	}
	return model.Refusal{}, true
}

// whimRetry is when a request is worth another try that a worker refused although it
// had room: another worker may take it, and so may this one. It is short beside the
// objectives of callers (600 ms and more), and long enough for a slot to change hands.
const whimRetry = 50 * time.Millisecond

// request makes the message to the worker.
func (x *Executor) request(ctx context.Context, w *AttemptMessage) *http.Request {
	u := *w.URL
	u.Scheme, u.Host = "http", x.address
	req := w.request(ctx, &u)
	x.dialect.PrepareAttempt(req.Header, &w.Attempt, x.worker())
	return req
}

// answerBody tells once how the body ended: whole, cut, or given up.
type answerBody struct {
	io.ReadCloser
	once sync.Once
	done func(whole bool)
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(err == io.EOF)
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	err := b.ReadCloser.Close()
	b.end(false)
	return err
}

func (b *answerBody) end(whole bool) { b.once.Do(func() { b.done(whole) }) }
