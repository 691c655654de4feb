package server

import (
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
)

// sending says what the attempt tells of its sending.
func (c *content) sending() quarantine.Submission {
	return quarantine.Submission{Crashes: int(c.work.Attempt.Crashes), Granted: c.work.Attempt.Granted}
}

// judge asks the quarantine about the request.
func (x *Executor) judge(now time.Time, c *content) quarantine.Decision {
	c.verdict = x.suspects.Evaluate(now, c.fingerprint(), c.sending(), c.label())
	switch v := &c.verdict; {
	case v.Quarantined:
		notePutAside(x.requests, c.work.Attempt.Request, c.known, v.RetryAfter)
	case v.Deferred:
		event.Log(x.requests, event.RequestDeferred).Str("request", string(c.work.Attempt.Request)).
			Str("fingerprint", c.known.String()).Int("ends", int64(v.Crashes)).Str("home", string(v.OnlyOwner)).Bool("lent", v.Granted).
			Int("retry_after_ms", v.RetryAfter.Milliseconds()).Send()
	}
	return c.verdict
}

// notePutAside logs that a sending of a request that is put aside is refused.
func notePutAside(log *zerolog.Logger, id model.RequestID, content model.Fingerprint, retryAfter time.Duration) {
	event.Log(log, event.QuarantinedRefused).Str("request", string(id)).Str("fingerprint", content.String()).
		Int("retry_after_ms", retryAfter.Milliseconds()).Send()
}

// caution tells the owner how to treat an attempt that is offered. A request of which not
// all is here yet is judged by lateRefusal only.
func (x *Executor) caution(now time.Time, c *content) owner.Restrictions {
	caution := owner.Restrictions{Crashes: int(c.work.Attempt.Crashes)}
	if !x.suspect(c) || !c.here() {
		return caution
	}
	v := x.judge(now, c)
	caution.Exclusive = v.Exclusive()
	caution.Refusal, caution.OnlyOwner, caution.RetryAfter = v.Refusal(), v.OnlyOwner, v.RetryAfter
	return caution
}

// suspect tells whether a request may be one under which workers end.
func (x *Executor) suspect(c *content) bool { return !x.suspects.Empty() || c.work.Attempt.Crashes > 0 }

// stillAway refuses an attempt of a suspect request whose worker could not be reached: it is
// left to another owner, or waits for the worker.
func (x *Executor) stillAway(c *content) model.Refusal {
	v := x.suspects.EvaluateReroute(time.Now(), c.fingerprint(), c.sending(), c.label())
	v.Deferred = true
	refusal := v.Refusal()
	refusal.Reason = delegated(&c.work.Attempt, refusal.Reason)
	return refusal
}

// aloneRetry is when a request that is to run alone may come back, where another one does.
const aloneRetry = time.Second

// lateRefusal judges an admitted attempt right before its run: all of it is here now, and
// while it waited its request may have been put aside. Nil lets it run.
func (x *Executor) lateRefusal(c *content) *model.Refusal {
	if !x.suspect(c) || c.verdict.Trial {
		return nil
	}
	id := c.work.Attempt.ID
	if c.readAhead() != nil {
		x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
		return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
	}
	v := x.judge(time.Now(), c)
	refusal := v.Refusal()
	if refusal.Reason == model.ReasonNone {
		if !v.Exclusive() || x.owner.MarkExclusive(id) {
			return nil
		}
		refusal = model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: aloneRetry}
	}
	x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
	return &refusal
}

// wholeBytes is the longest body of a request that is remembered for its whole run while none
// is suspect: what is popular is short, and a hash of 64 KiB takes as long as a fast answer.
const wholeBytes = 4 << 10

// completed takes a whole answer: the request ends no workers.
func (x *Executor) completed(c *content) {
	if x.suspects.Empty() && len(c.work.BufferedBody) > wholeBytes {
		return
	}
	x.suspects.RunCompleted(time.Now(), c.fingerprint())
}
