package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Bounds of a record's fields, in bytes.
const (
	maxNameBytes    = 128
	maxAddressBytes = 64
)

// join returns the least record that holds what a and b hold. It is
// commutative, associative and idempotent, so records may arrive in any order
// and any number of times. a and b are of one instance.
func join(a, b wire.MemberRecord) wire.MemberRecord {
	out := a
	if compareOwn(a, b) < 0 {
		out = b
	}
	newest := a
	if compareList(a, b) < 0 {
		newest = b
	}
	out.ListRevision = newest.ListRevision
	out.ListStatus = newest.ListStatus
	return out
}

// compareOwn orders the parts of records that the owner's word decides. A
// greater incarnation wins; within one, Leaving and Gone win over all before
// them; then the owner's newer word; then the greater state. The fixed
// attributes only make the order total.
func compareOwn(a, b wire.MemberRecord) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(finality(a.State), finality(b.State)),
		cmp.Compare(a.Counter, b.Counter),
		cmp.Compare(a.State, b.State),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.DataCentre, b.DataCentre),
		cmp.Compare(a.PeerAddress, b.PeerAddress),
	)
}

// compareList orders the parts of records that the platform's list decides.
func compareList(a, b wire.MemberRecord) int {
	return cmp.Or(
		cmp.Compare(a.ListRevision, b.ListRevision),
		cmp.Compare(a.ListStatus, b.ListStatus),
	)
}

// finality ranks the states that never turn back within an incarnation.
func finality(s model.UpstreamState) int {
	switch s {
	case model.StateLeaving:
		return 1
	case model.StateGone:
		return 2
	default:
		return 0
	}
}

// serving reports whether an instance in state s is neither leaving nor gone.
func serving(s model.UpstreamState) bool { return finality(s) == 0 }

// hashRecord returns a hash of all that a record says, but for the revision at
// which a mark of the list was read, which may differ between readers.
func hashRecord(r wire.MemberRecord) uint64 {
	buf := make([]byte, 0, 2*maxNameBytes)
	buf = append(buf, r.ID...)
	buf = append(buf, 0)
	buf = append(buf, r.Service...)
	buf = append(buf, 0)
	buf = append(buf, r.DataCentre...)
	buf = append(buf, 0)
	buf = append(buf, r.PeerAddress...)
	buf = append(buf, 0, byte(r.State), byte(r.ListStatus))
	buf = binary.BigEndian.AppendUint64(buf, uint64(r.Incarnation))
	buf = binary.BigEndian.AppendUint64(buf, r.Counter)
	return xxhash.Sum64(buf)
}

// hashID returns the hash that decides an id's bucket (low bits) and stands for
// the id in a bucket's summary (high bits).
func hashID(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

func bucketOf(id model.InstanceID) int {
	return int(hashID(id) % wire.DigestBucketCount)
}

func shortID(id model.InstanceID) uint32 { return uint32(hashID(id) >> 32) }

// wellFormed reports whether a record from a peer is within bounds.
func wellFormed(r wire.MemberRecord) bool {
	switch {
	case r.ID == "", len(r.ID) > maxNameBytes:
		return false
	case len(r.Service) > maxNameBytes, len(r.DataCentre) > maxNameBytes:
		return false
	case len(r.PeerAddress) > maxAddressBytes:
		return false
	case r.State > model.StateGone, r.ListStatus > wire.ListAbsent:
		return false
	case r.Incarnation > maxIncarnation, r.Counter > maxCounter:
		return false
	}
	return true
}

// Bounds that leave room to raise an incarnation or a counter.
const (
	maxIncarnation = 1 << 62
	maxCounter     = 1 << 62
)

// instanceOf returns the blackboard's form of a record.
func instanceOf(r wire.MemberRecord) model.Instance {
	return model.Instance{
		ID: r.ID, Service: r.Service, DataCentre: r.DataCentre,
		PeerAddress: r.PeerAddress, Incarnation: r.Incarnation, State: r.State,
	}
}

// recordOf returns the record of an instance's own first word.
func recordOf(i model.Instance) wire.MemberRecord {
	return wire.MemberRecord{
		ID: i.ID, Service: i.Service, DataCentre: i.DataCentre,
		PeerAddress: i.PeerAddress, Incarnation: i.Incarnation, State: i.State,
	}
}
