package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// StepKind says what the adapter does next.
type StepKind uint8

// The steps.
const (
	// StepSend: send Attempt to To, then report Answered, Refused or Broken;
	// Interrupted at Until at the latest. An owner that has not begun to answer at AcknowledgeBy
	// is reported as Refused for ReasonNotTakenUp, once nothing can run there any more.
	StepSend StepKind = iota
	// StepResolve: ask To what became of Attempt, then report Settled or
	// ResolveFailed; ResolveFailed at Until at the latest.
	StepResolve
	// StepWait: wait until Until, then ask Next again.
	StepWait
	// StepEnd: tell the caller Outcome; the call is over.
	StepEnd
)

var stepNames = [...]string{"send", "settle", "wait", "end"}

// String returns the name of k for logs.
func (k StepKind) String() string {
	if int(k) < len(stepNames) {
		return stepNames[k]
	}
	return "invalid"
}

// Step is one thing to do.
type Step struct {
	Kind    StepKind
	To      model.Instance
	Attempt model.Attempt
	Until   time.Time
	// AcknowledgeBy, when set on StepSend, is when the attempt is withdrawn unless its owner
	// has begun to answer; zero lets the body leave at once.
	AcknowledgeBy time.Time
	// Estimate is what the choice of To rested on, for logs; for StepSend.
	Estimate route.EstimateSummary
	// HedgeAt, when set on StepSend, is when the adapter may call Call.Hedge.
	HedgeAt time.Time
	// Outcome, Reason and RetryAfter are for StepEnd with no answer. RetryAfter
	// is positive whenever the caller may come back with the same request.
	Outcome    model.Outcome
	Reason     model.Reason
	RetryAfter time.Duration
	// Notify, when To is set on StepEnd, is to be sent to To, the request's home,
	// before the caller is told, so that a caller who comes back at once finds
	// the id free.
	Notify *wire.KeyResult
}
