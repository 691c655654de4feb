package model

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
}

// Unlisted is a life of a worker that a directory removed at a revision.
type Unlisted struct {
	Worker   WorkerID `cbor:"1,keyasint"`
	Revision uint64   `cbor:"2,keyasint"`
}

// RawConfig is a configuration as a directory holds it.
type RawConfig struct {
	// Revision is the directory's at the configuration's last change.
	Revision uint64 `cbor:"1,keyasint"`
	// Packed is its text in compressed form; see package packed.
	Packed []byte `cbor:"2,keyasint"`
}

// DirectoryMark says how much of a directory a node knows. It rides on every
// attempt and report, so that nodes learn of news from each other.
type DirectoryMark struct {
	// Revision is the directory's up to which the node knows every change; zero when
	// it knows nothing.
	Revision uint64 `cbor:"1,keyasint,omitempty"`
	// AgeMs is how long ago that was known to be the newest, in milliseconds.
	AgeMs uint32 `cbor:"2,keyasint,omitempty"`
}
