package directory

import (
	"fmt"
	"time"

	"gypsumstand/internal/event"
)

// Bound is the longest from a change's acknowledgement until it is in force on a node
// that the directory serves. A view confirmed longer ago is late.
const Bound = 1500 * time.Millisecond

// Lag is why a view is late, in a word for logs and metrics.
type Lag string

// The reasons.
const (
	InTime Lag = "in-time"
	// NeverRead: no answer has come yet, of the directory or a peer.
	NeverRead Lag = "never-read"
	// ReadingFails: this node's last reading failed, and no peer knows better.
	ReadingFails Lag = "reading-fails"
	// ReadingSlow: a reading is under way.
	ReadingSlow Lag = "reading-slow"
	// ConfigRefused: the newest configuration cannot be decoded here.
	ConfigRefused Lag = "configuration-refused"
	// WaitsForPeers: this node does not read yet, as others are expected to.
	WaitsForPeers Lag = "waits-for-peers"
)

// Lags lists all reasons.
var Lags = []Lag{InTime, NeverRead, ReadingFails, ReadingSlow, ConfigRefused, WaitsForPeers}

// View says how old what a node knows of the directory is, and why.
type View struct {
	// Revision is the directory's that is known, Heard the greatest heard of.
	Revision, Heard uint64
	// Confirmed is when Revision was last known to be the newest; zero for never.
	Confirmed time.Time
	Lag       Lag
	// Listed is the number of instances that the directory names, this one included.
	Listed int
	// Asked counts the latest questions to peers that had their time, Answered those
	// of them that were answered.
	Asked, Answered int
	// Failures counts this node's own failed readings since its last good one.
	Failures int
	// Readings counts this node's own readings by cause.
	Readings map[Cause]uint64
}

// Cause is why a node reads the directory itself.
type Cause string

// The causes.
const (
	// CauseStart: nothing is known yet.
	CauseStart Cause = "start"
	// CauseTurn: nothing fresh was heard, and this node's turn has come.
	CauseTurn Cause = "turn"
	// CauseBehind: a newer revision was heard of, and no peer tells it.
	CauseBehind Cause = "behind"
)

// Causes lists all causes.
var Causes = []Cause{CauseStart, CauseTurn, CauseBehind}

// View returns the view at a time.
func (c *Controller) View(now time.Time) View {
	v := View{
		Revision: c.revision, Heard: max(c.revision, c.asks.newest), Confirmed: c.confirmed,
		Lag: c.lag(now), Listed: c.FleetSize(), Failures: c.failures,
		Readings: map[Cause]uint64{},
	}
	t := c.asks.questions.count(now)
	v.Asked, v.Answered = t.asked, t.answered
	for cause, n := range c.readings {
		v.Readings[cause] = n
	}
	return v
}

// lag tells why the view is late, if it is.
func (c *Controller) lag(now time.Time) Lag {
	switch {
	case c.confirmed.IsZero():
		return NeverRead
	case c.refused != nil:
		return ConfigRefused
	case now.Sub(c.confirmed) <= Bound:
		return InTime
	case c.failures > 0:
		return ReadingFails
	case !c.readingSince.IsZero():
		return ReadingSlow
	}
	return WaitsForPeers
}

// noteLag records when the view becomes late, and when it is in time again.
func (c *Controller) noteLag(now time.Time) {
	lag := c.lag(now)
	late := lag != InTime && lag != NeverRead
	switch {
	case late && c.lateSince.IsZero():
		c.lateSince = c.confirmed
		c.record(event.ViewLate, string(lag), c.viewWords(now), nil)
	case !late && !c.lateSince.IsZero():
		c.record(event.ViewInTime, "", "confirmed by nothing for "+since(now, c.lateSince), nil)
		c.lateSince = time.Time{}
	}
}

// viewWords words what the decision to read, or not to, rests on.
func (c *Controller) viewWords(now time.Time) string {
	t := c.asks.questions.count(now)
	return fmt.Sprintf("revision %d, confirmed %s ago, %d of %d listed read in turn, %d of %d questions answered, %d readings failed",
		c.revision, since(now, c.confirmed), c.readers(now), c.FleetSize(), t.answered, t.asked, c.failures)
}
