package model

import "time"

// Attempt is what an entry node sends an owner about one try at a request. All
// that was decided under the entry's bundle version travels with it, so that a
// request is decided under one version from end to end.
type Attempt struct {
	ID      AttemptID `cbor:"1,keyasint"`
	Request RequestID `cbor:"2,keyasint"`
	// CallerKey says that the caller chose Request itself (Idempotency-Key), so
	// that the same id may arrive again by another way.
	CallerKey bool `cbor:"3,keyasint"`
	// Owner and OwnerIncarnation bind the attempt to one life of one owner. An
	// owner of another incarnation refuses it. Zero means not known yet.
	Owner            InstanceID  `cbor:"4,keyasint"`
	OwnerIncarnation Incarnation `cbor:"5,keyasint"`
	Service          ServiceName `cbor:"6,keyasint"`
	Class            ClassName   `cbor:"7,keyasint"`
	Tenant           TenantName  `cbor:"8,keyasint"`
	// Worth is the class's worth of an answer in deadline (unitless, bundle).
	Worth      float64 `cbor:"9,keyasint"`
	Idempotent bool    `cbor:"10,keyasint"`
	// Remaining is the time left to the deadline when the attempt was sent.
	Remaining time.Duration `cbor:"11,keyasint"`
	// OwnerClock is a lower bound of the owner's clock (LoadReport.Clock) at the
	// moment of sending: the newest reading heard from the owner plus the time
	// since then. The owner's clock at arrival minus OwnerClock bounds the
	// attempt's age from above, with no common clock. Zero means none was heard.
	OwnerClock time.Duration `cbor:"12,keyasint"`
	// Bundle is the version that the entry decided under.
	Bundle BundleVersion `cbor:"13,keyasint"`
	// RetryBudget is the number of extra attempts left to the path below this
	// attempt.
	RetryBudget int `cbor:"14,keyasint"`
	// Delegated says that the home owner of Request has registered it and sent
	// it elsewhere, so this owner need not register it.
	Delegated bool `cbor:"15,keyasint"`
	// Caller is the service beside whose worker the request entered the system.
	Caller ServiceName `cbor:"16,keyasint,omitempty"`
	// MayMove says that the entry can place the request elsewhere: an owner that
	// cannot start it now refuses it as busy.
	MayMove bool `cbor:"17,keyasint,omitempty"`
	// Objective is the time left to the request's latency objective when the attempt
	// was sent; zero means that it has none, a negative one has passed.
	Objective time.Duration `cbor:"19,keyasint,omitempty"`
	// DirectoryRevision is the revision of the directory up to which the entry knows
	// every change, where it follows one. It says nothing of its age: an attempt may
	// have waited on its way for as long as a link was cut.
	DirectoryRevision uint64 `cbor:"20,keyasint,omitempty"`
	// Crashes counts the workers that seem to have ended under earlier attempts of this sending.
	Crashes uint8 `cbor:"21,keyasint,omitempty"`
	// Granted says that the owner whose worker ended last under the request leaves this run
	// to the attempt's owner.
	Granted bool `cbor:"22,keyasint,omitempty"`
	// Regions are those in which the request may run. One that may run nowhere is never sent.
	Regions Regions `cbor:"23,keyasint,omitempty"`
}

// Outcome is what the caller is told of its request.
type Outcome uint8

// The outcomes, as the Gypsum-Outcome header names them.
const (
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered: the worker's whole answer.
	OutcomeAnswered
	// OutcomeNotRun: proved that no worker has run or will run it.
	OutcomeNotRun
)

var outcomeNames = [...]string{"unknown", "answered", "not-run"}

// String returns the header form of o.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return outcomeNames[OutcomeUnknown]
}

// Reason says why an owner or an entry refused or could not finish a request.
type Reason uint8

// The reasons. RefusalProvesNotRun tells which of them prove "not run".
const (
	ReasonNone Reason = iota
	// ReasonOverloaded: no slot would come free within the deadline.
	ReasonOverloaded
	// ReasonQueueFull: the bounded queue was full of requests worth as much.
	ReasonQueueFull
	// ReasonExpired: the remaining time was used up before the start.
	ReasonExpired
	// ReasonLeaving: the owner's upstream is leaving.
	ReasonLeaving
	// ReasonNotReady: the upstream is cold or its worker does not answer.
	ReasonNotReady
	// ReasonIncarnation: the attempt is bound to another incarnation of the owner.
	ReasonIncarnation
	// ReasonStale: the attempt's age could not be bounded by its remaining time.
	ReasonStale
	// ReasonTenantLimit: the tenant's own limit.
	ReasonTenantLimit
	// ReasonDelegated: the home owner registered the request and frees the entry
	// to place it elsewhere.
	ReasonDelegated
	// ReasonDuplicateRunning: the same non-idempotent request is running or queued.
	ReasonDuplicateRunning
	// ReasonDuplicateDone: the same non-idempotent request has run.
	ReasonDuplicateDone
	// ReasonFenced: the attempt was settled before it arrived.
	ReasonFenced
	// ReasonWorkerUnreachable: no connection to the worker could be had; no byte left.
	ReasonWorkerUnreachable
	// ReasonWorkerShed: the worker said itself that it did not run the request.
	ReasonWorkerShed
	// ReasonWorkerBroken: the worker's answer was cut, crossed or malformed.
	ReasonWorkerBroken
	// ReasonCancelled: the entry or the caller gave up.
	ReasonCancelled
	// ReasonNoUpstream: the entry knows no upstream of the service.
	ReasonNoUpstream
	// ReasonNoRoute: no route of any bundle in force matches.
	ReasonNoRoute
	// ReasonBodyTooLarge: the body is over the bundle's bound.
	ReasonBodyTooLarge
	// ReasonPaused: the process woke late and has not yet refreshed its state.
	ReasonPaused
	// ReasonLinkBroken: the way to the owner broke after bytes had left.
	ReasonLinkBroken
	// ReasonBadRequest: the request itself is malformed.
	ReasonBadRequest
	// ReasonOwnerAbsent: the owner's address refused the connection, so that no
	// process of the owner lives there, nor its memory.
	ReasonOwnerAbsent
	// ReasonBusy: the owner cannot start the attempt now; another may.
	ReasonBusy
	// ReasonWorkerReplaced: another worker answered in place of the one that was named,
	// and did not run the request.
	ReasonWorkerReplaced
	// ReasonNotAcknowledged: the owner did not begin to answer in time, and the attempt was
	// withdrawn before anything of it could run.
	ReasonNotAcknowledged
	// ReasonWorkerCrashed: the worker's process seems to have ended while it had the attempt:
	// its port is closed, or it broke several attempts off at one moment.
	ReasonWorkerCrashed
	// ReasonQuarantined: workers ended under the same request time and again.
	ReasonQuarantined
	// ReasonDeferred: a worker ended under the same request, which now may run at one owner
	// only; see Refusal.Home.
	ReasonDeferred
	// ReasonEvacuated: nothing is to be sent to the workers of the owner's data centre.
	ReasonEvacuated
	// ReasonRegion: the request may not run in the owner's region, or no upstream is in one
	// where it may.
	ReasonRegion

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "overloaded", "queue-full", "expired", "leaving", "not-ready",
	"incarnation", "stale", "tenant-limit", "delegated", "duplicate-running",
	"duplicate-done", "barred", "worker-unreachable", "worker-shed",
	"worker-broken", "cancelled", "no-upstream", "no-route", "body-too-large",
	"paused", "link-broken", "bad-request", "owner-absent", "busy", "worker-replaced", "not-taken-up",
	"worker-ended", "put-aside", "held-back", "evacuated", "region",
}

// String returns the header and label form of r.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// ParseReason reads the form that Reason.String writes; ok is false for others.
func ParseReason(s string) (r Reason, ok bool) {
	for i, name := range reasonNames {
		if name == s {
			return Reason(i), true
		}
	}
	return ReasonNone, false
}

// Refusal is an owner's or entry's answer in place of a worker's.
type Refusal struct {
	Reason Reason
	// NotRun says that this attempt is proved not to have run, and never will.
	NotRun bool
	// RetryAfter is the time after which another try here makes sense; zero
	// means no advice.
	RetryAfter time.Duration
	// Home, with ReasonDeferred or ReasonDelegated, is the only owner at which the request
	// may run; empty where none is known. Lent: that owner is to be told so by Attempt.Lent.
	OnlyOwner InstanceID
	Granted   bool
}

// AttemptState is the owner's record of one attempt.
type AttemptState uint8

// The states of an attempt at its owner. Barred and NeverSeen (which bars on
// settlement) prove "not run".
const (
	AttemptNeverSeen AttemptState = iota
	AttemptQueued
	AttemptStarted
	AttemptDone
	AttemptFenced
	// AttemptForgotten: the owner's bounded memory no longer reaches back, or
	// the attempt was bound to another incarnation. It proves nothing.
	AttemptForgotten
)

var attemptStateNames = [...]string{"never-seen", "queued", "started", "done", "barred", "forgotten"}

// String returns the name of s for logs.
func (s AttemptState) String() string {
	if int(s) < len(attemptStateNames) {
		return attemptStateNames[s]
	}
	return "invalid"
}
