package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

var origin = time.Unix(1_000_000, 0)

// makeFleet returns n live instances of service "s" over three data centres.
func makeFleet(n int) *model.Fleet {
	f := &model.Fleet{Revision: 1}
	for i := range n {
		f.Instances = append(f.Instances, model.Instance{
			ID:          model.InstanceID(fmt.Sprintf("s-%05d", i)),
			Service:     "s",
			DataCentre:  model.DataCentre(fmt.Sprintf("dc%d", i%3)),
			PeerAddress: "127.0.0.1:7000",
			Incarnation: 1,
			State:       model.StateLive,
		})
	}
	return f
}

func report(id model.InstanceID, clock time.Duration) model.LoadReport {
	return model.LoadReport{
		Owner: id, Incarnation: 1, Clock: clock, State: model.StateLive,
		Limit: 20, InFlight: 10, ServiceTime: 10 * time.Millisecond,
	}
}

// makeTable returns a table with a report of each of n upstreams.
func makeTable(n int, cfg Config) (*Table, *model.Fleet) {
	cfg.DataCentre = "dc0"
	t := NewTable(cfg)
	fleet := makeFleet(n)
	t.Update(origin, fleet, nil)
	rng := rand.New(rand.NewPCG(1, 1))
	for _, in := range fleet.Instances {
		r := report(in.ID, time.Second)
		r.InFlight = uint16(rng.IntN(30))
		t.Observe(origin.Add(time.Duration(rng.IntN(30))*time.Millisecond), r)
		t.Sent(origin.Add(30*time.Millisecond), in.ID)
	}
	return t, fleet
}

func BenchmarkPick(b *testing.B) {
	policies := []struct {
		name   string
		policy Policy
	}{{"product", PolicyExpectedTime}, {"random", PolicyRandom}}
	for _, p := range policies {
		for _, n := range []int{4, 16, 1000} {
			b.Run(fmt.Sprintf("%s/%d", p.name, n), func(b *testing.B) {
				t, _ := makeTable(n, Config{Policy: p.policy})
				now := origin.Add(50 * time.Millisecond)
				b.ReportAllocs()
				for b.Loop() {
					t.Pick(now, &Query{Service: "s", Remaining: time.Second})
				}
			})
		}
	}
}

// BenchmarkCall measures a full decision (Pick, Sent, Observe, Done) on all cores.
func BenchmarkCall(b *testing.B) {
	for _, n := range []int{16, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, _ := makeTable(n, Config{})
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				clock := 2 * time.Second
				for pb.Next() {
					clock += time.Microsecond
					now := origin.Add(clock)
					c, _ := t.Pick(now, &Query{Service: "s", Remaining: time.Second})
					t.Sent(now, c.Instance.ID)
					t.Observe(now, report(c.Instance.ID, clock))
					t.Done(now, c.Instance.ID, Result{Latency: 10 * time.Millisecond})
				}
			})
		})
	}
}

func BenchmarkHome(b *testing.B) {
	for _, n := range []int{4, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t, _ := makeTable(n, Config{})
			b.ReportAllocs()
			for b.Loop() {
				t.Home(origin, "s", "payout-4711")
			}
		})
	}
}

func BenchmarkUpdate(b *testing.B) {
	t, fleet := makeTable(10_000, Config{})
	for b.Loop() {
		t.Update(origin, fleet, nil)
	}
}
