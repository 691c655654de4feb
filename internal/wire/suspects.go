package wire

import (
	"fmt"

	"gypsumstand/internal/model"
)

// Bounds of SuspectUpdate.
const (
	// MaxSuspects is the number of records in one message.
	MaxSuspects = 64
	// SuspectBuckets is the number of parts that records are compared in.
	SuspectBuckets = 16
	// MaxSuspectCrashes is the number of ends in one record.
	MaxSuspectCrashes = 8
	// MaxSuspectBytes bounds a message: its records with their ends and the ends' owners.
	MaxSuspectBytes = 64 << 10
)

// SuspectUpdate is what nodes tell each other of requests under which workers end.
type SuspectUpdate struct {
	From model.InstanceID `cbor:"1,keyasint"`
	// Service, when set, says that this is about the requests that only its nodes know of;
	// empty stands for those that all nodes know of.
	Service model.ServiceName `cbor:"2,keyasint,omitempty"`
	// Digests are of the records of that kind that the sender holds, in SuspectBuckets parts
	// by fingerprint, so that two nodes send each other only the parts in which they differ;
	// none when it holds none.
	Digests []uint64  `cbor:"3,keyasint,omitempty"`
	Records []Suspect `cbor:"4,keyasint,omitempty"`
	// Crashes are those that the records refer to.
	Crashes []SuspectCrash `cbor:"6,keyasint,omitempty"`
	// Compare: the sender wants what it lacks; without it Digests are absent and the answer
	// is empty.
	Compare bool `cbor:"5,keyasint,omitempty"`
}

// SuspectBucket returns the part that a request's record belongs to.
func SuspectBucket(f model.Fingerprint) int { return int(f[len(f)-1]) % SuspectBuckets }

// Suspect is what is known of one request under which workers ended.
type Suspect struct {
	Content model.Fingerprint `cbor:"1,keyasint"`
	// Cleared counts the whole runs that cleared the request; of two records with
	// different counts the greater one's holds.
	Cleared uint32 `cbor:"2,keyasint,omitempty"`
	// Crashes are those with the request in hand.
	Crashes []CrashRef `cbor:"3,keyasint,omitempty"`
	// AgeMs is the time since the record last changed, in milliseconds.
	AgeMs uint32 `cbor:"4,keyasint,omitempty"`
	// Barred: it was put aside after the last clearing, whatever has explained its ends
	// since.
	Quarantined bool `cbor:"5,keyasint,omitempty"`
}

// SuspectCrash is one end of a worker's life.
type SuspectCrash struct {
	ID    uint64           `cbor:"1,keyasint"`
	Owner model.InstanceID `cbor:"2,keyasint"`
	AgeMs uint32           `cbor:"3,keyasint,omitempty"`
}

// CrashRef names an end of SuspectUpdate.Ends, with what is known of the request's run then.
// One end is in the records of all that was in hand, so that naming it is most of a record.
type CrashRef uint16

const (
	refDoubted CrashRef = 1 << iota
	refTrial
	refFlags = 2
)

// NewCrashRef returns a reference to the end at an index. doubted says that another end under
// the request was known when the run began, trial that it was a trial of a request that was
// put aside.
func NewCrashRef(index int, doubted, trial bool) CrashRef {
	r := CrashRef(index) << refFlags
	if doubted {
		r |= refDoubted
	}
	if trial {
		r |= refTrial
	}
	return r
}

// Index returns the end's index.
func (r CrashRef) Index() int { return int(r >> refFlags) }

// AlreadySuspect reports whether another end was known when the run began.
func (r CrashRef) AlreadySuspect() bool { return r&refDoubted != 0 }

// Trial reports whether the run was a trial.
func (r CrashRef) Trial() bool { return r&refTrial != 0 }

// EncodeSuspects returns the CBOR form of n.
func EncodeSuspects(n *SuspectUpdate) ([]byte, error) { return Marshal(n) }

// DecodeSuspects reads the form that EncodeSuspects writes.
func DecodeSuspects(data []byte) (SuspectUpdate, error) {
	if len(data) > MaxSuspectBytes {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %d bytes are over the bound of %d", len(data), MaxSuspectBytes)
	}
	var n SuspectUpdate
	if err := Unmarshal(data, &n); err != nil {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %w", err)
	}
	if len(n.Records) > MaxSuspects {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %d records are over the bound of %d", len(n.Records), MaxSuspects)
	}
	if parts := len(n.Digests); parts != 0 && parts != SuspectBuckets {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %d digests; want none or %d", parts, SuspectBuckets)
	}
	for i := range n.Records {
		if err := n.checkEnds(&n.Records[i]); err != nil {
			return SuspectUpdate{}, err
		}
	}
	return n, nil
}

func (n *SuspectUpdate) checkEnds(s *Suspect) error {
	if ends := len(s.Crashes); ends > MaxSuspectCrashes {
		return fmt.Errorf("suspect requests: %d ends are over the bound of %d", ends, MaxSuspectCrashes)
	}
	for _, r := range s.Crashes {
		if r.Index() >= len(n.Crashes) {
			return fmt.Errorf("suspect requests: end %d of %d", r.Index(), len(n.Crashes))
		}
	}
	return nil
}
