package model

import "time"

// Attempt is one try at a request, as the entry node sends it to an owner. It carries
// everything that the entry derived from its bundle version, so that one version governs
// the request from end to end.
type Attempt struct {
	ID      AttemptID `cbor:"1,keyasint"`
	Request RequestID `cbor:"2,keyasint"`
	// CallerKey reports that the caller chose Request itself (Idempotency-Key), so that
	// the same id may also arrive through another entry node.
	CallerKey bool `cbor:"3,keyasint"`
	// Owner and OwnerIncarnation bind the attempt to one incarnation of one owner;
	// any other incarnation refuses it. Zero means not known yet.
	Owner            InstanceID  `cbor:"4,keyasint"`
	OwnerIncarnation Incarnation `cbor:"5,keyasint"`
	Service          ServiceName `cbor:"6,keyasint"`
	Class            ClassName   `cbor:"7,keyasint"`
	Tenant           TenantName  `cbor:"8,keyasint"`
	// Worth is the class's worth, from the bundle, of a response within the deadline;
	// it has no unit.
	Worth      float64 `cbor:"9,keyasint"`
	Idempotent bool    `cbor:"10,keyasint"`
	// Remaining is the time left to the deadline when the attempt was sent.
	Remaining time.Duration `cbor:"11,keyasint"`
	// OwnerClock is a lower bound of the owner's clock (LoadReport.Clock) when the
	// attempt is sent: the newest reading received from the owner plus the time since
	// then. The owner's clock at arrival minus OwnerClock is an upper bound of the
	// attempt's age, without a common clock. Zero means that no reading was received.
	OwnerClock time.Duration `cbor:"12,keyasint"`
	// Bundle is the version that the entry's decisions are based on.
	Bundle BundleVersion `cbor:"13,keyasint"`
	// RetryBudget is the number of extra attempts left to the calls that the worker makes
	// while it runs this attempt, and to the calls below those.
	RetryBudget int `cbor:"14,keyasint"`
	// Delegated reports that the home node of Request has registered it and lets
	// another owner run it, so that this owner need not register it.
	Delegated bool `cbor:"15,keyasint"`
	// Caller is the service of the instance at which the request entered the system.
	Caller ServiceName `cbor:"16,keyasint,omitempty"`
	// MayMove reports that the entry can place the request elsewhere: an owner that
	// cannot start it at once refuses it as busy.
	MayMove bool `cbor:"17,keyasint,omitempty"`
	// Objective is the time left to the request's latency objective when the attempt
	// was sent; zero means no objective, a negative value one that has passed.
	Objective time.Duration `cbor:"19,keyasint,omitempty"`
	// DirectoryRevision is the revision of the directory up to which the entry knows
	// every change, where it follows one. It proves nothing about how recent that is:
	// the attempt may have been buffered for as long as a link was cut.
	DirectoryRevision uint64 `cbor:"20,keyasint,omitempty"`
	// DirectoryEra is the era of DirectoryRevision.
	DirectoryEra uint64 `cbor:"24,keyasint,omitempty"`
	// Crashes counts the workers that seem to have crashed during earlier attempts of
	// this submission.
	Crashes uint8 `cbor:"21,keyasint,omitempty"`
	// Granted reports that the owner that coordinates the suspect request grants this run to
	// the attempt's owner.
	Granted bool `cbor:"22,keyasint,omitempty"`
	// Regions are those in which the request may run. A request that may run in none is
	// never sent.
	Regions Regions `cbor:"23,keyasint,omitempty"`
	// InheritedPriority is the priority, plus one, of the request for which a worker makes
	// this call; zero where the request has the priority of its class.
	InheritedPriority uint16 `cbor:"25,keyasint,omitempty"`
	// BodyBytes is the length of a body for which a reservation is requested at the owner
	// before it is sent, in bytes; zero where none is.
	BodyBytes int64 `cbor:"26,keyasint,omitempty"`
	// Relocatable reports that the entry can still place the attempt elsewhere after it has
	// been queued: the owner may refuse it as busy while it waits.
	Relocatable bool `cbor:"27,keyasint,omitempty"`
}

// Outcome is what the response reports to the caller about its request.
type Outcome uint8

// The outcomes, as the Gypsum-Outcome header names them.
const (
	// OutcomeUnknown: the request may or may not have run.
	OutcomeUnknown Outcome = iota
	// OutcomeAnswered: the worker's complete response.
	OutcomeAnswered
	// OutcomeNotRun: it is proved that no worker has run the request or will run it.
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

// Reason is why an owner or an entry refused a request or could not complete it.
type Reason uint8

// The reasons. Refusal.NotRun reports whether a refusal proves "not run".
const (
	ReasonNone Reason = iota
	// ReasonOverloaded: no response is expected within the objective or the deadline, or
	// the owner has no room for another request id.
	ReasonOverloaded
	// ReasonQueueFull: the bounded queue was full, and the request displaced no other one
	// or was itself displaced.
	ReasonQueueFull
	// ReasonExpired: the remaining time was used up before the start.
	ReasonExpired
	// ReasonLeaving: the owner's upstream is leaving, or serves another service.
	ReasonLeaving
	// ReasonNotReady: the upstream is cold, unlisted or without a bundle, its worker broke
	// several attempts in a row, or the entry node itself is not ready.
	ReasonNotReady
	// ReasonIncarnation: the attempt is bound to another owner or incarnation, or, though
	// not idempotent, to none.
	ReasonIncarnation
	// ReasonStale: the attempt may be older than its remaining time, or the owner's records
	// no longer cover it.
	ReasonStale
	// ReasonTenantLimit: the tenant is at its limit.
	ReasonTenantLimit
	// ReasonDelegated: the home node registered the request and lets the entry place it
	// at another owner.
	ReasonDelegated
	// ReasonDuplicateRunning: the same non-idempotent request is running or queued.
	ReasonDuplicateRunning
	// ReasonDuplicateDone: the same non-idempotent request has run.
	ReasonDuplicateDone
	// ReasonFenced: the owner fenced the attempt earlier, by an outcome resolution or a
	// refusal.
	ReasonFenced
	// ReasonWorkerUnreachable: the connection to the worker failed before any byte was sent.
	ReasonWorkerUnreachable
	// ReasonWorkerShed: the worker itself reported that it did not run the request.
	ReasonWorkerShed
	// ReasonWorkerBroken: the worker's response was truncated, malformed or belonged to
	// another request.
	ReasonWorkerBroken
	// ReasonCancelled: the entry or the caller cancelled the request.
	ReasonCancelled
	// ReasonNoUpstream: the entry knows no upstream of the service.
	ReasonNoUpstream
	// ReasonNoRoute: no route of any bundle in force matches.
	ReasonNoRoute
	// ReasonBodyTooLarge: the body is over the bundle's bound.
	ReasonBodyTooLarge
	// ReasonPaused: the process was paused and has not yet refreshed its state.
	ReasonPaused
	// ReasonLinkBroken: the connection to the owner failed after bytes had been sent.
	ReasonLinkBroken
	// ReasonBadRequest: the request itself is malformed.
	ReasonBadRequest
	// ReasonOwnerAbsent: the owner's address refused the connection, so that the owner's
	// process is not running and what it remembered is lost.
	ReasonOwnerAbsent
	// ReasonBusy: the owner cannot start the attempt now; another owner may.
	ReasonBusy
	// ReasonWorkerReplaced: a worker other than the named one responded, and did not run
	// the request.
	ReasonWorkerReplaced
	// ReasonNotAcknowledged: the owner did not acknowledge the attempt in time, and the
	// attempt was withdrawn before any of it could run.
	ReasonNotAcknowledged
	// ReasonWorkerCrashed: the worker's process seems to have crashed during the attempt:
	// its port is closed, or several of its attempts were cut off at the same moment.
	ReasonWorkerCrashed
	// ReasonQuarantined: workers repeatedly crashed while running the same request.
	ReasonQuarantined
	// ReasonDeferred: a worker crashed while running the same request, which may now run
	// at one owner only; see Refusal.OnlyOwner.
	ReasonDeferred
	// ReasonEvacuated: the owner's data centre is evacuated, and its workers get no requests.
	ReasonEvacuated
	// ReasonRegion: the request may not run in the owner's region, or there is no upstream
	// in any region where it may run.
	ReasonRegion
	// ReasonUnprovenRefusal: the worker's status means "not run" to callers, but the worker did
	// not state that it has not run the request.
	ReasonUnprovenRefusal

	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "overloaded", "queue-full", "expired", "leaving", "not-ready",
	"incarnation", "stale", "tenant-limit", "delegated", "duplicate-running",
	"duplicate-done", "barred", "worker-unreachable", "worker-shed",
	"worker-broken", "cancelled", "no-upstream", "no-route", "body-too-large",
	"paused", "link-broken", "bad-request", "owner-absent", "busy", "worker-replaced", "not-taken-up",
	"worker-ended", "put-aside", "held-back", "evacuated", "region",
	"unproven-refusal",
}

// String returns the header and label form of r.
func (r Reason) String() string {
	if r < reasonCount {
		return reasonNames[r]
	}
	return "invalid"
}

// ParseReason parses the form that Reason.String returns; ok is false for any other string.
func ParseReason(s string) (r Reason, ok bool) {
	for i, name := range reasonNames {
		if name == s {
			return Reason(i), true
		}
	}
	return ReasonNone, false
}

// Refusal is the reply of an owner or an entry in place of a worker's response.
type Refusal struct {
	Reason Reason
	// NotRun reports that this attempt is proved not to have run and will never run.
	NotRun bool
	// RetryAfter is the time after which it is worth trying this owner again; zero means
	// not known.
	RetryAfter time.Duration
	// OnlyOwner, with ReasonDeferred or ReasonDelegated, is the only owner at which the
	// request may run; empty where none is known.
	OnlyOwner InstanceID
	// Granted reports that an attempt at OnlyOwner must set Attempt.Granted.
	Granted bool
}

// AttemptState is the owner's record of one attempt.
type AttemptState uint8

// The states of an attempt at its owner. AttemptFenced proves "not run". So do
// AttemptNeverSeen and AttemptQueued in the reply to an outcome resolution, as the owner
// then fences the attempt.
const (
	AttemptNeverSeen AttemptState = iota
	AttemptQueued
	AttemptStarted
	AttemptDone
	AttemptFenced
	// AttemptForgotten: the owner's bounded records no longer cover the attempt, or the
	// attempt was refused as a duplicate or bound to another incarnation or none. It proves
	// nothing.
	AttemptForgotten
)

var attemptStateNames = [...]string{"never-seen", "queued", "started", "done", "barred", "forgotten"}

// String returns the name of s for logs, "invalid" for an unknown state.
func (s AttemptState) String() string {
	if int(s) < len(attemptStateNames) {
		return attemptStateNames[s]
	}
	return "invalid"
}
