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
	kindSnapshotChunk   Kind = 24
	kindDigest          Kind = 25
	kindDigestBuckets   Kind = 26
	kindBucketSummaries Kind = 27
	kindRecordRequest   Kind = 28
	kindProbe           Kind = 29
	kindProbeReply      Kind = 30
	kindLinkReject      Kind = 31
)

// Bounds of the membership messages. A receiver drops what exceeds them.
const (
	// MaxMemberRecords bounds the number of records in one message.
	MaxMemberRecords = 512
	// MaxSuspicions bounds the number of suspicions in one message.
	MaxSuspicions = 64
	// DigestBucketCount is the number of buckets into which a digest divides the known
	// instances, by the hash of their ids.
	DigestBucketCount = 256
	// MaxSummaries bounds the number of buckets that one exchange compares in full.
	MaxSummaries = 128
	// MaxRequestedIDs bounds the number of ids in one RecordRequest.
	MaxRequestedIDs = 512
)

// Age is a time span in whole milliseconds, rounded up, plus one. Zero means that the
// event never happened or is unknown. Forwarding an age can only increase it.
type Age uint64

// maxAge keeps ages within time.Duration.
const maxAge = Age(365 * 24 * time.Hour / time.Millisecond)

// AgeOf converts d to an Age; math.MaxInt64 (never) becomes zero.
func AgeOf(d time.Duration) Age {
	if d == math.MaxInt64 {
		return 0
	}
	ms := (max(d, 0) + time.Millisecond - 1) / time.Millisecond
	return min(Age(ms)+1, maxAge)
}

// Duration returns a as a time.Duration; never is math.MaxInt64.
func (a Age) Duration() time.Duration {
	if a == 0 {
		return math.MaxInt64
	}
	return time.Duration(min(a, maxAge)-1) * time.Millisecond
}

// Clock is a node's monotonic clock in milliseconds since its start, plus one. Zero means
// that no reading has been received.
type Clock uint64

// ListStatus is the status of an instance in the platform's list.
type ListStatus uint8

// Values of ListStatus.
const (
	// ListUnknown: no list known to this node has named the instance.
	ListUnknown ListStatus = iota
	ListLive
	ListLeaving
	// ListAbsent: a list named the instance and a newer one does not.
	ListAbsent
)

// MemberRecord is a node's knowledge of one instance. The records of an instance form a
// join semilattice (package member).
type MemberRecord struct {
	ID          model.InstanceID    `cbor:"1,keyasint"`
	Service     model.ServiceName   `cbor:"2,keyasint,omitempty"`
	DataCentre  model.DataCentre    `cbor:"3,keyasint,omitempty"`
	PeerAddress string              `cbor:"4,keyasint,omitempty"`
	Incarnation model.Incarnation   `cbor:"5,keyasint,omitempty"`
	State       model.UpstreamState `cbor:"6,keyasint,omitempty"`
	// Counter orders the announcements of one incarnation; only the instance itself
	// raises it. For incarnation zero it is the list revision that the record was read
	// from.
	Counter uint64 `cbor:"7,keyasint,omitempty"`
	// ListRevision and ListStatus are the newest change of the instance in the platform's
	// list.
	ListRevision uint64     `cbor:"8,keyasint,omitempty"`
	ListStatus   ListStatus `cbor:"9,keyasint,omitempty"`
}

// Suspicion reports that an observer cannot reach an instance while it does reach others.
// It applies only to the record with the same incarnation and counter, so the suspected
// instance refutes it by raising its counter.
type Suspicion struct {
	Target      model.InstanceID  `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint,omitempty"`
	Counter     uint64            `cbor:"3,keyasint,omitempty"`
	Observer    model.InstanceID  `cbor:"4,keyasint"`
}

// ListAges holds the time since any node last read the platform's list.
type ListAges struct {
	Attempt   Age `cbor:"1,keyasint,omitempty"`
	Confirmed Age `cbor:"2,keyasint,omitempty"`
	// Revision is the newest known revision of the list.
	Revision uint64 `cbor:"3,keyasint,omitempty"`
}

// Heartbeat is sent on every link once a second.
type Heartbeat struct {
	// Clock is the sender's clock.
	Clock Clock `cbor:"1,keyasint"`
	// Echo is a lower bound of the receiver's clock at the time of sending: its newest
	// reading received plus the time since. The receiver's clock minus Echo is an upper
	// bound of the message's age, without synchronized clocks.
	Echo Clock    `cbor:"2,keyasint,omitempty"`
	List ListAges `cbor:"3,keyasint"`
}

// ListBeacon propagates a read of the platform's list without waiting for the next
// Heartbeat, whose fields it shares.
type ListBeacon struct {
	Echo Clock    `cbor:"1,keyasint,omitempty"`
	List ListAges `cbor:"2,keyasint"`
}

// Rumours carries changed records and suspicions.
type Rumours struct {
	Records    []MemberRecord `cbor:"1,keyasint,omitempty"`
	Suspicions []Suspicion    `cbor:"2,keyasint,omitempty"`
	// Repair reports that the records are the result of a digest exchange.
	Repair bool `cbor:"3,keyasint,omitempty"`
}

// SnapshotRequest asks for the records whose ids follow After.
type SnapshotRequest struct {
	After model.InstanceID `cbor:"1,keyasint,omitempty"`
}

// SnapshotChunk holds the next records in the order of their ids.
type SnapshotChunk struct {
	// After is copied from the request.
	After   model.InstanceID `cbor:"1,keyasint,omitempty"`
	Records []MemberRecord   `cbor:"2,keyasint,omitempty"`
	// Last reports that no more records follow.
	Last bool `cbor:"3,keyasint,omitempty"`
	// Partial reports that the sender has not loaded the complete fleet itself and
	// therefore sends no records.
	Partial bool `cbor:"4,keyasint,omitempty"`
}

// Digest starts an exchange that finds the records that rumours missed.
type Digest struct {
	// Root is the hash of all records of instances that are not gone.
	Root uint64 `cbor:"1,keyasint"`
}

// DigestBuckets is the reply to a Digest whose root differs.
type DigestBuckets struct {
	// Hashes holds DigestBucketCount big-endian uint32, one for each bucket.
	Hashes []byte `cbor:"1,keyasint"`
}

// BucketSummaries lists the sender's records in the buckets whose hashes differ.
type BucketSummaries struct {
	Buckets []BucketSummary `cbor:"1,keyasint"`
}

// BucketSummary lists the records of one bucket.
type BucketSummary struct {
	Index uint16 `cbor:"1,keyasint"`
	// Entries holds pairs of big-endian uint32: the hash of an id and the hash of its
	// record.
	Entries []byte `cbor:"2,keyasint"`
}

// RecordRequest asks for the records whose ids have these hashes.
type RecordRequest struct {
	Buckets []RecordRequestBucket `cbor:"1,keyasint"`
}

// RecordRequestBucket identifies records of one bucket.
type RecordRequestBucket struct {
	Index uint16 `cbor:"1,keyasint"`
	// IDs holds big-endian uint32 hashes of ids.
	IDs []byte `cbor:"2,keyasint"`
}

// Probe asks a peer to check whether it reaches an instance. Without a target it asks the
// peer itself for a reply.
type Probe struct {
	Target      model.InstanceID  `cbor:"1,keyasint,omitempty"`
	PeerAddress string            `cbor:"2,keyasint,omitempty"`
	Incarnation model.Incarnation `cbor:"3,keyasint,omitempty"`
	Counter     uint64            `cbor:"4,keyasint,omitempty"`
}

// ProbeReply reports that the sender reaches the instance. A peer that does not reach it
// sends a Suspicion in Rumours instead.
type ProbeReply struct {
	Target      model.InstanceID  `cbor:"1,keyasint,omitempty"`
	Incarnation model.Incarnation `cbor:"2,keyasint,omitempty"`
}

// LinkReject asks the node that opened a link to close it, because the sender has enough
// links.
type LinkReject struct {
	// Alternatives are other instances to connect to.
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
func (SnapshotChunk) Kind() Kind { return kindSnapshotChunk }

// Kind implements Message.
func (Digest) Kind() Kind { return kindDigest }

// Kind implements Message.
func (DigestBuckets) Kind() Kind { return kindDigestBuckets }

// Kind implements Message.
func (BucketSummaries) Kind() Kind { return kindBucketSummaries }

// Kind implements Message.
func (RecordRequest) Kind() Kind { return kindRecordRequest }

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
