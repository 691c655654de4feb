package entry

import (
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// fakeOwner keeps the owner's side of docs/DESIGN.md, "At most once", and takes
// random decisions where a real owner would look at its load.
type fakeOwner struct {
	instance model.Instance
	started  time.Time
	attempts map[model.AttemptID]model.AttemptState
	queued   map[model.AttemptID]model.Attempt
	running  map[model.AttemptID]model.Attempt
	keys     map[model.RequestID]keyRecord
}

type keyRecord struct {
	attempt   model.AttemptID
	delegated bool
}

func (o *fakeOwner) restart(now time.Time) {
	o.instance.Incarnation++
	o.started = now
	o.attempts = map[model.AttemptID]model.AttemptState{}
	o.queued = map[model.AttemptID]model.Attempt{}
	o.running = map[model.AttemptID]model.Attempt{}
	o.keys = map[model.RequestID]keyRecord{}
}

func (o *fakeOwner) report(now time.Time) model.LoadReport {
	return model.LoadReport{
		Owner: o.instance.ID, Incarnation: o.instance.Incarnation, Clock: now.Sub(o.started) + 1, State: model.StateLive,
	}
}

func (o *fakeOwner) late(now time.Time, a *model.Attempt) bool {
	return o.report(now).Clock-a.OwnerClock >= a.Remaining
}

var refusalReasons = []model.Reason{
	model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonLeaving, model.ReasonNotReady,
	model.ReasonTenantLimit, model.ReasonWorkerShed, model.ReasonWorkerUnreachable,
}

// offer decides on an arriving attempt; ok is false when it is refused.
func (o *fakeOwner) offer(t *rapid.T, now time.Time, a model.Attempt) (r model.Refusal, ok bool) {
	notRun := func(reason model.Reason) (model.Refusal, bool) {
		return model.Refusal{Reason: reason, NotRun: true}, false
	}
	switch {
	case a.OwnerIncarnation != o.instance.Incarnation:
		return notRun(model.ReasonIncarnation)
	case o.attempts[a.ID] == model.AttemptFenced:
		return notRun(model.ReasonFenced)
	case a.OwnerClock == 0 || o.late(now, &a):
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
			o.keys[a.Request] = keyRecord{attempt: a.ID, delegated: true}
			reason = model.ReasonDelegated
		}
		after := time.Duration(rapid.IntRange(0, 100).Draw(t, "retryAfter")) * time.Millisecond
		return model.Refusal{Reason: reason, NotRun: true, RetryAfter: after}, false
	}
	if key {
		o.keys[a.Request] = keyRecord{attempt: a.ID}
	}
	o.attempts[a.ID] = model.AttemptQueued
	o.queued[a.ID] = a
	return model.Refusal{}, true
}

// bar ends an attempt that is not to run and frees its request id.
func (o *fakeOwner) bar(id model.AttemptID, request model.RequestID) {
	delete(o.queued, id)
	delete(o.running, id)
	o.attempts[id] = model.AttemptFenced
	if rec := o.keys[request]; rec.attempt == id {
		delete(o.keys, request)
	}
}

func (o *fakeOwner) settle(now time.Time, a model.Attempt) wire.ResolveReply {
	r := wire.ResolveReply{Attempt: a.ID, Report: o.report(now), State: model.AttemptForgotten}
	if a.OwnerIncarnation != o.instance.Incarnation {
		return r
	}
	r.State = o.attempts[a.ID]
	if r.State == model.AttemptNeverSeen || r.State == model.AttemptQueued {
		o.bar(a.ID, a.Request)
	}
	return r
}

func (o *fakeOwner) keyResult(r wire.KeyResult) {
	rec, known := o.keys[r.Request]
	if known && rec.attempt == r.Attempt && r.Outcome == model.OutcomeNotRun {
		delete(o.keys, r.Request)
	}
}

// dead tells whether attempt a can no longer run here, at now or later.
func (o *fakeOwner) dead(now time.Time, a *model.Attempt) bool {
	switch {
	case a.OwnerIncarnation != o.instance.Incarnation, a.OwnerClock == 0:
		return true
	case o.attempts[a.ID] == model.AttemptFenced:
		return true
	case o.attempts[a.ID] == model.AttemptNeverSeen:
		return o.late(now, a)
	}
	return false
}
