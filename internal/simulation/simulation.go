// Package simulation compares policies of routing, and the parts of the product's,
// on an event-driven model of one service: entry nodes with a table each,
// upstreams with slots, a queue and an owner that refuses what cannot be done in
// time, links with a delay, and load in bursts. Reports ride on answers and
// refusals. It is no model of a cluster: package experiment measures one.
package simulation

import (
	"math/rand/v2"
	"sort"
	"time"

	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// Shape of the model.
const (
	entryCount   = 11
	slotCount    = 20
	queueLimit   = 80
	meanService  = 10 * time.Millisecond
	timeout      = 100 * time.Millisecond
	warmUp       = 500 * time.Millisecond
	runLength    = 2500 * time.Millisecond
	starvedDelay = 15 * time.Millisecond
	localDelay   = 100 * time.Microsecond
	remoteDelay  = time.Millisecond
	maxAttempts  = 4
	// tailMeans is the service time in means that the owner keeps of the
	// remaining time.
	tailMeans = 3
	// Three tenths of the load come in bursts of 5 to 20 ms at one entry, 20 a
	// second.
	burstShare      = 0.3
	burstsPerSecond = 20
	burstMean       = 12500 * time.Microsecond
	pollEvery       = 20 * time.Millisecond
	dataCentres     = 3
	serviceName     = "s"
)

// start is when a run begins, as the tables are told.
var start = time.Unix(1_000_000, 0)

// Scenario is what a run plays.
type Scenario struct {
	Upstreams int
	// Load is the offered share of the capacity that the fault leaves.
	Load  float64
	Fault Fault
}

// Run plays a scenario with one contender. The same seed gives the same load to
// every contender.
func Run(seed uint64, sc Scenario, c Contender) Outcome {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1))}
	fleet := s.addUpstreams(seed, sc)
	s.addEntries(seed, fleet, c)
	capacity := (float64(sc.Upstreams-1) + sc.Fault.capacity()) * slotCount / meanService.Seconds()
	rate := sc.Load * capacity
	s.arrivals((1-burstShare)*rate, runLength, s.anyEntry)
	s.bursts(burstShare * rate / (burstsPerSecond * burstMean.Seconds()))
	s.run()
	return s.outcome()
}

// addUpstreams adds the scenario's upstreams, the first with the fault, and
// returns them as the entry nodes see them.
func (s *sim) addUpstreams(seed uint64, sc Scenario) *model.Fleet {
	fleet := &model.Fleet{}
	for i := range sc.Upstreams {
		u := &upstream{
			sim: s, dc: i % dataCentres, id: model.InstanceID(rune('a' + i)), service: float64(meanService),
			rng: rand.New(rand.NewPCG(seed, uint64(10+i))),
		}
		if i == 0 {
			u.fault = sc.Fault
		}
		s.upstreams = append(s.upstreams, u)
		fleet.Instances = append(fleet.Instances, model.Instance{
			ID: u.id, Service: serviceName, DataCentre: dataCentre(u.dc), Incarnation: 1, State: model.StateLive,
		})
	}
	return fleet
}

// addEntries adds the entry nodes, each with a table of the contender's kind.
func (s *sim) addEntries(seed uint64, fleet *model.Fleet, c Contender) {
	choice := rand.New(rand.NewPCG(seed, 2))
	for i := range entryCount {
		e := &entryNode{sim: s, dc: i % dataCentres}
		e.table = route.NewTable(route.Config{
			DataCentre: dataCentre(e.dc), LocalDelay: localDelay, RemoteDelay: remoteDelay,
			Random: choice.Uint64, Policy: c.Policy, Tuning: c.tuning(),
		})
		e.table.Update(start, fleet, nil)
		s.entries = append(s.entries, e)
		if c.Policy == route.PolicyPolledTwoChoices {
			for _, u := range s.upstreams {
				s.poll(e, u)
			}
		}
	}
}

func dataCentre(i int) model.DataCentre { return model.DataCentre(rune('0' + i)) }

// sim is one run.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventqueue.Queue[func()]
	entries   []*entryNode
	upstreams []*upstream
	// latencies of all requests that arrived after warmUp; those not answered
	// count as the deadline.
	latencies []time.Duration
	answered  int
	messages  int
}

func (s *sim) after(d time.Duration, do func()) { s.events.Add(s.clock().Add(d), do) }

// clock returns the time that the tables are told.
func (s *sim) clock() time.Time { return start.Add(s.now) }

func (s *sim) run() {
	for at, do := range s.events.Until(start.Add(runLength + timeout)) {
		s.now = at.Sub(start)
		do()
	}
}

// Outcome is what one run measured.
type Outcome struct {
	// P50 and P99 are latencies; a call that was not answered counts as its
	// deadline.
	P50, P99 time.Duration
	// WithinDeadline is the share of calls answered in deadline.
	WithinDeadline float64
	// Messages is the number of measuring messages per answered call.
	Messages float64
}

func (s *sim) finish(began time.Duration, ok bool) {
	if began < warmUp {
		return
	}
	latency := s.now - began
	if !ok || latency > timeout {
		latency = timeout
	} else {
		s.answered++
	}
	s.latencies = append(s.latencies, latency)
}

func (s *sim) outcome() Outcome {
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	n := len(s.latencies)
	return Outcome{
		P50:            s.latencies[n/2],
		P99:            s.latencies[n*99/100],
		WithinDeadline: float64(s.answered) / float64(n),
		Messages:       float64(s.messages) / float64(max(1, s.answered)),
	}
}
