package wire

import (
	"fmt"

	"gypsumstand/internal/model"
)

// Bounds of SuspectNews.
const (
	// MaxSuspects is the number of records in one message.
	MaxSuspects = 64
	// MaxSuspectEnds is the number of ends in one record.
	MaxSuspectEnds = 8
	// MaxSuspectBytes bounds a message: its records with their ends and the ends' owners.
	MaxSuspectBytes = 64 << 10
)

// SuspectNews is what nodes tell each other of requests under which workers end.
type SuspectNews struct {
	From model.InstanceID `cbor:"1,keyasint"`
	// Service, when set, says that this is about the requests that only its nodes know of;
	// empty stands for those that all nodes know of.
	Service model.ServiceName `cbor:"2,keyasint,omitempty"`
	// Digest is of all records of that kind that the sender holds.
	Digest  uint64    `cbor:"3,keyasint,omitempty"`
	Records []Suspect `cbor:"4,keyasint,omitempty"`
}

// Suspect is what is known of one request under which workers ended.
type Suspect struct {
	Content model.Fingerprint `cbor:"1,keyasint"`
	// Cleared counts the whole runs that cleared the request; of two records with
	// different counts the greater one's holds.
	Cleared uint32       `cbor:"2,keyasint,omitempty"`
	Ends    []SuspectEnd `cbor:"3,keyasint,omitempty"`
	// AgeMs is the time since the record last changed, in milliseconds.
	AgeMs uint32 `cbor:"4,keyasint,omitempty"`
}

// SuspectEnd is one end of a worker's life with the request in hand.
type SuspectEnd struct {
	ID    uint64           `cbor:"1,keyasint"`
	Owner model.InstanceID `cbor:"2,keyasint"`
	AgeMs uint32           `cbor:"3,keyasint,omitempty"`
	// Doubted: another end under the request was known when the run began.
	Doubted bool `cbor:"4,keyasint,omitempty"`
	// Trial: the run was a trial of a request that was put aside.
	Trial bool `cbor:"5,keyasint,omitempty"`
}

// EncodeSuspects returns the CBOR form of n.
func EncodeSuspects(n *SuspectNews) ([]byte, error) { return Marshal(n) }

// DecodeSuspects reads the form that EncodeSuspects writes.
func DecodeSuspects(data []byte) (SuspectNews, error) {
	if len(data) > MaxSuspectBytes {
		return SuspectNews{}, fmt.Errorf("suspect requests: %d bytes are over the bound of %d", len(data), MaxSuspectBytes)
	}
	var n SuspectNews
	if err := Unmarshal(data, &n); err != nil {
		return SuspectNews{}, fmt.Errorf("suspect requests: %w", err)
	}
	if len(n.Records) > MaxSuspects {
		return SuspectNews{}, fmt.Errorf("suspect requests: %d records are over the bound of %d", len(n.Records), MaxSuspects)
	}
	for i := range n.Records {
		if ends := len(n.Records[i].Ends); ends > MaxSuspectEnds {
			return SuspectNews{}, fmt.Errorf("suspect requests: %d ends are over the bound of %d", ends, MaxSuspectEnds)
		}
	}
	return n, nil
}
