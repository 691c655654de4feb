package route

// Policy selects how Pick chooses.
type Policy uint8

// The policies. All but PolicyExpectedTime are baselines for benchmarks.
const (
	// PolicyExpectedTime takes the candidate with the lowest cost, see Estimate.Cost, of a
	// few.
	PolicyExpectedTime Policy = iota
	// PolicyRandom takes any upstream.
	PolicyRandom
	// PolicyRoundRobin takes the upstreams in turn.
	PolicyRoundRobin
	// PolicyLeastInFlight takes the upstream with the fewest attempts of this node in flight.
	PolicyLeastInFlight
	// PolicyPolledTwoChoices takes the less loaded of two random upstreams, by the last
	// polled load (ObserveProbe).
	PolicyPolledTwoChoices
)

// policy chooses an upstream of svc for q, or nil when none may be chosen. q is passed by
// value so that the caller's query can stay on the stack.
type policy interface {
	choose(t *Table, svc *service, now int64, q Query) *upstream
}

func (p Policy) implementation() policy {
	switch p {
	case PolicyRandom:
		return randomChoice{}
	case PolicyRoundRobin:
		return roundRobin{}
	case PolicyLeastInFlight:
		return leastInFlight{}
	case PolicyPolledTwoChoices:
		return polledTwoChoices{}
	default:
		return expectedTime{}
	}
}

// expectedTime implements PolicyExpectedTime.
type expectedTime struct{}

func (expectedTime) choose(t *Table, svc *service, now int64, q Query) *upstream {
	var c candidates
	f := t.newFilter(now, q.Tried, q.Regions)
	t.sample(&c, svc, f)
	if c.n == 0 {
		// A warming upstream out of turn is better than none: its owner decides whether to
		// run it.
		f.ignoreTurns = true
		t.sample(&c, svc, f)
	}
	var best *upstream
	var least float64
	start := scaleRandom(uint32(t.cfg.Random()), c.n)
	for i := range c.n {
		// Starts at a random candidate, so that ties are broken at random.
		u := c.list[(start+i)%c.n]
		deviate := t.tuning.Noise * normalDeviate(t.cfg.Random())
		e := t.estimate(u, now, q.Remaining, deviate)
		e.addBody(q.BodyBytes)
		if best == nil || e.cost() < least {
			best, least = u, e.cost()
		}
	}
	return best
}

// randomChoice implements PolicyRandom.
type randomChoice struct{}

func (randomChoice) choose(t *Table, svc *service, now int64, q Query) *upstream {
	return svc.firstEligible(scaleRandom(uint32(t.cfg.Random()), len(svc.all)), t.newFilter(now, q.Tried, q.Regions))
}

// roundRobin implements PolicyRoundRobin.
type roundRobin struct{}

func (roundRobin) choose(t *Table, svc *service, now int64, q Query) *upstream {
	if len(svc.all) == 0 {
		return nil
	}
	turn := svc.stats.roundRobin.Add(1)
	return svc.firstEligible(int(turn%uint64(len(svc.all))), t.newFilter(now, q.Tried, q.Regions))
}

// leastInFlight implements PolicyLeastInFlight.
type leastInFlight struct{}

func (leastInFlight) choose(t *Table, svc *service, now int64, q Query) *upstream {
	var best *upstream
	n := len(svc.all)
	start := scaleRandom(uint32(t.cfg.Random()), n)
	for i := range svc.all {
		u := svc.all[(start+i)%n]
		if !u.eligible(t.newFilter(now, q.Tried, q.Regions)) {
			continue
		}
		if best == nil || u.cell.inFlight.Load() < best.cell.inFlight.Load() {
			best = u
		}
	}
	return best
}

// polledTwoChoices implements PolicyPolledTwoChoices.
type polledTwoChoices struct{}

func (polledTwoChoices) choose(t *Table, svc *service, now int64, q Query) *upstream {
	a := randomChoice{}.choose(t, svc, now, q)
	b := randomChoice{}.choose(t, svc, now, q)
	if a == nil {
		return b
	}
	if b != nil && b.cell.polledLoad.Load() < a.cell.polledLoad.Load() {
		return b
	}
	return a
}
