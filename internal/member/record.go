package member

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Limits on a record's fields, in bytes.
const (
	maxNameBytes    = 128
	maxAddressBytes = 64
)

// join returns the least upper bound of a and b, two records of one instance. It is
// commutative, associative and idempotent, so records may arrive in any order and any
// number of times.
func join(a, b wire.MemberRecord) wire.MemberRecord {
	out := a
	if compareAnnouncedFields(a, b) < 0 {
		out = b
	}
	newest := a
	if compareListFields(a, b) < 0 {
		newest = b
	}
	out.ListRevision = newest.ListRevision
	out.ListStatus = newest.ListStatus
	return out
}

// compareAnnouncedFields orders records by the fields that the instance itself announces;
// its peers only mark it leaving or gone, and fill them from the list before its first
// announcement. A greater incarnation wins; within one incarnation, Gone wins over Leaving
// and Leaving over all other states; then the greater counter, then the greater state. The
// fixed attributes only make the order total.
func compareAnnouncedFields(a, b wire.MemberRecord) int {
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

// compareListFields orders records by the fields that the platform's list decides.
func compareListFields(a, b wire.MemberRecord) int {
	return cmp.Or(
		cmp.Compare(a.ListRevision, b.ListRevision),
		cmp.Compare(a.ListStatus, b.ListStatus),
	)
}

// finality ranks states: within an incarnation, an instance never returns to a lower
// rank.
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

// serving reports whether state s is neither leaving nor gone.
func serving(s model.UpstreamState) bool { return finality(s) == 0 }

// hashRecord returns a hash of all fields of a record but the list revision, which may
// differ between nodes that read the same status.
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

// hashID returns the hash whose low bits decide an id's bucket and whose high bits stand
// for the id in a bucket's summary.
func hashID(id model.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

func bucketOf(id model.InstanceID) int {
	return int(hashID(id) % wire.DigestBucketCount)
}

func shortID(id model.InstanceID) uint32 { return uint32(hashID(id) >> 32) }

// wellFormed reports whether the fields of a received record are within their limits.
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

// Limits that leave room to increase an incarnation or a counter.
const (
	maxIncarnation = 1 << 62
	maxCounter     = 1 << 62
)

// instanceOf converts a record to the blackboard's form.
func instanceOf(r wire.MemberRecord) model.Instance {
	return model.Instance{
		ID: r.ID, Service: r.Service, DataCentre: r.DataCentre,
		PeerAddress: r.PeerAddress, Incarnation: r.Incarnation, State: r.State,
	}
}

// recordOf returns the initial record of an instance, with counter zero.
func recordOf(i model.Instance) wire.MemberRecord {
	return wire.MemberRecord{
		ID: i.ID, Service: i.Service, DataCentre: i.DataCentre,
		PeerAddress: i.PeerAddress, Incarnation: i.Incarnation, State: i.State,
	}
}
