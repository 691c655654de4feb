// Package calls measures retries and hedges on a fake clock: entry nodes and owners of
// one service with the product's routing, admission and retry budgets, under load with
// bursts. Workers and links are simulated as delays.
package calls

import (
	"math"
	"math/rand/v2"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/route"
)

// Parameters of the measured fleet: one service in one data centre.
const (
	fleetOwners  = 4
	fleetEntries = 8
	fleetSlots   = 20
	fleetMean    = 20 * time.Millisecond
	fleetLink    = 300 * time.Microsecond
	fleetTimeout = 250 * time.Millisecond
	fleetTick    = 10 * time.Millisecond
	// fleetRun is the length of a short run, fleetLong that of a measured one.
	fleetRun                       = 2 * time.Second
	fleetLong                      = 10 * time.Second
	fleetWarmUp                    = 500 * time.Millisecond
	fleetService model.ServiceName = "payouts"
	// retryRatio is the bundle's retry ratio, retryBudget the retry budget per path.
	retryRatio  = 0.2
	retryBudget = 2
	// burstEvery, burstLength and burstFactor define the load's bursts.
	burstEvery  = 200 * time.Millisecond
	burstLength = 10 * time.Millisecond
	burstFactor = 4
)

// epoch is the start of the fake clock.
var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

// fleet runs entry nodes and owners with the product's routing and admission on a fake
// clock. Workers and links are simulated as delays.
type fleet struct {
	now     time.Time
	events  eventqueue.Queue[func()]
	random  func() uint64
	bundle  *bundle.Bundle
	entries []*fleetEntry
	owners  []*fleetOwner
	// slowFactor multiplies the first owner's service times.
	slowFactor float64
	// pausedUntil is the end of the first owner's pause.
	pausedUntil time.Time
	timeout     time.Duration
	length      time.Duration
	// callerRetries is the number of times that a refused caller retries.
	callerRetries int
	stats         fleetStats
}

// fleetStats counts the calls that start after the warm-up.
type fleetStats struct {
	calls, answered, notRun, unknown int
	sends, refusals, runs, hedges    int
	latencies, refusedAfter          []time.Duration
}

type fleetEntry struct {
	engine *entry.Engine
	table  *route.Table
}

type fleetOwner struct {
	owner *owner.Owner
	// waiting holds a callback for each queued attempt, which runs when the owner starts
	// or refuses the attempt.
	waiting map[model.AttemptID]func(owner.DecisionKind, model.Refusal)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events.Add(f.now.Add(d), do)
}

// fleetBundle returns the bundle of the one service.
func fleetBundle() *bundle.Bundle {
	return &bundle.Bundle{
		Name: "inyange", Version: 9, Retry: bundle.Retry{PerPath: retryBudget, Ratio: retryRatio},
		Classes: []bundle.Class{{Name: "payout", Worth: 10, DeadlineMs: 1000}},
		Services: []bundle.Service{{
			Name: fleetService, Slots: fleetSlots, QueueLimit: 4 * fleetSlots, Connections: 260,
		}},
	}
}

// newFleet returns a fleet without load. run offers the load.
func newFleet(seed uint64, t entry.Tuning) *fleet {
	f := &fleet{now: epoch, random: rand.New(rand.NewPCG(seed, 1)).Uint64, slowFactor: 1, timeout: fleetTimeout, length: fleetRun}
	f.bundle = fleetBundle()
	view := &model.Fleet{Revision: 1}
	for i := range fleetOwners {
		in := model.Instance{
			ID: model.InstanceID("payouts-" + string(rune('a'+i))), Service: fleetService, DataCentre: "dc1",
			Incarnation: model.Incarnation(100 + i), State: model.StateLive,
		}
		view.Instances = append(view.Instances, in)
		f.addOwner(in)
	}
	for range fleetEntries {
		f.addEntry(view, t)
	}
	return f
}

func (f *fleet) addOwner(in model.Instance) {
	o := &fleetOwner{owner: owner.New(owner.Config{Self: in, Started: epoch}), waiting: map[model.AttemptID]func(owner.DecisionKind, model.Refusal){}}
	o.owner.Configure(f.now, f.bundle, &f.bundle.Services[0], fleetOwners)
	o.owner.SetState(f.now, model.StateLive)
	f.owners = append(f.owners, o)
	var tick func()
	tick = func() {
		o.deliver(o.owner.Tick(f.now))
		f.after(fleetTick, tick)
	}
	f.after(fleetTick, tick)
}

func (f *fleet) addEntry(view *model.Fleet, t entry.Tuning) {
	self := model.Instance{ID: model.InstanceID("vouchers-" + string(rune('a'+len(f.entries)))), Incarnation: 3}
	table := route.NewTable(route.Config{Self: self.ID, DataCentre: "dc1", LocalDelay: fleetLink, Random: f.random})
	table.Update(f.now, view, bundle.NewSet([]*bundle.Bundle{f.bundle}))
	engine := entry.NewEngine(entry.Config{Self: self, Random: f.random, Tuning: &t}, table)
	f.entries = append(f.entries, &fleetEntry{engine: engine, table: table})
}

// deliver passes decisions to the callbacks of their attempts.
func (o *fleetOwner) deliver(ds []owner.Decision) {
	for _, d := range ds {
		do := o.waiting[d.Attempt]
		delete(o.waiting, d.Attempt)
		if do != nil {
			do(d.Kind, d.Refusal)
		}
	}
}

// uniform returns a random number in (0, 1].
func (f *fleet) uniform() float64 { return (float64(f.random()>>11) + 1) / (1 << 53) }

func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(f.uniform()) * float64(mean))
}

// run offers load, a share of the fleet's capacity, with bursts for the fleet's length.
func (f *fleet) run(load float64) {
	capacity := float64(fleetOwners*fleetSlots) / fleetMean.Seconds()
	meanFactor := 1 + (burstFactor-1)*burstLength.Seconds()/burstEvery.Seconds()
	rate := load * capacity / meanFactor
	var arrive func()
	arrive = func() {
		if f.now.Sub(epoch) > f.length {
			return
		}
		f.begin(f.entries[f.random()%fleetEntries])
		r := rate
		if f.now.Sub(epoch)%burstEvery < burstLength {
			r *= burstFactor
		}
		f.after(f.exponential(time.Duration(float64(time.Second)/r)), arrive)
	}
	arrive()
	for at, do := range f.events.Until(epoch.Add(f.length + f.timeout)) {
		f.now = at
		do()
	}
}
