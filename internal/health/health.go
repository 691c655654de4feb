// Package health judges the life stage of a node's own worker from two kinds of
// evidence: polls of its health endpoint, which lag and may mislead (brief),
// and the worker's own behaviour towards real traffic, which does not. It does
// no I/O. Design: docs/DESIGN.md, "The worker's life stage".
package health

import (
	"time"

	"gypsumstand/internal/model"
)

// Thresholds of the judgement.
const (
	// refusedToCold is the number of connections refused in a row that make a
	// live worker cold: not even a lagging endpoint can contradict those.
	refusedToCold = 2
	// badPollsToCold is the number of bad polls in a row that make a live worker
	// cold, unless traffic says otherwise.
	badPollsToCold = 3
	// leavingPolls is the number of polls in a row that must say "leaving", which
	// is final, before it is believed.
	leavingPolls = 2
	// trafficTrust is how long an answer to real traffic outweighs bad polls.
	trafficTrust = time.Second
)

// Poll is the outcome of one poll of the worker.
type Poll struct {
	// Refused: no connection could be had.
	Refused bool
	// Answered: a whole answer came in time.
	Answered bool
	// OK: the answer says that the worker takes work.
	OK bool
	// Leaving: the answer says that the worker drains.
	Leaving bool
}

// Tracker holds the evidence. It is used by one goroutine at a time.
type Tracker struct {
	state   model.UpstreamState
	refused int
	bad     int
	leaving int
	answer  time.Time
	// reachable says that any answer of a poll is good enough.
	reachable bool
}

// NewTracker returns a judge of a worker that is taken for cold.
func NewTracker() *Tracker { return &Tracker{state: model.StateCold} }

// NewReachabilityTracker returns a judge that asks of polls only whether the worker
// answers at all. It is for fleets where a directory says which workers take work
// and health answers are known to be false either way: a worker that calls itself
// ill and gets no work could not show by its work that it is well.
func NewReachabilityTracker() *Tracker { return &Tracker{state: model.StateCold, reachable: true} }

// State returns the present judgement.
func (j *Tracker) State() model.UpstreamState { return j.state }

// ObservePoll takes a poll's outcome and returns the judgement.
func (j *Tracker) ObservePoll(now time.Time, p Poll) model.UpstreamState {
	if j.reachable {
		p.OK, p.Leaving = p.Answered, false
	}
	j.countRefused(p.Refused)
	if p.Leaving {
		j.leaving++
	} else {
		j.leaving = 0
	}
	if p.OK {
		j.bad = 0
		j.become(model.StateLive)
	} else {
		j.bad++
	}
	if j.leaving >= leavingPolls {
		j.become(model.StateLeaving)
	}
	if j.bad >= badPollsToCold && now.Sub(j.answer) > trafficTrust {
		j.become(model.StateCold)
	}
	return j.state
}

// ObserveTraffic takes the outcome of real work: refused tells that no connection could
// be had, otherwise the worker answered.
func (j *Tracker) ObserveTraffic(now time.Time, refused bool) model.UpstreamState {
	j.countRefused(refused)
	if !refused {
		j.answer = now
	}
	return j.state
}

func (j *Tracker) countRefused(refused bool) {
	if !refused {
		j.refused = 0
		return
	}
	j.refused++
	if j.refused >= refusedToCold {
		j.become(model.StateCold)
	}
}

// become changes the state; leaving is final.
func (j *Tracker) become(s model.UpstreamState) {
	if j.state < model.StateLeaving {
		j.state = s
	}
}
