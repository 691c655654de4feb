package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// StepKind is what the adapter does next.
type StepKind uint8

// The steps.
const (
	// StepSend: send Attempt to To, then report Answered, Refused or Interrupted; Interrupted
	// at Until at the latest. If the owner has not acknowledged the attempt by AcknowledgeBy,
	// withdraw it and report Refused with ReasonNotAcknowledged once it can no longer run.
	StepSend StepKind = iota
	// StepResolve: ask To for the outcome of Attempt, then report Resolved or ResolveFailed;
	// ResolveFailed at Until at the latest.
	StepResolve
	// StepWait: call Next again at Until.
	StepWait
	// StepEnd: report Outcome to the caller; the call is over.
	StepEnd
)

var stepNames = [...]string{"send", "settle", "wait", "end"}

// String returns the name of k for logs, "invalid" for an unknown kind.
func (k StepKind) String() string {
	if int(k) < len(stepNames) {
		return stepNames[k]
	}
	return "invalid"
}

// Step is what the adapter does next.
type Step struct {
	Kind    StepKind
	To      model.Instance
	Attempt model.Attempt
	Until   time.Time
	// AcknowledgeBy, when set on StepSend, is when the attempt is withdrawn unless its owner
	// has acknowledged it; zero allows sending the body at once.
	AcknowledgeBy time.Time
	// Reserve, on StepSend, is set if the body must be reserved at the owner before the
	// attempt is sent. A refusal of the reservation is reported as that of the attempt; so is
	// ReasonNotAcknowledged if the owner has not begun to reply by AcknowledgeBy.
	Reserve bool
	// Estimate, on StepSend, is the estimate on which the choice of To is based, for logs.
	Estimate route.EstimateSummary
	// HedgeAt, when set on StepSend, is when the adapter may call Call.Hedge.
	HedgeAt time.Time
	// Outcome, Reason and RetryAfter are for a StepEnd without a response. RetryAfter is
	// positive when the caller may send the same request again.
	Outcome    model.Outcome
	Reason     model.Reason
	RetryAfter time.Duration
	// Notify, if not nil on StepEnd, must be sent to To, the request's home node, before the
	// caller gets its response, so that an immediate caller retry finds the id free.
	Notify *wire.KeyResult
}
