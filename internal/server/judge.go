package server

import (
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
)

// judge asks the quarantine about the request.
func (x *Executor) judge(now time.Time, c *content) quarantine.Verdict {
	c.verdict = x.suspects.Judge(now, c.fingerprint(), c.label())
	if c.verdict.PutAside {
		notePutAside(x.requests, c.work.Attempt.Request, c.known, c.verdict.RetryAfter)
	}
	return c.verdict
}

// notePutAside logs that a sending of a request that is put aside is refused.
func notePutAside(log *zerolog.Logger, id model.RequestID, content model.Fingerprint, retryAfter time.Duration) {
	event.Log(log, event.PutAsideRefused).Str("request", string(id)).Str("fingerprint", content.String()).
		Int("retry_after_ms", retryAfter.Milliseconds()).Send()
}

// caution tells the owner how to treat an attempt that is offered. A request of which not
// all is here yet is judged by lateRefusal only.
func (x *Executor) caution(now time.Time, c *content) owner.Caution {
	caution := owner.Caution{Ends: int(c.work.Attempt.Ends)}
	if x.suspects.Empty() || !c.here() {
		return caution
	}
	v := x.judge(now, c)
	caution.Alone = v.RunsAlone()
	caution.PutAside, caution.RetryAfter = v.PutAside, v.RetryAfter
	return caution
}

// lateRefusal judges an admitted attempt right before its run: all of it is here now, and
// while it waited its request may have been put aside. Nil lets it run.
func (x *Executor) lateRefusal(c *content) *model.Refusal {
	if x.suspects.Empty() || c.verdict.Trial {
		return nil
	}
	id := c.work.Attempt.ID
	if c.readAhead() != nil {
		x.finish(id, owner.Finish{NotRun: true, Abandoned: true})
		return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
	}
	v := x.judge(time.Now(), c)
	if !v.PutAside {
		return nil
	}
	x.finish(id, owner.Finish{NotRun: true, Abandoned: true})
	return &model.Refusal{Reason: model.ReasonPutAside, NotRun: true, RetryAfter: v.RetryAfter}
}

// completed takes a whole answer: the request ends no workers.
func (x *Executor) completed(c *content) {
	if !x.suspects.Empty() {
		x.suspects.Completed(time.Now(), c.fingerprint())
	}
}
