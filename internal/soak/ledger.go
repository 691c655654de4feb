package soak

import (
	"fmt"
	"math"
	"net/http"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"gypsumstand/platform/names"
	"gypsumstand/platform/standin"
)

// Slack of the checks beside what nodes are held to.
const (
	// touchTime is how long a machine and the store must have been without trouble for
	// a rule with a time bound to hold there.
	touchTime = 4 * time.Second
	// drainTime bounds new work at a worker that drains (2 s), with a second for this
	// machine, which runs everything.
	drainTime = 3 * time.Second
	// budgetWindow is the window of the retry budget.
	budgetWindow = 10 * time.Second
	// servedAtEnd is the share of requests that must be served once trouble is over.
	servedAtEnd = 0.9
	// recoveryTime is how long after the last trouble service may take to be back.
	recoveryTime = 4 * time.Second
	// maxViolations bounds those that are listed.
	maxViolations = 20
)

// request is one sending of a client.
type request struct {
	id    string
	class string
	// service is the one that runs it; empty where that depends on the configuration.
	service string
	machine int
	sent    time.Time
	ended   time.Time
	// status is zero when there was no whole answer.
	status int
	runs   []standin.Run
}

// ledger holds what clients and workers saw, and what was promised when.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	// order lists the requests as they were sent.
	order []*request
	// machineTrouble and storeTrouble hold the spans of trouble; planned ones apart.
	machineTrouble map[int][]span
	planned        map[int][]span
	storeTrouble   []span
	// drained is when a worker's life was listed as draining, or no longer as a worker.
	drained map[string]time.Time
	// versions is when each configuration was written.
	versions   map[int]time.Time
	violations []string
	lastEnd    time.Time
	// lives are the spans in which nodes' processes ran, by machine.
	lives map[int][]span
	// inForce is when machines had versions in force, seen what processes showed of it.
	inForce []inForce
	seen    map[life][]seen
	// stalls are the spans in which machines stood still for want of a processor.
	stalls map[int][]span
	// delays are those of the versions that machines in touch took, in order.
	delays []time.Duration
	// evacuations is when those in force were acknowledged, by zone.
	evacuations map[string]time.Time
	// bunches are the spans in which workers may get requests in bunches, by machine.
	bunches map[int][]span
	// over is the end of the watches.
	over time.Time
}

// span is a time of trouble; an open one has no end yet.
type span struct{ from, to time.Time }

func newLedger() *ledger {
	return &ledger{
		requests: map[string]*request{}, machineTrouble: map[int][]span{}, planned: map[int][]span{},
		drained: map[string]time.Time{}, versions: map[int]time.Time{}, lives: map[int][]span{}, seen: map[life][]seen{}, stalls: map[int][]span{},
		evacuations: map[string]time.Time{}, bunches: map[int][]span{},
	}
}

// violate notes a broken promise.
func (l *ledger) violate(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.note(rule, format, args...)
}

// note is violate with mu held.
func (l *ledger) note(rule, format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// send notes a request before it is sent.
func (l *ledger) send(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent = time.Now()
	l.requests[r.id] = r
	l.order = append(l.order, r)
}

// ran notes a run at a worker.
func (l *ledger) ran(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[run.ID]
	if r == nil {
		l.note("unasked", "worker %s runs %q, which no client sent", run.Worker, run.ID)
		return
	}
	r.runs = append(r.runs, run)
	if r.service != "" && run.Service != r.service {
		l.note("route", "%s (%s) is run by %s", r.id, r.class, run.Service)
	}
	l.checkEvacuated(r, run)
	if at, ok := l.drained[run.Worker]; ok && run.StartedAt.Sub(at) > drainTime && l.inTouch(workerMachine(run.Worker), at, run.StartedAt) {
		l.note("drain", "%s reaches %s %s after it was listed as draining", r.id, run.Worker, run.StartedAt.Sub(at))
	}
}

// workerMachine returns the machine of a worker's life.
func workerMachine(life string) int {
	var machine, n int
	if _, err := fmt.Sscanf(life, "w%d-%d", &machine, &n); err != nil {
		return -1
	}
	return machine
}

// answered notes an answer; body is nil when it was not whole. want returns the one that
// a service gives.
func (l *ledger) answered(r *request, resp *http.Response, body []byte, want func(service string) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.ended = time.Now()
	if resp == nil || body == nil {
		return
	}
	r.status = resp.StatusCode
	if r.status < 200 || r.status >= 300 {
		return
	}
	ownAnswer := slices.ContainsFunc(r.runs, func(run standin.Run) bool { return string(body) == want(run.Service) })
	if !ownAnswer || resp.Header.Get(names.Signature) != standin.Signature {
		l.note("mixed", "%s got %d with %.60q, not the answer of a worker that ran it", r.id, r.status, body)
	}
}

func (l *ledger) configured(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions[version] = time.Now()
}

func (l *ledger) draining(life string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drained[life] = time.Now()
}

// listed takes that a life which was not to be used any more is listed again.
func (l *ledger) listed(life string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.drained, life)
}

// begin opens a span of trouble and returns its end. machine is -1 for the store.
func (l *ledger) begin(machine int, isPlanned bool) (end func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := &l.storeTrouble
	var at int
	switch {
	case machine < 0:
		at = len(*list)
		*list = append(*list, span{from: time.Now()})
		return func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.storeTrouble[at].to = time.Now()
		}
	case isPlanned:
		at = len(l.planned[machine])
		l.planned[machine] = append(l.planned[machine], span{from: time.Now()})
		return func() {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.planned[machine][at].to = time.Now()
		}
	}
	at = len(l.machineTrouble[machine])
	l.machineTrouble[machine] = append(l.machineTrouble[machine], span{from: time.Now()})
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.machineTrouble[machine][at].to = time.Now()
	}
}

// calm tells whether no span of list touches the time between two moments.
func calm(list []span, from, to time.Time) bool {
	for _, s := range list {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return false
		}
	}
	return true
}

// inTouch tells whether a machine and the store were without any trouble, planned or
// not, from touchTime before a moment to another.
func (l *ledger) inTouch(machine int, from, to time.Time) bool {
	from = from.Add(-touchTime)
	return calm(l.machineTrouble[machine], from, to) && calm(l.planned[machine], from, to) && calm(l.storeTrouble, from, to)
}

// check tells every promise that was broken, after the end.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.order {
		l.checkRequest(r)
	}
	l.delays = l.checkInForce()
	l.checkVersions()
	l.checkAdded()
	for _, service := range []string{serviceOrders, serviceCatalogue} {
		l.checkBudget(service)
	}
	l.checkCold()
	l.checkDeadly()
	l.checkRecovery()
	return l.violations
}

func (l *ledger) checkRequest(r *request) {
	if r.class == "order" && len(r.runs) > 1 {
		l.note("twice", "%s ran %d times, at %s", r.id, len(r.runs), places(r.runs))
	}
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(r.runs) > 0 {
			l.note("refused", "%s was told %d and ran at %s", r.id, r.status, places(r.runs))
		}
	case 0:
		// A request that crosses a planned close and is not passed on does not count.
		if len(r.runs) > 0 && calm(l.machineTrouble[r.machine], r.sent.Add(-touchTime), r.ended) {
			l.note("lost", "%s at machine %d ran and got no answer within %s", r.id, r.machine, r.ended.Sub(r.sent))
		}
	}
	if late := r.ended.Sub(r.sent); late > routeTimeout+time.Second && l.inTouch(r.machine, r.sent, r.ended) {
		l.note("timeout", "%s at machine %d was held for %s", r.id, r.machine, late)
	}
}

func places(runs []standin.Run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.Worker)
	}
	return strings.Join(out, ", ")
}

// checkBudget compares extra arrivals with requests in sliding windows.
func (l *ledger) checkBudget(service string) {
	var first, extra []time.Time
	for _, r := range l.order {
		if r.service != service {
			continue
		}
		first = append(first, r.sent)
		for i, run := range r.runs {
			if i > 0 {
				extra = append(extra, run.StartedAt)
			}
		}
	}
	sort.Slice(extra, func(i, j int) bool { return extra[i].Before(extra[j]) })
	for i, from := range extra {
		n := 0
		for ; i+n < len(extra) && extra[i+n].Sub(from) < budgetWindow; n++ {
		}
		most := retryRatio*float64(between(first, from.Add(-budgetWindow), from.Add(budgetWindow))) + retryExtra
		if float64(n) > math.Ceil(most) {
			l.note("budget", "%s: %d extra arrivals in %s, at most %.0f are allowed", service, n, budgetWindow, most)
			return
		}
	}
}

// between counts the times from a moment to another; times are sorted.
func between(times []time.Time, from, to time.Time) int {
	lo := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	hi := sort.Search(len(times), func(i int) bool { return !times[i].Before(to) })
	return hi - lo
}

func (l *ledger) checkRecovery() {
	from := l.lastEnd.Add(recoveryTime)
	asked, served := 0, 0
	for _, r := range l.order {
		if r.sent.Before(from) || strings.HasPrefix(r.class, "gen-") || r.deadly() {
			continue
		}
		asked++
		if r.status == http.StatusOK {
			served++
		}
	}
	if asked == 0 || float64(served) < servedAtEnd*float64(asked) {
		l.note("recover", "%d of %d requests were served after %s without trouble", served, asked, recoveryTime)
	}
}
