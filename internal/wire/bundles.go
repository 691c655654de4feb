package wire

import (
	"math"

	"gypsumstand/internal/model"
)

// Kinds of the messages that distribute bundles, 40 to 59.
const (
	kindBundleBeacon       Kind = 40
	kindBundleAnnouncement Kind = 41
	kindBundleRequest      Kind = 42
	kindBundleBody         Kind = 43
	kindBundleDecline      Kind = 44
	kindBundleCompare      Kind = 45
	kindBundleCompareReply Kind = 46
	kindBundleListRequest  Kind = 47
	kindBundleList         Kind = 48
)

// BundleBuckets is the number of buckets into which bundle names are hashed, so that two
// nodes list only the buckets in which they differ. A set of buckets is a bit mask.
const BundleBuckets = 64

// BundleAgeNever is the age of an event that has not happened.
const BundleAgeNever = math.MaxUint32

// BundleBeacon reports when nodes of the fleet last read the configuration service. Ages
// are in milliseconds at the time of sending, BundleAgeNever for none; the receiver adds
// the time since.
type BundleBeacon struct {
	// AttemptAgeMs is the age of the last attempt of any node to read the index.
	AttemptAgeMs uint32 `cbor:"1,keyasint"`
	// SuccessAgeMs is the age of the last read that was not stale.
	SuccessAgeMs uint32 `cbor:"2,keyasint"`
	// ReadAgeMs is the age of the newest such read whose versions are all in force at the
	// node that read them, and ReadDigest the digest of the versions in force there. A
	// node that has had the same digest holds what the configuration service served.
	ReadAgeMs  uint32 `cbor:"3,keyasint"`
	ReadDigest uint64 `cbor:"4,keyasint,omitempty"`
}

// BundleAnnouncement lists versions that came into force at the sender and can be
// requested from it.
type BundleAnnouncement struct {
	Versions []model.BundleVersion `cbor:"1,keyasint"`
}

// BundleRequest asks for these versions or newer ones. Each is either sent in a
// BundleBody or listed in a BundleDecline.
type BundleRequest struct {
	Versions []model.BundleVersion `cbor:"1,keyasint"`
}

// BundleBody carries one signed bundle.
type BundleBody struct {
	Version model.BundleVersion `cbor:"1,keyasint"`
	// Packed is the CBOR form of bundle.Signed, compressed with DEFLATE (RFC 1951). The
	// receiver bounds the size of the unpacked form.
	Packed []byte `cbor:"2,keyasint"`
}

// BundleDecline lists requested versions that the sender does not send now.
type BundleDecline struct {
	Versions []model.BundleVersion `cbor:"1,keyasint"`
	// RetryAfterMs is zero if the sender does not hold the versions; otherwise it is the
	// time in milliseconds after which its upload budget has room again.
	RetryAfterMs uint32 `cbor:"2,keyasint,omitempty"`
}

// BundleCompare asks a peer whether it holds the same versions.
type BundleCompare struct {
	// Nonce is copied into the reply, which proves that the reply was made after the
	// question was sent.
	Nonce  uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
}

// BundleCompareReply is the reply to a BundleCompare.
type BundleCompareReply struct {
	Nonce  uint64 `cbor:"1,keyasint"`
	Digest uint64 `cbor:"2,keyasint"`
	// Ready reports that the sender's bundles are ready; see package spread.
	Ready bool `cbor:"3,keyasint,omitempty"`
	// Buckets holds the digests of all BundleBuckets buckets if the digests differ,
	// otherwise nothing.
	Buckets []uint64 `cbor:"4,keyasint,omitempty"`
}

// BundleListRequest asks for the versions in some buckets.
type BundleListRequest struct {
	Nonce   uint64 `cbor:"1,keyasint"`
	Buckets uint64 `cbor:"2,keyasint"`
}

// BundleList lists the versions in some of the requested buckets, lowest first; the
// requester asks again for the rest.
type BundleList struct {
	Nonce uint64 `cbor:"1,keyasint"`
	// Buckets are the buckets that Held lists completely.
	Buckets uint64       `cbor:"2,keyasint"`
	Held    []HeldBundle `cbor:"3,keyasint,omitempty"`
}

// HeldBundle is a version in force at the sender.
type HeldBundle struct {
	Name    model.BundleName `cbor:"1,keyasint"`
	Version uint64           `cbor:"2,keyasint"`
	// Content is a hash of the bundle's bytes. It distinguishes two sign-offs of one
	// version.
	Content uint64 `cbor:"3,keyasint"`
}

// Kind implements Message.
func (BundleBeacon) Kind() Kind { return kindBundleBeacon }

// Kind implements Message.
func (BundleAnnouncement) Kind() Kind { return kindBundleAnnouncement }

// Kind implements Message.
func (BundleRequest) Kind() Kind { return kindBundleRequest }

// Kind implements Message.
func (BundleBody) Kind() Kind { return kindBundleBody }

// Kind implements Message.
func (BundleDecline) Kind() Kind { return kindBundleDecline }

// Kind implements Message.
func (BundleCompare) Kind() Kind { return kindBundleCompare }

// Kind implements Message.
func (BundleCompareReply) Kind() Kind { return kindBundleCompareReply }

// Kind implements Message.
func (BundleListRequest) Kind() Kind { return kindBundleListRequest }

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
