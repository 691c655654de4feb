// Package route chooses the upstream of an attempt from estimates that are
// always stale. Pick reads an immutable picker and per-upstream atomic cells;
// it takes no lock and allocates nothing. Update, called by the route
// controller, swaps the picker. Design: docs/DESIGN.md, "Routing".
package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gypsumstand/internal/model"
)

// Config is a table's fixed setting.
type Config struct {
	Self       model.InstanceID
	DataCentre model.DataCentre
	// Regions names the region of each data centre.
	Regions model.DataCentreRegions
	// LocalDelay and RemoteDelay are the first guesses of one-way link time
	// within and between data centres; measured times replace them. Zero means
	// 100 µs and 1 ms.
	LocalDelay  time.Duration
	RemoteDelay time.Duration
	// Random returns uniform 64-bit values and is safe for concurrent use; nil
	// means math/rand/v2's global source.
	Random func() uint64
	// RemoteCost is what an attempt to another data centre costs beside its time: the
	// traffic between them is paid for. Zero means nothing.
	RemoteCost time.Duration
	// LeavingTTL is how long an owner's own word that it leaves keeps attempts
	// away; zero means for as long as its incarnation is the newest known.
	LeavingTTL time.Duration
	// Policy selects how Pick chooses; the zero value is the product's policy.
	// The others are baselines for benchmarks only.
	Policy Policy
	// Tuning replaces parts of the product's policy, for measurements only; nil
	// means DefaultTuning.
	Tuning *Tuning
}

// Query asks for an upstream.
type Query struct {
	Service   model.ServiceName
	Class     model.ClassName
	Remaining time.Duration
	// Tried lists owners that this request must not be sent to again now.
	Tried []model.InstanceID
	// Regions are those in which the request may run.
	Regions model.Regions
}

// Choice is a chosen upstream.
type Choice struct {
	// Instance is as the fleet shows it, with the incarnation that its owner
	// last reported when that is newer.
	Instance model.Instance
	// Expected is the estimated time to the whole answer.
	Expected time.Duration
	// OwnerClock is the lower bound of the owner's clock now; see
	// model.Attempt.OwnerClock.
	OwnerClock time.Duration
	Estimate   EstimateSummary
}

// EstimateSummary is what a choice rested on.
type EstimateSummary struct {
	// Reported tells whether a report was heard, Age how long ago.
	Reported bool
	Age      time.Duration
	// Load is the expected number of requests at the owner.
	Load float64
	// Expected is the estimated time to the whole answer.
	Expected time.Duration
}

// Result tells how an attempt at a choice ended.
type Result struct {
	Latency time.Duration
	// OwnerTime is the part of Latency that the attempt spent at its owner, from
	// arrival to answer, as the owner tells it; zero means not known. Latency
	// less Held is the time that the way took.
	OwnerTime time.Duration
	// Failed: the worker failed it, or the way broke.
	Failed bool
	// Refused, when not ReasonNone, is the owner's refusal.
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

// Pick chooses an upstream; ok is false when none is known, or all were tried,
// are leaving or out of reach. It never blocks.
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

// choice describes a chosen upstream.
func (t *Table) choice(u *upstream, now int64, q *Query) Choice {
	c := Choice{Instance: u.instance}
	c.Instance.Incarnation = u.cell.incarnation()
	if h := u.cell.heard.Load(); h != nil {
		c.OwnerClock = h.ownerClock(now)
	}
	e := t.estimate(u, now, q.Remaining, 0)
	c.Expected = time.Duration(e.latency())
	c.Estimate = EstimateSummary{Reported: e.heard, Load: e.load, Expected: c.Expected}
	if e.heard {
		c.Estimate.Age = time.Duration(e.age)
	}
	return c
}

// OwnerClock returns a lower bound of the clock of id's owner now, 0 when no
// report of it was heard; see model.Attempt.OwnerClock.
func (t *Table) OwnerClock(now time.Time, id model.InstanceID) time.Duration {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return 0
	}
	h := u.cell.heard.Load()
	if h == nil {
		return 0
	}
	return h.ownerClock(p.nanos(now))
}

// Sent counts an attempt in flight at the choice. Done must follow.
func (t *Table) Sent(now time.Time, id model.InstanceID) {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return
	}
	nanos := p.nanos(now)
	u.cell.sendOne(nanos)
	t.offered(u, nanos)
	u.service.stats.lastCalled.Store(nanos)
}

// Done ends what Sent began and learns from the result.
func (t *Table) Done(now time.Time, id model.InstanceID, r Result) {
	p := t.picker.Load()
	u := p.byID[id]
	if u == nil {
		return
	}
	nanos := p.nanos(now)
	u.cell.endOne(nanos)
	u.learn(nanos, &r)
}

// Observe takes an owner's load report. An older one than the last of the same
// incarnation is ignored, and so is one of an older incarnation.
func (t *Table) Observe(now time.Time, r model.LoadReport) {
	p := t.picker.Load()
	if u := p.byID[r.Owner]; u != nil {
		t.observe(u, p.nanos(now), &r)
	}
}

func (t *Table) observe(u *upstream, now int64, r *model.LoadReport) {
	if u.observe(now, r, t.cfg.LeavingTTL == 0) {
		t.heardWarming(u, now, r)
	}
}

// ObserveProbe takes a load report that was asked for by a message of its own.
// Only the baseline PolicyPolledTwoChoices tells it from Observe.
func (t *Table) ObserveProbe(now time.Time, r model.LoadReport) {
	p := t.picker.Load()
	u := p.byID[r.Owner]
	if u == nil {
		return
	}
	u.cell.polledLoad.Store(int64(r.InFlight) + int64(r.Queued))
	t.observe(u, p.nanos(now), &r)
}
