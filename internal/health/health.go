// Package health determines the state of a node's own worker (cold, live or leaving) from
// two sources: polls of its health endpoint, which may lag and be wrong, and the results
// of real traffic, which are reliable. It does no I/O. Design: docs/DESIGN.md, "The
// worker's life stage".
package health

import (
	"time"

	"gypsumstand/internal/model"
)

// Thresholds of the state changes.
const (
	// refusedToCold is the number of connections refused in a row that make a live worker
	// cold. Refused connections are certain evidence, unlike the responses of a lagging
	// endpoint.
	refusedToCold = 2
	// badPollsToCold is the number of bad polls in a row that make a live worker cold,
	// unless it answered real traffic recently.
	badPollsToCold = 3
	// leavingPolls is the number of polls in a row that must report "leaving" before the
	// state, which is final, is adopted.
	leavingPolls = 2
	// trafficTrust is how long a response to real traffic outweighs bad polls.
	trafficTrust = time.Second
)

// Poll is the result of one poll of the worker.
type Poll struct {
	// Refused: no connection could be opened.
	Refused bool
	// Answered: a complete response arrived in time.
	Answered bool
	// OK: the response reports that the worker takes work.
	OK bool
	// Leaving: the response reports that the worker drains.
	Leaving bool
}

// Tracker determines the worker's state from polls and traffic. It must not be used
// concurrently.
type Tracker struct {
	state             model.UpstreamState
	refusedInRow      int
	badPollsInRow     int
	leavingPollsInRow int
	lastResponse      time.Time
	// reachabilityOnly: every answered poll counts as good, whatever it reports.
	reachabilityOnly bool
}

// NewTracker returns a tracker of a worker that starts as cold.
func NewTracker() *Tracker { return &Tracker{state: model.StateCold} }

// NewReachabilityTracker returns a tracker for which polls only show whether the worker
// answers at all. It is for fleets where a directory lists the workers that take work,
// and where health responses may be wrong either way: a worker that wrongly reports
// itself unhealthy would get no work, and so could not show by its responses that it is
// healthy.
func NewReachabilityTracker() *Tracker {
	return &Tracker{state: model.StateCold, reachabilityOnly: true}
}

// State returns the current state.
func (t *Tracker) State() model.UpstreamState { return t.state }

// ObservePoll records the result of a poll and returns the new state.
func (t *Tracker) ObservePoll(now time.Time, p Poll) model.UpstreamState {
	if t.reachabilityOnly {
		p.OK, p.Leaving = p.Answered, false
	}
	t.countRefused(p.Refused)
	if p.Leaving {
		t.leavingPollsInRow++
	} else {
		t.leavingPollsInRow = 0
	}
	if p.OK {
		t.badPollsInRow = 0
		t.setState(model.StateLive)
	} else {
		t.badPollsInRow++
	}
	if t.leavingPollsInRow >= leavingPolls {
		t.setState(model.StateLeaving)
	}
	if t.badPollsInRow >= badPollsToCold && now.Sub(t.lastResponse) > trafficTrust {
		t.setState(model.StateCold)
	}
	return t.state
}

// ObserveTraffic records a result of real traffic and returns the new state. refused
// means that no connection could be opened; otherwise the worker answered.
func (t *Tracker) ObserveTraffic(now time.Time, refused bool) model.UpstreamState {
	t.countRefused(refused)
	if !refused {
		t.lastResponse = now
	}
	return t.state
}

func (t *Tracker) countRefused(refused bool) {
	if !refused {
		t.refusedInRow = 0
		return
	}
	t.refusedInRow++
	if t.refusedInRow >= refusedToCold {
		t.setState(model.StateCold)
	}
}

// setState changes the state unless it is leaving, which is final.
func (t *Tracker) setState(s model.UpstreamState) {
	if t.state < model.StateLeaving {
		t.state = s
	}
}
