package server

import (
	"time"

	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
)

// submission returns the crash count and the grant that the attempt carries.
func (fp *fingerprinter) submission() quarantine.Submission {
	return quarantine.Submission{Crashes: int(fp.message.Attempt.Crashes), Granted: fp.message.Attempt.Granted}
}

// evaluate asks the quarantine for a decision on the request.
func (x *Executor) evaluate(now time.Time, fp *fingerprinter) quarantine.Decision {
	fp.decision = x.quarantine.Evaluate(now, fp.fingerprint(), fp.submission(), fp.label())
	switch d := &fp.decision; {
	case d.Quarantined:
		logQuarantined(x.requestLog, fp.message.Attempt.Request, fp.cached, d.RetryAfter)
	case d.Deferred && d.Crashes == 0:
		event.Log(x.requestLog, event.RequestLeased).Str("request", string(fp.message.Attempt.Request)).
			Str("fingerprint", fp.cached.String()).Str("owner", string(d.OnlyOwner)).Send()
	case d.Deferred:
		event.Log(x.requestLog, event.RequestDeferred).Str("request", string(fp.message.Attempt.Request)).
			Str("fingerprint", fp.cached.String()).Int("ends", int64(d.Crashes)).
			Str("home", string(d.OnlyOwner)).Bool("lent", d.Granted).
			Int("retry_after_ms", d.RetryAfter.Milliseconds()).Send()
	}
	return fp.decision
}

// logQuarantined logs the refusal of a submission of a quarantined request.
func logQuarantined(log *zerolog.Logger, id model.RequestID, fingerprint model.Fingerprint, retryAfter time.Duration) {
	event.Log(log, event.QuarantinedRefused).Str("request", string(id)).Str("fingerprint", fingerprint.String()).
		Int("retry_after_ms", retryAfter.Milliseconds()).Send()
}

// restrictions returns how the owner must treat an offered attempt. A request that is not
// complete yet is evaluated by refusalBeforeRun only.
func (x *Executor) restrictions(now time.Time, fp *fingerprinter) owner.Restrictions {
	r := owner.Restrictions{Crashes: int(fp.message.Attempt.Crashes)}
	if !fp.complete() {
		return r
	}
	if x.maybeUnproven(fp) && x.quarantine.Unproven(fp.fingerprint()) {
		r.Content = fp.fingerprint()
	}
	if !x.maybeSuspect(fp) {
		return r
	}
	d := x.evaluate(now, fp)
	r.Exclusive = d.Exclusive()
	r.Refusal, r.OnlyOwner, r.RetryAfter = d.Refusal(), d.OnlyOwner, d.RetryAfter
	return r
}

// maybeSuspect reports whether the request may be a suspect one.
func (x *Executor) maybeSuspect(fp *fingerprinter) bool {
	return !x.quarantine.Empty() || fp.message.Attempt.Crashes > 0 || x.quarantine.HasPeerLeases()
}

// refuseWorkerDown refuses an attempt whose worker could not be reached. If the request is
// suspect, maybe only since the attempt was admitted, another owner gets it or it waits for
// the worker.
func (x *Executor) refuseWorkerDown(fp *fingerprinter) model.Refusal {
	refusal := model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true}
	if x.maybeSuspect(fp) {
		d := x.quarantine.EvaluateReroute(time.Now(), fp.fingerprint(), fp.submission(), fp.label())
		if d != (quarantine.Decision{}) {
			d.Deferred = true
			refusal = d.Refusal()
		}
	}
	refusal.Reason = delegatedReason(&fp.message.Attempt, refusal.Reason)
	return refusal
}

// exclusiveRetry is the Retry-After of a request that must run exclusively if another
// exclusive one is running.
const exclusiveRetry = time.Second

// refusalBeforeRun evaluates an admitted attempt directly before its run: the request is
// complete by now, and may have been quarantined while it was queued. Nil lets the
// attempt run.
func (x *Executor) refusalBeforeRun(fp *fingerprinter) *model.Refusal {
	if !x.maybeSuspect(fp) || fp.decision.Trial {
		return nil
	}
	id := fp.message.Attempt.ID
	if fp.readPrefix() != nil {
		x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
		return &model.Refusal{Reason: model.ReasonCancelled, NotRun: true}
	}
	d := x.evaluate(time.Now(), fp)
	refusal := d.Refusal()
	if refusal.Reason == model.ReasonNone {
		if !d.Exclusive() || x.owner.MarkExclusive(id) {
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
func (x *Executor) completed(fp *fingerprinter) {
	if x.quarantine.Empty() && len(fp.message.BufferedBody) > maxTrackedBody {
		return
	}
	x.quarantine.RunCompleted(time.Now(), fp.fingerprint())
}
