package route

import (
	"container/heap"
	"math/rand/v2"
	"sort"
	"time"

	"gypsumstand/internal/model"
)

// This file is a small event-driven model of one service, for comparing
// policies: entry nodes with a table each, upstreams with slots, a queue and an
// owner that refuses what cannot be done in time, links with a delay, and load
// in bursts. Reports ride on answers and refusals. It is no model of a cluster.

const (
	expEntries  = 11
	expSlots    = 20
	expQueue    = 80
	expService  = 10 * time.Millisecond
	expDeadline = 100 * time.Millisecond
	expWarm     = 500 * time.Millisecond
	expLength   = 2500 * time.Millisecond
	expStarved  = 15 * time.Millisecond
	expLocal    = 100 * time.Microsecond
	expRemote   = time.Millisecond
	expAttempts = 4
	// expTail is the service time in means that the owner keeps of the
	// remaining time.
	expTail = 3
	// Three tenths of the load come in bursts of 5 to 20 ms at one entry, 20 a
	// second.
	expBurstShare = 0.3
	expBursts     = 20
	expBurstMean  = 12500 * time.Microsecond
	expPoll       = 20 * time.Millisecond
)

// fault is what happens to the first upstream from expWarm on.
type fault int

const (
	noFault fault = iota
	slowed
	failing
	cold
	paused
	starved
)

// capacity is the part of an upstream's capacity that a fault leaves.
func (f fault) capacity() float64 {
	switch f {
	case slowed:
		return 0.2
	case failing:
		return 0
	case cold:
		return 0.5
	}
	return 1
}

type simEvent struct {
	at  time.Duration
	seq int
	do  func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type sim struct {
	rng       *rand.Rand
	now       time.Duration
	seq       int
	events    simQueue
	entries   []*simEntry
	upstreams []*simUpstream
	// latencies of all requests that arrived after expWarm; those not answered
	// count as the deadline.
	latencies []time.Duration
	answered  int
	messages  int
}

func (s *sim) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.events, simEvent{at: s.now + d, seq: s.seq, do: do})
}

func (s *sim) clock() time.Time { return origin.Add(s.now) }

func (s *sim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if s.now = e.at; s.now > expLength+expDeadline {
			return
		}
		e.do()
	}
}

type simEntry struct {
	sim   *sim
	dc    int
	table *Table
}

// simUpstream is a worker and its owner.
type simUpstream struct {
	sim   *sim
	dc    int
	id    model.InstanceID
	fault fault
	// rng draws service times, so that they do not change the load.
	rng      *rand.Rand
	inFlight int
	queue    []*simAttempt
	service  float64
	failures float64
}

type simAttempt struct {
	arrived  time.Duration
	deadline time.Duration
	end      func(r Result, rep model.LoadReport)
}

func (u *simUpstream) faulty() bool { return u.sim.now >= expWarm }

// stopped tells whether the process is stopped: 200 ms in each half second.
func (u *simUpstream) stopped() (until time.Duration, yes bool) {
	if u.fault != paused || !u.faulty() {
		return 0, false
	}
	const cycle, stop = 500 * time.Millisecond, 200 * time.Millisecond
	into := u.sim.now % cycle
	return u.sim.now - into + stop, into < stop
}

// limit is what the owner runs at once: a cold worker ramps up for a second
// after half a second of cold.
func (u *simUpstream) limit() int {
	if u.fault != cold || !u.faulty() {
		return expSlots
	}
	warm := u.sim.now - expWarm - 500*time.Millisecond
	return min(expSlots, int(expSlots*warm/time.Second))
}

func (u *simUpstream) report(a *simAttempt) model.LoadReport {
	r := model.LoadReport{
		Owner: u.id, Incarnation: 1, Clock: u.sim.now + time.Second, State: model.StateLive,
		Limit: uint16(max(0, u.limit())), InFlight: uint16(u.inFlight), Queued: uint16(len(u.queue)),
		ServiceTime: time.Duration(u.service), FailureRate: uint16(1000 * u.failures),
	}
	if u.limit() <= 0 {
		r.State = model.StateCold
	}
	return r
}

func (u *simUpstream) offer(a *simAttempt) {
	if until, yes := u.stopped(); yes {
		u.sim.after(until-u.sim.now, func() { u.offer(a) })
		return
	}
	a.arrived = u.sim.now
	limit := u.limit()
	if limit <= 0 {
		u.refuse(a, model.ReasonNotReady, 100*time.Millisecond)
		return
	}
	wait := time.Duration(u.service) * time.Duration(max(0, u.inFlight+len(u.queue)+1-limit)) / time.Duration(limit)
	if len(u.queue) >= expQueue || wait+expTail*time.Duration(u.service) > a.deadline-u.sim.now {
		u.refuse(a, model.ReasonOverloaded, wait/2)
		return
	}
	u.queue = append(u.queue, a)
	u.start()
}

func (u *simUpstream) refuse(a *simAttempt, why model.Reason, retry time.Duration) {
	a.end(Result{Refused: why, RetryAfter: retry}, u.report(a))
}

func (u *simUpstream) start() {
	for len(u.queue) > 0 && u.inFlight < u.limit() {
		a := u.queue[0]
		u.queue = u.queue[1:]
		if a.deadline <= u.sim.now {
			u.refuse(a, model.ReasonExpired, 0)
			continue
		}
		u.inFlight++
		d, failed := u.serviceTime()
		u.sim.after(d, func() { u.finish(a, d, failed) })
	}
}

func (u *simUpstream) serviceTime() (d time.Duration, failed bool) {
	d = time.Duration(u.rng.ExpFloat64() * float64(expService))
	if !u.faulty() {
		return d, false
	}
	switch u.fault {
	case slowed:
		return 5 * d, false
	case failing:
		return d / 20, true
	}
	return d, false
}

func (u *simUpstream) finish(a *simAttempt, d time.Duration, failed bool) {
	if until, yes := u.stopped(); yes {
		u.sim.after(until-u.sim.now, func() { u.finish(a, d, failed) })
		return
	}
	const gain = 1.0 / 16
	share := 0.0
	if failed {
		share = 1
	}
	u.failures += gain * (share - u.failures)
	u.service += gain * (float64(d) - u.service)
	u.inFlight--
	u.start()
	a.end(Result{Failed: failed, Held: u.sim.now - a.arrived}, u.report(a))
}

func (e *simEntry) link(u *simUpstream) time.Duration {
	if u.fault == starved && u.faulty() {
		return expRemote + expStarved
	}
	if e.dc == u.dc {
		return expLocal
	}
	return expRemote
}

// call makes up to expAttempts attempts; only refused ones are tried again.
func (e *simEntry) call(began time.Duration, tried []model.InstanceID) {
	s := e.sim
	deadline := began + expDeadline
	c, ok := e.table.Pick(s.clock(), &Query{Service: "s", Remaining: deadline - s.now, Tried: tried})
	if !ok {
		s.finish(began, false)
		return
	}
	e.table.Sent(s.clock(), c.Instance.ID)
	u := s.upstreams[int(c.Instance.ID[0]-'a')]
	sent := s.now
	a := &simAttempt{deadline: deadline}
	a.end = func(r Result, rep model.LoadReport) {
		s.after(e.link(u), func() {
			r.Latency = s.now - sent
			e.table.Observe(s.clock(), rep)
			e.table.Done(s.clock(), u.id, r)
			if r.Refused != model.ReasonNone && len(tried)+1 < expAttempts {
				e.call(began, append(tried, u.id))
				return
			}
			s.finish(began, !r.Failed && r.Refused == model.ReasonNone)
		})
	}
	s.after(e.link(u), func() { u.offer(a) })
}

func (s *sim) finish(began time.Duration, ok bool) {
	if began < expWarm {
		return
	}
	latency := s.now - began
	if !ok || latency > expDeadline {
		latency = expDeadline
	} else {
		s.answered++
	}
	s.latencies = append(s.latencies, latency)
}

// arrivals starts a Poisson stream of calls at a rate per second until a time.
func (s *sim) arrivals(rate float64, until time.Duration, entry func() *simEntry) {
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if s.now+gap > until {
		return
	}
	s.after(gap, func() {
		entry().call(s.now, nil)
		s.arrivals(rate, until, entry)
	})
}

func (s *sim) bursts(rate float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/expBursts*float64(time.Second)), func() {
		e := s.anyEntry()
		length := 5*time.Millisecond + time.Duration(s.rng.Int64N(int64(15*time.Millisecond)))
		s.arrivals(rate, min(expLength, s.now+length), func() *simEntry { return e })
		s.bursts(rate)
	})
}

func (s *sim) anyEntry() *simEntry { return s.entries[s.rng.IntN(len(s.entries))] }

func (s *sim) poll(e *simEntry, u *simUpstream) {
	s.after(expPoll, func() {
		s.poll(e, u)
		if _, yes := u.stopped(); yes {
			return
		}
		s.messages++
		rep := u.report(nil)
		s.after(e.link(u), func() { e.table.ObserveProbe(s.clock(), rep) })
	})
}

// outcome is what one run measured.
type outcome struct {
	p50, p99 time.Duration
	// inTime is the share of calls answered in deadline.
	inTime float64
	// messages is the number of measuring messages per answered call.
	messages float64
}

// runExperiment compares like with like: the same seed gives the same load.
func runExperiment(seed uint64, upstreams int, load float64, f fault, p Policy, tune func(*tuning)) outcome {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1))}
	fleet := &model.Fleet{}
	for i := range upstreams {
		u := &simUpstream{sim: s, dc: i % 3, id: model.InstanceID(rune('a' + i)), service: float64(expService), rng: rand.New(rand.NewPCG(seed, uint64(10+i)))}
		if i == 0 {
			u.fault = f
		}
		s.upstreams = append(s.upstreams, u)
		fleet.Instances = append(fleet.Instances, model.Instance{
			ID: u.id, Service: "s", DataCentre: model.DataCentre(rune('0' + u.dc)), Incarnation: 1, State: model.StateLive,
		})
	}
	choice := rand.New(rand.NewPCG(seed, 2))
	for i := range expEntries {
		e := &simEntry{sim: s, dc: i % 3}
		e.table = NewTable(Config{DataCentre: model.DataCentre(rune('0' + e.dc)), LocalDelay: expLocal, RemoteDelay: expRemote, Random: choice.Uint64, Policy: p})
		if tune != nil {
			tune(&e.table.tuning)
		}
		e.table.Update(origin, fleet, nil)
		s.entries = append(s.entries, e)
		if p == PolicyPolledTwoChoices {
			for _, u := range s.upstreams {
				s.poll(e, u)
			}
		}
	}
	capacity := (float64(upstreams-1) + f.capacity()) * expSlots / expService.Seconds()
	rate := load * capacity
	s.arrivals((1-expBurstShare)*rate, expLength, s.anyEntry)
	s.bursts(expBurstShare * rate / (expBursts * expBurstMean.Seconds()))
	s.run()
	return s.outcome()
}

func (s *sim) outcome() outcome {
	sort.Slice(s.latencies, func(i, j int) bool { return s.latencies[i] < s.latencies[j] })
	n := len(s.latencies)
	return outcome{
		p50:      s.latencies[n/2],
		p99:      s.latencies[n*99/100],
		inTime:   float64(s.answered) / float64(n),
		messages: float64(s.messages) / float64(max(1, s.answered)),
	}
}
