// Package quarantine detects requests that crash workers (also known as queries of death or
// poison requests) and keeps them away from workers. It makes decisions and does no I/O:
// callers report failed runs and crashes of this node's worker and ask for a decision
// before a run starts, and the node feeds it the clock and its peers' updates. Design:
// docs/DESIGN.md, "Requests that end their workers".
//
// correlator.go finds the runs that were in flight at a crash. record.go and table.go hold
// the record of each suspect request and classify it, secondcrash.go decides on requests
// with two crashes, and coordinator.go where a suspect request may run. merge.go merges the
// records of peers, and gossip.go and contacts.go decide which peers to send them to, and
// when. lease.go and leasegossip.go give one owner at a time the right to run a request
// that no worker has completed yet.
package quarantine

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// Config holds the fixed settings of a quarantine.
type Config struct {
	Self    model.Instance
	Started time.Time
	// Fleet returns the current view of the fleet; it must not block.
	Fleet func() *model.Fleet
	// SlotUse returns the share of this node's worker slots that is in use, and false while
	// none can be used. It must not block. Nil means that all slots are always in use.
	SlotUse func(now time.Time) (share float64, known bool)
}

// Quarantine is one node's set of suspect requests. Its methods are safe for concurrent
// use.
type Quarantine struct {
	self        model.Instance
	started     time.Time
	incarnation uint64
	fleet       func() *model.Fleet
	slotUse     func(now time.Time) (share float64, known bool)
	correlator  CrashCorrelator
	completed   recentRuns
	// responded holds the requests to which this node's worker recently responded, even if
	// the response is not complete yet.
	responded recentRuns
	// fragile reports that the service cannot spare two workers at a time.
	fragile atomic.Bool
	// peerLeases is the number of peers' leases.
	peerLeases atomic.Int64
	// size is the number of records: while it is zero no fingerprint needs to be computed.
	size    atomic.Int64
	changed chan struct{}

	mu    sync.Mutex
	table table
	// crashIDsAllocated counts the IDs allocated for crashes of this node's worker,
	// crashesAttributed those crashes that had requests in flight.
	crashIDsAllocated, crashesAttributed uint64
	gossip                               gossip
	recovery                             recovery
	leases                               leases
	// averageUse is the average share of this node's worker slots in use, as of lastTick.
	averageUse float64
	lastTick   time.Time
	// rotation is the offset at which selectRecords last started among the less severe
	// records.
	rotation int
	// pendingLog holds log lines that Handle has not returned yet.
	pendingLog []control.Record
}

// New returns a quarantine without records.
func New(cfg Config) *Quarantine {
	if cfg.SlotUse == nil {
		cfg.SlotUse = func(time.Time) (float64, bool) { return 1, true }
	}
	return &Quarantine{
		self: cfg.Self, started: cfg.Started, incarnation: uint64(cfg.Started.UnixNano()),
		fleet: cfg.Fleet, slotUse: cfg.SlotUse, averageUse: 1, lastTick: cfg.Started,
		changed: make(chan struct{}, 1), table: newTable(), gossip: gossip{queryRounds: initialQueryRounds}, leases: newLeases(),
	}
}

// Changed returns a channel that receives a value when there are updates for peers; the
// node then passes control.SuspectsChanged to the core.
func (q *Quarantine) Changed() <-chan struct{} { return q.changed }

func (q *Quarantine) wake() {
	select {
	case q.changed <- struct{}{}:
	default:
		// The node has not received the previous signal yet.
	}
}

// count publishes the number of records.
func (q *Quarantine) count() { q.size.Store(int64(len(q.table.records))) }

// Empty reports whether there are no records, which implies that no request is suspect. It
// takes no lock.
func (q *Quarantine) Empty() bool { return q.size.Load() == 0 }

// Decision states how an owner treats a request.
type Decision struct {
	// Crashes counts the crashes under the request that no other request explains and no
	// completed run has cleared.
	Crashes int
	// Quarantined requests do not reach a worker; RetryAfter is the time until the next
	// trial, at least minRetry and at most maxRetry.
	Quarantined bool
	RetryAfter  time.Duration
	// Trial reports whether the quarantined request may run this once, exclusively.
	Trial bool
	// OnlyOwner, if set, is the only owner at which the request may run, as a worker may
	// crash under it again, or as that owner holds its lease; RetryAfter is then the time
	// until a crashed worker is expected to recover. Deferred reports that this node is not
	// that owner, or that the owner is unknown.
	OnlyOwner model.InstanceID
	Deferred  bool
	// Granted reports that this node coordinates the request and grants OnlyOwner the right
	// to run it.
	Granted bool
}

// Submission describes a submission, as reported by an attempt of it.
type Submission struct {
	// Crashes counts the workers that crashed under earlier attempts.
	Crashes int
	// Granted reports that the coordinating owner has granted this one the right to run the
	// request.
	Granted bool
}

// Refusal returns the reason for refusing the request, ReasonNone if it may run here.
func (d Decision) Refusal() model.Refusal {
	switch {
	case d.Quarantined:
		return model.Refusal{Reason: model.ReasonQuarantined, NotRun: true, RetryAfter: d.RetryAfter}
	case d.Deferred:
		return model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: d.RetryAfter, OnlyOwner: d.OnlyOwner, Granted: d.Granted}
	}
	return model.Refusal{}
}

// Exclusive reports whether the request must not run together with other exclusive ones, so
// that the next crash shows which of them caused it.
func (d Decision) Exclusive() bool {
	return d.Trial || d.OnlyOwner != "" || d.Crashes >= exclusiveThreshold
}

// unrestricted reports whether the request may run here like any other.
func (d Decision) unrestricted() bool {
	return !d.Quarantined && !d.Trial && !d.Deferred && d.OnlyOwner == ""
}

// Limits of Retry-After.
const (
	minRetry = time.Second
	maxRetry = time.Hour
)

// Evaluate decides how an owner treats a request that is offered to it. label describes the
// request.
func (q *Quarantine) Evaluate(now time.Time, content model.Fingerprint, s Submission, label string) Decision {
	if q.Empty() && s.Crashes == 0 && !q.HasPeerLeases() {
		return Decision{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	d := q.evaluateRecord(now, content, s, label)
	if d.unrestricted() && !s.Granted {
		q.deferToLease(now, content, &d)
	}
	return d
}

// evaluateRecord decides by the crashes under a request.
func (q *Quarantine) evaluateRecord(now time.Time, content model.Fingerprint, s Submission, label string) Decision {
	r := q.table.records[content]
	switch {
	case r != nil:
		r.label = label
	case s.Crashes == 0:
		return Decision{}
	default:
		r = provisionalRecord(now, content, s.Crashes)
	}
	d := Decision{Crashes: r.unexplained}
	if !r.quarantined {
		q.restrict(now, r, s, &d)
		return d
	}
	if r.trialDue(now) && rendezvousOwner(content, q.findNeighbours().admitting) == q.self.ID {
		r.lastTrial = now
		d.Trial = true
		q.logRequest(event.QuarantineTrial, content, r.label)
		return d
	}
	d.Quarantined = true
	d.RetryAfter = r.retryAfter(now)
	return d
}

// Blocked reports whether an entry need not offer a request to any owner: it is quarantined
// and no trial is due.
func (q *Quarantine) Blocked(now time.Time, content model.Fingerprint) (retryAfter time.Duration, blocked bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.table.records[content]
	if r == nil || !r.quarantined || r.trialDue(now) {
		return 0, false
	}
	return r.retryAfter(now), true
}

// retryAfter returns the Retry-After of a quarantined request.
func (r *record) retryAfter(now time.Time) time.Duration {
	at, ok := r.nextTrial()
	if !ok {
		return maxRetry
	}
	return min(max(at.Sub(now), minRetry), maxRetry)
}

// RunFailed records a failed run at this node's worker. known reports whether the worker is
// known to have crashed under it; if not, a later WorkerCrashed may still attribute the run
// to a crash.
func (q *Quarantine) RunFailed(now time.Time, r Run) (known bool) {
	id := q.correlator.RunFailed(now, r)
	if id == 0 {
		return false
	}
	q.recordCrash(now, id, []Run{r})
	return true
}

// RunAbandoned records a run at this node's worker that was abandoned before it completed:
// the worker may still have been processing it when it crashed.
func (q *Quarantine) RunAbandoned(now time.Time, r Run) { q.correlator.RunAbandoned(now, r) }

// FailedTogether reports whether at least two runs failed at about that time, which is the
// case when the worker has crashed and its port has not been found closed yet.
func (q *Quarantine) FailedTogether(at time.Time) bool { return q.correlator.failedTogether(at) }

// WorkerCrashed records that this node's worker stopped unexpectedly. It may be called
// several times for one crash.
func (q *Quarantine) WorkerCrashed(now time.Time) {
	q.mu.Lock()
	next := q.nextCrashID()
	q.recovery.crashed(now)
	q.mu.Unlock()
	if runs := q.correlator.WorkerCrashed(now, next); len(runs) > 0 {
		q.mu.Lock()
		q.crashesAttributed++
		q.mu.Unlock()
		q.recordCrash(now, next, runs)
	}
}

// nextCrashID returns an ID for the next crash of this node's worker, unique in the fleet.
func (q *Quarantine) nextCrashID() CrashID {
	q.crashIDsAllocated++
	return CrashID(max(xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", q.self.ID, q.incarnation, q.crashIDsAllocated)), 1))
}

// recordCrash records the runs under which the worker crashed.
func (q *Quarantine) recordCrash(now time.Time, id CrashID, runs []Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.logCrash(id, runs)
	for _, run := range runs {
		if run.Content.IsZero() {
			continue
		}
		q.table.addCrash(now, run.Content, crash{id, q.self.ID, now, run.AlreadySuspect, run.Trial})
		q.table.records[run.Content].label = run.Label
	}
	q.quarantineAtSecondCrash(now, id, runs)
	for _, r := range q.classify(now, "worker crashed here") {
		r.quarantinedHere = true
	}
	q.wake()
}

// RunCompleted records a complete response of this node's worker to a request.
func (q *Quarantine) RunCompleted(now time.Time, content model.Fingerprint) {
	if content.IsZero() {
		return
	}
	q.completed.add(content)
	if q.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.clear(now, content) {
		q.classify(now, "completed here")
		q.wake()
	}
}

// maxNamed bounds the runs that one log line names.
const maxNamed = 32

// logCrash logs a crash and the first maxNamed runs that were in flight.
func (q *Quarantine) logCrash(id CrashID, runs []Run) {
	var names []string
	for _, r := range runs[:min(len(runs), maxNamed)] {
		names = append(names, r.Content.String()+" "+r.Label)
	}
	q.log(event.WorkerCrashed, fmt.Sprintf("%016x", uint64(id)), fmt.Sprintf("%d in flight: %s", len(runs), strings.Join(names, ", ")))
}

// classify reclassifies the records and returns those that are quarantined from now on;
// cause is logged.
func (q *Quarantine) classify(now time.Time, cause string) (quarantined []*record) {
	for _, t := range q.table.classify(now) {
		if t.quarantined {
			quarantined = append(quarantined, t.record)
			q.logRequest(event.RequestQuarantined, t.record.content, fmt.Sprintf("%s; crashes at %s; %s", cause, crashOwners(t.record), t.record.label))
			continue
		}
		q.logRequest(event.QuarantineReleased, t.record.content, cause)
	}
	q.count()
	return quarantined
}

// crashOwners names the instances whose workers crashed under a request.
func crashOwners(r *record) string {
	names := make([]string, len(r.crashes))
	for i, c := range r.crashes {
		names[i] = string(c.owner)
	}
	return strings.Join(names, ", ")
}

func (q *Quarantine) logRequest(id event.ID, content model.Fingerprint, detail string) {
	q.log(id, content.String(), detail)
}

// maxPendingLog bounds the log lines in pendingLog.
const maxPendingLog = 64

func (q *Quarantine) log(id event.ID, subject, detail string) {
	if len(q.pendingLog) < maxPendingLog {
		q.pendingLog = append(q.pendingLog, control.Record{Event: id, Subject: subject, Detail: detail})
	}
}
