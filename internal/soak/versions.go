package soak

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"gypsumstand/internal/status"
	"gypsumstand/platform/standin"
)

// Checks of configurations.
const (
	// applyTime is the longest from a configuration's writing until it is in force on
	// machines in touch; what these stood still for want of a processor comes on top.
	applyTime = 2 * time.Second
	// watchTime is how long a machine is watched for a version, and watchEvery how often.
	watchTime  = 6 * time.Second
	watchEvery = 20 * time.Millisecond
	// regressSlack is how long after a run under a version requests may still be
	// handled as an older one has it.
	regressSlack = 250 * time.Millisecond
	// addedLeast requests of added routes must have been asked before their share
	// served counts, and addedShare is the least part of what other routes are served.
	addedLeast, addedShare = 20, 0.25
	// stallLeast is the lateness from which a machine is held to have stood still.
	stallEvery, stallLeast = 10 * time.Millisecond, 100 * time.Millisecond
)

// inForce is when a machine had a version, or a later one, in force.
type inForce struct {
	machine, version int
	// at is zero when it had not within watchTime.
	at time.Time
}

// watchVersion notes when each machine has a version in force.
func (f *fleet) watchVersion(ctx context.Context, version int) {
	for _, m := range f.machines {
		f.watching.Add(1)
		go func() {
			defer f.watching.Done()
			f.ledger.tookForce(inForce{machine: m.index, version: version, at: m.awaitVersion(ctx, version)})
		}()
	}
}

// awaitVersion returns when the node had a version in force.
func (m *machine) awaitVersion(ctx context.Context, version int) time.Time {
	ctx, cancel := context.WithTimeout(ctx, watchTime)
	defer cancel()
	for ctx.Err() == nil {
		asked := time.Now()
		got := m.version(ctx)
		m.fleet.ledger.noteStall(m.index, asked)
		if got >= version {
			return time.Now()
		}
		sleep(ctx, watchEvery)
	}
	return time.Time{}
}

// version returns the version that the node says is in force, zero when it says none.
func (m *machine) version(ctx context.Context) int {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.operator+status.NodePath, nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var n status.Node
	if json.NewDecoder(resp.Body).Decode(&n) != nil || len(n.Bundles) == 0 {
		return 0
	}
	return int(n.Bundles[0].Version)
}

// everywhere stands for the machine that runs the soak, and so all nodes.
const everywhere = -1

// watchStalls notes when the machine that runs the soak stood still, until ctx ends.
func (l *ledger) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		last := time.Now()
		sleep(ctx, stallEvery)
		l.noteStall(everywhere, last)
	}
}

// noteStall notes that a node, or everything, stood still from a moment until now, if it was
// for long enough: whoever answers a plain question that late has had no processor.
func (l *ledger) noteStall(machine int, from time.Time) {
	now := time.Now()
	if now.Sub(from) < stallLeast {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls[machine] = append(l.stalls[machine], span{from: from, to: now})
}

// stalled is how long a machine stood still between two moments.
func (l *ledger) stalled(machine int, from, to time.Time) time.Duration {
	return max(overlap(l.stalls[machine], from, to), overlap(l.stalls[everywhere], from, to))
}

func overlap(spans []span, from, to time.Time) time.Duration {
	var sum time.Duration
	for _, s := range spans {
		if s.from.Before(to) && s.to.After(from) {
			sum += s.to.Sub(s.from)
		}
	}
	return sum
}

// endWatches notes that nothing is watched from now on.
func (l *ledger) endWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = time.Now()
}

func (l *ledger) tookForce(e inForce) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce = append(l.inForce, e)
}

// checkInForce holds machines in touch to the bound, and returns their delays in order.
func (l *ledger) checkInForce() []time.Duration {
	var delays []time.Duration
	for _, e := range l.inForce {
		written := l.versions[e.version]
		until := e.at
		if until.IsZero() {
			until = written.Add(watchTime)
		}
		if l.overSince(until) || !l.inTouch(e.machine, written, until) {
			continue
		}
		delay := until.Sub(written)
		delays = append(delays, delay)
		if delay > applyTime+l.stalled(e.machine, written, until) {
			l.note("config", "machine %d has version %d in force %s after it was written", e.machine, e.version, delay.Round(time.Millisecond))
		}
	}
	slices.Sort(delays)
	return delays
}

// overSince tells whether a moment is after the soak's end, when nothing is watched.
func (l *ledger) overSince(at time.Time) bool { return !l.over.IsZero() && at.After(l.over) }

// checkVersions holds each request to the versions that may be in force, and each
// process to never going back.
func (l *ledger) checkVersions() {
	for _, r := range l.byEnd() {
		if !r.tells() {
			continue
		}
		last := l.newestAt(r.ended)
		least := l.leastOf(r, 1, last)
		at := l.lifeAt(r)
		switch {
		case least == 0:
			l.note("config", "%s (%s): handled with %d at machine %d as no version allows", r.id, r.class, r.status, r.machine)
		case l.leastOf(r, l.dueAt(r), last) == 0:
			l.note("config", "%s (%s): handled with %d at machine %d as only versions before %d allow", r.id, r.class, r.status, r.machine, l.dueAt(r))
		case l.leastOf(r, max(1, l.seenBefore(at, r)), last) == 0:
			l.note("config", "%s (%s): machine %d went back", r.id, r.class, r.machine)
		}
		l.noteSeen(at, r, least)
	}
}

// life is one process of a machine.
type life struct{ machine, number int }

// tells tells whether an end shows which version was in force.
func (r *request) tells() bool {
	return !r.deadly() && (r.status == http.StatusNotFound || r.status == http.StatusOK && len(r.runs) > 0)
}

// allowedBy tells whether a version allows how a request was handled.
func (r *request) allowedBy(version int) bool {
	if r.status == http.StatusNotFound {
		return len(partsOf(version, r.class)) == 0
	}
	return !slices.ContainsFunc(r.runs, func(run standin.Run) bool { return !allows(version, r.class, run.Service) })
}

// leastOf returns the least version from one to another that allows how a request was
// handled, zero when none does.
func (l *ledger) leastOf(r *request, from, to int) int {
	for v := from; v <= to; v++ {
		if r.allowedBy(v) {
			return v
		}
	}
	return 0
}

// newestAt returns the newest version written before a moment.
func (l *ledger) newestAt(at time.Time) int {
	newest := 0
	for v, written := range l.versions {
		if !written.After(at) {
			newest = max(newest, v)
		}
	}
	return newest
}

// dueAt returns the version that had to be in force when a request was sent.
func (l *ledger) dueAt(r *request) int {
	due := 1
	for v, written := range l.versions {
		bound := applyTime + l.stalled(r.machine, written, r.ended)
		if r.sent.Sub(written) > bound && l.inTouch(r.machine, written, r.ended) {
			due = max(due, v)
		}
	}
	return due
}

// byEnd returns the requests in the order of their ends.
func (l *ledger) byEnd() []*request {
	out := slices.Clone(l.order)
	slices.SortStableFunc(out, func(a, b *request) int { return a.ended.Compare(b.ended) })
	return out
}

// lifeAt returns the process that took a request; number is zero when it ended meanwhile.
func (l *ledger) lifeAt(r *request) life {
	for i, s := range l.lives[r.machine] {
		if !s.from.After(r.sent) && (s.to.IsZero() || s.to.After(r.ended)) {
			return life{r.machine, i + 1}
		}
	}
	return life{r.machine, 0}
}

// seen is that a process had at least a version in force at a moment.
type seen struct {
	at      time.Time
	version int
}

// noteSeen takes that a worker saw a process handle a request by at least a version.
func (l *ledger) noteSeen(at life, r *request, version int) {
	if len(r.runs) == 0 || version == 0 || at.number == 0 {
		return
	}
	first := slices.MinFunc(r.runs, func(a, b standin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	l.seen[at] = append(l.seen[at], seen{first.StartedAt, version})
}

// seenBefore returns the newest version that a process had shown in force when a request
// was sent.
func (l *ledger) seenBefore(at life, r *request) int {
	newest := 0
	for _, s := range l.seen[at] {
		if r.sent.Sub(s.at) > regressSlack {
			newest = max(newest, s.version)
		}
	}
	return newest
}

// checkAdded compares how often routes that were added later are served with the others.
func (l *ledger) checkAdded() {
	var added, other shareServed
	for _, r := range l.order {
		if !l.inTouch(r.machine, r.sent, r.ended) || r.deadly() {
			continue
		}
		if r.class == "browse" {
			other.take(r)
		}
		if !strings.HasPrefix(r.class, "gen-") {
			continue
		}
		if due := l.dueAt(r); due >= l.newestAt(r.ended) && len(partsOf(due, r.class)) > 0 {
			added.take(r)
		}
	}
	if added.asked >= addedLeast && other.asked >= addedLeast && added.share() < addedShare*other.share() {
		l.note("config", "of %d requests on added routes %d were served, of %d others %d", added.asked, added.served, other.asked, other.served)
	}
}

// shareServed counts requests and those that were served.
type shareServed struct{ asked, served int }

func (s *shareServed) take(r *request) {
	s.asked++
	if r.status == http.StatusOK {
		s.served++
	}
}

func (s *shareServed) share() float64 { return float64(s.served) / float64(s.asked) }
