// Package blackboard holds a node's shared state in typed sections. Each section is written
// by one controller and read by any goroutine as an immutable snapshot. Reads take no lock
// and never block, so the data path does not wait for the controllers. Design:
// docs/DESIGN.md, "Blackboard".
package blackboard

import (
	"sync/atomic"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Section holds one immutable snapshot. Put must be called only by the controller that
// writes the section; Get is safe for concurrent use.
type Section[T any] struct {
	value   atomic.Pointer[T]
	changes atomic.Uint64
}

// Get returns the latest snapshot, nil before the first Put. Callers must not modify it.
func (s *Section[T]) Get() *T { return s.value.Load() }

// Put publishes a snapshot, which must not be modified afterwards.
func (s *Section[T]) Put(v *T) {
	s.value.Store(v)
	s.changes.Add(1)
}

// Changes returns the number of Puts so far, which lets a reader check cheaply whether to
// rebuild derived state.
func (s *Section[T]) Changes() uint64 { return s.changes.Load() }

// Board has one section per subject, with its writer named beside it.
type Board struct {
	// Bundles holds the bundles in force. Writer: spread, or directory if the node follows
	// one.
	Bundles Section[bundle.Set]
	// Fleet is the current view of the fleet. Writer: member, or directory if the node
	// follows one.
	Fleet Section[model.Fleet]
	// Self is this node's identity and lifecycle state. Writer: core.
	Self Section[Self]
	// Sources holds when the data read from the platform was last confirmed. Writer: core,
	// with the values of spread for Config and of member for List.
	Sources Section[Sources]
	// Directory is the known content of the directory, for peers. Writer: directory.
	Directory Section[Directory]
	// Unreachable lists owners that this node cannot connect to. Writer: reach.
	Unreachable Section[[]model.InstanceID]
	// Readiness reports whether the node is ready to serve. Writer: core.
	Readiness Section[Readiness]
}

// Self is this node's identity and lifecycle state.
type Self struct {
	Instance model.Instance
}

// Sources holds when each source last confirmed this node's data, through its own read or a
// peer's.
type Sources struct {
	ConfigConfirmed time.Time
	ListConfirmed   time.Time
	// ConfigReads and ListReads count this node's own reads of the platform.
	ConfigReads uint64
	ListReads   uint64
}

// Directory is a node's knowledge of the directory that it follows.
type Directory struct {
	// Revision is the directory revision up to which every change is known, and Confirmed
	// when it was last known to be the latest, through this node's read or a peer's.
	Revision  model.Revision
	Confirmed time.Time
	// Listed holds the workers in the directory, Unlisted those removed after
	// CompactedRevision of the same era.
	Listed            []model.Listing
	Unlisted          []model.Unlisted
	CompactedRevision uint64
	// Evacuations holds those in force, and the ends of others after CompactedRevision.
	Evacuations []model.Evacuation
	// Config is the newest configuration, in force or still being decoded, and ConfigKnownTo
	// the revision up to which no newer one exists; it may be before Revision while a large
	// configuration is being transferred.
	Config        *model.RawConfig
	ConfigKnownTo uint64
	// ConfigChangedBy is as in model.ConfigState.
	ConfigChangedBy uint64
	// Refused is a newer configuration than Config that this node cannot decode.
	Refused *model.RawConfig
	// FailedAt is when this node's last read failed; zero if it succeeded.
	FailedAt time.Time
}

// ReadFailureMemory is how long after a failed read a node is taken to be unable to read
// the directory. A node that peers keep fresh hardly reads, so it may not notice sooner
// that reads succeed again.
const ReadFailureMemory = 10 * time.Second

// ReadsFailing reports whether a read of this node failed in the last ReadFailureMemory.
func (d *Directory) ReadsFailing(now time.Time) bool {
	return !d.FailedAt.IsZero() && now.Sub(d.FailedAt) < ReadFailureMemory
}

// Freshness returns the freshness at time now, which is sent with messages.
func (d *Directory) Freshness(now time.Time) model.DirectoryFreshness {
	if d == nil || d.Revision.IsZero() {
		return model.DirectoryFreshness{}
	}
	return model.DirectoryFreshness{Era: d.Revision.Era, Revision: d.Revision.Number}.Aged(now.Sub(d.Confirmed))
}

// Readiness reports whether callers may be served, and the reasons if not.
type Readiness struct {
	Ready   bool
	Missing []string
}
