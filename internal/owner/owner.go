package owner

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Config is an owner's fixed setting.
type Config struct {
	Self model.Instance
	// Region is that of the own data centre; empty where none is known.
	Region model.RegionName
	// Started is the process's start; LoadReport.Clock counts from it.
	Started time.Time
	// OnBreakerChange is told when the breaker opens (true) and closes. It is called with
	// the owner's lock held: it must not block nor call the owner. nil means nobody.
	OnBreakerChange func(open bool)
}

// DecisionKind is the owner's answer to an offered attempt.
type DecisionKind uint8

// The verdicts.
const (
	// Start: send it to the worker now; Finish must follow.
	Start DecisionKind = iota
	// Wait: queued; a Decision follows from a later call.
	Queue
	// Refuse: see the refusal.
	Refuse
)

// Decision ends the waiting of a queued attempt.
type Decision struct {
	Attempt model.AttemptID
	// DecisionKind is Start or Refuse.
	Kind    DecisionKind
	Refusal model.Refusal
}

// Completion tells how a started attempt ended at the worker.
type Completion struct {
	// ServiceTime from start to the whole answer.
	ServiceTime time.Duration
	// NotRun: proved that the worker did not run it (no byte left, or it said
	// so); the attempt is barred and the request id freed. After a Confirm that
	// was true, NotRun without Shed means that the worker could not be reached.
	NotRun bool
	// Delegate, with NotRun, keeps the request id as delegated in place of
	// freeing it: the caller of Finish then refuses with ReasonDelegated and the
	// entry may place the request elsewhere. It has no effect on attempts that
	// carry no caller's key.
	Delegate bool
	// Failed: the worker answered with a server error, broke or timed out.
	Failed bool
	// Shed: the worker refused for load.
	Shed bool
	// Whim: the worker refused although it had room, so that fewer attempts at once
	// would not help. It counts as a failure, and with NotRun the attempt did not run.
	SpuriousRefusal bool
	// Expired, with Failed: the attempt's time ran out before a whole answer came.
	Expired bool
	// Abandoned: the entry gave the attempt up, or its time ended before a byte
	// left, so that its end says nothing of the worker.
	Abandoned bool
	// Status is the worker's HTTP status; 0 when there was no whole answer.
	Status int
}

// Owner is safe for concurrent use; its lock is held for short, bounded work.
// All of its times are on the owner's clock: the time since Config.Started.
type Owner struct {
	mu  sync.Mutex
	cfg Config
	// last is the newest time seen, so that the clock never steps back when
	// concurrent callers arrive out of order.
	last  time.Duration
	state model.UpstreamState
	// withdrawn: the platform's list says that this upstream leaves. unlisted: the list of
	// instances does not name the worker. evacuated: nothing is to be sent to workers of this
	// data centre.
	withdrawn, unlisted, evacuated ban
	// leavingAt is when the state became leaving.
	leavingAt time.Duration
	// coldSince is when the state last became cold.
	coldSince  time.Duration
	configured bool
	// alone: no other upstream of the service could run what is delegated.
	alone      bool
	version    model.BundleVersion
	queueLimit int

	inFlight int
	// alones counts what is in flight that is to run alone.
	alones int
	// slowed is the sum of the slowness of what is in flight.
	slowed   float64
	nextSeq  uint64
	live     map[model.AttemptID]*item
	queue    queue
	classes  classSet
	choose   chooser
	tenants  tenantSet
	limit    limiter
	speed    speed
	attempts ledger
	keys     keyTable
	pause    pauseState
	pace     pacing
	breaker  breaker
	warming  warming
	overload overloadSpan
	// delayed is the smoothed share of offers that were not started at once.
	delayed float64
	// life counts the worker's lives that were told by Restarted.
	life uint64
	// out holds decisions until the next call that returns some.
	out []Decision
}

// New returns a cold owner.
func New(cfg Config) *Owner {
	o := &Owner{
		cfg:      cfg,
		state:    model.StateCold,
		live:     map[model.AttemptID]*item{},
		queue:    newQueue(),
		choose:   byShares,
		tenants:  newTenantSet(),
		limit:    newLimiter(),
		attempts: newLedger(),
		keys:     newKeyTable(),
		warming:  newWarming(),
	}
	o.classes = newClassSet(&o.speed.all)
	return o
}

// clock turns now into the owner's clock, which never steps back.
func (o *Owner) clock(now time.Time) time.Duration {
	if t := now.Sub(o.cfg.Started); t > o.last {
		o.last = t
	}
	return o.last
}

// Configure applies the limits of a bundle to later decisions. upstreams is the
// number of live upstreams of the service, for this owner's part of tenants'
// limits.
func (o *Owner) Configure(now time.Time, b *bundle.Bundle, svc *bundle.Service, upstreams int) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.configured = true
	o.version = b.VersionID()
	o.queueLimit = svc.QueueLimit
	o.limit.configure(o.slotsOf(svc), svc.Warmup())
	o.warming.configure(svc.WarmingPerSecond, svc.WarmingMost, svc.Warming())
	o.queue.prune()
	o.classes.configure(b.Classes)
	o.tenants.configure(now, b.Tenants, upstreams)
	o.alone = upstreams <= 1
	o.keys.memory = svc.KeyMemory()
	o.attempts.memory = attemptMemory(b.Classes)
	o.dispatch(t)
	return o.take()
}

// slotsOf applies the override of this instance, and the number of connections,
// as each request in flight holds one.
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

// SetState sets the life stage. Leaving never turns back: a smaller state after
// StateLeaving is ignored. Queued attempts stay, but for those that a worker
// gone cold keeps waiting longer than coldGrace (see Tick), or that leaving or
// the end finds waiting for a worker that does not run.
func (o *Owner) SetState(now time.Time, s model.UpstreamState) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.state >= model.StateLeaving && s <= o.state {
		return o.take()
	}
	switch {
	case s == model.StateLive && o.state != model.StateLive:
		o.limit.warm(t)
	case s == model.StateCold && o.state != model.StateCold:
		o.coldSince = t
	case s == model.StateLeaving && o.state == model.StateCold, s == model.StateGone:
		o.turnAwayAll(t, notRun(model.ReasonLeaving))
	}
	if s == model.StateLeaving {
		o.leavingAt = t
	}
	o.state = s
	o.dispatch(t)
	return o.take()
}

// Draining tells whether the worker is to get no new work, by its own or the platform's
// word, so that its end is a planned one.
func (o *Owner) Draining() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.leaving() || o.unlisted.holds
}

// leaving tells whether no new attempt may be admitted any more.
func (o *Owner) leaving() bool { return o.state >= model.StateLeaving || o.withdrawn.holds }

// AdoptIncarnation takes a greater incarnation, under which later attempts must be bound.
// What is queued or started goes on; questions about it under the earlier
// incarnation are answered as forgotten, which claims nothing.
func (o *Owner) AdoptIncarnation(inc model.Incarnation) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cfg.Self.Incarnation = max(o.cfg.Self.Incarnation, inc)
}

// Confirm is called right before the first byte goes to the worker, after any
// delay since Start: false means that the time ran out meanwhile or the process
// was paused, and the attempt must be finished as not run.
func (o *Owner) Confirm(now time.Time, id model.AttemptID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	it := o.live[id]
	if it == nil || !it.started {
		return false
	}
	if t >= it.deadline {
		return false
	}
	if it.pauses != o.pause.count && o.pause.doubted(t) {
		return false
	}
	if o.warming.bounds() && t-it.startedAt > warmingDelay {
		return false
	}
	it.confirmed = true
	return true
}

// Completion ends a started attempt and returns who may start next.
func (o *Owner) Finish(now time.Time, id model.AttemptID, f Completion) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	it := o.live[id]
	if it == nil || !it.started {
		return o.take()
	}
	if it.life == o.life {
		o.learn(t, it, f)
		o.noteBreak(t, f)
	}
	o.release(it)
	switch {
	case !f.NotRun:
		o.attempts.end(t, it, attemptDone)
		o.keys.done(t, it)
	case f.Delegate && it.keyed:
		o.attempts.end(t, it, attemptBarred)
		o.keys.delegate(t, it)
	default:
		o.attempts.end(t, it, attemptBarred)
		o.keys.free(it)
	}
	o.dispatch(t)
	return o.take()
}

// Cancel gives up an attempt that the entry no longer waits for. notRun tells
// whether it was still queued (and is now barred); a started one goes on until
// Finish. A queued one's waiting ends with a Decision as any other's.
func (o *Owner) Cancel(now time.Time, id model.AttemptID) (notRun bool, ds []Decision) {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if it := o.live[id]; it != nil && !it.started {
		o.turnAway(t, it, model.Refusal{Reason: model.ReasonCancelled, NotRun: true})
		return true, o.take()
	}
	rec, _ := o.attempts.find(id, 0)
	return rec == attemptBarred, o.take()
}

// Tick expires queued attempts and old records; call it every 10 ms or so.
func (o *Owner) Tick(now time.Time) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.pause.refresh()
	o.expire(t)
	o.refuseHopeless(t)
	o.refuseWhileCold(t)
	o.refuseWithdrawn(t)
	o.attempts.forget(t)
	o.keys.forget(t)
	o.dispatch(t)
	return o.take()
}

// Pending returns the number of attempts that are queued or at the worker; a
// stop waits until it is zero.
func (o *Owner) Pending() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.live)
}

// Running returns the number of attempts at the worker.
func (o *Owner) Running() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.inFlight
}

// take returns the decisions made since the last call and empties the buffer.
func (o *Owner) take() []Decision {
	ds := o.out
	o.out = nil
	return ds
}
