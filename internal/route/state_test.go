package route

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
)

// checkSums compares the services' statistics with sums over the cells.
func checkSums(table *Table, fail func(format string, args ...any)) {
	p := table.picker.Load()
	for name, svc := range p.services {
		var n, use, time int64
		for _, u := range p.byID {
			if u.service != svc {
				continue
			}
			a, b, c := u.cell.lastReport.Load().contribution()
			n, use, time = n+a, use+b, time+c
		}
		st := svc.stats
		if n != st.reports.Load() || use != st.utilisation.Load() || time != st.serviceTime.Load() {
			fail("%v: sums are %d %d %d, want %d %d %d", name, st.reports.Load(), st.utilisation.Load(), st.serviceTime.Load(), n, use, time)
		}
	}
}

// instanceModel is the expected state of one instance in TestTableAgainstModel.
type instanceModel struct {
	member      bool
	incarnation model.Incarnation
	newest      model.LoadReport
	reported    bool
	at          time.Time
	leaving     bool
}

func TestTableAgainstModel(t *testing.T) {
	ids := []model.InstanceID{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{Random: rand.New(rand.NewPCG(1, 2)).Uint64})
		now := origin
		known := map[model.InstanceID]*instanceModel{}
		for _, id := range ids {
			known[id] = &instanceModel{}
		}
		draw := func() (model.InstanceID, *instanceModel) {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			return id, known[id]
		}
		t.Repeat(map[string]func(*rapid.T){
			"update": func(t *rapid.T) {
				fleet := &model.Fleet{}
				for _, id := range ids {
					l := known[id]
					l.member = rapid.Bool().Draw(t, "member")
					if !l.member {
						*l = instanceModel{}
						continue
					}
					inc := model.Incarnation(rapid.IntRange(0, 3).Draw(t, "incarnation"))
					if inc > l.incarnation {
						if l.incarnation != 0 {
							*l = instanceModel{member: true}
						}
						l.incarnation = inc
					}
					fleet.Instances = append(fleet.Instances, model.Instance{ID: id, Service: "s", State: model.StateLive, Incarnation: inc})
				}
				table.Update(now, fleet, nil)
			},
			"observe": func(t *rapid.T) {
				id, l := draw()
				r := report(id, time.Duration(rapid.IntRange(0, 20).Draw(t, "clock")))
				r.Incarnation = model.Incarnation(rapid.IntRange(1, 4).Draw(t, "incarnation"))
				r.InFlight = uint16(rapid.IntRange(0, 40).Draw(t, "in flight"))
				r.State = rapid.SampledFrom([]model.UpstreamState{model.StateCold, model.StateLive, model.StateLeaving}).Draw(t, "state")
				table.Observe(now, r)
				if !l.member || r.Incarnation < l.incarnation {
					return
				}
				same := l.reported && r.Incarnation == l.newest.Incarnation
				if same && r.Clock <= l.newest.Clock {
					return
				}
				l.newest, l.reported, l.at, l.incarnation = r, true, now, r.Incarnation
				l.leaving = r.State == model.StateLeaving || same && l.leaving
			},
			"send": func(t *rapid.T) {
				id, _ := draw()
				table.Sent(now, id)
			},
			"done": func(t *rapid.T) {
				id, _ := draw()
				table.Done(now, id, Result{Latency: time.Millisecond, Failed: rapid.Bool().Draw(t, "failed")})
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "time")))
			},
			"": func(t *rapid.T) {
				eligible := 0
				for _, id := range ids {
					l := known[id]
					want := time.Duration(0)
					if l.reported {
						passed := now.Sub(l.at)
						want = l.newest.Clock + passed - (passed+4999)/5000
					}
					if got := table.OwnerClock(now, id); got != want {
						t.Fatalf("%v: owner clock %v, want %v", id, got, want)
					}
					if l.member && !l.leaving {
						eligible++
					}
				}
				c, ok := table.Pick(now, &Query{Service: "s"})
				if ok != (eligible > 0) {
					t.Fatalf("picked one: %v, with %d eligible", ok, eligible)
				}
				if ok && (known[c.Instance.ID].leaving || !known[c.Instance.ID].member) {
					t.Fatalf("picked %v, which is leaving or unknown", c.Instance.ID)
				}
				if ok && c.Instance.Incarnation != known[c.Instance.ID].incarnation {
					t.Fatalf("picked incarnation %v of %v, want %v", c.Instance.Incarnation, c.Instance.ID, known[c.Instance.ID].incarnation)
				}
				for _, u := range table.picker.Load().byID {
					if u.cell.inFlight.Load() < 0 {
						t.Fatalf("%v: negative number of attempts in flight", u.instance.ID)
					}
				}
				checkSums(table, t.Fatalf)
			},
		})
	})
}

// TestOwnerClockIsALowerBound lets the clocks of owner and entry drift and delays reports.
func TestOwnerClockIsALowerBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(Config{})
		table.Update(origin, makeFleet(1), nil)
		// rate is the speed of the owner's clock relative to this node's.
		rate := 1 + rapid.Float64Range(-200, 200).Draw(t, "drift ppm")/1e6
		ownerAt := func(entry time.Duration) time.Duration {
			return time.Hour + time.Duration(rate*float64(entry))
		}
		now := time.Duration(0)
		for range rapid.IntRange(1, 20).Draw(t, "reports") {
			delay := time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "delay"))
			made := max(0, now-delay)
			table.Observe(origin.Add(now), report("s-00000", ownerAt(made)))
			now += time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "time"))
			// One nanosecond allows for the rounding of this test's floats.
			if got, true := table.OwnerClock(origin.Add(now), "s-00000"), ownerAt(now); got > true+1 {
				t.Fatalf("owner clock %v is over the true %v", got, true)
			}
		}
	})
}

func TestUpdateKeepsStateOfSameIncarnation(t *testing.T) {
	for _, c := range []struct {
		name        string
		incarnation model.Incarnation
		reported    bool
	}{
		{"same incarnation", 1, true},
		{"fleet behind", 0, true},
		{"new incarnation", 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := seeded(3)
			table.Done(origin, "s-00000", Result{Failed: true})
			fleet := makeFleet(3)
			fleet.Instances[0].Incarnation = c.incarnation
			table.Update(origin, fleet, nil)
			for _, e := range table.Explain(origin, query) {
				if e.Instance.ID != "s-00000" {
					continue
				}
				if e.Reported != c.reported || (e.FailureRate > 0) != c.reported {
					t.Errorf("reported %v, failure rate %v; want kept: %v", e.Reported, e.FailureRate, c.reported)
				}
			}
		})
	}
}

func TestNewIncarnationResetsFailureAndBackOff(t *testing.T) {
	table := seeded(1)
	table.Done(origin, "s-00000", Result{Failed: true})
	table.Done(origin, "s-00000", Result{Refused: model.ReasonOverloaded, RetryAfter: time.Second})
	r := report("s-00000", time.Millisecond)
	r.Incarnation = 2
	table.Observe(origin, r)
	e := table.Explain(origin, query)[0]
	if e.FailureRate != 0 || e.Wait > 100*time.Millisecond {
		t.Errorf("failure rate %v, wait %v, want those of a new incarnation", e.FailureRate, e.Wait)
	}
}

func TestReportOfRetiredCellIsDropped(t *testing.T) {
	table := seeded(3)
	old := table.picker.Load()
	table.Update(origin, makeFleet(2), nil)
	r := report("s-00002", 2*time.Second)
	r.InFlight = 3
	old.byID["s-00002"].observe(old.nanos(origin), &r, true)
	checkSums(table, t.Errorf)
}

// TestTableUnderConcurrency is for the race detector. Afterwards the sums must match.
func TestTableUnderConcurrency(t *testing.T) {
	const workers, calls = 8, 2000
	table := NewTable(Config{})
	table.Update(origin, makeFleet(8), nil)
	var wg sync.WaitGroup
	for w := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 3))
			for i := range calls {
				now := origin.Add(time.Duration(i) * time.Millisecond)
				c, ok := table.Pick(now, query)
				if !ok {
					continue
				}
				table.Sent(now, c.Instance.ID)
				r := report(c.Instance.ID, time.Duration(rng.IntN(calls))*time.Millisecond)
				r.InFlight = uint16(rng.IntN(40))
				table.Observe(now, r)
				table.Done(now, c.Instance.ID, Result{Latency: time.Millisecond, Failed: rng.IntN(9) == 0})
				table.StaleUpstreams(now, time.Millisecond, 4)
			}
		})
	}
	wg.Go(func() {
		for i := range 200 {
			fleet := makeFleet(4 + i%5)
			fleet.Instances[0].Incarnation = model.Incarnation(1 + i/50)
			table.Update(origin.Add(time.Duration(i)*time.Millisecond), fleet, nil)
		}
	})
	wg.Wait()
	table.Update(origin, makeFleet(8), nil)
	checkSums(table, func(format string, args ...any) { t.Errorf(format, args...) })
}
