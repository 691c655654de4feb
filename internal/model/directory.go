package model

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"time"
)

// Revision is a position in the history of a directory. A directory that is restored from an
// older copy of its content begins a new era, in which it gives out its revisions since that
// copy again.
type Revision struct{ Era, Number uint64 }

// Compare returns -1, 0 or +1 when r is before, equal to or after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r is before every revision.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns "era:number", or the number alone for a directory that tells no era.
func (r Revision) String() string {
	if r.Era == 0 {
		return strconv.FormatUint(r.Number, 10)
	}
	return fmt.Sprintf("%d:%d", r.Era, r.Number)
}

// Listing is a directory's entry for one incarnation of a worker.
type Listing struct {
	// Instance is the instance on which the worker runs, with its worker and slots. Its
	// State is StateLive, or StateLeaving for a worker that drains.
	Instance Instance `cbor:"1,keyasint"`
	// Created orders the incarnations listed for one instance: the greatest is the
	// current one.
	Created uint64 `cbor:"2,keyasint"`
	// Revision is the directory's revision of the listing's last change.
	Revision uint64 `cbor:"3,keyasint"`
	// WarmingMs is how long the worker reports to be warming from that change on, in
	// milliseconds; zero when it is not warming.
	WarmingMs int64 `cbor:"4,keyasint,omitempty"`
	// Heartbeats counts the heartbeats of the worker's incarnation when it wrote the entry.
	// Unlike Revision it is the worker's own, so it orders its entries across restores of
	// the directory.
	Heartbeats uint64 `cbor:"5,keyasint,omitempty"`
}

// Evacuation is a data centre whose workers get no requests.
type Evacuation struct {
	DataCentre DataCentre `cbor:"1,keyasint"`
	// Revision is the directory's revision of the last change.
	Revision uint64 `cbor:"2,keyasint"`
	// Ended reports that the evacuation was revoked.
	Ended bool `cbor:"3,keyasint,omitempty"`
}

// Unlisted is a worker that a directory removed at a revision.
type Unlisted struct {
	Worker   WorkerID `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
	// Replaced reports that the worker's key still exists but its new value does not
	// describe a worker: the removal is not an expired lease.
	Replaced bool `cbor:"3,keyasint,omitempty"`
}

// MaxConfigBytes bounds the text of a directory's configuration: some 30,000 routes.
const MaxConfigBytes = 6 << 20

// RawConfig is a configuration as the directory stores it.
type RawConfig struct {
	// Revision is the directory's revision of the configuration's last change.
	Revision uint64 `cbor:"1,keyasint"`
	// Packed is the compressed text of the configuration; see package packed.
	Packed []byte `cbor:"2,keyasint"`
	// Version is the operator's version of the configuration; zero when it could not be
	// decoded. It only rises, also where the directory is restored.
	Version uint64 `cbor:"3,keyasint,omitempty"`
}

// ConfigState describes the newest configuration that a node holds, in force or still being
// decoded, in place of the configuration itself.
type ConfigState struct {
	// Version is the operator's version; zero for none.
	Version uint64 `cbor:"1,keyasint,omitempty"`
	// KnownTo is the directory's revision up to which no newer configuration exists.
	KnownTo uint64 `cbor:"2,keyasint,omitempty"`
	// ChangedBy is a revision by which a change after KnownTo was seen that is too large to be
	// read together with others; zero for none. If it is not after KnownTo, a newer
	// configuration is possible, not seen.
	ChangedBy uint64 `cbor:"3,keyasint,omitempty"`
}

// DirectoryFreshness is how much of a directory a node knows, and how recently that was
// confirmed. Every load report carries it, so that nodes learn from each other of newer
// revisions and of how stale their own view is.
type DirectoryFreshness struct {
	// Revision is the directory's revision up to which the node knows every change; zero
	// when it knows none.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// AgeMs is an upper bound of the time since Revision was confirmed to be the newest,
	// in milliseconds; AgeUnknown when there is no bound.
	AgeMs uint32 `cbor:"2,keyasint,omitempty"`
	// Era is the era of Revision; earlier versions of nodes omit it.
	Era uint64 `cbor:"3,keyasint,omitempty"`
}

// At returns the revision with its era.
func (f DirectoryFreshness) At() Revision { return Revision{Era: f.Era, Number: f.Revision} }

// AgeUnknown is the AgeMs of a DirectoryFreshness of unbounded age.
const AgeUnknown = math.MaxUint32

// minFresherMs is by how many milliseconds the age must be lower for the same revision to
// count as newer: an eighth of the time after which a node reads the directory itself.
const minFresherMs = 100

// IsNewerThan reports whether f has a greater revision than other, or the same revision,
// confirmed at least minFresherMs later.
func (f DirectoryFreshness) IsNewerThan(other DirectoryFreshness) bool {
	if order := f.At().Compare(other.At()); order != 0 {
		return order > 0
	}
	return uint64(f.AgeMs)+minFresherMs <= uint64(other.AgeMs)
}

// Aged returns f with its age raised by d, the longest time that it may have spent in
// transit; a negative d counts as zero.
func (f DirectoryFreshness) Aged(d time.Duration) DirectoryFreshness {
	age := uint64(f.AgeMs) + uint64(max(d.Milliseconds(), 0))
	f.AgeMs = uint32(min(age, AgeUnknown))
	return f
}
