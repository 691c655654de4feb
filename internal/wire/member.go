package wire

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// Kinds of the membership messages.
const (
	kindHeartbeat       Kind = 20
	kindListBeacon      Kind = 21
	kindRumours         Kind = 22
	kindSnapshotRequest Kind = 23
	kindSnapshotPiece   Kind = 24
	kindDigest          Kind = 25
	kindDigestBuckets   Kind = 26
	kindBucketSummaries Kind = 27
	kindWant            Kind = 28
	kindProbe           Kind = 29
	kindProbeReply      Kind = 30
	kindLinkReject      Kind = 31
)

// Bounds of the membership messages. A receiver drops what is over them.
const (
	// MaxMemberRecords bounds the records of one message.
	MaxMemberRecords = 512
	// MaxSuspicions bounds the accusations of one message.
	MaxSuspicions = 64
	// DigestBucketCount is the number of buckets that a digest splits the known
	// instances into, by the hash of their ids.
	DigestBucketCount = 256
	// MaxSummaries bounds the buckets that one exchange compares in full.
	MaxSummaries = 128
	// MaxRequestedIDs bounds the ids of one Want.
	MaxRequestedIDs = 512
)

// Age is a time span in whole milliseconds, rounded up, plus one; zero means
// that the event never happened or is not known. Ages only grow on their way.
type Age uint64

// maxAge bounds ages so that they fit a time.Duration.
const maxAge = Age(365 * 24 * time.Hour / time.Millisecond)

// AgeOf returns d as an Age; math.MaxInt64 (never) becomes zero.
func AgeOf(d time.Duration) Age {
	if d == math.MaxInt64 {
		return 0
	}
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return min(Age(ms)+1, maxAge)
}

// Duration returns a as a time span; math.MaxInt64 for never.
func (a Age) Duration() time.Duration {
	if a == 0 {
		return math.MaxInt64
	}
	return time.Duration(min(a, maxAge)-1) * time.Millisecond
}

// Clock is a node's monotonic clock in milliseconds since its start, plus one;
// zero means that none was heard.
type Clock uint64

// ListStatus is what the platform's list says of an instance.
type ListStatus uint8

// The marks.
const (
	// ListUnknown: no list that this node knows of has named the instance.
	ListUnknown ListStatus = iota
	ListLive
	ListLeaving
	// ListAbsent: a list named it once and a newer one no longer does.
	ListAbsent
)

// MemberRecord is what a node knows of one instance. Records of one instance
// form a join semilattice (package member).
type MemberRecord struct {
	ID          model.InstanceID    `cbor:"1,keyasint"`
	Service     model.ServiceName   `cbor:"2,keyasint,omitempty"`
	DataCentre  model.DataCentre    `cbor:"3,keyasint,omitempty"`
	PeerAddress string              `cbor:"4,keyasint,omitempty"`
	Incarnation model.Incarnation   `cbor:"5,keyasint,omitempty"`
	State       model.UpstreamState `cbor:"6,keyasint,omitempty"`
	// Counter orders the owner's words within an incarnation; the owner alone
	// raises it. For incarnation zero it is the list revision that the record
	// was read from.
	Counter uint64 `cbor:"7,keyasint,omitempty"`
	// ListRevision and ListStatus are the newest change on the platform's list.
	ListRevision uint64     `cbor:"8,keyasint,omitempty"`
	ListStatus   ListStatus `cbor:"9,keyasint,omitempty"`
}

// Suspicion is one observer's word that it cannot reach an instance, while it
// does reach others. It holds against the record with the same incarnation and
// counter only, so the accused refutes it by raising its counter.
type Suspicion struct {
	Target      model.InstanceID  `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint,omitempty"`
	Counter     uint64            `cbor:"3,keyasint,omitempty"`
	Observer    model.InstanceID  `cbor:"4,keyasint"`
}

// ListAges tells how long ago anyone read the platform's list.
type ListAges struct {
	Attempt   Age `cbor:"1,keyasint,omitempty"`
	Confirmed Age `cbor:"2,keyasint,omitempty"`
	// Revision is the newest list revision known.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// Heartbeat is sent on each link every second.
type Heartbeat struct {
	// Clock is the sender's clock.
	Clock Clock `cbor:"1,keyasint"`
	// Echo is a lower bound of the receiver's clock at sending: the newest
	// reading heard from it plus the time since. The receiver's clock minus Echo
	// bounds the message's age from above, with no common clock.
	Echo Clock    `cbor:"2,keyasint,omitempty"`
	List ListAges `cbor:"3,keyasint"`
}

// ListBeacon spreads a read of the platform's list at once; see Heartbeat.
type ListBeacon struct {
	Echo Clock    `cbor:"1,keyasint,omitempty"`
	List ListAges `cbor:"2,keyasint"`
}

// Rumours carries changed records and accusations.
type Rumours struct {
	Records    []MemberRecord `cbor:"1,keyasint,omitempty"`
	Suspicions []Suspicion    `cbor:"2,keyasint,omitempty"`
	// Repair says that the records are the answer of a digest exchange.
	Repair bool `cbor:"3,keyasint,omitempty"`
}

// SnapshotRequest asks for the records whose id comes after After.
type SnapshotRequest struct {
	After model.InstanceID `cbor:"1,keyasint,omitempty"`
}

// SnapshotChunk answers with the next records in the order of their ids.
type SnapshotChunk struct {
	// After repeats the request's.
	After   model.InstanceID `cbor:"1,keyasint,omitempty"`
	Records []MemberRecord   `cbor:"2,keyasint,omitempty"`
	// Last says that no record comes after these.
	Last bool `cbor:"3,keyasint,omitempty"`
	// Partial says that the sender has not loaded the whole fleet itself and
	// sends nothing.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// Digest opens an exchange that finds what rumours missed.
type Digest struct {
	// Root is the hash of all records whose instance is not gone.
	Root uint64 `cbor:"1,keyasint"`
}

// DigestBuckets answers a Digest with another root.
type DigestBuckets struct {
	// Hashes holds DigestBucketCount big-endian uint32, one a bucket.
	Hashes []byte `cbor:"1,keyasint"`
}

// BucketSummaries lists the sender's records of buckets whose hashes differ.
type BucketSummaries struct {
	Buckets []BucketSummary `cbor:"1,keyasint"`
}

// BucketSummary lists one bucket.
type BucketSummary struct {
	Index uint16 `cbor:"1,keyasint"`
	// Entries holds pairs of big-endian uint32: the hash of an id, the hash of
	// its record.
	Entries []byte `cbor:"2,keyasint"`
}

// RecordRequest asks for the records with these hashes of ids.
type RecordRequest struct {
	Buckets []RecordRequestBucket `cbor:"1,keyasint"`
}

// RecordRequestBucket names records of one bucket.
type RecordRequestBucket struct {
	Index uint16 `cbor:"1,keyasint"`
	// IDs holds big-endian uint32 hashes of ids.
	IDs []byte `cbor:"2,keyasint"`
}

// Probe asks a peer to see for itself whether it reaches an instance. Without a
// target it asks for an answer only.
type Probe struct {
	Target      model.InstanceID  `cbor:"1,keyasint,omitempty"`
	PeerAddress string            `cbor:"2,keyasint,omitempty"`
	Incarnation model.Incarnation `cbor:"3,keyasint,omitempty"`
	Counter     uint64            `cbor:"4,keyasint,omitempty"`
}

// ProbeReply says that the sender reaches the instance. A peer that does not
// reach it accuses it by a rumour instead.
type ProbeReply struct {
	Target      model.InstanceID  `cbor:"1,keyasint,omitempty"`
	Incarnation model.Incarnation `cbor:"2,keyasint,omitempty"`
}

// LinkReject asks the opener of a link to close it: the sender has enough.
type LinkReject struct {
	// Alternatives are instances to try instead.
	Alternatives []MemberRecord `cbor:"1,keyasint,omitempty"`
}

// Kind implements Message.
func (Heartbeat) Kind() Kind { return kindHeartbeat }

// Kind implements Message.
func (ListBeacon) Kind() Kind { return kindListBeacon }

// Kind implements Message.
func (Rumours) Kind() Kind { return kindRumours }

// Kind implements Message.
func (SnapshotRequest) Kind() Kind { return kindSnapshotRequest }

// Kind implements Message.
func (SnapshotChunk) Kind() Kind { return kindSnapshotPiece }

// Kind implements Message.
func (Digest) Kind() Kind { return kindDigest }

// Kind implements Message.
func (DigestBuckets) Kind() Kind { return kindDigestBuckets }

// Kind implements Message.
func (BucketSummaries) Kind() Kind { return kindBucketSummaries }

// Kind implements Message.
func (RecordRequest) Kind() Kind { return kindWant }

// Kind implements Message.
func (Probe) Kind() Kind { return kindProbe }

// Kind implements Message.
func (ProbeReply) Kind() Kind { return kindProbeReply }

// Kind implements Message.
func (LinkReject) Kind() Kind { return kindLinkReject }

func init() {
	register(Heartbeat{})
	register(ListBeacon{})
	register(Rumours{})
	register(SnapshotRequest{})
	register(SnapshotChunk{})
	register(Digest{})
	register(DigestBuckets{})
	register(BucketSummaries{})
	register(RecordRequest{})
	register(Probe{})
	register(ProbeReply{})
	register(LinkReject{})
}
