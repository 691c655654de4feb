package server

import (
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/event"
	"gypsumstand/internal/quarantine"
)

// acquireLease announces a queued request to which the worker did not respond recently, so
// that other owners do not run it at the same time.
func (x *Executor) acquireLease(fp *fingerprinter, now time.Time) {
	if !x.maybeUnproven(fp) {
		return
	}
	attempt := &fp.message.Attempt
	fp.lease = x.quarantine.AcquireLease(fp.fingerprint(), now.Add(attempt.Remaining))
	if fp.lease != nil {
		event.Log(x.requestLog, event.LeaseAcquired).Str("request", string(attempt.Request)).
			Str("fingerprint", fp.cached.String()).Send()
	}
}

// maybeUnproven reports whether the request may need a lease. It computes no fingerprint.
// Requests that are not idempotent take none: equal ones are mostly different requests, and
// no entry sends one of them on after a run.
func (x *Executor) maybeUnproven(fp *fingerprinter) bool {
	return fp.message.Attempt.Idempotent && fp.stream == nil && x.quarantine.Fragile()
}

// leaseRunning records that a request starts.
func (x *Executor) leaseRunning(fp *fingerprinter, now time.Time) {
	switch {
	case fp.lease != nil:
		x.quarantine.LeaseRunning(now, fp.lease)
	case x.maybeUnproven(fp):
		fp.lease = x.quarantine.AcquireRunning(now, fp.fingerprint(), now.Add(fp.message.Attempt.Remaining))
	}
}

// releaseLease gives up the request's lease, if it holds one.
func (x *Executor) releaseLease(fp *fingerprinter, end quarantine.LeaseEnd) {
	if fp.lease != nil {
		x.quarantine.ReleaseLease(fp.lease, end)
		fp.lease = nil
	}
}

// responding lets requests run that wait for this one, once the worker responds to it.
func (x *Executor) responding(fp *fingerprinter, head dialect.ResponseHead) {
	if head.NotRun {
		return
	}
	x.quarantine.Responding(fp.cached)
	x.Deliver(x.owner.Responding(time.Now(), fp.message.Attempt.ID))
}
