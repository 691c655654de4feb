package wire

import (
	"time"

	"gypsumstand/internal/model"
)

// Kinds of the settlement messages.
const (
	kindSettle      Kind = 1
	kindSettleReply Kind = 2
	kindKeyResult   Kind = 3
)

// Resolve asks an owner what became of an attempt, and bars it when it has not
// started. It is asked after a broken link or silence.
type Resolve struct {
	Attempt          model.AttemptID   `cbor:"1,keyasint"`
	OwnerIncarnation model.Incarnation `cbor:"2,keyasint"`
	Request          model.RequestID   `cbor:"3,keyasint"`
	// Remaining is the request's remaining time when Settle was sent; the bar is
	// remembered at least that long.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// ResolveReply is the owner's answer. Only the states NeverSeen, Queued and
// Quarantined prove "not run"; from then on the attempt is barred.
type ResolveReply struct {
	Attempt model.AttemptID    `cbor:"1,keyasint"`
	State   model.AttemptState `cbor:"2,keyasint"`
	Report  model.LoadReport   `cbor:"3,keyasint"`
}

// KeyResult tells a request's home owner how a request that it delegated ended.
type KeyResult struct {
	// Request is the scoped id; see model.ScopedRequest.
	Request model.RequestID `cbor:"1,keyasint"`
	Attempt model.AttemptID `cbor:"2,keyasint"`
	Outcome model.Outcome   `cbor:"3,keyasint"`
	// Regions are those in which the request may run; see model.Attempt.
	Regions model.Regions `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (Resolve) Kind() Kind { return kindSettle }

// Kind implements Message.
func (ResolveReply) Kind() Kind { return kindSettleReply }

// Kind implements Message.
func (KeyResult) Kind() Kind { return kindKeyResult }

func init() {
	register(Resolve{})
	register(ResolveReply{})
	register(KeyResult{})
}
