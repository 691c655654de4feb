package proof

import (
	"time"

	"gypsumstand/internal/model"
)

// Time bounds of the promises.
const (
	// leavingTime is how long an upstream may still receive work after it began to leave.
	leavingTime = 3 * time.Second
	// propagationTime is how long a bundle that is in force anywhere takes to reach every
	// process.
	propagationTime = 7 * time.Second
)

// checkOnce compares a new run with the earlier runs of its request. Two runs for
// different submissions of a caller's own id are excused only in the cases of
// docs/DESIGN.md, "At most once": the home's memory was lost with its process or expired,
// or two views led to different homes.
func (g *ledger) checkOnce(r *request, run workerRun) {
	if run.submission.route.idempotent {
		return
	}
	for _, earlier := range r.runs {
		switch {
		case earlier.submission == run.submission:
			g.violate(promiseOnce, "%s ran at %s (%s) and again at %s (%s)",
				r.id, earlier.worker, earlier.attempt, run.worker, run.attempt)
		case run.at.Sub(earlier.at) > keyMemory:
			g.count("excused: the memory lapsed")
		case earlier.record.home == run.record.home:
			g.violate(promiseOnce, "%s ran for submissions %d (%s) and %d (%s), both registered at %s",
				r.id, earlier.submission.number, earlier.attempt, run.submission.number, run.attempt, run.record.home.node.id)
		default:
			g.excuse(promiseOnce, earlier.record, run.record)
		}
	}
}

// excuse counts a violation that the design allows, by its cause. It reports the one case
// that the design doesn't allow: equal views that led to different homes.
func (g *ledger) excuse(p promise, a, b *attemptRecord) {
	switch {
	case a.home.node == b.home.node:
		g.count("excused: the home restarted")
	case a.candidates == b.candidates:
		g.violate(p, "submissions %d and %d of %s had the homes %s and %s under equal views (%s)",
			a.submission.number, b.submission.number, a.submission.request, a.home.node.id, b.home.node.id, a.candidates)
	case !a.home.alive || !b.home.alive:
		g.count("excused: the home was lost")
	case a.home.leaving() || b.home.leaving():
		g.count("excused: the home was leaving")
	default:
		g.count("excused: the views differed")
	}
}

// checkNotRun compares a "not run" outcome with a run. For a caller's own id the outcome
// covers all submissions that the home had registered by its last reply.
func (g *ledger) checkNotRun(s *submission, run workerRun) {
	if !s.hasOutcome || s.outcome != model.OutcomeNotRun {
		return
	}
	ran := run.submission
	switch {
	case ran == s:
		g.violate(promiseNotRun, "submission %d of %s got not-run at %v, but %s ran at %s at %v",
			s.number, s.request, s.outcomeAt.Sub(epoch), run.attempt, run.worker, run.at.Sub(epoch))
	case !s.hasHome() || ran.submittedAt.After(s.outcomeAt):
		// The outcome of an idempotent request covers its own submission only.
	case s.homeAttempt == nil || s.homeAttempt.home == nil:
		if run.at.Before(s.outcomeAt) {
			g.violate(promiseNotRun, "submission %d of %s got not-run without a reply of its home, but submission %d ran",
				s.number, s.request, ran.number)
		}
	case s.outcomeAt.Sub(run.at) > keyMemory:
		g.count("excused: the memory lapsed")
	case s.homeAttempt.home != run.record.home:
		g.excuse(promiseNotRun, run.record, s.homeAttempt)
	case !ran.homes[run.record.home].registeredAt.After(s.homes[s.homeAttempt.home].lastReply):
		g.violate(promiseNotRun, "submission %d of %s got not-run, but submission %d, registered at %s, ran",
			s.number, s.request, ran.number, s.homeAttempt.home.node.id)
	}
}

// checkAnswer compares a response with its caller's request.
func (g *ledger) checkAnswer(s *submission, a *response) {
	switch {
	case a == nil:
		g.violate(promiseAnswer, "submission %d got outcome answered without a response", s.number)
	case a.truncated:
		g.violate(promiseAnswer, "submission %d of %s got a truncated response as complete", s.number, s.request)
	case a.request != s.request:
		g.violate(promiseAnswer, "submission %d of %s got the response to %s", s.number, s.request, a.request)
	}
}

// checkLeaving checks that a request reaches a worker, which may still shed it, no later
// than leavingTime after the upstream began to leave.
func (g *ledger) checkLeaving(j *job) {
	r := g.processes[j.proc]
	if !r.leavingSince.IsZero() && j.offered.Sub(r.leavingSince) > leavingTime {
		g.violate(promiseLeaving, "%s sent %s to its worker, %v after it began to leave",
			j.proc.node.id, j.attempt.ID, j.offered.Sub(r.leavingSince))
	}
	if r.seenLeavingAt.IsZero() || r.seenLeavingIncarnation != j.proc.instance().Incarnation {
		// Never seen leaving, or the list has since withdrawn it.
		return
	}
	if since := latest(r.seenLeavingAt, g.undisturbedSince()); j.offered.Sub(since) > leavingTime {
		g.violate(promiseLeaving, "%s sent %s to its worker, %v after others saw it leaving",
			j.proc.node.id, j.attempt.ID, j.offered.Sub(r.seenLeavingAt))
	}
}

// observeFleet records which processes proc sees leaving.
func (g *ledger) observeFleet(proc *process) {
	r, fleet := g.processes[proc], &proc.core.Board.Fleet
	if r.fleetChanges == fleet.Changes() {
		return
	}
	r.fleetChanges = fleet.Changes()
	for _, in := range fleet.Get().Instances {
		n := g.w.nodeByID(in.ID)
		if in.State != model.StateLeaving || n == nil || n.process == nil || n.process.instance().Incarnation != in.Incarnation {
			continue
		}
		if seen := g.processes[n.process]; seen.seenLeavingIncarnation != in.Incarnation {
			seen.seenLeavingAt, seen.seenLeavingIncarnation = g.w.now, in.Incarnation
		}
	}
}

// checkDeadline checks that an outcome is not later than the caller's deadline. Only a
// pause of the entry excuses a late outcome.
func (g *ledger) checkDeadline(s *submission) {
	x := s.exchange
	if x == nil || x.proc.resumedAt.After(s.submittedAt) {
		return
	}
	if late := x.proc.now().Sub(x.call.Deadline()); late > notifyTimeout {
		g.violate(promiseRecovery, "submission %d got its outcome %v after its deadline", s.number, late)
	}
}

// recordMeasurement records a measuring message at a node's upstream, a poll that reaches
// the worker or a probe that its owner answers, and checks the budget.
func (g *ledger) recordMeasurement(n *node) {
	g.count("measuring messages")
	kept := g.measurements[n][:0]
	for _, at := range g.measurements[n] {
		if g.w.now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	kept = append(kept, g.w.now)
	g.measurements[n] = kept
	if len(kept) > measuringPerSecond {
		g.violate(promiseBudget, "%s received %d measuring messages within a second", n.id, len(kept))
	}
}

// checkStop checks the end of a planned stop.
func (g *ledger) checkStop(proc *process) {
	g.count("planned stops")
	if proc.stop.paused {
		return
	}
	if len(proc.exchanges) > 0 || proc.hasAttempts() {
		g.violate(promiseStop, "%s stopped with %d calls and %d attempts in flight",
			proc.node.id, len(proc.exchanges), len(proc.jobs))
	}
}

// checkProcess checks a process's bundle version after each event of its loop.
func (g *ledger) checkProcess(proc *process) {
	g.observeFleet(proc)
	r := g.processes[proc]
	version := proc.version()
	switch {
	case version < r.version:
		g.violate(promiseBundle, "%s went from version %d back to %d", proc.node.id, r.version, version)
	case r.version == 0 && version > 0:
		g.checkFirstVersion(proc, r, version)
	}
	if version != r.version {
		r.version, r.versionSince = version, g.w.now
	}
}

// checkFirstVersion compares the first version that a new process puts in force with the
// versions in force elsewhere when it started.
func (g *ledger) checkFirstVersion(proc *process, r *processRecord, version uint64) {
	undisturbed := g.undisturbedSince()
	for _, n := range g.w.nodes {
		if n.process == nil || g.processes[n.process].version <= version {
			continue
		}
		theirs := g.processes[n.process]
		if r.startedAt.Sub(latest(undisturbed, theirs.versionSince)) <= propagationTime {
			g.count("excused: a fresh node began with an older version")
			continue
		}
		g.violate(promiseBundle, "%s started with version %d; %s had %d in force", proc.node.id, version, n.id, theirs.version)
	}
}

// version returns the bundle version in force; zero for none.
func (p *process) version() uint64 {
	b := p.core.Board.Bundles.Get().Bundle(bundleName)
	if b == nil {
		return 0
	}
	return b.Version
}

// checkPropagation checks that no process stays behind the versions that others have in
// force.
func (g *ledger) checkPropagation() {
	undisturbed := g.undisturbedSince()
	for _, n := range g.w.nodes {
		if n.process == nil || n.process.hasNoBundleSource() {
			continue
		}
		for _, other := range g.w.nodes {
			if other.process != nil {
				g.checkBehind(n.process, other.process, undisturbed)
			}
		}
	}
}

// checkBehind reports proc when it has been behind other for longer than propagationTime.
func (g *ledger) checkBehind(proc, other *process, undisturbed time.Time) {
	mine, theirs := g.processes[proc], g.processes[other]
	since := latest(undisturbed, theirs.versionSince, mine.startedAt)
	if mine.version < theirs.version && g.w.now.Sub(since) > propagationTime {
		g.violate(promiseBundle, "%s has version %d; %s has had %d in force since %v; missing: %v",
			proc.node.id, mine.version, other.node.id, theirs.version, theirs.versionSince.Sub(epoch), proc.missing())
	}
}

// hasNoBundleSource reports whether a process can reach no bundle: the platform, which
// would name other nodes, is down, and no node that it knows has a bundle.
func (p *process) hasNoBundleSource() bool {
	if !p.w.platform.down {
		return false
	}
	for _, in := range p.core.Board.Fleet.Get().Instances {
		n := p.w.nodeByID(in.ID)
		if n != nil && n.process != nil && n.process.version() > 0 {
			return false
		}
	}
	return true
}

// missing returns what the process reports as missing for its readiness.
func (p *process) missing() []string {
	if r := p.core.Board.Readiness.Get(); r != nil {
		return r.Missing
	}
	return nil
}

func latest(times ...time.Time) time.Time {
	out := times[0]
	for _, t := range times {
		if t.After(out) {
			out = t
		}
	}
	return out
}
