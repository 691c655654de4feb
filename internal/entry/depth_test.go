package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

const pathDepth = 10

// hop is one service of a path of calls: its workers call the next hop.
type hop struct {
	engine *Engine
	runs   int
}

// path is a chain of services, each called by the workers of the one before.
type path struct {
	hops []*hop
	now  time.Time
	// fails reports whether a run's own work fails, after the calls below it.
	fails func(hop int) bool
	// call makes one request to a hop: byEngine, byService or once.
	call func(p *path, i int, budget int) bool
}

func newPath(call func(*path, int, int) bool, fails func(int) bool) *path {
	p := &path{now: epoch, fails: fails, call: call}
	random := seeded(2)
	for range pathDepth {
		table := newFakeTable(3)
		table.choose = func() int { return int(random() % 3) }
		p.hops = append(p.hops, &hop{engine: testEngine(table)})
	}
	return p
}

// run is one run of a worker of hop i.
func (p *path) run(i, budget int) bool {
	p.hops[i].runs++
	below := i+1 == len(p.hops) || p.call(p, i+1, budget)
	return below && !p.fails(i)
}

func (p *path) runs() int {
	sum := 0
	for _, h := range p.hops {
		sum += h.runs
	}
	return sum
}

// byEngine makes a request with an Engine, within the path's budget.
func byEngine(p *path, i, budget int) bool {
	r := testRequest()
	r.Idempotent = true
	r.RetryBudget = budget
	r.Timeout = time.Hour
	c := p.hops[i].engine.Begin(p.now, r)
	for {
		switch s := c.Next(p.now); s.Kind {
		case StepSend:
			ok := p.run(i, s.Attempt.RetryBudget)
			c.Answered(p.now, !ok)
			if c.phase == phaseEnd {
				return ok
			}
		case StepWait:
			p.now = s.Until
		case StepEnd:
			return s.Outcome == model.OutcomeAnswered
		}
	}
}

// byService retries at each hop as often as the budget of the whole path allows.
func byService(p *path, i, _ int) bool {
	for range 1 + testRequest().RetryBudget {
		if p.run(i, 0) {
			return true
		}
	}
	return false
}

func TestRetriesDoNotMultiplyByDepth(t *testing.T) {
	lastFails := func(i int) bool { return i == pathDepth-1 }
	allFail := func(int) bool { return true }
	for name, fails := range map[string]func(int) bool{"every worker fails": allFail, "the last hop fails": lastFails} {
		budget := testRequest().RetryBudget
		naive := newPath(byService, fails)
		naive.call(naive, 0, 0)
		p := newPath(byEngine, fails)
		p.call(p, 0, budget)
		last := p.hops[pathDepth-1].runs
		t.Logf("%s, one request, depth %d: runs per hop: %d in all, %d at the last hop; by retries per hop: %d, %d",
			name, pathDepth, p.runs(), last, naive.runs(), naive.hops[pathDepth-1].runs)
		if last > 1+budget || p.runs() > pathDepth*(1+budget) {
			t.Errorf("%s: %d runs, %d at the last hop: retries multiply", name, p.runs(), last)
		}
	}
}

func TestRetriesStayWithinRatio(t *testing.T) {
	const requests = 2000
	p := newPath(byEngine, func(int) bool { return true })
	for range requests {
		p.call(p, 0, testRequest().RetryBudget)
		p.now = p.now.Add(time.Millisecond)
	}
	perRequest := float64(p.runs()) / requests / pathDepth
	first := float64(p.hops[0].runs) / requests
	t.Logf("every worker fails, %d requests: %.2f runs per request and hop, %.2f at the first", requests, perRequest, first)
	if bound := 1 + testTarget().Bundle.Retry.Ratio; first > bound+0.05 {
		t.Errorf("%.2f runs per request at the first hop, want at most %.2f", first, bound)
	}
}

func TestRetriesHelpWhereFewWorkersFail(t *testing.T) {
	const requests = 4000
	answered := map[string]int{}
	for name, call := range map[string]func(*path, int, int) bool{"none": once, "ours": byEngine, "per hop": byService} {
		random := seeded(3)
		p := newPath(call, func(int) bool { return random()%1000 < 10 })
		for range requests {
			if p.call(p, 0, testRequest().RetryBudget) {
				answered[name]++
			}
			p.now = p.now.Add(time.Millisecond)
		}
		t.Logf("1%% of runs fail, retries: %s: %.2f%% answered, %.3f runs per request and hop",
			name, 100*float64(answered[name])/requests, float64(p.runs())/requests/pathDepth)
	}
	if lost, without := requests-answered["ours"], requests-answered["none"]; lost*3 > without {
		t.Errorf("%d requests fail, %d without retries: want a third at most", lost, without)
	}
}

func once(p *path, i, _ int) bool { return p.run(i, 0) }
