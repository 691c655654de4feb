// Package simulation compares routing policies, and variants of the product's policy, on
// an event-driven model of one service: entry nodes with a routing table each, upstreams
// with slots, a queue and an owner that refuses requests that cannot meet their deadline,
// links with a delay, and load with bursts. Load reports are piggybacked on responses and
// refusals. It does not model a cluster; package experiment measures one.
package simulation

import (
	"math/rand/v2"
	"sort"
	"time"

	"gypsumstand/internal/eventqueue"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// Parameters of the model.
const (
	entryCount    = 11
	slotCount     = 20
	queueLimit    = 80
	meanService   = 10 * time.Millisecond
	timeout       = 100 * time.Millisecond
	warmUp        = 500 * time.Millisecond
	runLength     = 2500 * time.Millisecond
	slowLinkDelay = 15 * time.Millisecond
	localDelay    = 100 * time.Microsecond
	remoteDelay   = time.Millisecond
	maxAttempts   = 4
	// tailMeans is the part of the remaining time that the owner reserves for the run
	// itself, in mean service times.
	tailMeans = 3
	// burstShare of the load arrives in bursts of 5 to 20 ms at one entry each,
	// burstsPerSecond on average.
	burstShare      = 0.3
	burstsPerSecond = 20
	burstMean       = 12500 * time.Microsecond
	pollEvery       = 20 * time.Millisecond
	dataCentres     = 3
	serviceName     = "s"
)

// epoch is the start of every run on the fake clock.
var epoch = time.Unix(1_000_000, 0)

// Scenario describes a run.
type Scenario struct {
	Upstreams int
	// Load is the offered load as a share of the capacity that the fault leaves.
	Load  float64
	Fault Fault
}

// Run simulates a scenario with one contender. The same seed gives every contender the
// same load.
func Run(seed uint64, sc Scenario, c Contender) Outcome {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1))}
	fleet := s.addUpstreams(seed, sc)
	s.addEntries(seed, fleet, c)
	capacity := (float64(sc.Upstreams-1) + sc.Fault.remainingCapacity()) * slotCount / meanService.Seconds()
	rate := sc.Load * capacity
	s.arrivals((1-burstShare)*rate, runLength, s.randomEntry)
	s.bursts(burstShare * rate / (burstsPerSecond * burstMean.Seconds()))
	s.run()
	return s.outcome()
}

// addUpstreams adds the scenario's upstreams, the first with the fault, and returns the
// fleet that entry nodes see.
func (s *sim) addUpstreams(seed uint64, sc Scenario) *model.Fleet {
	fleet := &model.Fleet{}
	for i := range sc.Upstreams {
		u := &upstream{
			sim: s, dc: i % dataCentres, id: model.InstanceID(rune('a' + i)), meanServiceTime: float64(meanService),
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

// addEntries adds the entry nodes, each with a table that uses the contender's policy.
func (s *sim) addEntries(seed uint64, fleet *model.Fleet, c Contender) {
	choice := rand.New(rand.NewPCG(seed, 2))
	for i := range entryCount {
		e := &entryNode{sim: s, dc: i % dataCentres}
		e.table = route.NewTable(route.Config{
			DataCentre: dataCentre(e.dc), LocalDelay: localDelay, RemoteDelay: remoteDelay,
			Random: choice.Uint64, Policy: c.Policy, Tuning: c.tuning(),
		})
		e.table.Update(epoch, fleet, nil)
		s.entries = append(s.entries, e)
		if c.Policy == route.PolicyPolledTwoChoices {
			for _, u := range s.upstreams {
				s.poll(e, u)
			}
		}
	}
}

func dataCentre(i int) model.DataCentre { return model.DataCentre(rune('0' + i)) }

// sim is the state of one run.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	events    eventqueue.Queue[func()]
	entries   []*entryNode
	upstreams []*upstream
	// latencies holds all requests that arrived after warmUp. An unanswered one counts
	// with its timeout.
	latencies []time.Duration
	answered  int
	messages  int
}

// after schedules do after d.
func (s *sim) after(d time.Duration, do func()) { s.events.Add(s.clock().Add(d), do) }

// clock returns the current time of the fake clock.
func (s *sim) clock() time.Time { return epoch.Add(s.now) }

func (s *sim) run() {
	for at, do := range s.events.Until(epoch.Add(runLength + timeout)) {
		s.now = at.Sub(epoch)
		do()
	}
}

// Outcome holds the figures of one run.
type Outcome struct {
	// P50 and P99 are latencies. An unanswered call counts with its timeout.
	P50, P99 time.Duration
	// WithinDeadline is the share of calls answered within the deadline.
	WithinDeadline float64
	// Messages is the number of poll messages per answered call.
	Messages float64
}

// record counts a call that started at the given time of the run and ends now.
func (s *sim) record(started time.Duration, ok bool) {
	if started < warmUp {
		return
	}
	latency := s.now - started
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
