package entry

import (
	"math"
	"sort"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
	"gypsumstand/internal/route"
)

// Sizes of the measured fleet: one service of the brief's size, all in one data
// centre.
const (
	fleetOwners  = 4
	fleetEntries = 8
	fleetSlots   = 20
	fleetMean    = 20 * time.Millisecond
	fleetLink    = 300 * time.Microsecond
	fleetTimeout = 250 * time.Millisecond
	fleetTick    = 10 * time.Millisecond
	// fleetRun is the length of a test's run; a benchmark's is longer.
	fleetRun  = 2 * time.Second
	fleetLong = 10 * time.Second
	fleetWarm = 500 * time.Millisecond
	// burstEvery, burstLength and burstFactor shape the load's bursts.
	burstEvery  = 200 * time.Millisecond
	burstLength = 10 * time.Millisecond
	burstFactor = 4
)

// fleet runs entry nodes and owners with the product's routing and admission on
// a fake clock; workers and links are times.
type fleet struct {
	now     time.Time
	events  eventqueue.Queue[func()]
	random  func() uint64
	bundle  *bundle.Bundle
	entries []*fleetEntry
	owners  []*fleetOwner
	// slow is a factor of the first owner's service times.
	slow    float64
	timeout time.Duration
	length  time.Duration
	stats   fleetStats
}

// fleetStats counts calls begun after the warm-up.
type fleetStats struct {
	calls, answered, notRun, unknown int
	sends, refusals, runs            int
	latencies, refusedAfter          []time.Duration
}

type fleetEntry struct {
	engine *Engine
	table  *route.Table
}

type fleetOwner struct {
	owner *owner.Owner
	// waiting holds what is done once a queued attempt starts or is refused.
	waiting map[model.AttemptID]func(owner.Verdict, model.Refusal)
}

func (f *fleet) after(d time.Duration, do func()) {
	f.events.Add(f.now.Add(d), do)
}

func newFleet(seed uint64, t tuning) *fleet {
	f := &fleet{now: epoch, random: seeded(seed), slow: 1, timeout: fleetTimeout, length: fleetRun}
	f.bundle = testTarget().Bundle
	f.bundle.Services[0].QueueLimit = 4 * fleetSlots
	f.bundle.Services[0].Slots = fleetSlots
	f.bundle.Services[0].Connections = 260
	view := &model.Fleet{Revision: 1}
	for i := range fleetOwners {
		in := model.Instance{
			ID: model.InstanceID("payouts-" + string(rune('a'+i))), Service: testService, DataCentre: "dc1",
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
	o := &fleetOwner{owner: owner.New(owner.Config{Self: in, Started: epoch}), waiting: map[model.AttemptID]func(owner.Verdict, model.Refusal){}}
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

func (f *fleet) addEntry(view *model.Fleet, t tuning) {
	self := model.Instance{ID: model.InstanceID("vouchers-" + string(rune('a'+len(f.entries)))), Incarnation: 3}
	table := route.NewTable(route.Config{Self: self.ID, DataCentre: "dc1", LocalDelay: fleetLink, Random: f.random})
	table.Update(f.now, view, bundle.NewSet([]*bundle.Bundle{f.bundle}))
	engine := newEngine(Config{Self: self, Random: f.random}, table)
	engine.tuning = t
	f.entries = append(f.entries, &fleetEntry{engine: engine, table: table})
}

func (o *fleetOwner) deliver(ds []owner.Decision) {
	for _, d := range ds {
		do := o.waiting[d.Attempt]
		delete(o.waiting, d.Attempt)
		if do != nil {
			do(d.Verdict, d.Refusal)
		}
	}
}

// uniform returns a number in (0, 1].
func (f *fleet) uniform() float64 { return (float64(f.random()>>11) + 1) / (1 << 53) }

func (f *fleet) exponential(mean time.Duration) time.Duration {
	return time.Duration(-math.Log(f.uniform()) * float64(mean))
}

// run offers share of the fleet's capacity with bursts for its length.
func (f *fleet) run(share float64) {
	capacity := float64(fleetOwners*fleetSlots) / fleetMean.Seconds()
	meanFactor := 1 + (burstFactor-1)*burstLength.Seconds()/burstEvery.Seconds()
	rate := share * capacity / meanFactor
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

// fleetCall is a call with what it counts.
type fleetCall struct {
	fleet   *fleet
	entry   *fleetEntry
	call    *Call
	began   time.Time
	counted bool
	over    bool
}

func (f *fleet) begin(e *fleetEntry) {
	r := testRequest()
	r.Target = bundle.Target{Bundle: f.bundle, Service: &f.bundle.Services[0], Class: &f.bundle.Classes[0]}
	r.Idempotent = true
	r.Timeout = f.timeout
	x := &fleetCall{fleet: f, entry: e, call: e.engine.Begin(f.now, r), began: f.now}
	x.counted = f.now.Sub(epoch) > fleetWarm
	x.next()
}

func (x *fleetCall) next() {
	f := x.fleet
	switch s := x.call.Next(f.now); s.Kind {
	case StepSend:
		x.send(s)
	case StepWait:
		f.after(s.Until.Sub(f.now), x.next)
	case StepEnd:
		x.end(s)
	}
}

func (x *fleetCall) send(s Step) {
	f := x.fleet
	x.count(&f.stats.sends)
	attempt := s.Attempt
	done := false
	// report hands the owner's word over, unless the attempt was given up.
	report := func(o *fleetOwner, what func()) {
		r := o.owner.Report(f.now)
		f.after(fleetLink, func() {
			x.entry.table.Observe(f.now, r)
			if !done {
				done = true
				x.call.Report(f.now, r)
				what()
				x.next()
			}
		})
	}
	f.after(fleetLink, func() { f.offer(x, &attempt, report) })
	f.after(s.Until.Sub(f.now), func() {
		if !done {
			done = true
			x.call.Broken(f.now, false)
			x.next()
		}
	})
}

// offer gives an attempt to its owner and runs it when the owner starts it.
func (f *fleet) offer(x *fleetCall, a *model.Attempt, report func(*fleetOwner, func())) {
	o := f.ownerOf(a.Owner)
	decided := func(v owner.Verdict, r model.Refusal) {
		if v == owner.Refuse {
			x.count(&f.stats.refusals)
			report(o, func() { x.call.Refused(f.now, r) })
			return
		}
		x.count(&f.stats.runs)
		took := f.exponential(fleetMean)
		if o == f.owners[0] {
			took = time.Duration(float64(took) * f.slow)
		}
		f.after(took, func() {
			o.deliver(o.owner.Finish(f.now, a.ID, owner.Finish{ServiceTime: took, Status: 200}))
			report(o, func() { x.call.Answered(f.now, false) })
		})
	}
	v, r := o.owner.Offer(f.now, a, false)
	if v == owner.Wait {
		o.waiting[a.ID] = decided
		return
	}
	decided(v, r)
}

func (f *fleet) ownerOf(id model.InstanceID) *fleetOwner {
	return f.owners[int(id[len(id)-1]-'a')]
}

func (x *fleetCall) count(n *int) {
	if x.counted {
		*n++
	}
}

func (x *fleetCall) end(s Step) {
	st := &x.fleet.stats
	if x.over || !x.counted {
		return
	}
	x.over = true
	st.calls++
	took := x.fleet.now.Sub(x.began)
	switch s.Outcome {
	case model.OutcomeAnswered:
		st.answered++
		st.latencies = append(st.latencies, took)
	case model.OutcomeNotRun:
		st.notRun++
		st.refusedAfter = append(st.refusedAfter, took)
	default:
		st.unknown++
	}
}

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := append([]time.Duration(nil), list...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	return sorted[int(q*float64(len(sorted)-1))]
}
