package proof

import (
	"time"

	"gypsumstand/internal/model"
)

// Bounds of the promises.
const (
	// leavingTime is the brief's "a few seconds".
	leavingTime = 3 * time.Second
	// spreadTime is how long a bundle in force anywhere takes to every process.
	spreadTime = 7 * time.Second
)

// checkOnce holds a new run against the earlier ones of its request. Runs of two
// sendings of a caller's own id are excused only as docs/DESIGN.md, "At most
// once", says: the home's memory was lost with its process or lapsed, or two views
// named different homes.
func (g *ledger) checkOnce(r *request, run workerRun) {
	if run.sending.route.idempotent {
		return
	}
	for _, before := range r.runs {
		switch {
		case before.sending == run.sending:
			g.violate(promiseOnce, "%s ran at %s (%s) and again at %s (%s)",
				r.id, before.worker, before.attempt, run.worker, run.attempt)
		case run.at.Sub(before.at) > keyMemory:
			g.count("excused: the memory lapsed")
		case before.record.home == run.record.home:
			g.violate(promiseOnce, "%s ran for sendings %d (%s) and %d (%s), both registered at %s",
				r.id, before.sending.number, before.attempt, run.sending.number, run.attempt, run.record.home.node.id)
		default:
			g.excuse(promiseOnce, before.record, run.record)
		}
	}
}

// excuse counts a breach that the design names, by its cause, and reports one
// that it does not name: equal views with different homes.
func (g *ledger) excuse(p promise, a, b *attemptRecord) {
	switch {
	case a.home.node == b.home.node:
		g.count("excused: the home restarted")
	case a.candidates == b.candidates:
		g.violate(p, "sendings %d and %d of %s had the homes %s and %s under equal views (%s)",
			a.sending.number, b.sending.number, a.sending.request, a.home.node.id, b.home.node.id, a.candidates)
	case !a.home.alive || !b.home.alive:
		g.count("excused: the home was lost")
	case a.home.leaving() || b.home.leaving():
		g.count("excused: the home was leaving")
	default:
		g.count("excused: the views differed")
	}
}

// checkNotRun holds a caller's "not run" against a run. For a caller's own id it
// speaks of all sendings that the home knew of when it gave its word.
func (g *ledger) checkNotRun(s *sending, run workerRun) {
	if !s.told || s.outcome != model.OutcomeNotRun {
		return
	}
	a := run.sending
	switch {
	case a == s:
		g.violate(promiseNotRun, "sending %d of %s was told not-run at %v; %s ran at %s at %v",
			s.number, s.request, s.toldAt.Sub(epoch), run.attempt, run.worker, run.at.Sub(epoch))
	case !s.bound() || a.begun.After(s.toldAt):
		// An idempotent request's outcome speaks of its own sending.
	case s.asked == nil || s.asked.home == nil:
		if run.at.Before(s.toldAt) {
			g.violate(promiseNotRun, "sending %d of %s was told not-run without the home's word; sending %d ran",
				s.number, s.request, a.number)
		}
	case s.toldAt.Sub(run.at) > keyMemory:
		g.count("excused: the memory lapsed")
	case s.asked.home != run.record.home:
		g.excuse(promiseNotRun, run.record, s.asked)
	case !a.homes[run.record.home].registered.After(s.homes[s.asked.home].word):
		g.violate(promiseNotRun, "sending %d of %s was told not-run; sending %d, which %s knew of, ran",
			s.number, s.request, a.number, s.asked.home.node.id)
	}
}

// checkAnswer holds an answer against its caller's request.
func (g *ledger) checkAnswer(s *sending, a *answer) {
	switch {
	case a == nil:
		g.violate(promiseAnswer, "sending %d was told answered without an answer", s.number)
	case a.cut:
		g.violate(promiseAnswer, "sending %d of %s got a part of its answer for the whole", s.number, s.request)
	case a.request != s.request:
		g.violate(promiseAnswer, "sending %d of %s got the answer to %s", s.number, s.request, a.request)
	}
}

// checkLeaving holds work that comes to a worker, which may refuse it, against its
// upstream's leaving.
func (g *ledger) checkLeaving(j *job) {
	r := g.lives[j.l]
	if !r.leaves.IsZero() && j.offered.Sub(r.leaves) > leavingTime {
		g.violate(promiseLeaving, "%s sent its worker %s, which arrived %v after it began to leave",
			j.l.node.id, j.attempt.ID, j.offered.Sub(r.leaves))
	}
	if r.listed.IsZero() || r.listedIn != j.l.instance().Incarnation {
		// Never, or taken back by the list since.
		return
	}
	if since := latest(r.listed, g.calmSince()); j.offered.Sub(since) > leavingTime {
		g.violate(promiseLeaving, "%s sent its worker %s, which arrived %v after others saw it leave",
			j.l.node.id, j.attempt.ID, j.offered.Sub(r.listed))
	}
}

// lookAtFleet notes which processes l sees leaving.
func (g *ledger) lookAtFleet(l *life) {
	r, fleet := g.lives[l], &l.core.Board.Fleet
	if r.fleet == fleet.Changes() {
		return
	}
	r.fleet = fleet.Changes()
	for _, in := range fleet.Get().Instances {
		n := g.w.node(in.ID)
		if in.State != model.StateLeaving || n == nil || n.life == nil || n.life.instance().Incarnation != in.Incarnation {
			continue
		}
		if seen := g.lives[n.life]; seen.listedIn != in.Incarnation {
			seen.listed, seen.listedIn = g.w.now, in.Incarnation
		}
	}
}

// checkInTime holds the time of an outcome against the caller's deadline; only a
// pause of the entry makes it late.
func (g *ledger) checkInTime(s *sending) {
	x := s.exchange
	if x == nil || x.l.woke.After(s.begun) {
		return
	}
	if late := g.w.now.Sub(x.call.Deadline()); late > notifyTimeout {
		g.violate(recovery, "sending %d was told %v after its deadline", s.number, late)
	}
}

// measured counts a measuring message at a worker.
func (g *ledger) measured(n *node) {
	g.count("measuring messages")
	kept := g.measures[n][:0]
	for _, at := range g.measures[n] {
		if g.w.now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	kept = append(kept, g.w.now)
	g.measures[n] = kept
	if len(kept) > measuringPerSecond {
		g.violate(promiseBudget, "%s received %d measuring messages within a second", n.id, len(kept))
	}
}

// stopped checks the end of a planned stop.
func (g *ledger) stopped(l *life) {
	g.count("planned stops")
	if l.stop.disturbed {
		return
	}
	if len(l.exchanges) > 0 || l.busy() {
		g.violate(promiseStop, "%s stopped with %d calls and %d attempts in flight",
			l.node.id, len(l.exchanges), len(l.jobs))
	}
}

// looked checks a process's bundle after each event of its loop.
func (g *ledger) looked(l *life) {
	g.lookAtFleet(l)
	r := g.lives[l]
	version := l.version()
	switch {
	case version < r.version:
		g.violate(promiseBundle, "%s went from version %d back to %d", l.node.id, r.version, version)
	case r.version == 0 && version > 0:
		g.checkFirst(l, r, version)
	}
	if version != r.version {
		r.version, r.since = version, g.w.now
	}
}

// checkFirst holds what a fresh process puts in force against what was in force
// everywhere at its start.
func (g *ledger) checkFirst(l *life, r *lifeRecord, version uint64) {
	calm := g.calmSince()
	for _, n := range g.w.nodes {
		if n.life == nil || g.lives[n.life].version <= version {
			continue
		}
		theirs := g.lives[n.life]
		if r.born.Sub(latest(calm, theirs.since)) <= spreadTime {
			g.count("excused: a fresh node began with an older version")
			continue
		}
		g.violate(promiseBundle, "%s began with version %d; %s had %d in force", l.node.id, version, n.id, theirs.version)
	}
}

// version returns the bundle version in force; zero for none.
func (l *life) version() uint64 {
	b := l.core.Board.Bundles.Get().Bundle(bundleName)
	if b == nil {
		return 0
	}
	return b.Version
}

// checkSpread holds every process against the versions that others have in force.
func (g *ledger) checkSpread() {
	calm := g.calmSince()
	for _, n := range g.w.nodes {
		if n.life == nil || n.life.knowsNobody() {
			continue
		}
		for _, other := range g.w.nodes {
			if other.life != nil {
				g.checkBehind(n.life, other.life, calm)
			}
		}
	}
}

// checkBehind reports l when it has been behind other for too long.
func (g *ledger) checkBehind(l, other *life, calm time.Time) {
	mine, theirs := g.lives[l], g.lives[other]
	since := latest(calm, theirs.since, mine.born)
	if mine.version < theirs.version && g.w.now.Sub(since) > spreadTime {
		g.violate(promiseBundle, "%s has version %d; %s has had %d in force since %v; missing: %v",
			l.node.id, mine.version, other.node.id, theirs.version, theirs.since.Sub(epoch), l.missing())
	}
}

// knowsNobody tells whether a process can ask nobody who holds a bundle: the
// platform, which would name others, is down, and whom it knows has none either.
func (l *life) knowsNobody() bool {
	if !l.w.platform.down {
		return false
	}
	for _, in := range l.core.Board.Fleet.Get().Instances {
		n := l.w.node(in.ID)
		if n != nil && n.life != nil && n.life.version() > 0 {
			return false
		}
	}
	return true
}

// missing is what a process says that it lacks to be ready.
func (l *life) missing() []string {
	if r := l.core.Board.Readiness.Get(); r != nil {
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
