package model

import (
	"math"
	"time"
)

// Listing is one life of a worker, as a directory lists it.
type Listing struct {
	// Instance is the instance beside which the worker runs, with its worker and
	// slots. Its State is StateLive, or StateLeaving for a worker that drains.
	Instance Instance `cbor:"1,keyasint"`
	// Created orders the lives that were listed at one instance: the greatest is
	// the present one.
	Created uint64 `cbor:"2,keyasint"`
	// Revision is the directory's at the listing's last change.
	Revision uint64 `cbor:"3,keyasint"`
	// WarmingMs is for how long the worker is warming from that change on, in
	// milliseconds, as it says; zero when it is not.
	WarmingMs int64 `cbor:"4,keyasint,omitempty"`
}

// Evacuation is a data centre to whose workers nothing is to be sent.
type Evacuation struct {
	DataCentre DataCentre `cbor:"1,keyasint"`
	// Revision is the directory's at the last change.
	Revision uint64 `cbor:"2,keyasint"`
	// Ended: it was taken back.
	Ended bool `cbor:"3,keyasint,omitempty"`
}

// Unlisted is a worker that a directory removed at a revision.
type Unlisted struct {
	Worker   WorkerID `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	// Replaced: the worker's entry is still there, but somebody has written what names
	// no worker. That is no lease that lapsed.
	Replaced bool `cbor:"3,keyasint,omitempty"`
}

// RawConfig is a configuration as a directory holds it.
type RawConfig struct {
	// Revision is the directory's at the configuration's last change.
	Revision uint64 `cbor:"1,keyasint"`
	// Packed is its text in compressed form; see package packed.
	Packed []byte `cbor:"2,keyasint"`
}

// DirectoryFreshness says how much of a directory a node knows. It rides on every report,
// so that nodes learn of news from each other, and of how fresh their knowledge is.
type DirectoryFreshness struct {
	// Revision is the directory's up to which the node knows every change; zero when
	// it knows nothing.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// AgeMs is how long ago that was known to be the newest, in milliseconds;
	// AgeUnknown when nothing bounds it.
	AgeMs uint32 `cbor:"2,keyasint,omitempty"`
}

// AgeUnknown is the AgeMs of a mark that may be of any age.
const AgeUnknown = math.MaxUint32

// freshStep is by how many milliseconds a mark must be fresher to be news: an eighth of
// the time after which a node reads the directory itself.
const freshStep = 100

// IsNewerThan tells whether m tells more than another mark: a greater revision, or the same
// one confirmed later.
func (m DirectoryFreshness) IsNewerThan(than DirectoryFreshness) bool {
	if m.Revision != than.Revision {
		return m.Revision > than.Revision
	}
	return uint64(m.AgeMs)+freshStep <= uint64(than.AgeMs)
}

// Aged returns the mark as it is after a time of at most d on its way.
func (m DirectoryFreshness) Aged(d time.Duration) DirectoryFreshness {
	age := uint64(m.AgeMs) + uint64(max(d.Milliseconds(), 0))
	m.AgeMs = uint32(min(age, AgeUnknown))
	return m
}
