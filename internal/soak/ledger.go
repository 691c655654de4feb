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

// Tolerances of the checks, beyond the nodes' own limits.
const (
	// undisturbedTime is how long a machine and the store must have been free of faults
	// before a check with a time limit applies.
	undisturbedTime = 4 * time.Second
	// maxDrainTime bounds new work at a draining worker: 2 s, plus a second because this
	// host runs everything.
	maxDrainTime = 3 * time.Second
	// budgetWindow is the window of the retry budget.
	budgetWindow = 10 * time.Second
	// minServedShare is the share of requests that must be served once all faults are
	// over.
	minServedShare = 0.9
	// maxRecoveryTime is the time that service may take to recover after the last fault.
	maxRecoveryTime = 4 * time.Second
	// maxViolations bounds the violations that are listed.
	maxViolations = 20
)

// request is one submission of a client.
type request struct {
	id    string
	class string
	// service is the one that must run the request; empty where that depends on the
	// configuration.
	service   string
	body      string
	machine   int
	sent      time.Time
	completed time.Time
	// status is zero if no complete response arrived.
	status int
	runs   []standin.Run
}

// ledger records what clients and workers observed and what the nodes had to guarantee
// when.
type ledger struct {
	mu       sync.Mutex
	requests map[string]*request
	// order lists the requests in the order of submission.
	order []*request
	// machineFaults holds the spans of faults, by machine or storeFaults, plannedFaults
	// those of planned operations.
	machineFaults map[int][]span
	plannedFaults map[int][]span
	// drainedAt holds, by worker id, the time at which a worker was listed as draining or
	// its entry was replaced.
	drainedAt map[string]time.Time
	// writtenAt holds the time at which each configuration version was written.
	writtenAt    map[int]time.Time
	violations   []string
	lastFaultEnd time.Time
	// processSpans are the spans in which nodes' processes ran, by machine.
	processSpans map[int][]span
	// activations holds the times at which machines had versions active; observations holds
	// the versions that processes showed to be active.
	activations  []activation
	observations map[nodeProcess][]observation
	// stalls are the spans in which machines made no progress because the host was
	// overloaded.
	stalls map[int][]span
	// applyDelays are the delays with which undisturbed machines activated versions,
	// sorted.
	applyDelays []time.Duration
	// evacuatedAt holds the time at which each current evacuation was acknowledged, by zone.
	evacuatedAt map[string]time.Time
	// burstSpans are the spans in which workers may receive requests in bursts, by
	// machine.
	burstSpans map[int][]span
	// rateLimits are the times in which workers named rate limits.
	rateLimits []rateLimitSpan
	// toldLeaving holds the time at which a machine first passed on a response in which a
	// worker said that it was leaving.
	toldLeaving map[workerAtMachine]time.Time
	// watchEnd is the end of the watches, zero before that.
	watchEnd time.Time
}

func newLedger() *ledger {
	return &ledger{
		requests: map[string]*request{}, machineFaults: map[int][]span{}, plannedFaults: map[int][]span{},
		drainedAt: map[string]time.Time{}, writtenAt: map[int]time.Time{}, processSpans: map[int][]span{},
		observations: map[nodeProcess][]observation{}, stalls: map[int][]span{},
		evacuatedAt: map[string]time.Time{}, burstSpans: map[int][]span{}, toldLeaving: map[workerAtMachine]time.Time{},
	}
}

// recordViolation records a broken guarantee under the name of its rule.
func (l *ledger) recordViolation(rule, format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addViolation(rule, format, args...)
}

// addViolation is recordViolation with l.mu held.
func (l *ledger) addViolation(rule, format string, args ...any) {
	if len(l.violations) < maxViolations {
		l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, args...))
	}
}

// recordSend records a request before it is submitted.
func (l *ledger) recordSend(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.sent = time.Now()
	l.requests[r.id] = r
	l.order = append(l.order, r)
}

// recordRun records a run at a worker and checks it.
func (l *ledger) recordRun(run standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.requests[run.ID]
	if r == nil {
		l.addViolation("unasked", "worker %s ran %q, which no client sent", run.Worker, run.ID)
		return
	}
	l.checkBody(r, run)
	run.Body = ""
	r.runs = append(r.runs, run)
	if r.service != "" && run.Service != r.service {
		l.addViolation("route", "%s (%s) was run by service %s", r.id, r.class, run.Service)
	}
	l.checkEvacuation(r, run)
	l.checkAnnounced(r, run)
	if at, ok := l.drainedAt[run.Worker]; ok && run.StartedAt.Sub(at) > maxDrainTime &&
		l.undisturbed(workerMachine(run.Worker), at, run.StartedAt) {
		l.addViolation("drain", "%s reached %s %s after it was listed as draining", r.id, run.Worker, run.StartedAt.Sub(at))
	}
}

// workerMachine returns the machine of a worker id, or -1.
func workerMachine(worker string) int {
	var machine, n int
	if _, err := fmt.Sscanf(worker, "w%d-%d", &machine, &n); err != nil {
		return -1
	}
	return machine
}

// recordResponse records a response and checks its body; body is nil if the response was
// incomplete. wantBody returns the body with which a service responds.
func (l *ledger) recordResponse(r *request, resp *http.Response, body []byte, wantBody func(service string) string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r.completed = time.Now()
	if resp == nil || body == nil {
		return
	}
	l.recordAnnounced(r, resp)
	r.status = resp.StatusCode
	if r.status < 200 || r.status >= 300 {
		return
	}
	matchesRun := slices.ContainsFunc(r.runs, func(run standin.Run) bool { return string(body) == wantBody(run.Service) })
	if !matchesRun || resp.Header.Get(names.Signature) != standin.Signature {
		l.addViolation("mixed", "%s got status %d with body %.60q, not the response of a worker that ran it",
			r.id, r.status, body)
	}
}

func (l *ledger) recordConfig(version int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writtenAt[version] = time.Now()
}

func (l *ledger) recordDraining(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainedAt[worker] = time.Now()
}

// recordListed records that a worker listed as unusable is listed as usable again.
func (l *ledger) recordListed(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.drainedAt, worker)
}

// check runs the checks that need the complete record and returns all violations.
func (l *ledger) check() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.order {
		l.checkRequest(r)
	}
	l.applyDelays = l.checkActivations()
	l.checkServedVersions()
	l.checkAddedRoutes()
	for _, service := range []string{serviceOrders, serviceCatalogue} {
		l.checkRetryBudget(service)
	}
	l.checkColdWorkers()
	l.checkRateLimits()
	l.checkDeadly()
	l.checkRecovery()
	return l.violations
}

func (l *ledger) checkRequest(r *request) {
	if r.completed.IsZero() {
		l.addViolation("soak", "%s was under way when the checks began", r.id)
		return
	}
	if runsAtMostOnce(r.class) && len(r.runs) > 1 {
		l.addViolation("twice", "%s ran %d times, at workers %s", r.id, len(r.runs), workersOf(r.runs))
	}
	switch r.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		if len(r.runs) > 0 {
			l.addViolation("refused", "%s was refused with status %d and ran at workers %s", r.id, r.status, workersOf(r.runs))
		}
	case 0:
		// A request that a planned stop closes before it is forwarded has no run and does
		// not count.
		if len(r.runs) > 0 && faultFree(l.machineFaults[r.machine], r.sent.Add(-undisturbedTime), r.completed) {
			l.addViolation("lost", "%s at machine %d ran and got no response within %s",
				r.id, r.machine, r.completed.Sub(r.sent))
		}
	}
	if took := r.completed.Sub(r.sent); took > routeTimeout+time.Second && l.undisturbed(r.machine, r.sent, r.completed) {
		l.addViolation("timeout", "%s at machine %d took %s", r.id, r.machine, took)
	}
}

func workersOf(runs []standin.Run) string {
	var out []string
	for _, r := range runs {
		out = append(out, r.Worker)
	}
	return strings.Join(out, ", ")
}

// checkRetryBudget compares repeated runs with submissions in sliding windows.
func (l *ledger) checkRetryBudget(service string) {
	var sends, extraRuns []time.Time
	for _, r := range l.order {
		if r.service != service {
			continue
		}
		sends = append(sends, r.sent)
		for i, run := range r.runs {
			if i > 0 {
				extraRuns = append(extraRuns, run.StartedAt)
			}
		}
	}
	sort.Slice(extraRuns, func(i, j int) bool { return extraRuns[i].Before(extraRuns[j]) })
	for i, from := range extraRuns {
		n := 0
		for ; i+n < len(extraRuns) && extraRuns[i+n].Sub(from) < budgetWindow; n++ {
		}
		allowed := retryRatio*float64(countBetween(sends, from.Add(-budgetWindow), from.Add(budgetWindow))) + retryExtra
		if float64(n) > math.Ceil(allowed) {
			l.addViolation("budget", "%s: %d repeated runs within %s, limit %.0f", service, n, budgetWindow, allowed)
			return
		}
	}
}

// countBetween counts the sorted times from from until before to.
func countBetween(times []time.Time, from, to time.Time) int {
	lo := sort.Search(len(times), func(i int) bool { return !times[i].Before(from) })
	hi := sort.Search(len(times), func(i int) bool { return !times[i].Before(to) })
	return hi - lo
}

func (l *ledger) checkRecovery() {
	recoveredAt := l.lastFaultEnd.Add(maxRecoveryTime)
	requests, served := 0, 0
	for _, r := range l.order {
		if r.sent.Before(recoveredAt) || strings.HasPrefix(r.class, "gen-") || r.deadly() {
			continue
		}
		requests++
		if r.status == http.StatusOK {
			served++
		}
	}
	if requests == 0 || float64(served) < minServedShare*float64(requests) {
		l.addViolation("recover", "%d of %d requests were served once %s had passed without faults",
			served, requests, maxRecoveryTime)
	}
}
