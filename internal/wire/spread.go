package wire

import (
	"math"

	"gypsumstand/internal/model"
)

// Kinds of the bundle spread's messages, 40 to 59.
const (
	kindBundleBeacon       Kind = 40
	kindBundleNotice       Kind = 41
	kindBundleWant         Kind = 42
	kindBundleBody         Kind = 43
	kindBundleDecline      Kind = 44
	kindBundleCompare      Kind = 45
	kindBundleCompareReply Kind = 46
	kindBundleListAsk      Kind = 47
	kindBundleList         Kind = 48
)

// BundleBuckets is the number of parts that bundle names are hashed into, so
// that two nodes list only the parts in which they differ. A set of parts is a
// bit mask.
const BundleBuckets = 64

// BundleAgeNever is the age of what has not happened.
const BundleAgeNever = math.MaxUint32

// BundleBeacon tells how old the fleet's readings of the configuration service
// are. Ages are in milliseconds when sent, BundleAgeNever for none; the receiver
// adds its own time to them.
type BundleBeacon struct {
	// AttemptAgeMs is the age of the last attempt by anyone to read the index.
	AttemptAgeMs uint32 `cbor:"1,keyasint"`
	// SuccessAgeMs is the age of the last reading that was not stale.
	SuccessAgeMs uint32 `cbor:"2,keyasint"`
	// ReadAgeMs is the age of the newest such reading whose versions are all in
	// force at its reader, and ReadDigest the digest of what is in force there. A
	// node that has had the same digest holds what the configuration service said.
	ReadAgeMs  uint32 `cbor:"3,keyasint"`
	ReadDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// BundleAnnouncement says which versions the sender has newly in force and can send.
type BundleAnnouncement struct {
	Versions []model.BundleVersion `cbor:"1,keyasint"`
}

// BundleRequest asks for these versions or newer ones. Each is answered by a
// BundleBody or named in a BundleDecline.
type BundleRequest struct {
	Versions []model.BundleVersion `cbor:"1,keyasint"`
}

// BundleBody carries one signed bundle.
type BundleBody struct {
	Version model.BundleVersion `cbor:"1,keyasint"`
	// Packed is the CBOR form of bundle.Signed, compressed with DEFLATE (RFC
	// 1951). The receiver bounds what it unpacks.
	Packed []byte `cbor:"2,keyasint"`
}

// BundleDecline says which wanted versions do not come now.
type BundleDecline struct {
	Versions []model.BundleVersion `cbor:"1,keyasint"`
	// RetryAfterMs is zero when the sender does not hold them, otherwise the
	// milliseconds after which its upload has room again.
	RetryAfterMs uint32 `cbor:"2,keyasint,omitempty"`
}

// BundleCompare asks a peer whether it holds the same versions.
type BundleCompare struct {
	// Nonce comes back in the reply, which so proves to be made after the
	// question was asked.
	Nonce  uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// BundleCompareReply answers BundleCompare.
type BundleCompareReply struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	// Ready says that the sender is ready: it has asked others before.
	Ready bool `cbor:"3,keyasint,omitempty"`
	// Buckets are the digests of the parts, BundleBuckets of them when the
	// digests differ, otherwise none.
	Buckets []uint64 `cbor:"4,keyasint,omitempty"`
}

// BundleListRequest asks for the versions in some parts.
type BundleListRequest struct {
	Nonce   uint64 `cbor:"1,keyasint"`
	Buckets uint64 `cbor:"2,keyasint"`
}

// BundleList answers BundleListRequest for some of the parts, lowest first; the
// asker asks again for the rest.
type BundleList struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Buckets are the parts that Held lists whole.
	Buckets uint64       `cbor:"2,keyasint"`
	Held    []HeldBundle `cbor:"3,keyasint,omitempty"`
}

// HeldBundle is one version in force at the sender.
type HeldBundle struct {
	Name    model.BundleName `cbor:"1,keyasint"`
	Version uint64           `cbor:"2,keyasint"`
	// Content is a hash of the bundle's bytes; it tells two sign-offs of one
	// version apart.
	Content uint64 `cbor:"3,keyasint"`
}

// Kind implements Message.
func (BundleBeacon) Kind() Kind { return kindBundleBeacon }

// Kind implements Message.
func (BundleAnnouncement) Kind() Kind { return kindBundleNotice }

// Kind implements Message.
func (BundleRequest) Kind() Kind { return kindBundleWant }

// Kind implements Message.
func (BundleBody) Kind() Kind { return kindBundleBody }

// Kind implements Message.
func (BundleDecline) Kind() Kind { return kindBundleDecline }

// Kind implements Message.
func (BundleCompare) Kind() Kind { return kindBundleCompare }

// Kind implements Message.
func (BundleCompareReply) Kind() Kind { return kindBundleCompareReply }

// Kind implements Message.
func (BundleListRequest) Kind() Kind { return kindBundleListAsk }

// Kind implements Message.
func (BundleList) Kind() Kind { return kindBundleList }

func init() {
	register(BundleBeacon{})
	register(BundleAnnouncement{})
	register(BundleRequest{})
	register(BundleBody{})
	register(BundleDecline{})
	register(BundleCompare{})
	register(BundleCompareReply{})
	register(BundleListRequest{})
	register(BundleList{})
}
