package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

// share returns how often each of the picks of n queries chose which upstream.
func share(t *Table, now time.Time, q *Query, n int) map[model.InstanceID]float64 {
	out := map[model.InstanceID]float64{}
	for range n {
		if c, ok := t.Pick(now, q); ok {
			out[c.Instance.ID] += 1 / float64(n)
		}
	}
	return out
}

// seeded returns a table of n upstreams, all just heard with the same load.
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

func TestPickLeavesOutTriedAndLeaving(t *testing.T) {
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

func TestBackOffLowersTheWishUntilThenAndNoLonger(t *testing.T) {
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
		t.Error("with all backed off not all are chosen still")
	}
}

func TestLaterWordEndsBackOff(t *testing.T) {
	later := origin.Add(50 * time.Millisecond)
	cases := []struct {
		name   string
		refuse model.Reason
		word   func(table *Table)
		ended  bool
	}{
		{"none", model.ReasonOverloaded, func(*Table) {}, false},
		{"the refusal's own report", model.ReasonOverloaded, func(table *Table) {
			table.Observe(origin.Add(time.Microsecond), report("s-00000", 2*time.Second))
		}, false},
		{"a later report", model.ReasonOverloaded, func(table *Table) {
			table.Observe(later, report("s-00000", 2*time.Second))
		}, true},
		{"the fleet's news", model.ReasonNotReady, func(table *Table) {
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
			c.word(table)
			got := share(table, later.Add(100*time.Millisecond), query, 500)["s-00000"]
			if ended := got > 0.1; ended != c.ended {
				t.Errorf("%v of the picks, want the back-off ended: %v", got, c.ended)
			}
		})
	}
}

func TestFastFailureDoesNotAttract(t *testing.T) {
	tell := map[string]func(table *Table, id model.InstanceID){
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
	for name, fail := range tell {
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
					t.Errorf("with all failing %v got %v of the picks, want about a quarter", id, part)
				}
			}
			if len(got) != 4 {
				t.Errorf("with all failing %d are chosen, want 4", len(got))
			}
		})
	}
}

func TestFailureIsForgotten(t *testing.T) {
	table := seeded(4)
	r := report("s-00000", 2*time.Second)
	r.FailureRate = 1000
	table.Observe(origin, r)
	table.Done(origin, "s-00000", Result{Failed: true})
	if got := share(table, origin.Add(time.Minute), query, 500)["s-00000"]; got < 0.15 {
		t.Errorf("%v of the picks a minute later, want about a quarter", got)
	}
}

// TestEqualViewsDoNotHerd gives many entry nodes the same view, with one
// upstream idle and the others busy, as long ago as a burst lasts.
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

func TestOwnSendsCountOnTopOfTheReport(t *testing.T) {
	table := seeded(2)
	for range 30 {
		table.Sent(origin.Add(10*time.Millisecond), "s-00000")
	}
	if got := share(table, origin.Add(11*time.Millisecond), query, 200)["s-00000"]; got > 0.05 {
		t.Errorf("%v of the picks went where 30 were sent since the report", got)
	}
	// A report made after they arrived counts them itself.
	r := report("s-00000", 2*time.Second)
	r.InFlight = 20
	now := origin.Add(20 * time.Millisecond)
	table.Observe(now, r)
	e := table.Explain(now, &Query{Service: "s"})
	for _, got := range e {
		if got.Instance.ID == "s-00000" && got.Load > 31 {
			t.Errorf("load %v, want the report's 20 or the own 30, not their sum", got.Load)
		}
	}
}

func TestSilenceCountsAgainstAnUpstream(t *testing.T) {
	table := seeded(2)
	table.Sent(origin, "s-00000")
	now := origin.Add(300 * time.Millisecond)
	if got := share(table, now, query, 200)["s-00000"]; got > 0.01 {
		t.Errorf("%v of the picks went where an attempt is overdue", got)
	}
	table.Done(now, "s-00000", Result{Latency: 300 * time.Millisecond})
	if got := share(table, now, query, 200)["s-00000"]; got < 0.3 {
		t.Errorf("%v of the picks after it answered, want about a half", got)
	}
}

func TestColdUpstreamIsTriedAgainLater(t *testing.T) {
	table := seeded(4)
	r := report("s-00000", 2*time.Second)
	r.State, r.Limit, r.InFlight = model.StateCold, 0, 0
	table.Observe(origin, r)
	if got := share(table, origin, query, 200)["s-00000"]; got > 0 {
		t.Errorf("%v of the picks went to the cold one", got)
	}
	if got := share(table, origin.Add(2*time.Second), query, 500)["s-00000"]; got == 0 {
		t.Error("no pick went to it two seconds later")
	}
}

func TestRemoteIsPaidForOnlyWhenTheLocalQueueCostsMore(t *testing.T) {
	for _, c := range []struct {
		name     string
		local    uint16
		min, max float64
	}{
		{"both have free slots", 15, 0, 0.05},
		{"local has a long queue", 50, 0.95, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable(Config{DataCentre: "dc0", RemoteDelay: time.Millisecond, Random: rand.New(rand.NewPCG(1, 2)).Uint64})
			table.Update(origin, makeFleet(2), nil)
			r := report("s-00000", time.Second)
			r.InFlight, r.Queued = min(20, c.local), c.local-min(20, c.local)
			table.Observe(origin, r)
			table.Observe(origin, report("s-00001", time.Second))
			got := share(table, origin, query, 300)["s-00001"]
			if got < c.min || got > c.max {
				t.Errorf("%v of the picks were remote, want %v to %v", got, c.min, c.max)
			}
		})
	}
}

func TestLinkTimeIsLearned(t *testing.T) {
	const roundTrip = 6 * time.Millisecond
	rng := rand.New(rand.NewPCG(5, 6))
	for _, held := range []bool{true, false} {
		table := seeded(2)
		for i := range 2000 {
			now := origin.Add(time.Duration(i) * 10 * time.Millisecond)
			atOwner := time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond))
			r := Result{Latency: roundTrip + atOwner}
			if held {
				r.Held = atOwner
			}
			table.Done(now, "s-00001", r)
		}
		got := table.Explain(origin, &Query{Service: "s"})
		for _, e := range got {
			if e.Instance.ID != "s-00001" {
				continue
			}
			if off := e.Link - roundTrip; off < -time.Millisecond/2 || off > time.Millisecond {
				t.Errorf("held known %v: link %v, want about %v", held, e.Link, roundTrip)
			}
		}
	}
}

func TestSlowWayToOneUpstreamCountsAgainstIt(t *testing.T) {
	table := seeded(2)
	for i := range 20 {
		now := origin.Add(time.Duration(i) * time.Millisecond)
		table.Done(now, "s-00001", Result{Latency: 40 * time.Millisecond, Held: 10 * time.Millisecond})
	}
	if got := share(table, origin.Add(20*time.Millisecond), query, 200)["s-00001"]; got > 0.05 {
		t.Errorf("%v of the picks took the slow way", got)
	}
}

func TestExplainShowsAllInOrderOfExpectedTime(t *testing.T) {
	table := seeded(4)
	table.Done(origin, "s-00000", Result{Refused: model.ReasonOverloaded, RetryAfter: time.Second})
	leaving := report("s-00001", 2*time.Second)
	leaving.State = model.StateLeaving
	table.Observe(origin, leaving)
	var ids []model.InstanceID
	for _, e := range table.Explain(origin, query) {
		ids = append(ids, e.Instance.ID)
		sum := e.Link + e.Wait + e.Service + e.Silence + e.Failure
		if off := sum - e.Expected; off < -5 || off > 5 {
			t.Errorf("%v: parts sum up to %v, expected is %v", e.Instance.ID, sum, e.Expected)
		}
	}
	want := []model.InstanceID{"s-00002", "s-00003", "s-00000", "s-00001"}
	if diff := cmp.Diff(want, ids); diff != "" {
		t.Error(diff)
	}
}

func TestStaleNamesUpstreamsOfCalledServicesFirst(t *testing.T) {
	table := NewTable(Config{Random: rand.New(rand.NewPCG(1, 2)).Uint64})
	fleet := &model.Fleet{}
	for _, service := range []model.ServiceName{"a", "b", "c"} {
		for i := range 5 {
			id := model.InstanceID(fmt.Sprintf("%v%d", service, i))
			fleet.Instances = append(fleet.Instances, model.Instance{ID: id, Service: service, State: model.StateLive})
		}
	}
	table.Update(origin, fleet, nil)
	table.Sent(origin, "b0")
	now := origin.Add(time.Second)
	table.Observe(now, report("b1", time.Second))
	got := table.Stale(now, 500*time.Millisecond, 6)
	if len(got) != 6 {
		t.Fatalf("got %d upstreams, want 6", len(got))
	}
	for i, in := range got {
		if in.ID == "b1" {
			t.Error("an upstream heard just now is named")
		}
		if called := in.Service == "b"; called != (i < 4) {
			t.Errorf("place %d is %v", i, in.ID)
		}
	}
}

func TestUpstreamsCountsThoseNotLeaving(t *testing.T) {
	fleet := makeFleet(4)
	fleet.Instances[1].State = model.StateLeaving
	fleet.Instances[2].State = model.StateGone
	table := NewTable(Config{})
	table.Update(origin, fleet, nil)
	if got := table.Upstreams("s"); got != 2 {
		t.Errorf("got %d, want 2", got)
	}
	if got := table.Upstreams("other"); got != 0 {
		t.Errorf("got %d of an unknown service", got)
	}
}
