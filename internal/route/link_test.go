package route

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestRemoteIsChosenOnlyWhenLocalQueueCostsMore(t *testing.T) {
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

func TestFarDataCentresDoNotCrowdOutNearOnes(t *testing.T) {
	table := seeded(300)
	for i := range 100 {
		now := origin.Add(time.Duration(i) * time.Second)
		for range minLinkSamples {
			table.Done(now, "s-00002", Result{Latency: 50 * time.Millisecond})
		}
	}
	near, far := 0, 0
	for range 1000 {
		var c candidates
		table.sample(&c, table.picker.Load().services["s"], filter{})
		for _, u := range c.list[:c.n] {
			switch u.instance.DataCentre {
			case "dc1":
				near++
			case "dc2":
				far++
			}
		}
	}
	if near < 2*far || far == 0 {
		t.Errorf("%d candidates are near and %d far, want at least two to one", near, far)
	}
}

func TestLinkTimeIsLearned(t *testing.T) {
	const roundTrip = 6 * time.Millisecond
	rng := rand.New(rand.NewPCG(5, 6))
	for _, ownerTimeKnown := range []bool{true, false} {
		table := seeded(2)
		for i := range 2000 {
			now := origin.Add(time.Duration(i) * 10 * time.Millisecond)
			atOwner := time.Duration(rng.ExpFloat64() * float64(10*time.Millisecond))
			r := Result{Latency: roundTrip + atOwner}
			if ownerTimeKnown {
				r.OwnerTime = atOwner
			}
			table.Done(now, "s-00001", r)
		}
		got := table.Explain(origin, &Query{Service: "s"})
		for _, e := range got {
			if e.Instance.ID != "s-00001" {
				continue
			}
			if off := e.Link - roundTrip; off < -time.Millisecond/2 || off > time.Millisecond {
				t.Errorf("owner time known %v: link %v, want about %v", ownerTimeKnown, e.Link, roundTrip)
			}
		}
	}
}

func TestSlowPathCountsAgainstUpstream(t *testing.T) {
	table := seeded(2)
	for i := range 20 {
		now := origin.Add(time.Duration(i) * time.Millisecond)
		table.Done(now, "s-00001", Result{Latency: 40 * time.Millisecond, OwnerTime: 10 * time.Millisecond})
	}
	if got := share(table, origin.Add(20*time.Millisecond), query, 200)["s-00001"]; got > 0.05 {
		t.Errorf("%v of the picks took the slow path, want 0.05 at most", got)
	}
}
