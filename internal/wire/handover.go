package wire

import (
	"time"

	"gypsumstand/internal/model"
)

const kindKeyHandover Kind = 6

// MaxHandoverKeys bounds the number of request ids in one KeyHandover.
const MaxHandoverKeys = 500

// KeyHandover transfers the records of request ids from a leaving home node to the nodes
// that become their homes. They are held in memory only, on both sides.
type KeyHandover struct {
	Keys []KeyRecord `cbor:"1,keyasint"`
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
}

// Kind implements Message.
func (KeyHandover) Kind() Kind { return kindKeyHandover }

func init() { register(KeyHandover{}) }
