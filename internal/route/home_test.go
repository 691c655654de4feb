package route

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

func homeOf(t *testing.T, table *Table, id int) model.InstanceID {
	t.Helper()
	c, ok := table.Home(origin, "s", model.RequestID(fmt.Sprint("key-", id)))
	if !ok {
		t.Fatal("no home node")
	}
	return c.Instance.ID
}

func TestHomeDoesNotDependOnLoad(t *testing.T) {
	idle, busy := seeded(7), NewTable(Config{DataCentre: "dc2"})
	fleet := makeFleet(7)
	// The order of the instances must not matter.
	for i, j := 0, 6; i < j; i, j = i+1, j-1 {
		fleet.Instances[i], fleet.Instances[j] = fleet.Instances[j], fleet.Instances[i]
	}
	busy.Update(origin, fleet, nil)
	for i, in := range fleet.Instances {
		r := report(in.ID, time.Second)
		r.InFlight, r.Queued, r.FailureRate = 20, uint16(10*i), uint16(100*i)
		busy.Observe(origin, r)
		busy.Done(origin, in.ID, Result{Refused: model.ReasonOverloaded, RetryAfter: time.Hour})
	}
	for i := range 500 {
		if a, b := homeOf(t, idle, i), homeOf(t, busy, i); a != b {
			t.Fatalf("home nodes of request %d: %v and %v", i, a, b)
		}
	}
}

func TestHomeMovesOnlyFromLeavingUpstream(t *testing.T) {
	leave := map[string]func(*Table){
		"by the fleet": func(table *Table) {
			fleet := makeFleet(7)
			fleet.Instances[3].State = model.StateLeaving
			table.Update(origin, fleet, nil)
		},
		"by the owner's report": func(table *Table) {
			r := report("s-00003", 2*time.Second)
			r.State = model.StateLeaving
			table.Observe(origin, r)
		},
	}
	for name, do := range leave {
		t.Run(name, func(t *testing.T) {
			before, after := seeded(7), seeded(7)
			do(after)
			counts := map[model.InstanceID]int{}
			for i := range 7000 {
				a, b := homeOf(t, before, i), homeOf(t, after, i)
				counts[a]++
				if b == "s-00003" {
					t.Fatal("a leaving upstream is a home node")
				}
				if a != b && a != "s-00003" {
					t.Fatalf("request %d moved from %v to %v", i, a, b)
				}
			}
			for id, n := range counts {
				if n < 850 || n > 1150 {
					t.Errorf("%v is the home node of %d of 7000, want about 1000", id, n)
				}
			}
		})
	}
}

func TestPickInstanceFindsEligibleOnly(t *testing.T) {
	table := seeded(7)
	fleet := makeFleet(7)
	for _, in := range fleet.Instances {
		if c, ok := table.PickInstance(origin, &Query{Service: "s"}, in.ID); !ok || c.Instance.ID != in.ID {
			t.Errorf("%s: got %s, %t", in.ID, c.Instance.ID, ok)
		}
	}
	if _, ok := table.PickInstance(origin, &Query{Service: "s"}, "nobody"); ok {
		t.Error("an unknown owner is chosen")
	}
	unreachable := fleet.Instances[2]
	table.MarkUnreachable(origin, unreachable)
	if _, ok := table.PickInstance(origin, &Query{Service: "s"}, unreachable.ID); ok {
		t.Error("an unreachable owner is chosen")
	}
}
