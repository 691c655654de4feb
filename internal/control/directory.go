package control

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Events of a directory.

// DirectoryRead is the result of reading a directory, a source of workers and configuration
// that were checked when they were written.
type DirectoryRead struct {
	// Era counts how often the directory was restored from an older copy of its content;
	// zero when it does not tell. Revisions start anew with it.
	Era uint64
	// Revision is the directory's revision; all changes up to it are included.
	Revision uint64
	// After is the revision after which an own read tells the changes.
	After model.Revision
	// Restored reports that the directory was restored since the revision after which it was
	// read. It has to be read as a whole; nothing else but Era and Revision is set.
	Restored bool
	// Full reports that Listed holds every worker; otherwise Listed holds the changed
	// workers and Unlisted the removed ones.
	Full     bool
	Listed   []model.Listing
	Unlisted []model.Unlisted
	// Evacuations holds those in force if Full, and the changed ones otherwise.
	Evacuations []model.Evacuation
	// Config is the configuration as stored and Bundle its decoded form; both are nil if it
	// has not changed, or is transferred separately.
	Config *model.RawConfig
	Bundle *bundle.Bundle
	// Separate describes the sender's configuration if a large one is transferred separately,
	// so that nothing else waits for it; nil if there is no configuration after Revision but
	// Config. An own read knows nothing of it but that it changed.
	Separate *model.ConfigState
	// Refused is the newest configuration if it cannot be decoded, and RefusedErr the
	// reason. Config is then an older configuration or nil.
	Refused    *model.RawConfig
	RefusedErr error
	// ReadDuration is how long the read took. The result reflects the state at its start;
	// later changes may be missing.
	ReadDuration time.Duration
}

// At returns the revision with its era.
func (r *DirectoryRead) At() model.Revision {
	return model.Revision{Era: r.Era, Number: r.Revision}
}

// DirectoryReadFailed reports that the directory could not be read.
type DirectoryReadFailed struct{ Err error }

// PeerFreshnessReceived is a peer's directory freshness: from a report its age is an upper
// bound; from an attempt it is only a revision, with AgeUnknown.
type PeerFreshnessReceived struct {
	From      model.InstanceID
	Freshness model.DirectoryFreshness
}

// PeerDirectoryReceived is a peer's reply to RequestPeerDirectory. Age is an upper bound of
// the age of its content.
type PeerDirectoryReceived struct {
	From model.InstanceID
	DirectoryRead
	Age time.Duration
	// ReadsFailing reports that the peer's own reads of the directory fail.
	ReadsFailing bool
}

// PeerDirectoryFailed reports that a peer did not reply to RequestPeerDirectory.
type PeerDirectoryFailed struct {
	From model.InstanceID
	Err  error
}

// ConfigReceived is a configuration that was transferred separately and is not decoded yet.
type ConfigReceived struct {
	// From is the peer that sent it; empty for the directory.
	From model.InstanceID
	// Raw is nil if the directory holds no configuration.
	Raw *model.RawConfig
	// KnownTo is the directory's revision up to which the sender knows of no newer one.
	KnownTo model.Revision
}

// ConfigFailed reports that a configuration could not be transferred from a peer, or from the
// directory if From is empty.
type ConfigFailed struct {
	From model.InstanceID
	Err  error
}

// ConfigDecoded is the result of DecodeConfig. Bundle is nil if the configuration cannot be
// decoded.
type ConfigDecoded struct {
	Raw    *model.RawConfig
	Bundle *bundle.Bundle
	Err    error
}

func (DirectoryRead) isEvent()         {}
func (DirectoryReadFailed) isEvent()   {}
func (PeerFreshnessReceived) isEvent() {}
func (PeerDirectoryReceived) isEvent() {}
func (PeerDirectoryFailed) isEvent()   {}
func (ConfigReceived) isEvent()        {}
func (ConfigFailed) isEvent()          {}
func (ConfigDecoded) isEvent()         {}

// Actions on a directory.

// ReadDirectory reads the directory's changes after a revision; zero requests its complete
// content.
type ReadDirectory struct{ After model.Revision }

// RequestPeerDirectory requests the directory's changes after a revision from a peer.
type RequestPeerDirectory struct {
	Peer  model.Instance
	After model.Revision
	// Config is the version of the newest configuration that this node holds; zero for none.
	// The peer sends a newer one, or its state, whatever its revision.
	Config uint64
}

// RequestPeerConfig requests a peer's configuration; ConfigReceived or ConfigFailed follows.
type RequestPeerConfig struct{ Peer model.Instance }

// ReadConfig reads the configuration from the directory; ConfigReceived or ConfigFailed
// follows.
type ReadConfig struct{}

// CancelConfigRead ends a ReadConfig whose result is no longer needed.
type CancelConfigRead struct{}

// DecodeConfig decodes a configuration beside requests; ConfigDecoded follows.
type DecodeConfig struct{ Raw *model.RawConfig }

func (ReadDirectory) isAction()        {}
func (RequestPeerDirectory) isAction() {}
func (RequestPeerConfig) isAction()    {}
func (ReadConfig) isAction()           {}
func (CancelConfigRead) isAction()     {}
func (DecodeConfig) isAction()         {}
