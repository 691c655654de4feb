package wire

import (
	"time"

	"gypsumstand/internal/model"
)

// Kinds of the messages that resolve outcomes.
const (
	kindResolve      Kind = 1
	kindResolveReply Kind = 2
	kindKeyResult    Kind = 3
)

// Resolve asks an owner for the state of an attempt whose outcome is unknown after a
// broken connection or silence, and fences the attempt if it has not started.
type Resolve struct {
	Attempt          model.AttemptID   `cbor:"1,keyasint"`
	OwnerIncarnation model.Incarnation `cbor:"2,keyasint"`
	Request          model.RequestID   `cbor:"3,keyasint"`
	// Remaining is the time left to the request when Resolve was sent; the owner
	// remembers the fence for at least that long.
	Remaining time.Duration `cbor:"4,keyasint"`
}

// ResolveReply is the owner's reply. Only the states NeverSeen, Queued and Fenced
// guarantee "not run"; the attempt is fenced from then on.
type ResolveReply struct {
	Attempt model.AttemptID    `cbor:"1,keyasint"`
	State   model.AttemptState `cbor:"2,keyasint"`
	Report  model.LoadReport   `cbor:"3,keyasint"`
}

// KeyResult reports to the home owner of a request id how the request that it delegated
// ended.
type KeyResult struct {
	// Request is the scoped id; see model.ScopedRequestID.
	Request model.RequestID `cbor:"1,keyasint"`
	Attempt model.AttemptID `cbor:"2,keyasint"`
	Outcome model.Outcome   `cbor:"3,keyasint"`
	// Regions are the regions in which the request may run; see model.Attempt.
	Regions model.Regions `cbor:"4,keyasint,omitempty"`
}

// Kind implements Message.
func (Resolve) Kind() Kind { return kindResolve }

// Kind implements Message.
func (ResolveReply) Kind() Kind { return kindResolveReply }

// Kind implements Message.
func (KeyResult) Kind() Kind { return kindKeyResult }

func init() {
	register(Resolve{})
	register(ResolveReply{})
	register(KeyResult{})
}
