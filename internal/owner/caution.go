package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// Restrictions is what is known against a request that is offered.
type Restrictions struct {
	// Crashes counts the workers that ended under earlier attempts of the same sending.
	Crashes int
	// Alone: it runs where nothing else does that is to run alone.
	Exclusive bool
	// Refusal is what refuses it whatever this owner's state, ReasonNone where nothing does.
	Refusal model.Refusal
	// OnlyOwner is the only owner at which it may run, empty where any may run it; RetryAfter is
	// when a worker that ended under it is expected back.
	OnlyOwner  model.InstanceID
	RetryAfter time.Duration
}

// endsToRunAlone is the number of ends under one sending from which it runs alone. What was
// in hand at one end goes on at once, as mostly no request was the cause; in hand at two,
// the innocent ones would be told from the guilty one by nothing if all ended a third worker
// together.
const endsToRunAlone = 2

// alone tells whether the request has to run alone.
func (c Restrictions) alone() bool { return c.Exclusive || c.Crashes >= endsToRunAlone }

// untilBack gives a refusal by an owner whose worker is away the time at which that is
// expected back, where the request may run nowhere else.
func (c Restrictions) untilBack(r model.Refusal) model.Refusal {
	if c.OnlyOwner == "" || r.Reason != model.ReasonNotReady {
		return r
	}
	return model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: c.RetryAfter, OnlyOwner: c.OnlyOwner}
}

// MarkExclusive takes that a started attempt is to run alone, as is known only now that its whole
// request is here. It reports whether it does: no other one that runs alone is at the worker.
func (o *Owner) MarkExclusive(id model.AttemptID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	it := o.live[id]
	switch {
	case it == nil || !it.started:
		return false
	case it.alone:
		return true
	case o.alones > 0:
		return false
	}
	it.alone = true
	o.alones++
	return true
}

// mustWait tells whether a start has to wait for one that runs alone.
func (o *Owner) mustWait(it *item) bool { return it.alone && o.alones > 0 }
