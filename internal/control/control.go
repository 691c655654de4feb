// Package control holds the events that go into a node's controllers and the
// actions that come out of them. Controllers do no I/O: adapters turn sockets
// and timers into events and carry actions out. One goroutine feeds all
// controllers of a node, so they need no locks; whatever the data path reads,
// they publish on the blackboard. Design: docs/DESIGN.md, "Core without I/O".
package control

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// PauseThreshold is how late a Tick must be for a Paused event to come before it.
const PauseThreshold = time.Second

// Event is something that happened; adapters make them.
type Event interface{ isEvent() }

// Tick comes every TickInterval.
type Tick struct{}

// Paused comes before anything else that waited when a tick was late by more
// than PauseThreshold: the process had been stopped or starved For that long.
type Paused struct{ For time.Duration }

// Suspended comes before anything else that waited when the machine was suspended For that
// long, which the clock of the events does not count.
type Suspended struct{ For time.Duration }

// LinkUp says that a control link to or from a peer is open.
type LinkUp struct {
	Peer model.Instance
	// Outgoing tells whether this node opened it.
	Outgoing bool
}

// LinkDown says that a link closed or could not be opened.
type LinkDown struct {
	Peer model.InstanceID
	// Failed tells an unexpected end or a failed opening from a planned close.
	Failed bool
}

// Received is a message from a peer's link.
type Received struct {
	From    model.InstanceID
	Message wire.Message
}

// ListRead is an answered read of the platform's list of instances.
type ListRead struct {
	// Revision orders lists of the platform; a smaller one is stale.
	Revision uint64
	// Full says that Instances is the whole list; otherwise it holds what
	// changed since the revision asked for.
	Full      bool
	Instances []model.Instance
}

// ListReadFailed says that reading the list failed.
type ListReadFailed struct{ Err error }

// IndexRead is an answered read of the configuration service's index.
type IndexRead struct {
	Revision uint64
	Versions []model.BundleVersion
}

// IndexReadFailed says that reading the index failed.
type IndexReadFailed struct{ Err error }

// ValueRead is one signed bundle as the configuration service holds it.
type ValueRead struct {
	Name model.BundleName
	Data []byte
}

// ValueReadFailed says that reading a value failed.
type ValueReadFailed struct {
	Name model.BundleName
	Err  error
}

// DirectoryRead is what a directory told: a source that holds the workers and the
// configuration, both already checked by whoever writes them.
type DirectoryRead struct {
	// Revision is the directory's up to which this tells every change.
	Revision uint64
	// Full says that Listed holds every worker; otherwise Listed holds those that
	// changed and Gone those that were removed.
	Full     bool
	Listed   []model.Listing
	Unlisted []model.Unlisted
	// Evacuations holds those in force where Whole, otherwise those that changed.
	Evacuations []model.Evacuation
	// Config is the configuration and Bundle what it means; nil when it has not
	// changed.
	Config *model.RawConfig
	Bundle *bundle.Bundle
	// Refused is the newest configuration where that cannot be decoded, for the reason
	// RefusedErr; Config is then an older one, or nil.
	Refused    *model.RawConfig
	RefusedErr error
	// ReadDuration is how long the reading took: it tells what held at its start, not what
	// has changed since.
	ReadDuration time.Duration
}

// DirectoryFailed says that the directory could not be read.
type DirectoryFailed struct{ Err error }

// PeerFreshnessReceived is a peer's mark: of a report, with an age that is an upper bound, or
// the bare revision of an attempt, with AgeUnknown.
type PeerFreshnessReceived struct {
	From      model.InstanceID
	Freshness model.DirectoryFreshness
}

// PeerDirectoryReceived is a peer's answer to RequestPeerDirectory, Age how old it was when the peer
// sent it.
type PeerDirectoryReceived struct {
	From model.InstanceID
	DirectoryRead
	Age time.Duration
	// Failing: the peer's own readings of the directory fail.
	ReadsFailing bool
}

// PeerDirectoryFailed says that a peer did not answer RequestPeerDirectory.
type PeerDirectoryFailed struct {
	From model.InstanceID
	Err  error
}

// VersionSeen is a bundle version that rode on a call or an answer. Adapters
// send it only when it is newer than the one in force, at most once a tick.
type VersionSeen struct {
	From    model.InstanceID
	Version model.BundleVersion
}

// SelfStateChanged says that this node's own life stage changed.
type SelfStateChanged struct{ State model.UpstreamState }

// WorkerIdentified says which worker this node's own one says it is, when that has changed.
type WorkerIdentified struct{ Worker model.WorkerID }

// OwnerUnresponsive says that an attempt got no answer of its owner, for a reason that may
// lie with the way there. Adapters send it at most once an owner and tick.
type OwnerUnresponsive struct {
	Owner model.Instance
	// NoConnection: no connection could be had.
	NoConnection bool
	// NotAcknowledged: the owner did not begin to answer in time.
	NotAcknowledged bool
}

// OwnersReportedUnreachable names owners that a peer cannot connect to. Adapters send each at
// most once a tick.
type OwnersReportedUnreachable struct{ Owners []model.InstanceID }

// ReachabilityProbed is the end of a ProbeReachability: Err is nil when the owner's node answered.
type ReachabilityProbed struct {
	Owner model.Instance
	Err   error
}

// SuspectsChanged says that quarantine.Quarantine has something to tell peers.
type SuspectsChanged struct{}

func (SuspectsChanged) isEvent() {}

func (Tick) isEvent()            {}
func (Paused) isEvent()          {}
func (Suspended) isEvent()       {}
func (LinkUp) isEvent()          {}
func (LinkDown) isEvent()        {}
func (Received) isEvent()        {}
func (ListRead) isEvent()        {}
func (ListReadFailed) isEvent()  {}
func (IndexRead) isEvent()       {}
func (IndexReadFailed) isEvent() {}
func (ValueRead) isEvent()       {}
func (ValueReadFailed) isEvent() {}
func (VersionSeen) isEvent()     {}

func (DirectoryRead) isEvent()             {}
func (DirectoryFailed) isEvent()           {}
func (PeerFreshnessReceived) isEvent()     {}
func (PeerDirectoryReceived) isEvent()     {}
func (PeerDirectoryFailed) isEvent()       {}
func (SelfStateChanged) isEvent()          {}
func (WorkerIdentified) isEvent()          {}
func (OwnerUnresponsive) isEvent()         {}
func (OwnersReportedUnreachable) isEvent() {}
func (ReachabilityProbed) isEvent()        {}

// Action is something an adapter must do.
type Action interface{ isAction() }

// Send sends a message on an open link; it is dropped when there is none.
type Send struct {
	To      model.InstanceID
	Message wire.Message
}

// SendDirect sends a message to an instance, over an open link or a brief one.
type SendDirect struct {
	To      model.Instance
	Message wire.Message
}

// OpenLink opens a control link; LinkUp or LinkDown follows.
type OpenLink struct {
	Peer    model.InstanceID
	Address string
}

// CloseLink closes a link that this node opened.
type CloseLink struct{ Peer model.InstanceID }

// ReadList reads the platform's list; Since zero asks for the whole.
type ReadList struct{ Since uint64 }

// ReadIndex reads the configuration service's index.
type ReadIndex struct{}

// ReadValue reads one signed bundle from the configuration service.
type ReadValue struct{ Name model.BundleName }

// ReadDirectory reads what changed in the directory after a revision; zero asks for
// the whole.
type ReadDirectory struct{ After uint64 }

// RequestPeerDirectory asks a peer what changed in the directory after a revision.
type RequestPeerDirectory struct {
	Peer  model.Instance
	After uint64
}

// ProbeReachability opens a connection to an owner's node and asks for any answer;
// ReachabilityProbed follows.
type ProbeReachability struct{ Owner model.Instance }

// OwnerUnreachable tells the attempts at an owner that it is out of reach: those whose
// requests may be repeated are also made elsewhere.
type OwnerUnreachable struct{ Owner model.InstanceID }

// OutcomeResolved hands an owner's settlement to the call that asked for it.
type OutcomeResolved struct{ Reply wire.ResolveReply }

// SendSuspectUpdate tells a peer of requests under which workers end. Its answer goes to
// quarantine.Quarantine.Told, and what that returns to the same peer.
type SendSuspectUpdate struct {
	To     model.Instance
	Update wire.SuspectUpdate
}

// Record logs a numbered event.
type Record struct {
	Event event.ID
	// Subject names what it is about (an instance, a bundle version).
	Subject string
	Detail  string
	Err     error
}

// AdoptIncarnation says that this node must take a greater incarnation, since
// peers remember one as great or have declared its present one gone. The owner
// must bind new attempts to it from now on.
type AdoptIncarnation struct{ Incarnation model.Incarnation }

func (Send) isAction()                 {}
func (OpenLink) isAction()             {}
func (CloseLink) isAction()            {}
func (ReadList) isAction()             {}
func (ReadIndex) isAction()            {}
func (ReadValue) isAction()            {}
func (Record) isAction()               {}
func (AdoptIncarnation) isAction()     {}
func (OutcomeResolved) isAction()      {}
func (SendDirect) isAction()           {}
func (ReadDirectory) isAction()        {}
func (RequestPeerDirectory) isAction() {}
func (ProbeReachability) isAction()    {}
func (OwnerUnreachable) isAction()     {}
func (SendSuspectUpdate) isAction()    {}

// Controller is one writer of blackboard sections.
type Controller interface {
	// Handle takes one event at time now and returns what to do. It is called
	// from one goroutine, must not block and may not keep ev.
	Handle(now time.Time, ev Event) []Action
}
