package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// Restrictions limit how and where a suspect request may run.
type Restrictions struct {
	// Crashes counts the workers that crashed under earlier attempts of the same
	// submission.
	Crashes int
	// Exclusive requires that no other exclusive attempt is at the worker meanwhile.
	Exclusive bool
	// Refusal is returned whatever the owner's state; its Reason is ReasonNone when there
	// is none.
	Refusal model.Refusal
	// OnlyOwner is the only owner at which the request may run, empty when any may run
	// it. RetryAfter is the expected time until a worker that crashed under it is back.
	OnlyOwner  model.InstanceID
	RetryAfter time.Duration
	// Content identifies a request of which one attempt at a time may run here; zero for
	// others. See serialSet.
	Content model.Fingerprint
}

// exclusiveAfterCrashes is the number of crashes under one submission from which it runs
// exclusively. Requests in flight at one crash run on at once, as most of them did not
// cause it. After two crashes they run one by one: if they crashed a third worker
// together, nothing would tell the cause from the others.
const exclusiveAfterCrashes = 2

// runsExclusively reports whether the request has to run exclusively.
func (r Restrictions) runsExclusively() bool {
	return r.Exclusive || r.Crashes >= exclusiveAfterCrashes
}

// untilRecovery turns the refusal of an owner whose worker is down into a deferral until
// the expected recovery, when the request may run nowhere else.
func (r Restrictions) untilRecovery(refusal model.Refusal) model.Refusal {
	if r.OnlyOwner == "" || refusal.Reason != model.ReasonNotReady {
		return refusal
	}
	return model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: r.RetryAfter, OnlyOwner: r.OnlyOwner}
}

// MarkExclusive makes a started attempt exclusive, for a request that is known to be
// suspect only after its whole body has arrived. It returns false, and leaves the attempt
// as it is, when another exclusive attempt is at the worker or the attempt is not
// started.
func (o *Owner) MarkExclusive(id model.AttemptID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.pending[id]
	switch {
	case p == nil || !p.started:
		return false
	case p.exclusive:
		return true
	case o.exclusiveInFlight > 0:
		return false
	}
	p.exclusive = true
	o.exclusiveInFlight++
	return true
}

// waitsForExclusive reports whether an exclusive attempt has to wait for another one.
func (o *Owner) waitsForExclusive(p *pendingAttempt) bool {
	return p.exclusive && o.exclusiveInFlight > 0
}
