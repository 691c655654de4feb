package owner

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Config holds the fixed parameters of an Owner.
type Config struct {
	Self model.Instance
	// Region is that of the own data centre; empty when unknown.
	Region model.RegionName
	// Started is the start of the process; LoadReport.Clock counts from it.
	Started time.Time
	// WorkersNameRateLimits reports whether the worker may name a rate limit in its
	// responses.
	WorkersNameRateLimits bool
	// OnBreakerChange, if not nil, is called when the breaker opens (true) and closes.
	// The owner's lock is held during the call: it must not block or call the owner.
	OnBreakerChange func(open bool)
	// BodyMemory bounds the bytes of reserved bodies that are in transit or in memory;
	// zero means DefaultBodyMemory.
	BodyMemory int64
	// Alternatives, if not nil, returns what one more attempt could expect at a few other owners
	// of the service. Tick calls it without holding the owner's lock, only while the bundle
	// lets queued attempts be given up and some are queued; it must not block.
	Alternatives func(now time.Time) []model.Alternative
}

// Owner decides which attempts run on one worker. It is safe for concurrent use; its lock
// is held for short, bounded work. All of its times are on the owner's clock, the time
// since Config.Started.
type Owner struct {
	mu  sync.Mutex
	cfg Config
	// last is the latest time seen; it keeps the clock from stepping back when concurrent
	// callers arrive out of order.
	last  time.Duration
	state model.UpstreamState
	// withdrawn: the platform's list has this upstream as leaving. unlisted: the list of
	// instances does not name the worker. evacuated: nothing may be sent to workers of
	// this data centre.
	withdrawn, unlisted, evacuated admissionStop
	// announced: the worker has said itself that it is leaving. That is final for
	// announcedWorker, whatever the list says later; worker is the one that is listed.
	announced               admissionStop
	announcedWorker, worker model.WorkerID
	hasAnnounced            bool
	// leavingAt is when the state became leaving.
	leavingAt time.Duration
	// coldSince is when the state last became cold.
	coldSince  time.Duration
	configured bool
	// soleUpstream: no other upstream of the service could run a delegated request.
	soleUpstream bool
	version      model.BundleVersion
	queueLimit   int

	inFlight int
	// starts counts the attempts that were started.
	starts uint64
	// exclusiveInFlight counts the exclusive attempts in flight.
	exclusiveInFlight int
	// slowdownSum is the sum of the slowdown over the attempts in flight.
	slowdownSum float64
	nextSeq     uint64
	pending     map[model.AttemptID]*pendingAttempt
	queue       queue
	classes     classSet
	choose      chooser
	tenants     tenantSet
	limit       limiter
	service     serviceStats
	attempts    ledger
	keys        keyTable
	serial      serialSet
	pause       pauseState
	slowdown    slowdownTracker
	breaker     breaker
	warming     warming
	rateLimit   rateLimit
	overload    overloadSpan
	bodies      reservations
	relocation  relocator
	// delayedShare is the smoothed share of offers that were not started at once.
	delayedShare float64
	// byOutcome: the bundle asks for the classes' served shares (bundle.Admission.ByOutcome).
	byOutcome bool
	// losing are the classes that lost requests in the window of their outcomes; a bundle may
	// have thousands of others, which a report need not look at.
	losing []*class
	// workerIncarnation counts the calls of WorkerRestarted.
	workerIncarnation uint64
	// decisions holds decisions until the next call that returns them.
	decisions []Decision
}

// New returns an owner whose worker is cold.
func New(cfg Config) *Owner {
	o := &Owner{
		cfg:      cfg,
		state:    model.StateCold,
		pending:  map[model.AttemptID]*pendingAttempt{},
		queue:    newQueue(),
		choose:   byShares,
		tenants:  newTenantSet(),
		limit:    newLimiter(),
		attempts: newLedger(),
		keys:     newKeyTable(),
		serial:   serialSet{},
		warming:  newWarming(),

		rateLimit: rateLimit{mayBeNamed: cfg.WorkersNameRateLimits},
	}
	o.bodies = newReservations(cfg.BodyMemory)
	o.classes = newClassSet(&o.service.all)
	return o
}

// clock converts now to the owner's clock, which never steps back.
func (o *Owner) clock(now time.Time) time.Duration {
	if t := now.Sub(o.cfg.Started); t > o.last {
		o.last = t
	}
	return o.last
}

// Configure applies the limits of a bundle to later decisions. upstreams is the number of
// live upstreams of the service; it determines this owner's part of tenants' limits.
func (o *Owner) Configure(now time.Time, b *bundle.Bundle, svc *bundle.Service, upstreams int) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.configured = true
	o.byOutcome = b.Admission.ByOutcome
	o.version = b.VersionID()
	o.queueLimit = svc.QueueLimit
	o.relocation.enabled = b.Admission.RelocateQueued
	o.limit.configure(o.slotsOf(svc), svc.Warmup())
	o.warming.configure(svc.WarmingPerSecond, svc.WarmingMost, svc.Warming())
	o.queue.prune()
	o.classes.configure(b.Classes)
	o.tenants.configure(now, b.Tenants, upstreams)
	o.soleUpstream = upstreams <= 1
	o.keys.memory = svc.KeyMemory()
	o.attempts.memory = attemptMemory(b.Classes)
	o.dispatch(t)
	return o.takeDecisions()
}

// slotsOf returns the usable slots: those of the service or of this instance's override,
// at most the connections, as each request in flight holds one.
func (o *Owner) slotsOf(svc *bundle.Service) int {
	slots, connections := svc.Slots, svc.Connections
	for _, u := range svc.Upstreams {
		if u.Instance != o.cfg.Self.ID {
			continue
		}
		if u.Slots > 0 {
			slots = u.Slots
		}
		if u.Connections > 0 {
			connections = u.Connections
		}
	}
	if connections > 0 {
		slots = min(slots, connections)
	}
	return svc.UsableSlots(max(slots, 1))
}

// SetState sets the state of the worker. Leaving is final: a smaller state after
// StateLeaving is ignored. Queued attempts are refused at once when the worker leaves
// while cold or is gone. Otherwise they stay, until Tick finds that the worker has been
// cold for coldGrace or leaving for withdrawnQueue.
func (o *Owner) SetState(now time.Time, s model.UpstreamState) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.state >= model.StateLeaving && s <= o.state {
		return o.takeDecisions()
	}
	switch {
	case s == model.StateLive && o.state != model.StateLive:
		o.limit.startWarmup(t)
	case s == model.StateCold && o.state != model.StateCold:
		o.coldSince = t
	case s == model.StateLeaving && o.state == model.StateCold, s == model.StateGone:
		o.refuseAllQueued(t, notRunRefusal(model.ReasonLeaving))
	}
	if s == model.StateLeaving {
		o.leavingAt = t
	}
	o.state = s
	o.dispatch(t)
	return o.takeDecisions()
}

// Draining reports whether the worker is to get no new work, by its own state or by the
// platform's list, so that its end is planned and not a crash.
func (o *Owner) Draining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving() || o.unlisted.active || o.keys.transfer.active
}

// leaving reports whether the worker is leaving, so that no new attempt may be admitted.
func (o *Owner) leaving() bool {
	return o.state >= model.StateLeaving || o.withdrawn.active || o.announced.active
}

// AdoptIncarnation switches to a greater incarnation, to which later attempts must be
// bound. Queued and started attempts go on. A Resolve for them under the earlier
// incarnation gets AttemptForgotten, which proves nothing.
func (o *Owner) AdoptIncarnation(inc model.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cfg.Self.Incarnation = max(o.cfg.Self.Incarnation, inc)
}

// Confirm is called right before the first byte is sent to the worker, after any delay
// since Start. False means that the time ran out meanwhile or the process was paused; the
// attempt must then be finished with NotRun.
func (o *Owner) Confirm(now time.Time, id model.AttemptID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	p := o.pending[id]
	if p == nil || !p.started {
		return false
	}
	if t >= p.deadline {
		return false
	}
	if p.pausesAtStart != o.pause.count && o.pause.blocked(t) {
		return false
	}
	if o.warming.enabled() && t-p.startedAt > warmingDelay {
		return false
	}
	p.confirmed = true
	return true
}

// Finish ends a started attempt and returns decisions on queued ones.
func (o *Owner) Finish(now time.Time, id model.AttemptID, f Completion) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	p := o.pending[id]
	if p == nil || !p.started {
		return o.takeDecisions()
	}
	if p.workerIncarnation == o.workerIncarnation {
		o.observeCompletion(t, p, f)
		o.updateBreaker(t, f)
	}
	if !f.NotRun && f.Status != 0 {
		o.endSerial(p.content)
	}
	o.recordRunOutcome(t, p, f)
	o.release(p)
	switch {
	case !f.NotRun:
		o.attempts.record(t, p, attemptDone)
		o.keys.setDone(t, p)
	case f.Delegate && p.keyed:
		o.attempts.record(t, p, attemptFenced)
		o.keys.setDelegated(t, p)
	default:
		o.attempts.record(t, p, attemptFenced)
		o.keys.remove(p)
	}
	o.dispatch(t)
	return o.takeDecisions()
}

// Cancel gives up an attempt that the entry no longer waits for. notRun reports whether
// the attempt is proved not to run: a queued one is fenced and gets a Decision, a started
// one goes on until Finish.
func (o *Owner) Cancel(now time.Time, id model.AttemptID) (notRun bool, ds []Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if p := o.pending[id]; p != nil && !p.started {
		o.refuseQueued(t, p, model.Refusal{Reason: model.ReasonCancelled, NotRun: true})
		return true, o.takeDecisions()
	}
	outcome, _ := o.attempts.find(id, 0)
	return outcome == attemptFenced, o.takeDecisions()
}

// Tick expires old records and refuses queued attempts that are late, or whose worker has
// stayed cold or stopped for too long. It is to be called about every 10 ms.
func (o *Owner) Tick(now time.Time) []Decision {
	alternatives := o.askAlternatives(now)
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.pause.unblock()
	o.expireQueued(t)
	o.relocateQueued(t, alternatives)
	o.reevaluateQueue(t)
	o.endLongSerial(t)
	o.refuseWhileCold(t)
	o.refuseStopped(t)
	o.attempts.expire(t)
	o.keys.expire(t)
	o.dispatch(t)
	o.updateReservations(t)
	return o.takeDecisions()
}

// Pending returns the number of attempts that are queued or at the worker; a shutdown
// waits until it is zero.
func (o *Owner) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.pending)
}

// InFlight returns the number of attempts at the worker.
func (o *Owner) InFlight() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inFlight
}

// KnowsClass reports whether the owner's bundle names the class.
func (o *Owner) KnowsClass(name model.ClassName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.classes.byName[name] != nil
}

// Starts returns the number of attempts that were started.
func (o *Owner) Starts() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.starts
}

// takeDecisions returns the decisions made since the last call and empties the buffer.
func (o *Owner) takeDecisions() []Decision {
	ds := o.decisions
	o.decisions = nil
	return ds
}
