package server

import (
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/quarantine"
)

// acquireLease announces a queued request of which no run completed recently, so that other
// owners do not run it at the same time.
func (x *Executor) acquireLease(fp *fingerprinter, now time.Time) {
	if fp.stream != nil || !x.quarantine.Fragile() {
		return
	}
	attempt := &fp.message.Attempt
	fp.leased = x.quarantine.AcquireLease(fp.fingerprint(), now.Add(attempt.Remaining))
	if fp.leased {
		event.Log(x.requestLog, event.LeaseAcquired).Str("request", string(attempt.Request)).
			Str("fingerprint", fp.cached.String()).Send()
	}
}

// leaseRunning records that a request with a lease starts.
func (x *Executor) leaseRunning(fp *fingerprinter, now time.Time) {
	if fp.leased {
		x.quarantine.LeaseRunning(now, fp.cached)
	}
}

// releaseLease gives up the request's lease, if it holds one.
func (x *Executor) releaseLease(fp *fingerprinter, end quarantine.LeaseEnd) {
	if fp.leased {
		fp.leased = false
		x.quarantine.ReleaseLease(fp.cached, end)
	}
}

// leaseEnd returns why a run ended its lease.
func leaseEnd(r *Result) quarantine.LeaseEnd {
	switch {
	case r.Response != nil:
		return quarantine.LeaseServed
	case r.Refusal.Reason == model.ReasonWorkerCrashed:
		return quarantine.LeaseCrashed
	}
	return quarantine.LeaseUnserved
}

// responding lets requests run that wait for this one, once the worker responds to it.
func (x *Executor) responding(fp *fingerprinter, head dialect.ResponseHead) {
	if !head.NotRun {
		x.Deliver(x.owner.Responding(time.Now(), fp.message.Attempt.ID))
	}
}

// serializeLate serializes an admitted request whose content was not known when it was
// offered. It refuses the request if another one of the content is queued or running here:
// the entry then sends it again with its body.
func (x *Executor) serializeLate(fp *fingerprinter) *model.Refusal {
	if fp.complete() || fp.stream != nil || !x.quarantine.Fragile() || !x.quarantine.Unproven(fp.fingerprint()) {
		return nil
	}
	id := fp.message.Attempt.ID
	if x.owner.Serialize(id, fp.cached) {
		return nil
	}
	x.finish(id, owner.Completion{NotRun: true, Abandoned: true})
	return &model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: exclusiveRetry, OnlyOwner: fp.message.Attempt.Owner}
}
