package server

import (
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
)

// submission returns what the attempt reports of its submission.
func (c *fingerprinter) submission() quarantine.Submission {
	return quarantine.Submission{Crashes: int(c.message.Attempt.Crashes), Granted: c.message.Attempt.Granted}
}

// evaluate asks the quarantine for a decision on the request.
func (x *Executor) evaluate(now time.Time, c *fingerprinter) quarantine.Decision {
	c.decision = x.quarantine.Evaluate(now, c.fingerprint(), c.submission(), c.label())
	switch v := &c.decision; {
	case v.Quarantined:
		logQuarantined(x.requestLog, c.message.Attempt.Request, c.cached, v.RetryAfter)
	case v.Deferred:
		event.Log(x.requestLog, event.RequestDeferred).Str("request", string(c.message.Attempt.Request)).
			Str("fingerprint", c.cached.String()).Int("ends", int64(v.Crashes)).Str("home", string(v.OnlyOwner)).Bool("lent", v.Granted).
			Int("retry_after_ms", v.RetryAfter.Milliseconds()).Send()
	}
	return c.decision
}

// logQuarantined logs the refusal of a submission of a quarantined request.
func logQuarantined(log *zerolog.Logger, id model.RequestID, fingerprint model.Fingerprint, retryAfter time.Duration) {
	event.Log(log, event.QuarantinedRefused).Str("request", string(id)).Str("fingerprint", fingerprint.String()).
		Int("retry_after_ms", retryAfter.Milliseconds()).Send()
}

// restrictions returns how the owner must treat an offered attempt. A request that is not
// complete yet is evaluated by refusalBeforeRun only.
func (x *Executor) restrictions(now time.Time, c *fingerprinter) owner.Restrictions {
	r := owner.Restrictions{Crashes: int(c.message.Attempt.Crashes)}
	if !x.maybeSuspect(c) || !c.complete() {
		return r
	}
	v := x.evaluate(now, c)
	r.Exclusive = v.Exclusive()
	r.Refusal, r.OnlyOwner, r.RetryAfter = v.Refusal(), v.OnlyOwner, v.RetryAfter
	return r
}

// maybeSuspect reports whether the request may be a suspect one.
func (x *Executor) maybeSuspect(c *fingerprinter) bool {
	return !x.quarantine.Empty() || c.message.Attempt.Crashes > 0
}

// refuseWorkerDown refuses an attempt of a suspect request whose worker could not be
// reached: another owner gets it, or it waits for the worker.
func (x *Executor) refuseWorkerDown(c *fingerprinter) model.Refusal {
	v := x.quarantine.EvaluateReroute(time.Now(), c.fingerprint(), c.submission(), c.label())
	v.Deferred = true
	refusal := v.Refusal()
	refusal.Reason = delegatedReason(&c.message.Attempt, refusal.Reason)
	return refusal
}

// exclusiveRetry is the Retry-After of a request that must run exclusively while another
// one does.
const exclusiveRetry = time.Second

// refusalBeforeRun evaluates an admitted attempt directly before its run: the request is
// complete by now, and may have been quarantined while it was queued. Nil lets the
// attempt run.
func (x *Executor) refusalBeforeRun(c *fingerprinter) *model.Refusal {
	if !x.maybeSuspect(c) || c.decision.Trial {
		return nil
	}
	id := c.message.Attempt.ID
	if c.readPrefix() != nil {
		x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
		return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
	}
	v := x.evaluate(time.Now(), c)
	refusal := v.Refusal()
	if refusal.Reason == model.ReasonNone {
		if !v.Exclusive() || x.owner.MarkExclusive(id) {
			return nil
		}
		refusal = model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: exclusiveRetry}
	}
	x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
	return &refusal
}

// maxTrackedBody is the longest body, in bytes, of a request whose complete run is
// recorded while no request is suspect. Frequent requests are short, and hashing 64 KiB
// takes as long as a fast response.
const maxTrackedBody = 4 << 10

// completed records a complete response, which shows that the request does not crash
// workers.
func (x *Executor) completed(c *fingerprinter) {
	if x.quarantine.Empty() && len(c.message.BufferedBody) > maxTrackedBody {
		return
	}
	x.quarantine.RunCompleted(time.Now(), c.fingerprint())
}
