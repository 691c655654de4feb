// Package blackboard is the node's shared state: typed sections, each written
// by one controller and read by any as an immutable snapshot. Reading never
// blocks and takes no lock, so the data path does not wait for control.
// Design: docs/DESIGN.md, "Blackboard".
package blackboard

import (
	"sync/atomic"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Section holds one immutable snapshot. Put is called by the section's one
// writing controller; Get by anyone, at any time.
type Section[T any] struct {
	value   atomic.Pointer[T]
	changes atomic.Uint64
}

// Get returns the newest snapshot; nil before the first Put. Readers must not
// change it.
func (s *Section[T]) Get() *T { return s.value.Load() }

// Put publishes a snapshot, which must not be changed afterwards.
func (s *Section[T]) Put(v *T) {
	s.value.Store(v)
	s.changes.Add(1)
}

// Changes counts the Puts so far, so that a reader can tell cheaply whether to
// rebuild what it derived.
func (s *Section[T]) Changes() uint64 { return s.changes.Load() }

// Board has one section per subject. The writer of each is named beside it.
type Board struct {
	// Bundles in force. Writer: spread.
	Bundles Section[bundle.Set]
	// Fleet as known. Writer: member.
	Fleet Section[model.Fleet]
	// Self is this node's own life stage. Writer: node lifecycle.
	Self Section[Self]
	// Sources tells how old what was read from the platform is. Writer: spread
	// for Config, member for List, through control.
	Sources Section[Sources]
	// Directory is what is known of the directory, for peers. Writer: directory.
	Directory Section[Directory]
	// Unreachable names owners that this node cannot connect to. Writer: reach.
	Unreachable Section[[]model.InstanceID]
	// Readiness tells whether the node serves. Writer: control.
	Readiness Section[Readiness]
}

// Self is this node's own identity and life stage.
type Self struct {
	Instance model.Instance
}

// Sources tells when each source last confirmed what this node holds, by its
// own reading or by a peer's.
type Sources struct {
	ConfigConfirmed time.Time
	ListConfirmed   time.Time
	// ConfigReads and ListReads count this node's own reads of the platform.
	ConfigReads uint64
	ListReads   uint64
}

// Directory is what a node knows of the directory that it follows.
type Directory struct {
	// Revision is the directory's up to which every change is known, and Confirmed
	// when that was known to be the newest, by this node's reading or a peer's.
	Revision  uint64
	Confirmed time.Time
	// Listed holds the workers that the directory names, Gone those that it removed
	// after Floor.
	Listed            []model.Listing
	Unlisted          []model.Unlisted
	CompactedRevision uint64
	// Evacuations are those in force, and the ends after Floor of others.
	Evacuations []model.Evacuation
	Config      *model.RawConfig
	// Refused is a configuration after Config that this node cannot decode.
	Refused *model.RawConfig
	// FailedAt is when this node's own last reading failed; zero when it succeeded.
	FailedAt time.Time
}

// ReadFailureMemory is how long after a failed reading a node is taken to be unable to read the
// directory: while peers keep it fresh it hardly tries again.
const ReadFailureMemory = 10 * time.Second

// Failing tells whether this node's own readings fail.
func (d *Directory) Failing(now time.Time) bool {
	return !d.FailedAt.IsZero() && now.Sub(d.FailedAt) < ReadFailureMemory
}

// Freshness returns what rides on messages at time now.
func (d *Directory) Freshness(now time.Time) model.DirectoryFreshness {
	if d == nil || d.Revision == 0 {
		return model.DirectoryFreshness{}
	}
	return model.DirectoryFreshness{Revision: d.Revision}.Aged(now.Sub(d.Confirmed))
}

// Readiness tells whether callers may be served, and what is still missing.
type Readiness struct {
	Ready   bool
	Missing []string
}
