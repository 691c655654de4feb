package wire

import (
	"time"

	"gypsumstand/internal/model"
)

const (
	kindKeyHandover    Kind = 6
	kindKeyHandoverAck Kind = 7
)

// MaxHandoverKeys bounds the number of request ids in one KeyHandover.
const MaxHandoverKeys = 500

// KeyHandover transfers the records of request ids from a leaving home node to the nodes
// that become their homes. They are held in memory only, on both sides.
type KeyHandover struct {
	Keys []KeyRecord `cbor:"1,keyasint"`
	// Number identifies the message among those of its sender. A later message has a
	// greater number and newer versions of its records. Zero, from a node of an earlier
	// version, asks for no acknowledgement.
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

// KeyHandoverAck acknowledges a KeyHandover: its records are held by the sender of the
// acknowledgement.
type KeyHandoverAck struct {
	Number uint64 `cbor:"1,keyasint"`
	// Leaving reports that the receiver of the records leaves as well, so that they must
	// also be sent to the home node after it.
	Leaving bool `cbor:"2,keyasint,omitempty"`
	// Dropped is the number of records for which there was no room.
	Dropped int `cbor:"3,keyasint,omitempty"`
}

// KeyRecord is what a home node remembers of one request id.
type KeyRecord struct {
	// Request is the scoped id; see model.ScopedRequestID.
	Request model.RequestID `cbor:"1,keyasint"`
	// Done reports that the request has run. Otherwise it is running, or was delegated to
	// another owner.
	Done bool `cbor:"2,keyasint"`
	// Attempt is the attempt that holds the id.
	Attempt model.AttemptID `cbor:"3,keyasint"`
	// Remaining is how long the record must still be kept.
	Remaining time.Duration `cbor:"4,keyasint"`
	// Regions are the regions in which the request may run; see model.Attempt.
	Regions model.Regions `cbor:"5,keyasint,omitempty"`
	// Freed reports that the attempt was proved not to have run, so that the id is free. A
	// node of an earlier version takes the id for a delegated one, which is safe.
	Freed bool `cbor:"6,keyasint,omitempty"`
}

// Kind implements Message.
func (KeyHandover) Kind() Kind { return kindKeyHandover }

// Kind implements Message.
func (KeyHandoverAck) Kind() Kind { return kindKeyHandoverAck }

func init() {
	register(KeyHandover{})
	register(KeyHandoverAck{})
}
