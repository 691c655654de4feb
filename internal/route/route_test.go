package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

// share returns the share of n picks for a query that each upstream got.
func share(t *Table, now time.Time, q *Query, n int) map[model.InstanceID]float64 {
	out := map[model.InstanceID]float64{}
	for range n {
		if c, ok := t.Pick(now, q); ok {
			out[c.Instance.ID] += 1 / float64(n)
		}
	}
	return out
}

// seeded returns a table of n upstreams with equal reports, received just now, and a fixed
// seed.
func seeded(n int) *Table {
	t := NewTable(Config{DataCentre: "dc0", LocalDelay: time.Millisecond, RemoteDelay: time.Millisecond, Random: rand.New(rand.NewPCG(1, 2)).Uint64})
	fleet := makeFleet(n)
	t.Update(origin, fleet, nil)
	for _, in := range fleet.Instances {
		t.Observe(origin, report(in.ID, time.Second))
	}
	return t
}

var query = &Query{Service: "s", Remaining: time.Second}

func TestPickAllocatesNothing(t *testing.T) {
	for _, p := range []Policy{PolicyExpectedTime, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyPolledTwoChoices} {
		for _, n := range []int{16, 1000} {
			table, _ := makeTable(n, Config{Policy: p})
			now := origin.Add(time.Second)
			got := testing.AllocsPerRun(1000, func() {
				table.Pick(now, &Query{Service: "s", Remaining: time.Second})
			})
			if got != 0 {
				t.Errorf("policy %d, %d upstreams: %v allocations", p, n, got)
			}
		}
	}
}

func TestPickExcludesTriedAndLeaving(t *testing.T) {
	for _, p := range []Policy{PolicyExpectedTime, PolicyRandom, PolicyRoundRobin, PolicyLeastInFlight, PolicyPolledTwoChoices} {
		t.Run(fmt.Sprint(p), func(t *testing.T) {
			table := seeded(4)
			table.policy = p.implementation()
			leaving := report("s-00001", 2*time.Second)
			leaving.State = model.StateLeaving
			table.Observe(origin, leaving)
			table.Done(origin, "s-00002", Result{Refused: model.ReasonLeaving})
			q := &Query{Service: "s", Remaining: time.Second, Tried: []model.InstanceID{"s-00000"}}
			if diff := cmp.Diff(map[model.InstanceID]float64{"s-00003": 1}, share(table, origin, q, 64)); diff != "" {
				t.Error(diff)
			}
			q.Tried = append(q.Tried, "s-00003")
			if c, ok := table.Pick(origin, q); ok {
				t.Errorf("picked %v, want none", c.Instance.ID)
			}
		})
	}
}

func TestPickOfUnknownServiceFindsNone(t *testing.T) {
	for _, table := range []*Table{NewTable(Config{}), seeded(1)} {
		if _, ok := table.Pick(origin, &Query{Service: "other"}); ok {
			t.Error("picked an upstream of an unknown service")
		}
	}
}

func TestNewIncarnationEndsLeaving(t *testing.T) {
	table := seeded(1)
	table.Done(origin, "s-00000", Result{Refused: model.ReasonLeaving})
	if _, ok := table.Pick(origin, query); ok {
		t.Fatal("picked a leaving upstream")
	}
	r := report("s-00000", time.Millisecond)
	r.Incarnation = 2
	table.Observe(origin, r)
	c, ok := table.Pick(origin, query)
	if !ok || c.Instance.Incarnation != 2 {
		t.Errorf("got %+v, %v; want the new incarnation", c.Instance, ok)
	}
}

func TestBackOffEndsAtRetryAfter(t *testing.T) {
	table := seeded(4)
	refused := Result{Refused: model.ReasonOverloaded, RetryAfter: 200 * time.Millisecond}
	table.Done(origin, "s-00000", refused)
	if got := share(table, origin.Add(190*time.Millisecond), query, 500)["s-00000"]; got > 0.01 {
		t.Errorf("%v of the picks before RetryAfter, want none", got)
	}
	if got := share(table, origin.Add(201*time.Millisecond), query, 500)["s-00000"]; got < 0.15 || got > 0.35 {
		t.Errorf("%v of the picks after RetryAfter, want about a quarter", got)
	}
	for i := range 4 {
		table.Done(origin, model.InstanceID(fmt.Sprintf("s-%05d", i)), refused)
	}
	if len(share(table, origin, query, 500)) < 4 {
		t.Error("all upstreams are in back-off, but some are not chosen")
	}
}

func TestNewerReportEndsBackOff(t *testing.T) {
	later := origin.Add(50 * time.Millisecond)
	cases := []struct {
		name   string
		refuse model.Reason
		then   func(table *Table)
		ended  bool
	}{
		{"none", model.ReasonOverloaded, func(*Table) {}, false},
		{"the refusal's own report", model.ReasonOverloaded, func(table *Table) {
			table.Observe(origin.Add(time.Microsecond), report("s-00000", 2*time.Second))
		}, false},
		{"a later report", model.ReasonOverloaded, func(table *Table) {
			table.Observe(later, report("s-00000", 2*time.Second))
		}, true},
		{"a later state in the fleet's view", model.ReasonNotReady, func(table *Table) {
			fleet := makeFleet(4)
			fleet.Instances[0].State = model.StateCold
			table.Update(origin, fleet, nil)
			table.Update(later, makeFleet(4), nil)
		}, true},
		{"a refusal for the tenant", model.ReasonTenantLimit, func(*Table) {}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := seeded(4)
			table.Done(origin, "s-00000", Result{Refused: c.refuse, RetryAfter: time.Second})
			c.then(table)
			got := share(table, later.Add(100*time.Millisecond), query, 500)["s-00000"]
			if ended := got > 0.1; ended != c.ended {
				t.Errorf("%v of the picks; want the back-off ended: %v", got, c.ended)
			}
		})
	}
}

func TestFastFailureDoesNotAttractRequests(t *testing.T) {
	failures := map[string]func(table *Table, id model.InstanceID){
		"by the owner's report": func(table *Table, id model.InstanceID) {
			r := report(id, 2*time.Second)
			r.ServiceTime, r.InFlight, r.FailureRate = 100*time.Microsecond, 0, 1000
			table.Observe(origin, r)
		},
		"by own results": func(table *Table, id model.InstanceID) {
			for i := range 4 {
				r := report(id, time.Duration(2+i)*time.Second)
				r.ServiceTime, r.InFlight = 100*time.Microsecond, 0
				table.Observe(origin, r)
				table.Sent(origin, id)
				table.Done(origin, id, Result{Latency: time.Millisecond, Failed: true})
			}
		},
	}
	for name, fail := range failures {
		t.Run(name, func(t *testing.T) {
			table := seeded(4)
			fail(table, "s-00000")
			if got := share(table, origin, query, 500)["s-00000"]; got > 0.01 {
				t.Errorf("%v of the picks went to the one that fails", got)
			}
			table = seeded(4)
			for i := range 4 {
				fail(table, model.InstanceID(fmt.Sprintf("s-%05d", i)))
			}
			got := share(table, origin, query, 1000)
			for id, part := range got {
				if part < 0.15 || part > 0.35 {
					t.Errorf("all upstreams fail: %v got %v of the picks, want about a quarter", id, part)
				}
			}
			if len(got) != 4 {
				t.Errorf("all upstreams fail: %d are chosen, want 4", len(got))
			}
		})
	}
}

func TestFastFailureDoesNotAttractShortDeadlines(t *testing.T) {
	table := seeded(4)
	r := report("s-00000", 2*time.Second)
	r.ServiceTime, r.FailureRate = 100*time.Microsecond, 1000
	table.Observe(origin, r)
	q := &Query{Service: "s", Remaining: 3 * time.Millisecond}
	if got := share(table, origin, q, 500)["s-00000"]; got > 0.05 {
		t.Errorf("%v of the picks went to the one that fails", got)
	}
}

func TestFailureRateDecays(t *testing.T) {
	table := seeded(4)
	r := report("s-00000", 2*time.Second)
	r.FailureRate = 1000
	table.Observe(origin, r)
	table.Done(origin, "s-00000", Result{Failed: true})
	if got := share(table, origin.Add(time.Minute), query, 500)["s-00000"]; got < 0.15 {
		t.Errorf("%v of the picks a minute later, want about a quarter", got)
	}
}

// TestEqualViewsDoNotHerd gives many entry nodes the same view, 20 ms old, in which one
// upstream is idle and the others are busy. They must not all choose the idle one.
func TestEqualViewsDoNotHerd(t *testing.T) {
	const nodes = 200
	for _, c := range []struct {
		upstreams int
		most      float64
	}{{4, 0.8}, {16, 0.5}, {100, 0.2}} {
		chosen := 0
		for i := range nodes {
			table := NewTable(Config{DataCentre: "dc9", Random: rand.New(rand.NewPCG(uint64(i), 7)).Uint64})
			fleet := makeFleet(c.upstreams)
			table.Update(origin, fleet, nil)
			for j, in := range fleet.Instances {
				r := report(in.ID, time.Second)
				r.InFlight = 18
				if j == 0 {
					r.InFlight = 4
				}
				table.Observe(origin, r)
			}
			if c, _ := table.Pick(origin.Add(20*time.Millisecond), query); c.Instance.ID == "s-00000" {
				chosen++
			}
		}
		got := float64(chosen) / nodes
		if fair := 1 / float64(c.upstreams); got > c.most || got < fair/2 {
			t.Errorf("%d upstreams: %v of the nodes chose the idle one, want %v to %v", c.upstreams, got, fair, c.most)
		}
	}
}

// loadOf returns the expected load of one upstream.
func loadOf(table *Table, now time.Time, id model.InstanceID) float64 {
	for _, e := range table.Explain(now, query) {
		if e.Instance.ID == id {
			return e.Load
		}
	}
	return -1
}

func TestOwnSendsCountOnTopOfTheReport(t *testing.T) {
	// The round trip of seeded's links is 2 ms.
	reported := origin.Add(100 * time.Millisecond)
	cases := []struct {
		name string
		// sent is when 5 attempts are sent, relative to the report.
		sent time.Duration
		// load is the load in the report.
		load uint16
		want float64
	}{
		{"sent well before the report", -50 * time.Millisecond, 15, 15},
		{"sent too late for the report", -time.Millisecond, 15, 20},
		{"sent after the report", time.Microsecond, 15, 20},
		{"more own than reported", -50 * time.Millisecond, 2, 5},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := seeded(2)
			send := func() {
				for range 5 {
					table.Sent(reported.Add(c.sent), "s-00000")
				}
			}
			if c.sent < 0 {
				send()
			}
			r := report("s-00000", 2*time.Second)
			r.InFlight = c.load
			table.Observe(reported, r)
			if c.sent > 0 {
				send()
			}
			if got := loadOf(table, reported, "s-00000"); got < c.want-0.1 || got > c.want+0.1 {
				t.Errorf("load %v, want %v", got, c.want)
			}
		})
	}
}

func TestOwnSendsThatEndedCountNoMore(t *testing.T) {
	table := seeded(2)
	for range 5 {
		table.Sent(origin.Add(time.Microsecond), "s-00000")
		table.Done(origin.Add(time.Microsecond), "s-00000", Result{Failed: true})
	}
	if got := loadOf(table, origin.Add(time.Microsecond), "s-00000"); got > 10.1 {
		t.Errorf("load %v, want the report's 10", got)
	}
}

func TestBurstOfOwnSendsIsSpread(t *testing.T) {
	table := seeded(4)
	sent := map[model.InstanceID]int{}
	for range 80 {
		c, _ := table.Pick(origin.Add(time.Millisecond), query)
		table.Sent(origin.Add(time.Millisecond), c.Instance.ID)
		sent[c.Instance.ID]++
	}
	for id, n := range sent {
		if n < 12 || n > 28 {
			t.Errorf("%v got %d of 80 attempts, want 12 to 28", id, n)
		}
	}
}

func TestOverdueAttemptCountsAgainstUpstream(t *testing.T) {
	table := seeded(2)
	table.Sent(origin, "s-00000")
	now := origin.Add(300 * time.Millisecond)
	if got := share(table, now, query, 200)["s-00000"]; got > 0.01 {
		t.Errorf("%v of the picks went to the upstream with an overdue attempt, want none", got)
	}
	table.Done(now, "s-00000", Result{Latency: 300 * time.Millisecond})
	if got := share(table, now, query, 200)["s-00000"]; got < 0.3 {
		t.Errorf("%v of the picks after its response, want about a half", got)
	}
}

func TestColdUpstreamIsTriedAgainLater(t *testing.T) {
	table := seeded(4)
	for i := 1; i < 4; i++ {
		// A queue of 25 ms.
		r := report(model.InstanceID(fmt.Sprintf("s-%05d", i)), 2*time.Second)
		r.InFlight, r.Queued = 20, 50
		table.Observe(origin, r)
	}
	r := report("s-00000", 2*time.Second)
	r.State, r.Limit, r.InFlight = model.StateCold, 0, 0
	table.Observe(origin, r)
	if got := share(table, origin, query, 200)["s-00000"]; got > 0 {
		t.Errorf("%v of the picks went to the cold upstream, want none", got)
	}
	if got := share(table, origin.Add(2*time.Second), query, 500)["s-00000"]; got == 0 {
		t.Error("no pick went to the cold upstream two seconds later")
	}
}
