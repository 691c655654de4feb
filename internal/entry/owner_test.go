package entry

import (
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// fakeOwner implements the owner's part of docs/DESIGN.md, "At most once". It decides at
// random where a real owner would consider its load.
type fakeOwner struct {
	instance model.Instance
	started  time.Time
	attempts map[model.AttemptID]model.AttemptState
	queued   map[model.AttemptID]model.Attempt
	running  map[model.AttemptID]model.Attempt
	keys     map[model.RequestID]idRecord
}

type idRecord struct {
	attempt   model.AttemptID
	delegated bool
}

func (o *fakeOwner) restart(now time.Time) {
	o.instance.Incarnation++
	o.started = now
	o.attempts = map[model.AttemptID]model.AttemptState{}
	o.queued = map[model.AttemptID]model.Attempt{}
	o.running = map[model.AttemptID]model.Attempt{}
	o.keys = map[model.RequestID]idRecord{}
}

func (o *fakeOwner) report(now time.Time) model.LoadReport {
	return model.LoadReport{
		Owner: o.instance.ID, Incarnation: o.instance.Incarnation, Clock: now.Sub(o.started) + 1, State: model.StateLive,
	}
}

// mayBeExpired reports whether the attempt may be older than its remaining time.
func (o *fakeOwner) mayBeExpired(now time.Time, a *model.Attempt) bool {
	return o.report(now).Clock-a.OwnerClock >= a.Remaining
}

var refusalReasons = []model.Reason{
	model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonLeaving, model.ReasonNotReady,
	model.ReasonTenantLimit, model.ReasonWorkerShed, model.ReasonWorkerUnreachable,
}

// offer decides about an attempt; ok is false when it is refused.
func (o *fakeOwner) offer(t *rapid.T, now time.Time, a model.Attempt) (r model.Refusal, ok bool) {
	notRun := func(reason model.Reason) (model.Refusal, bool) {
		return model.Refusal{Reason: reason, NotRun: true}, false
	}
	switch {
	case a.OwnerIncarnation != o.instance.Incarnation:
		return notRun(model.ReasonIncarnation)
	case o.attempts[a.ID] == model.AttemptFenced:
		return notRun(model.ReasonFenced)
	case a.OwnerClock == 0 || o.mayBeExpired(now, &a):
		return notRun(model.ReasonStale)
	}
	key := a.CallerKey && !a.Idempotent && !a.Delegated
	if rec, known := o.keys[a.Request]; key && known && rec.attempt != a.ID {
		return model.Refusal{Reason: model.ReasonDuplicateRunning, NotRun: rapid.Bool().Draw(t, "notRun")}, false
	}
	if rapid.IntRange(0, 2).Draw(t, "refuse") == 0 {
		reason := rapid.SampledFrom(refusalReasons).Draw(t, "reason")
		o.attempts[a.ID] = model.AttemptFenced
		if key && reason < model.ReasonTenantLimit {
			o.keys[a.Request] = idRecord{attempt: a.ID, delegated: true}
			reason = model.ReasonDelegated
		}
		after := time.Duration(rapid.IntRange(0, 100).Draw(t, "retryAfter")) * time.Millisecond
		return model.Refusal{Reason: reason, NotRun: true, RetryAfter: after}, false
	}
	if key {
		o.keys[a.Request] = idRecord{attempt: a.ID}
	}
	o.attempts[a.ID] = model.AttemptQueued
	o.queued[a.ID] = a
	return model.Refusal{}, true
}

// fence makes sure that an attempt never runs, and frees its request id.
func (o *fakeOwner) fence(id model.AttemptID, request model.RequestID) {
	delete(o.queued, id)
	delete(o.running, id)
	o.attempts[id] = model.AttemptFenced
	if rec := o.keys[request]; rec.attempt == id {
		delete(o.keys, request)
	}
}

func (o *fakeOwner) resolve(now time.Time, a model.Attempt) wire.ResolveReply {
	r := wire.ResolveReply{Attempt: a.ID, Report: o.report(now), State: model.AttemptForgotten}
	if a.OwnerIncarnation != o.instance.Incarnation {
		return r
	}
	r.State = o.attempts[a.ID]
	if r.State == model.AttemptNeverSeen || r.State == model.AttemptQueued {
		o.fence(a.ID, a.Request)
	}
	return r
}

func (o *fakeOwner) keyResult(r wire.KeyResult) {
	rec, known := o.keys[r.Request]
	if known && rec.attempt == r.Attempt && r.Outcome == model.OutcomeNotRun {
		delete(o.keys, r.Request)
	}
}

// cannotRun reports whether attempt a cannot run here at now or later.
func (o *fakeOwner) cannotRun(now time.Time, a *model.Attempt) bool {
	switch {
	case a.OwnerIncarnation != o.instance.Incarnation, a.OwnerClock == 0:
		return true
	case o.attempts[a.ID] == model.AttemptFenced:
		return true
	case o.attempts[a.ID] == model.AttemptNeverSeen:
		return o.mayBeExpired(now, a)
	}
	return false
}
