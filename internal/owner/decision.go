package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// DecisionKind is the owner's decision on an attempt.
type DecisionKind uint8

// The kinds of decisions.
const (
	// Start: send the attempt to the worker now; Finish must follow.
	Start DecisionKind = iota
	// Queue: the attempt waits; a later call returns a Decision.
	Queue
	// Refuse: the attempt does not run here; the refusal has the reason.
	Refuse
	// Reserved: the entry may send the attempt with its body; see Reserve.
	Reserved
)

// Decision ends the wait of a queued attempt.
type Decision struct {
	Attempt model.AttemptID
	// Kind is Start or Refuse, or Reserved for a reservation that waited.
	Kind    DecisionKind
	Refusal model.Refusal
	// Relocation is set on a refusal of an attempt that was given up because another owner is
	// expected to answer it sooner.
	Relocation *Relocation
}

// Completion describes how a started attempt ended at the worker.
type Completion struct {
	// ServiceTime is the time from the start to the complete response.
	ServiceTime time.Duration
	// NotRun: the worker is proved not to have run the attempt (no byte was sent, or it
	// said so). The attempt is fenced and its request id freed. If Confirm returned true,
	// NotRun without Shed means that the worker could not be reached.
	NotRun bool
	// Delegate, with NotRun, marks the request id as delegated instead of freeing it: the
	// caller of Finish then refuses with ReasonDelegated and the entry may place the
	// request elsewhere. It has no effect on attempts without a caller's key.
	Delegate bool
	// Failed: the worker answered with a server error, broke the attempt or timed out.
	Failed bool
	// Shed: the worker refused for load.
	Shed bool
	// SpuriousRefusal: the worker refused although it had room, so fewer concurrent
	// attempts would not help. It counts as a failure; with NotRun the attempt did not
	// run.
	SpuriousRefusal bool
	// Expired, with Failed: the attempt's time ran out before a complete response
	// arrived.
	Expired bool
	// Abandoned: the entry gave the attempt up, or its time ran out before a byte was
	// sent, so its end shows nothing about the worker.
	Abandoned bool
	// CallRefused, with Failed: a call that the worker made for the attempt was refused for
	// load or got no response, so that the failure is not the worker's own.
	CallRefused bool
	// Status is the worker's HTTP status; 0 without a complete response.
	Status int
}
