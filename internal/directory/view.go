package directory

import (
	"fmt"
	"time"

	"gypsumstand/internal/event"
)

// StalenessBound is the longest from a change's acknowledgement until it is in force on a node
// that the directory serves. A view confirmed longer ago is late.
const StalenessBound = 1500 * time.Millisecond

// ViewStatus is why a view is late, in a word for logs and metrics.
type ViewStatus string

// The reasons.
const (
	ViewCurrent ViewStatus = "in-time"
	// ViewNeverRead: no answer has come yet, of the directory or a peer.
	ViewNeverRead ViewStatus = "never-read"
	// ViewReadsFail: this node's last reading failed, and no peer knows better.
	ViewReadsFail ViewStatus = "reading-fails"
	// ViewReadSlow: a reading is under way.
	ViewReadSlow ViewStatus = "reading-slow"
	// ViewConfigRefused: the newest configuration cannot be decoded here.
	ViewConfigRefused ViewStatus = "configuration-refused"
	// ViewAwaitsPeers: this node does not read yet, as others are expected to.
	ViewAwaitsPeers ViewStatus = "waits-for-peers"
)

// ViewStatuses lists all reasons.
var ViewStatuses = []ViewStatus{ViewCurrent, ViewNeverRead, ViewReadsFail, ViewReadSlow, ViewConfigRefused, ViewAwaitsPeers}

// View says how old what a node knows of the directory is, and why.
type View struct {
	// Revision is the directory's that is known, Heard the greatest heard of.
	Revision, NewestSeen uint64
	// ConfirmedAt is when Revision was last known to be the newest; zero for never.
	Confirmed time.Time
	Status    ViewStatus
	// Listed is the number of instances that the directory names, this one included.
	Listed int
	// PeerRequests counts the latest questions to peers that had their time, Answered those
	// of them that were answered.
	PeerRequests, PeerReplies int
	// ReadFailures counts this node's own failed readings since its last good one.
	ReadFailures int
	// Reads counts this node's own readings by cause.
	Reads map[ReadCause]uint64
}

// ReadCause is why a node reads the directory itself.
type ReadCause string

// The causes.
const (
	// CauseStart: nothing is known yet.
	CauseStart ReadCause = "start"
	// CauseScheduled: nothing fresh was heard, and this node's turn has come.
	CauseScheduled ReadCause = "turn"
	// CauseBehind: a newer revision was heard of, and no peer tells it.
	CauseBehind ReadCause = "behind"
)

// ReadCauses lists all causes.
var ReadCauses = []ReadCause{CauseStart, CauseScheduled, CauseBehind}

// View returns the view at a time.
func (c *Controller) View(now time.Time) View {
	v := View{
		Revision: c.revision, NewestSeen: max(c.revision, c.asks.newest), Confirmed: c.confirmed,
		Status: c.lag(now), Listed: c.FleetSize(), ReadFailures: c.failures,
		Reads: map[ReadCause]uint64{},
	}
	t := c.asks.questions.count(now)
	v.PeerRequests, v.PeerReplies = t.asked, t.answered
	for cause, n := range c.readings {
		v.Reads[cause] = n
	}
	return v
}

// lag tells why the view is late, if it is.
func (c *Controller) lag(now time.Time) ViewStatus {
	switch {
	case c.confirmed.IsZero():
		return ViewNeverRead
	case c.refused != nil:
		return ViewConfigRefused
	case now.Sub(c.confirmed) <= StalenessBound:
		return ViewCurrent
	case c.failures > 0:
		return ViewReadsFail
	case !c.readingSince.IsZero():
		return ViewReadSlow
	}
	return ViewAwaitsPeers
}

// noteLag records when the view becomes late, and when it is in time again.
func (c *Controller) noteLag(now time.Time) {
	lag := c.lag(now)
	late := lag != ViewCurrent && lag != ViewNeverRead
	switch {
	case late && c.lateSince.IsZero():
		c.lateSince = c.confirmed
		c.record(event.DirectoryViewStale, string(lag), c.viewWords(now), nil)
	case !late && !c.lateSince.IsZero():
		c.record(event.DirectoryViewFresh, "", "confirmed by nothing for "+since(now, c.lateSince), nil)
		c.lateSince = time.Time{}
	}
}

// viewWords words what the decision to read, or not to, rests on.
func (c *Controller) viewWords(now time.Time) string {
	t := c.asks.questions.count(now)
	return fmt.Sprintf("revision %d, confirmed %s ago, %d of %d listed read in turn, %d of %d questions answered, %d readings failed",
		c.revision, since(now, c.confirmed), c.readers(now), c.FleetSize(), t.answered, t.asked, c.failures)
}
