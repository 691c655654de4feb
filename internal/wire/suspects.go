package wire

import (
	"encoding/binary"
	"fmt"

	"gypsumstand/internal/model"
)

// Bounds of SuspectUpdate.
const (
	// MaxSuspects is the number of records in one message.
	MaxSuspects = 64
	// SuspectBuckets is the number of buckets in which records are compared.
	SuspectBuckets = 16
	// MaxSuspectCrashes is the number of crashes in one record.
	MaxSuspectCrashes = 8
	// MaxLeases is the number of leases of each kind in one message.
	MaxLeases = 16
	// MaxSuspectBytes bounds a message: its records with their crashes and the crashes'
	// owners.
	MaxSuspectBytes = 64 << 10
)

// SuspectUpdate exchanges knowledge of requests during which workers crashed.
type SuspectUpdate struct {
	From model.InstanceID `cbor:"1,keyasint"`
	// Service is set if the update concerns requests that only nodes of that service
	// record; empty means requests that all nodes record.
	Service model.ServiceName `cbor:"2,keyasint,omitempty"`
	// Digests are the digests of the sender's records of that kind, in SuspectBuckets
	// buckets by fingerprint, so that two nodes exchange only the buckets in which they
	// differ. It is empty if the sender holds none.
	Digests []uint64  `cbor:"3,keyasint,omitempty"`
	Records []Suspect `cbor:"4,keyasint,omitempty"`
	// Crashes are the crashes that the records refer to.
	Crashes []SuspectCrash `cbor:"6,keyasint,omitempty"`
	// Compare reports that the sender asks for the records that it is missing. Without it
	// Digests is absent and the reply is empty.
	Compare bool `cbor:"5,keyasint,omitempty"`
	// Leases are the keys of leases of which the sender's requests are queued, LeasesRunning
	// of those of which one runs, LeasesEnded of those that it no longer holds. A message with
	// any of them sets Service.
	Leases        []LeaseKey `cbor:"7,keyasint,omitempty"`
	LeasesRunning []LeaseKey `cbor:"8,keyasint,omitempty"`
	LeasesEnded   []LeaseKey `cbor:"9,keyasint,omitempty"`
}

// LeaseKey identifies the content of a lease: a lease gives an owner the sole right to run
// requests of that content. It is a part of the fingerprint, as messages about leases are
// frequent. Two contents with equal keys only wait for each other.
type LeaseKey uint64

// NewLeaseKey returns the key of a request's content.
func NewLeaseKey(f model.Fingerprint) LeaseKey { return LeaseKey(binary.BigEndian.Uint64(f[:])) }

// SuspectBucket returns the bucket of a request's record.
func SuspectBucket(f model.Fingerprint) int { return int(f[len(f)-1]) % SuspectBuckets }

// Suspect is the record of one request during which workers crashed.
type Suspect struct {
	Content model.Fingerprint `cbor:"1,keyasint"`
	// Cleared counts the complete runs that cleared the request. Of two records with
	// different counts the one with the greater count is valid.
	Cleared uint32 `cbor:"2,keyasint,omitempty"`
	// Crashes are the crashes with the request in flight.
	Crashes []CrashRef `cbor:"3,keyasint,omitempty"`
	// AgeMs is the time since the record last changed, in milliseconds.
	AgeMs uint32 `cbor:"4,keyasint,omitempty"`
	// Quarantined reports that the request was quarantined after it was last cleared,
	// even if its crashes have been explained since.
	Quarantined bool `cbor:"5,keyasint,omitempty"`
}

// SuspectCrash is one crash of a worker.
type SuspectCrash struct {
	ID    uint64           `cbor:"1,keyasint"`
	Owner model.InstanceID `cbor:"2,keyasint"`
	AgeMs uint32           `cbor:"3,keyasint,omitempty"`
}

// CrashRef is an index into SuspectUpdate.Crashes with two flags of the request's run at
// that time. A crash belongs to the records of all requests that were in flight, so
// references to crashes make up most of a record.
type CrashRef uint16

const (
	refAlreadySuspect CrashRef = 1 << iota
	refTrial
	refFlagBits = 2
)

// NewCrashRef returns a reference to the crash at an index. alreadySuspect reports that
// another crash under the request was known when the run began, trial that the run was a
// trial of a quarantined request.
func NewCrashRef(index int, alreadySuspect, trial bool) CrashRef {
	r := CrashRef(index) << refFlagBits
	if alreadySuspect {
		r |= refAlreadySuspect
	}
	if trial {
		r |= refTrial
	}
	return r
}

// Index returns the crash's index.
func (r CrashRef) Index() int { return int(r >> refFlagBits) }

// AlreadySuspect reports whether another crash was known when the run began.
func (r CrashRef) AlreadySuspect() bool { return r&refAlreadySuspect != 0 }

// Trial reports whether the run was a trial.
func (r CrashRef) Trial() bool { return r&refTrial != 0 }

// EncodeSuspects returns the CBOR form of n.
func EncodeSuspects(n *SuspectUpdate) ([]byte, error) { return Marshal(n) }

// DecodeSuspects reverses EncodeSuspects and checks all bounds and references.
func DecodeSuspects(data []byte) (SuspectUpdate, error) {
	if len(data) > MaxSuspectBytes {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %d bytes are over the bound of %d", len(data), MaxSuspectBytes)
	}
	var n SuspectUpdate
	if err := Unmarshal(data, &n); err != nil {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %w", err)
	}
	if len(n.Records) > MaxSuspects {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %d records are over the bound of %d",
			len(n.Records), MaxSuspects)
	}
	if leases := max(len(n.Leases), len(n.LeasesRunning), len(n.LeasesEnded)); leases > MaxLeases {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %d leases are over the bound of %d", leases, MaxLeases)
	}
	if parts := len(n.Digests); parts != 0 && parts != SuspectBuckets {
		return SuspectUpdate{}, fmt.Errorf("suspect requests: %d digests; want none or %d", parts, SuspectBuckets)
	}
	for i := range n.Records {
		if err := n.checkCrashes(&n.Records[i]); err != nil {
			return SuspectUpdate{}, err
		}
	}
	return n, nil
}

func (n *SuspectUpdate) checkCrashes(s *Suspect) error {
	if crashes := len(s.Crashes); crashes > MaxSuspectCrashes {
		return fmt.Errorf("suspect requests: %d crashes are over the bound of %d", crashes, MaxSuspectCrashes)
	}
	for _, r := range s.Crashes {
		if r.Index() >= len(n.Crashes) {
			return fmt.Errorf("suspect requests: crash reference %d, but only %d crashes", r.Index(), len(n.Crashes))
		}
	}
	return nil
}
