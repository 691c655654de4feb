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

// Limits of the checks on configurations.
const (
	// maxApplyTime bounds the time from the writing of a configuration until it is active
	// on undisturbed machines; the time for which these stalled on an overloaded host is
	// added.
	maxApplyTime = 2 * time.Second
	// watchTimeout is how long a machine is watched for a version, watchInterval the time
	// between two queries.
	watchTimeout  = 6 * time.Second
	watchInterval = 20 * time.Millisecond
	// regressSlack is how long after a run under a version requests may still be handled
	// under an older one.
	regressSlack = 250 * time.Millisecond
	// minAddedRequests is the number of requests on added routes, and on the others, from
	// which their shares served are compared; minAddedShare is the least ratio of the two
	// shares.
	minAddedRequests, minAddedShare = 20, 0.25
	// minStall is the lateness from which a machine counts as stalled, stallCheckInterval
	// the expected time between two checks of the host.
	stallCheckInterval, minStall = 10 * time.Millisecond, 100 * time.Millisecond
)

// activation records when a machine had a version, or a later one, active.
type activation struct {
	machine, version int
	// at is zero if the version was not active within watchTimeout.
	at time.Time
}

// watchVersion records when each machine has a version active.
func (f *fleet) watchVersion(ctx context.Context, version int) {
	for _, m := range f.machines {
		f.watchers.Add(1)
		go func() {
			defer f.watchers.Done()
			f.ledger.recordActivation(activation{machine: m.index, version: version, at: m.awaitVersion(ctx, version)})
		}()
	}
}

// awaitVersion returns when the node had a version active, or zero after watchTimeout.
func (m *machine) awaitVersion(ctx context.Context, version int) time.Time {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	for ctx.Err() == nil {
		queried := time.Now()
		got := m.version(ctx)
		m.fleet.ledger.recordStall(m.index, queried)
		if got >= version {
			return time.Now()
		}
		sleep(ctx, watchInterval)
	}
	return time.Time{}
}

// version returns the version that the node reports as active, or zero.
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

// soakHost stands for the host that runs the soak, and so for all nodes.
const soakHost = -1

// watchStalls records the stalls of the host that runs the soak, until ctx ends.
func (l *ledger) watchStalls(ctx context.Context) {
	for ctx.Err() == nil {
		last := time.Now()
		sleep(ctx, stallCheckInterval)
		l.recordStall(soakHost, last)
	}
}

// recordStall records that a node, or the host, stalled from a moment until now if that
// took at least minStall: a response to a trivial query that is so late means that the
// node had no processor.
func (l *ledger) recordStall(machine int, from time.Time) {
	now := time.Now()
	if now.Sub(from) < minStall {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalls[machine] = append(l.stalls[machine], span{from: from, to: now})
}

// stalledFor returns how long a machine stalled between two moments.
func (l *ledger) stalledFor(machine int, from, to time.Time) time.Duration {
	return max(overlap(l.stalls[machine], from, to), overlap(l.stalls[soakHost], from, to))
}

func overlap(spans []span, from, to time.Time) time.Duration {
	var total time.Duration
	for _, s := range spans {
		if s.from.Before(to) && s.to.After(from) {
			total += s.to.Sub(s.from)
		}
	}
	return total
}

// endWatches records that versions are no longer watched from now on.
func (l *ledger) endWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watchEnd = time.Now()
}

func (l *ledger) recordActivation(a activation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.activations = append(l.activations, a)
}

// checkActivations checks the delays of undisturbed machines and returns them, sorted.
func (l *ledger) checkActivations() []time.Duration {
	var delays []time.Duration
	for _, a := range l.activations {
		written := l.writtenAt[a.version]
		until := a.at
		if until.IsZero() {
			until = written.Add(watchTimeout)
		}
		if l.afterWatchEnd(until) || !l.undisturbed(a.machine, written, until) {
			continue
		}
		delay := until.Sub(written)
		delays = append(delays, delay)
		if delay > maxApplyTime+l.stalledFor(a.machine, written, until) {
			l.addViolation("config", "machine %d has version %d active only %s after it was written", a.machine, a.version, delay.Round(time.Millisecond))
		}
	}
	slices.Sort(delays)
	return delays
}

// afterWatchEnd reports whether a moment is after the end of the watches.
func (l *ledger) afterWatchEnd(at time.Time) bool {
	return !l.watchEnd.IsZero() && at.After(l.watchEnd)
}

// checkServedVersions checks that each request was handled under a version that may be
// active, and that no process returned to an older version.
func (l *ledger) checkServedVersions() {
	for _, r := range l.byCompletion() {
		if !r.showsVersion() {
			continue
		}
		newest := l.newestAt(r.completed)
		lowest := l.lowestAllowing(r, 1, newest)
		process := l.processAt(r)
		switch {
		case lowest == 0:
			l.addViolation("config", "%s (%s): status %d at machine %d, which no version allows", r.id, r.class, r.status, r.machine)
		case l.lowestAllowing(r, l.requiredVersion(r), newest) == 0:
			l.addViolation("config", "%s (%s): status %d at machine %d, which only versions before %d allow", r.id, r.class, r.status, r.machine, l.requiredVersion(r))
		case l.lowestAllowing(r, max(1, l.observedBefore(process, r)), newest) == 0:
			l.addViolation("config", "%s (%s): machine %d returned to an older version", r.id, r.class, r.machine)
		}
		l.recordObservation(process, r, lowest)
	}
}

// nodeProcess identifies one process of a machine's node; the first has number 1.
type nodeProcess struct{ machine, number int }

// showsVersion reports whether the result of a request reveals which version was active.
func (r *request) showsVersion() bool {
	return !r.deadly() && (r.status == http.StatusNotFound || r.status == http.StatusOK && len(r.runs) > 0)
}

// allowedBy reports whether a version allows how a request was handled.
func (r *request) allowedBy(version int) bool {
	if r.status == http.StatusNotFound {
		return len(destinationsOf(version, r.class)) == 0
	}
	return !slices.ContainsFunc(r.runs, func(run standin.Run) bool { return !allowsRun(version, r.class, run.Service) })
}

// lowestAllowing returns the lowest version from from to to that allows how a request was
// handled, or zero.
func (l *ledger) lowestAllowing(r *request, from, to int) int {
	for v := from; v <= to; v++ {
		if r.allowedBy(v) {
			return v
		}
	}
	return 0
}

// newestAt returns the newest version written by a moment.
func (l *ledger) newestAt(at time.Time) int {
	newest := 0
	for v, written := range l.writtenAt {
		if !written.After(at) {
			newest = max(newest, v)
		}
	}
	return newest
}

// requiredVersion returns the version that had to be active when a request was sent.
func (l *ledger) requiredVersion(r *request) int {
	required := 1
	for v, written := range l.writtenAt {
		bound := maxApplyTime + l.stalledFor(r.machine, written, r.completed)
		if r.sent.Sub(written) > bound && l.undisturbed(r.machine, written, r.completed) {
			required = max(required, v)
		}
	}
	return required
}

// byCompletion returns the requests in the order of their completion.
func (l *ledger) byCompletion() []*request {
	out := slices.Clone(l.order)
	slices.SortStableFunc(out, func(a, b *request) int { return a.completed.Compare(b.completed) })
	return out
}

// processAt returns the process that handled a request; number is zero if it started or
// exited meanwhile.
func (l *ledger) processAt(r *request) nodeProcess {
	for i, s := range l.processSpans[r.machine] {
		if !s.from.After(r.sent) && (s.to.IsZero() || s.to.After(r.completed)) {
			return nodeProcess{r.machine, i + 1}
		}
	}
	return nodeProcess{r.machine, 0}
}

// observation records that a process had a version, or a later one, active at a moment.
type observation struct {
	at      time.Time
	version int
}

// recordObservation records that a process had a version, or a later one, active when a
// worker started to run its request.
func (l *ledger) recordObservation(process nodeProcess, r *request, version int) {
	if len(r.runs) == 0 || version == 0 || process.number == 0 {
		return
	}
	first := slices.MinFunc(r.runs, func(a, b standin.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	l.observations[process] = append(l.observations[process], observation{first.StartedAt, version})
}

// observedBefore returns the newest version that a process had shown to be active by
// regressSlack before a request was sent.
func (l *ledger) observedBefore(process nodeProcess, r *request) int {
	newest := 0
	for _, s := range l.observations[process] {
		if r.sent.Sub(s.at) > regressSlack {
			newest = max(newest, s.version)
		}
	}
	return newest
}

// checkAddedRoutes compares how often routes that were added later are served with how
// often the others are.
func (l *ledger) checkAddedRoutes() {
	var added, other servedCount
	for _, r := range l.order {
		if !l.undisturbed(r.machine, r.sent, r.completed) || r.deadly() {
			continue
		}
		if r.class == "browse" {
			other.add(r)
		}
		if !strings.HasPrefix(r.class, "gen-") {
			continue
		}
		if required := l.requiredVersion(r); required >= l.newestAt(r.completed) && len(destinationsOf(required, r.class)) > 0 {
			added.add(r)
		}
	}
	if added.requests >= minAddedRequests && other.requests >= minAddedRequests &&
		added.share() < minAddedShare*other.share() {
		l.addViolation("config", "of %d requests on added routes %d were served, of %d on other routes %d", added.requests, added.served, other.requests, other.served)
	}
}

// servedCount counts requests and those of them that were served.
type servedCount struct{ requests, served int }

func (s *servedCount) add(r *request) {
	s.requests++
	if r.status == http.StatusOK {
		s.served++
	}
}

func (s *servedCount) share() float64 { return float64(s.served) / float64(s.requests) }
