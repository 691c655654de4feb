// Package quarantine finds requests under which workers end, and keeps them from workers.
// It decides and does no I/O: it is told which runs broke and when the own worker ended,
// asked before a run starts, and fed with the clock and with what peers tell.
// Design: docs/DESIGN.md, "Requests that end their workers".
//
// evidence.go finds what was in hand when the own worker ended, record.go and table.go hold
// what is known of each request and judge it, news.go joins it with what peers know, and
// rounds.go says whom to tell and when.
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

// Config is a quarantine's fixed setting.
type Config struct {
	Self    model.Instance
	Started time.Time
	// Fleet returns the fleet's present view; it does not block.
	Fleet func() *model.Fleet
	// SlotUse returns the part of the own worker's slots that is in use, and false while none
	// can be used. It does not block. Nil stands for a worker that is always in full use.
	SlotUse func(now time.Time) (part float64, known bool)
}

// Quarantine is one node's part. Its methods are safe for concurrent use.
type Quarantine struct {
	self     model.Instance
	started  time.Time
	life     uint64
	fleet    func() *model.Fleet
	usage    func(now time.Time) (part float64, known bool)
	evidence CrashCorrelator
	whole    wholeRuns
	// size is the number of records: with none, nobody need ask for a fingerprint.
	size    atomic.Int64
	changed chan struct{}

	mu    sync.Mutex
	table table
	// named counts the names given to ends of the own worker, noticed those that were ends
	// with requests in hand.
	named, noticed uint64
	rounds         rounds
	returns        returns
	// use is the part of the own worker's slots that is in use, averaged.
	use float64
	// shown is where the last part of the records that some returned began.
	shown int
	// notes are log lines that Handle has not taken.
	notes []control.Record
}

// New returns a quarantine that knows of nothing.
func New(cfg Config) *Quarantine {
	if cfg.SlotUse == nil {
		cfg.SlotUse = func(time.Time) (float64, bool) { return 1, true }
	}
	return &Quarantine{
		self: cfg.Self, started: cfg.Started, life: uint64(cfg.Started.UnixNano()), fleet: cfg.Fleet, usage: cfg.SlotUse, use: 1,
		changed: make(chan struct{}, 1), table: newTable(), rounds: rounds{fresh: freshRounds},
	}
}

// Changed has an element when there is something to tell peers: the node then hands
// control.SuspectsChanged to the core.
func (q *Quarantine) Changed() <-chan struct{} { return q.changed }

func (q *Quarantine) wake() {
	select {
	case q.changed <- struct{}{}:
	default:
		// The node has not taken the last one yet.
	}
}

// count publishes the number of records.
func (q *Quarantine) count() { q.size.Store(int64(len(q.table.records))) }

// Empty tells whether no request is suspect. It takes no lock.
func (q *Quarantine) Empty() bool { return q.size.Load() == 0 }

// Decision says how a request is to be treated.
type Decision struct {
	// Crashes counts the ends of workers under the request that nothing has explained or
	// cleared.
	Crashes int
	// Quarantined: the request does not reach a worker. RetryAfter is when it may.
	Quarantined bool
	RetryAfter  time.Duration
	// Trial: it is put aside, and this once it may run, alone.
	Trial bool
	// Home, when set, is the only owner at which it may run, as a worker may end under it
	// again; RetryAfter then is when a worker that ended is expected back. Held: this node is
	// not that owner, or nobody knows which one is.
	OnlyOwner model.InstanceID
	Deferred  bool
	// Lent: this node is the one that says where it may run, and leaves it to Home.
	Granted bool
}

// Submission is what an attempt says of its sending.
type Submission struct {
	// Crashes counts the workers that ended under earlier attempts.
	Crashes int
	// Lent: the owner whose worker ended last under the request leaves it to this one.
	Granted bool
}

// Refusal returns what refuses the request, ReasonNone where it may run here.
func (v Decision) Refusal() model.Refusal {
	switch {
	case v.Quarantined:
		return model.Refusal{Reason: model.ReasonQuarantined, NotRun: true, RetryAfter: v.RetryAfter}
	case v.Deferred:
		return model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: v.RetryAfter, OnlyOwner: v.OnlyOwner, Granted: v.Granted}
	}
	return model.Refusal{}
}

// Exclusive tells whether the request is to run where no other one as suspect runs, so that
// the next end tells which of them it was.
func (v Decision) Exclusive() bool {
	return v.Trial || v.OnlyOwner != "" || v.Crashes >= endsToRunAlone
}

// Bounds of the advice to come back.
const (
	minRetry = time.Second
	maxRetry = time.Hour
)

// Evaluate says how an owner treats a request that is offered to it. label is what the request
// asks for.
func (q *Quarantine) Evaluate(now time.Time, content model.Fingerprint, s Submission, label string) Decision {
	if q.Empty() && s.Crashes == 0 {
		return Decision{}
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.table.records[content]
	switch {
	case r != nil:
		r.label = label
	case s.Crashes == 0:
		return Decision{}
	default:
		r = unheard(now, content, s.Crashes)
	}
	v := Decision{Crashes: r.left}
	if !r.aside {
		q.hold(now, r, s, &v)
		return v
	}
	if r.trialDue(now) && trialHome(content, q.findNeighbours().admitting) == q.self.ID {
		r.trialAt = now
		v.Trial = true
		q.note(event.QuarantineTrial, content, r.label)
		return v
	}
	v.Quarantined = true
	v.RetryAfter = r.retryAfter(now)
	return v
}

// Blocked tells whether an entry need not offer a request to any owner: it is put aside, and
// no trial is due.
func (q *Quarantine) Blocked(now time.Time, content model.Fingerprint) (retryAfter time.Duration, barred bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.table.records[content]
	if r == nil || !r.aside || r.trialDue(now) {
		return 0, false
	}
	return r.retryAfter(now), true
}

func (r *record) retryAfter(now time.Time) time.Duration {
	at, ok := r.nextTrial()
	if !ok {
		return maxRetry
	}
	return min(max(at.Sub(now), minRetry), maxRetry)
}

// RunFailed takes a run that broke at the own worker; known tells that the worker is known to
// have ended under it. Otherwise Ended may say so later.
func (q *Quarantine) RunFailed(now time.Time, r Run) (known bool) {
	id := q.evidence.RunFailed(now, r)
	if id == 0 {
		return false
	}
	q.inHand(now, id, []Run{r})
	return true
}

// RunAbandoned takes a run at the own worker that was given up before its end: the worker may still
// have been at work when it ended.
func (q *Quarantine) RunAbandoned(now time.Time, r Run) { q.evidence.RunAbandoned(now, r) }

// FailedTogether tells whether at least two runs broke about that time, as when the worker has
// ended and nobody has found its port closed yet.
func (q *Quarantine) FailedTogether(at time.Time) bool { return q.evidence.together(at) }

// WorkerCrashed takes the word that the own worker's life has ended, not as planned. It may come
// more than once for one end.
func (q *Quarantine) WorkerCrashed(now time.Time) {
	q.mu.Lock()
	next := q.nextEnd()
	q.returns.end(now)
	q.mu.Unlock()
	if runs := q.evidence.WorkerCrashed(now, next); len(runs) > 0 {
		q.mu.Lock()
		q.noticed++
		q.mu.Unlock()
		q.inHand(now, next, runs)
	}
}

// nextEnd names the next end of the own worker; no other node's has the same name.
func (q *Quarantine) nextEnd() CrashID {
	q.named++
	return CrashID(max(xxhash.Sum64String(fmt.Sprintf("%s/%d/%d", q.self.ID, q.life, q.named)), 1))
}

// inHand takes the runs under which the worker ended.
func (q *Quarantine) inHand(now time.Time, id CrashID, runs []Run) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.noteEnd(id, runs)
	for _, run := range runs {
		if run.Content.IsZero() {
			continue
		}
		q.table.ended(now, run.Content, end{id, q.self.ID, now, run.AlreadySuspect, run.Trial})
		q.table.records[run.Content].label = run.Label
	}
	q.convict(now, id, runs)
	for _, r := range q.judge(now, "ended here") {
		r.asideHere = true
	}
	q.wake()
}

// RunCompleted takes a whole answer of the own worker to a request.
func (q *Quarantine) RunCompleted(now time.Time, content model.Fingerprint) {
	if content.IsZero() {
		return
	}
	q.whole.add(content)
	if q.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.table.completed(now, content) {
		q.judge(now, "ran to its end here")
		q.wake()
	}
}

// maxNamed bounds the runs that one log line names.
const maxNamed = 32

func (q *Quarantine) noteEnd(id CrashID, runs []Run) {
	var names []string
	for _, r := range runs[:min(len(runs), maxNamed)] {
		names = append(names, r.Content.String()+" "+r.Label)
	}
	q.record(event.WorkerCrashed, fmt.Sprintf("%016x", uint64(id)), fmt.Sprintf("%d in hand: %s", len(runs), strings.Join(names, ", ")))
}

// judge finds who is to be put aside now and returns them; how tells what changed.
func (q *Quarantine) judge(now time.Time, how string) (aside []*record) {
	for _, j := range q.table.judge(now) {
		if j.aside {
			aside = append(aside, j.record)
			q.note(event.RequestQuarantined, j.record.content, fmt.Sprintf("%s; ends of %s; %s", how, owners(j.record), j.record.label))
			continue
		}
		q.note(event.QuarantineReleased, j.record.content, how)
	}
	q.count()
	return aside
}

// owners names the instances whose workers ended under a request.
func owners(r *record) string {
	names := make([]string, len(r.ends))
	for i, e := range r.ends {
		names[i] = string(e.owner)
	}
	return strings.Join(names, ", ")
}

func (q *Quarantine) note(id event.ID, content model.Fingerprint, detail string) {
	q.record(id, content.String(), detail)
}

// maxNotes bounds the log lines that wait.
const maxNotes = 64

func (q *Quarantine) record(id event.ID, subject, detail string) {
	if len(q.notes) < maxNotes {
		q.notes = append(q.notes, control.Record{Event: id, Subject: subject, Detail: detail})
	}
}
