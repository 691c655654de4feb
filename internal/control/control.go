// Package control defines the events that go into a node's controllers and the actions that
// come out of them. Controllers do no I/O: adapters turn sockets and timers into events and
// carry out actions. One goroutine feeds all controllers of a node, so they need no locks;
// they publish state for the data path on the blackboard. Design: docs/DESIGN.md, "Core
// without I/O".
package control

import (
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// TickInterval is the time between two Tick events.
const TickInterval = 100 * time.Millisecond

// PauseThreshold is how late a Tick must be for a Paused event to precede it.
const PauseThreshold = time.Second

// Event is an input to the controllers, created by adapters.
type Event interface{ isEvent() }

// Tick occurs every TickInterval.
type Tick struct{}

// Paused precedes all events that were waiting when a tick was late by more than
// PauseThreshold. For is how long the process was stopped or starved of CPU.
type Paused struct{ For time.Duration }

// Suspended precedes all events that were waiting when the machine resumed from a
// suspension. For is the length of the suspension; the clock of the events does not count
// it.
type Suspended struct{ For time.Duration }

// LinkUp reports that a control link to or from a peer is open.
type LinkUp struct {
	Peer model.Instance
	// Outgoing reports whether this node opened the link.
	Outgoing bool
}

// LinkDown reports that a link was closed or could not be opened.
type LinkDown struct {
	Peer model.InstanceID
	// Failed distinguishes a broken link or a failed attempt to open it from a planned
	// close.
	Failed bool
}

// Received is a message from a peer over a link.
type Received struct {
	From    model.InstanceID
	Message wire.Message
}

// ListRead is the result of reading the platform's list of instances.
type ListRead struct {
	// Revision orders versions of the list; a smaller one is stale.
	Revision uint64
	// Full reports that Instances is the complete list; otherwise it holds the changes
	// since the requested revision.
	Full      bool
	Instances []model.Instance
}

// ListReadFailed reports that the list could not be read.
type ListReadFailed struct{ Err error }

// IndexRead is the result of reading the configuration service's index.
type IndexRead struct {
	Revision uint64
	Versions []model.BundleVersion
}

// IndexReadFailed reports that the index could not be read.
type IndexReadFailed struct{ Err error }

// ValueRead is one signed bundle as stored in the configuration service.
type ValueRead struct {
	Name model.BundleName
	Data []byte
}

// ValueReadFailed reports that a bundle could not be read.
type ValueReadFailed struct {
	Name model.BundleName
	Err  error
}

// VersionSeen is a bundle version received with a call or a response. Adapters send it only
// if it is newer than the one in force, at most once a tick.
type VersionSeen struct {
	From    model.InstanceID
	Version model.BundleVersion
}

// SelfStateChanged reports that this node's own lifecycle state has changed.
type SelfStateChanged struct {
	State model.UpstreamState
	// HandoverUntil, with StateLeaving, is the time until which the node may delay its
	// leaving for the handover of request ids, during which it serves on. Zero if the worker
	// itself leaves: nothing is admitted then, and the core bounds the time.
	HandoverUntil time.Time
}

// WorkerIdentified reports the ID that this node's worker gives for itself, when that has
// changed.
type WorkerIdentified struct{ Worker model.WorkerID }

// OwnerUnresponsive reports that an attempt got no response from its owner, possibly
// because of the network path. Adapters send it at most once per owner and tick.
type OwnerUnresponsive struct {
	Owner model.Instance
	// NoConnection reports that no connection could be opened.
	NoConnection bool
	// NotAcknowledged reports that the owner did not acknowledge the attempt in time.
	NotAcknowledged bool
}

// OwnersReportedUnreachable lists owners that a peer cannot connect to. Adapters send each
// owner at most once a tick.
type OwnersReportedUnreachable struct{ Owners []model.InstanceID }

// ReachabilityProbed is the result of ProbeReachability: Err is nil if the owner's node
// responded.
type ReachabilityProbed struct {
	Owner model.Instance
	Err   error
}

// SuspectsChanged reports that quarantine.Quarantine has updates for peers.
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

func (SelfStateChanged) isEvent()          {}
func (WorkerIdentified) isEvent()          {}
func (OwnerUnresponsive) isEvent()         {}
func (OwnersReportedUnreachable) isEvent() {}
func (ReachabilityProbed) isEvent()        {}

// Action is an output that an adapter carries out.
type Action interface{ isAction() }

// Send sends a message on an open link; the message is dropped if there is none.
type Send struct {
	To      model.InstanceID
	Message wire.Message
}

// SendDirect sends a message to an instance, over an open link or a short-lived one.
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

// ReadList reads the platform's list; Since zero requests the complete list.
type ReadList struct{ Since uint64 }

// ReadIndex reads the configuration service's index.
type ReadIndex struct{}

// ReadValue reads one signed bundle from the configuration service.
type ReadValue struct{ Name model.BundleName }

// ProbeReachability opens a connection to an owner's node and waits for any response;
// ReachabilityProbed follows.
type ProbeReachability struct{ Owner model.Instance }

// OwnerUnreachable notifies the attempts at an owner that it is unreachable. A request that
// may be repeated is then also attempted at another owner.
type OwnerUnreachable struct{ Owner model.InstanceID }

// OutcomeResolved passes an owner's outcome resolution to the call that requested it.
type OutcomeResolved struct{ Reply wire.ResolveReply }

// SendSuspectUpdate sends a peer an update on requests that crash workers. The adapter
// passes the reply to quarantine.Quarantine.HandleReply, and that method's result to the
// same peer.
type SendSuspectUpdate struct {
	To     model.Instance
	Update wire.SuspectUpdate
}

// Record logs a numbered event.
type Record struct {
	Event event.ID
	// Subject names the object of the event (an instance, a bundle version).
	Subject string
	Detail  string
	Err     error
}

// AdoptIncarnation reports that this node must adopt a greater incarnation, because peers
// remember one as great or have declared the current one gone. The owner must bind new
// attempts to it from now on.
type AdoptIncarnation struct{ Incarnation model.Incarnation }

func (Send) isAction()              {}
func (OpenLink) isAction()          {}
func (CloseLink) isAction()         {}
func (ReadList) isAction()          {}
func (ReadIndex) isAction()         {}
func (ReadValue) isAction()         {}
func (Record) isAction()            {}
func (AdoptIncarnation) isAction()  {}
func (OutcomeResolved) isAction()   {}
func (SendDirect) isAction()        {}
func (ProbeReachability) isAction() {}
func (OwnerUnreachable) isAction()  {}
func (SendSuspectUpdate) isAction() {}

// Controller writes sections of the blackboard.
type Controller interface {
	// Handle processes one event at time now and returns the actions to carry out. It is
	// called from one goroutine, must not block and must not retain ev.
	Handle(now time.Time, ev Event) []Action
}
