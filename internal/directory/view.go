package directory

import (
	"fmt"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// StalenessBound is the longest time from the acknowledgement of a change until it is in
// force on a node that the directory serves. A view whose last confirmation is older is
// stale.
const StalenessBound = 1500 * time.Millisecond

// ViewStatus states whether a view is current or why it is stale, as written to logs and
// metrics.
type ViewStatus string

// The values of ViewStatus.
const (
	ViewCurrent ViewStatus = "in-time"
	// ViewNeverRead: no read has succeeded and no peer has replied yet.
	ViewNeverRead ViewStatus = "never-read"
	// ViewReadsFail: this node's last read failed, and no peer has a fresher view.
	ViewReadsFail ViewStatus = "reading-fails"
	// ViewReadSlow: a read is in progress.
	ViewReadSlow ViewStatus = "reading-slow"
	// ViewConfigRefused: the newest configuration cannot be decoded by this node.
	ViewConfigRefused ViewStatus = "configuration-refused"
	// ViewConfigLate: a newer configuration has not been received from a peer or the directory.
	ViewConfigLate ViewStatus = "configuration-late"
	// ViewAwaitsPeers: this node does not read yet, as others are expected to.
	ViewAwaitsPeers ViewStatus = "waits-for-peers"
)

// ViewStatuses lists all values of ViewStatus.
var ViewStatuses = []ViewStatus{ViewCurrent, ViewNeverRead, ViewReadsFail, ViewReadSlow, ViewConfigRefused, ViewConfigLate, ViewAwaitsPeers}

// View describes the age of a node's view of the directory, and its cause.
type View struct {
	// Revision is the known revision of the directory, NewestSeen the highest one received.
	Revision, NewestSeen model.Revision
	// Confirmed is when Revision was last known to be the latest; zero for never.
	Confirmed time.Time
	Status    ViewStatus
	// Listed is the number of instances that the directory lists, this one included.
	Listed int
	// PeerRequests counts the recent requests to peers whose time to reply has passed,
	// PeerReplies those of them that were answered.
	PeerRequests, PeerReplies int
	// ReadFailures counts this node's failed reads since its last successful one.
	ReadFailures int
	// Reads counts this node's own reads by cause.
	Reads map[ReadCause]uint64
}

// RevisionsBehind returns the number of revisions that were heard of and are not known; one if
// the newest is of a later era.
func (v *View) RevisionsBehind() uint64 {
	if v.NewestSeen.Era != v.Revision.Era {
		return 1
	}
	return v.NewestSeen.Number - v.Revision.Number
}

// ReadCause is the reason why a node reads the directory itself.
type ReadCause string

// The values of ReadCause.
const (
	// CauseStart: the node has no view yet.
	CauseStart ReadCause = "start"
	// CauseScheduled: no fresh view was received, and it is this node's turn.
	CauseScheduled ReadCause = "turn"
	// CauseBehind: a newer revision is known, and no peer has sent its changes.
	CauseBehind ReadCause = "behind"
	// CauseRestored: the directory was restored, and everything has to be read.
	CauseRestored ReadCause = "restored"
	// CauseConfig: a large configuration changed, or may have, and no peer has sent it.
	CauseConfig ReadCause = "configuration"
)

// ReadCauses lists all values of ReadCause.
var ReadCauses = []ReadCause{CauseStart, CauseScheduled, CauseBehind, CauseRestored, CauseConfig}

// View returns the state of the view at time now.
func (c *Controller) View(now time.Time) View {
	v := View{
		Revision: c.revision, NewestSeen: c.revision, Confirmed: c.confirmed,
		Status: c.status(now), Listed: c.FleetSize(), ReadFailures: c.readFailures,
		Reads: map[ReadCause]uint64{},
	}
	if c.revision.Before(c.peers.newestRevision) {
		v.NewestSeen = c.peers.newestRevision
	}
	counts := c.peers.requests.count(now)
	v.PeerRequests, v.PeerReplies = counts.sent, counts.replied
	for cause, n := range c.readCounts {
		v.Reads[cause] = n
	}
	return v
}

// status returns whether the view is current or why it is stale.
func (c *Controller) status(now time.Time) ViewStatus {
	switch {
	case c.confirmed.IsZero():
		return ViewNeverRead
	case c.refused != nil:
		return ViewConfigRefused
	case !c.transfer.behindSince.IsZero() && now.Sub(c.transfer.behindSince) > StalenessBound:
		return ViewConfigLate
	case now.Sub(c.confirmed) <= StalenessBound:
		return ViewCurrent
	case c.readFailures > 0:
		return ViewReadsFail
	case !c.readStarted.IsZero():
		return ViewReadSlow
	}
	return ViewAwaitsPeers
}

// recordStaleness records when the view becomes stale and when it is current again.
func (c *Controller) recordStaleness(now time.Time) {
	status := c.status(now)
	stale := status != ViewCurrent && status != ViewNeverRead
	switch {
	case stale && c.staleSince.IsZero():
		c.staleSince = c.confirmed
		c.record(event.DirectoryViewStale, string(status), c.describeView(now), nil)
	case !stale && !c.staleSince.IsZero():
		c.record(event.DirectoryViewFresh, "", "not confirmed for "+sinceText(now, c.staleSince), nil)
		c.staleSince = time.Time{}
	}
}

// describeView formats the state on which the decision to read or not is based.
func (c *Controller) describeView(now time.Time) string {
	counts := c.peers.requests.count(now)
	return fmt.Sprintf("revision %s, confirmed %s ago, %d of %d listed nodes estimated to read, %d of %d peer requests answered, %d reads failed",
		c.revision, sinceText(now, c.confirmed), c.estimateReaders(now), c.FleetSize(), counts.replied, counts.sent, c.readFailures)
}
