// Package route chooses the upstream of an attempt from estimates that are always stale.
// Pick reads an immutable picker and per-upstream atomic cells; it takes no lock and
// allocates nothing. Update, called by the route controller, replaces the picker. Design:
// docs/DESIGN.md, "Routing".
package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gypsumstand/internal/model"
)

// Config is the fixed configuration of a table.
type Config struct {
	Self       model.InstanceID
	DataCentre model.DataCentre
	// Regions holds the region of each data centre.
	Regions model.DataCentreRegions
	// LocalDelay and RemoteDelay are the initial guesses of the one-way link time within and
	// between data centres, until they are measured. Zero means 100 µs and 1 ms.
	LocalDelay  time.Duration
	RemoteDelay time.Duration
	// Random returns uniform 64-bit values and is safe for concurrent use; nil
	// means math/rand/v2's global source.
	Random func() uint64
	// RemoteCost is the cost of an attempt to another data centre in addition to its
	// latency, as traffic between data centres is paid for. Zero means none.
	RemoteCost time.Duration
	// LeavingTTL is how long an owner that announced that it is leaving gets no attempts;
	// zero means for as long as its incarnation is the newest known one.
	LeavingTTL time.Duration
	// Policy selects how Pick chooses. The zero value is the policy of nodes, the others are
	// baselines for benchmarks.
	Policy Policy
	// Tuning replaces parameters of PolicyExpectedTime in simulations; nil means
	// DefaultTuning.
	Tuning *Tuning
}

// Query describes a request that needs an upstream.
type Query struct {
	Service   model.ServiceName
	Class     model.ClassName
	Remaining time.Duration
	// Tried lists owners that the request must not be sent to now.
	Tried []model.InstanceID
	// Regions are those in which the request may run.
	Regions model.Regions
	// BodyBytes is the length of a large body, in bytes. The cost of another data centre
	// grows with it.
	BodyBytes int64
}

// Choice is a chosen upstream.
type Choice struct {
	// Instance is as in the fleet's view, except that its incarnation is the one that its
	// owner last reported if that is newer.
	Instance model.Instance
	// Expected is the estimated time to the complete response.
	Expected time.Duration
	// OwnerClock is the lower bound of the owner's clock now; see
	// model.Attempt.OwnerClock.
	OwnerClock time.Duration
	Estimate   EstimateSummary
}

// EstimateSummary is the estimate on which a choice is based.
type EstimateSummary struct {
	// Reported reports whether the owner sent a load report, Age how long ago.
	Reported bool
	Age      time.Duration
	// Load is the expected number of requests at the owner.
	Load float64
	// Expected is the estimated time to the complete response.
	Expected time.Duration
}

// Result is how an attempt ended.
type Result struct {
	Latency time.Duration
	// OwnerTime is the part of Latency from the attempt's arrival at its owner to the
	// response, as the owner reported it; zero means not known. The rest of Latency is
	// network time.
	OwnerTime time.Duration
	// Failed reports that the worker failed the attempt or the connection to the owner
	// failed.
	Failed bool
	// Refused is the reason of the owner's refusal, or ReasonNone.
	Refused    model.Reason
	RetryAfter time.Duration
}

// Table chooses among the upstreams of all services. All methods are safe for
// concurrent use.
type Table struct {
	cfg    Config
	tuning Tuning
	policy policy
	picker atomic.Pointer[picker]
}

// NewTable returns a table without upstreams.
func NewTable(cfg Config) *Table {
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	if cfg.LocalDelay <= 0 {
		cfg.LocalDelay = defaultLocalDelay
	}
	if cfg.RemoteDelay <= 0 {
		cfg.RemoteDelay = defaultRemoteDelay
	}
	t := &Table{cfg: cfg, tuning: DefaultTuning(), policy: cfg.Policy.implementation()}
	if cfg.Tuning != nil {
		t.tuning = *cfg.Tuning
	}
	t.picker.Store(emptyPicker)
	return t
}

// Pick chooses an upstream; ok is false when none is known or all were tried, are leaving
// or are unreachable. It never blocks.
func (t *Table) Pick(now time.Time, q *Query) (c Choice, ok bool) {
	p := t.picker.Load()
	svc := p.services[q.Service]
	if svc == nil {
		return Choice{}, false
	}
	nanos := p.nanos(now)
	u := t.policy.choose(t, svc, nanos, *q)
	if u == nil {
		return Choice{}, false
	}
	return t.choice(u, nanos, q), true
}

// choice returns the Choice of an upstream.
func (t *Table) choice(u *upstream, now int64, q *Query) Choice {
	c := Choice{Instance: u.instance}
	c.Instance.Incarnation = u.cell.incarnation()
	if last := u.cell.lastReport.Load(); last != nil {
		c.OwnerClock = last.ownerClock(now)
	}
	e := t.estimate(u, now, q.Remaining, 0)
	c.Expected = time.Duration(e.latency())
	c.Estimate = EstimateSummary{Reported: e.reported, Load: e.load, Expected: c.Expected}
	if e.reported {
		c.Estimate.Age = time.Duration(e.age)
	}
	return c
}

// OwnerClock returns a lower bound of the current clock of id's owner, 0 without any
// report; see model.Attempt.OwnerClock.
func (t *Table) OwnerClock(now time.Time, id model.InstanceID) time.Duration {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return 0
	}
	last := u.cell.lastReport.Load()
	if last == nil {
		return 0
	}
	return last.ownerClock(p.nanos(now))
}

// Sent counts an attempt in flight. Done must follow.
func (t *Table) Sent(now time.Time, id model.InstanceID) {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return
	}
	nanos := p.nanos(now)
	u.cell.countSend(nanos)
	t.scheduleNextTurn(u, nanos)
	u.service.stats.lastCalled.Store(nanos)
}

// Done ends an attempt that Sent counted, and learns from its result.
func (t *Table) Done(now time.Time, id model.InstanceID, r Result) {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return
	}
	nanos := p.nanos(now)
	u.cell.countEnd(nanos)
	u.addResult(nanos, &r)
}

// Observe takes over an owner's load report. It ignores one that is older than the last one
// or of an older incarnation.
func (t *Table) Observe(now time.Time, r model.LoadReport) {
	p := t.picker.Load()
	if u := p.byID[r.Owner]; u != nil {
		t.observe(u, p.nanos(now), &r)
	}
}

func (t *Table) observe(u *upstream, now int64, r *model.LoadReport) {
	if u.observe(now, r, t.cfg.LeavingTTL == 0) {
		t.noteWarming(u, now, r)
	}
}

// ObserveProbe takes over a load report that was requested by a probe. Only the baseline
// PolicyPolledTwoChoices distinguishes it from Observe.
func (t *Table) ObserveProbe(now time.Time, r model.LoadReport) {
	p := t.picker.Load()
	u := p.byID[r.Owner]
	if u == nil {
		return
	}
	u.cell.polledLoad.Store(int64(r.InFlight) + int64(r.Queued))
	t.observe(u, p.nanos(now), &r)
}
