package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

var warmingStart = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

const entryNodes = 40

// simulateSecond lets each of entryNodes entries send 50 attempts within a second to a
// fleet, after it got all the fleets given in order, and counts the attempts by data
// centre.
func simulateSecond(t *testing.T, fleets ...*model.Fleet) map[model.DataCentre]int {
	t.Helper()
	set := bundle.NewSet([]*bundle.Bundle{{Name: "b", Version: 1, Services: []bundle.Service{
		{Name: "shop", Slots: 9, WarmingPerSecond: 13, WarmingMs: 3000},
	}}})
	counts := map[model.DataCentre]int{}
	for e := range entryNodes {
		rng := rand.New(rand.NewPCG(uint64(e), 7))
		table := NewTable(Config{Self: "e", DataCentre: "a", Random: rng.Uint64, Regions: model.DataCentreRegions{"a": "north", "b": "north"}})
		for _, fleet := range fleets {
			table.Update(warmingStart, fleet, set)
		}
		for i := range 50 {
			now := warmingStart.Add(time.Duration(i) * 20 * time.Millisecond)
			c, ok := table.Pick(now, &Query{Service: "shop"})
			if !ok {
				continue
			}
			counts[c.Instance.DataCentre]++
			table.Sent(now, c.Instance.ID)
			table.Done(now, c.Instance.ID, Result{})
		}
	}
	return counts
}

// warmingFleet has four workers in data centre a and four in b that are warming until a
// time, and instances of another service up to entryNodes in total.
func warmingFleet(warmingUntil time.Time, evacuated ...model.DataCentre) *model.Fleet {
	f := &model.Fleet{Evacuated: evacuated}
	for i := range entryNodes {
		in := model.Instance{ID: model.InstanceID(fmt.Sprintf("i%02d", i)), Service: "other", DataCentre: "c", State: model.StateLive}
		if i < 8 {
			in.Service, in.DataCentre = "shop", "a"
		}
		if i >= 4 && i < 8 {
			in.DataCentre, in.WarmingUntil = "b", warmingUntil
		}
		f.Instances = append(f.Instances, in)
	}
	return f
}

func TestEntriesTogetherRespectWarmingRate(t *testing.T) {
	got := simulateSecond(t, warmingFleet(warmingStart.Add(3*time.Second)))
	// Four workers take 13 a second each. The turns are random, so that the number varies.
	if n := got["b"]; n == 0 || n > 4*13*3/2 {
		t.Errorf("%d of 2000 attempts went to four warming workers that together take 52 a second", n)
	}
	if n := got["a"]; n < 1900 {
		t.Errorf("%d of 2000 attempts went to the warm workers, want 1900 or more", n)
	}
}

func TestWarmingWorkersAreUsedIfThereAreNoOthers(t *testing.T) {
	if got := simulateSecond(t, warmingFleet(warmingStart.Add(3*time.Second), "a")); got["b"] != 2000 {
		t.Errorf("placed %v, want all at the warming workers", got)
	}
}

func TestEvacuatedDataCentreIsNotChosen(t *testing.T) {
	if got := simulateSecond(t, warmingFleet(time.Time{}, "b")); got["b"] != 0 || got["a"] != 2000 {
		t.Errorf("placed %v, want none in the evacuated data centre", got)
	}
	if got := simulateSecond(t, warmingFleet(time.Time{}, "a", "b")); len(got) != 0 {
		t.Errorf("placed %v although all data centres are evacuated", got)
	}
}

func TestRestoredDataCentreCountsAsWarming(t *testing.T) {
	got := simulateSecond(t, warmingFleet(time.Time{}, "b"), warmingFleet(time.Time{}))
	if n := got["b"]; n == 0 || n > 4*13*3/2 {
		t.Errorf("%d of 2000 attempts went there in the first second, its workers together take 52 a second", n)
	}
}

func TestPickStaysWithinRegions(t *testing.T) {
	table := NewTable(Config{Self: "e", DataCentre: "a", Regions: model.DataCentreRegions{"a": "north", "b": "south"}})
	fleet := warmingFleet(time.Time{})
	table.Update(warmingStart, fleet, nil)
	south := model.NewRegions([]model.RegionName{"south"})
	for range 200 {
		c, ok := table.Pick(warmingStart, &Query{Service: "shop", Regions: south})
		if !ok || c.Instance.DataCentre != "b" {
			t.Fatalf("placed at %s in %s, want b", c.Instance.ID, c.Instance.DataCentre)
		}
		home, ok := table.NextHome(warmingStart, &Query{Service: "shop", Regions: south}, "r", nil)
		if !ok || home.Instance.DataCentre != "b" {
			t.Fatalf("the home node is %s in %s, want b", home.Instance.ID, home.Instance.DataCentre)
		}
	}
}

func TestNoUpstreamReason(t *testing.T) {
	table := NewTable(Config{Self: "e", DataCentre: "a", Regions: model.DataCentreRegions{"a": "north", "b": "south"}})
	table.Update(warmingStart, warmingFleet(time.Time{}, "b"), nil)
	for name, tt := range map[string]struct {
		q    Query
		want model.Reason
	}{
		"no such service":         {Query{Service: "nobody"}, model.ReasonNoUpstream},
		"others may be chosen":    {Query{Service: "shop"}, model.ReasonNoUpstream},
		"its region has none":     {Query{Service: "shop", Regions: model.NewRegions([]model.RegionName{"east"})}, model.ReasonRegion},
		"its region is evacuated": {Query{Service: "shop", Regions: model.NewRegions([]model.RegionName{"south"})}, model.ReasonEvacuated},
	} {
		if got := table.NoUpstreamReason(&tt.q); got != tt.want {
			t.Errorf("%s: %s, want %s", name, got, tt.want)
		}
	}
}

// The owners of an evacuated data centre run no requests, but remember callers' own ids.
func TestEvacuationMovesNoHomes(t *testing.T) {
	before, after := NewTable(Config{Self: "e"}), NewTable(Config{Self: "e"})
	before.Update(warmingStart, warmingFleet(time.Time{}), nil)
	after.Update(warmingStart, warmingFleet(time.Time{}, "b"), nil)
	for i := range 100 {
		id := model.RequestID(fmt.Sprint("r", i))
		want, _ := before.Home(warmingStart, "shop", id)
		if got, _ := after.Home(warmingStart, "shop", id); got.Instance.ID != want.Instance.ID {
			t.Errorf("the home node of %s moved from %s to %s", id, want.Instance.ID, got.Instance.ID)
		}
	}
}

// An entry may learn of an evacuation up to 1.5 s after the owners in that data centre.
func TestOwnerThatRefusesAsEvacuatedIsAvoided(t *testing.T) {
	table := NewTable(Config{Self: "e", DataCentre: "a"})
	table.Update(warmingStart, warmingFleet(time.Time{}), nil)
	for i := 4; i < 8; i++ {
		id := model.InstanceID(fmt.Sprintf("i%02d", i))
		table.Sent(warmingStart, id)
		table.Done(warmingStart, id, Result{Refused: model.ReasonEvacuated, RetryAfter: time.Second})
	}
	for range 200 {
		if c, ok := table.Pick(warmingStart, &Query{Service: "shop"}); !ok || c.Instance.DataCentre != "a" {
			t.Fatalf("placed at %s in %s, whose owners refuse", c.Instance.ID, c.Instance.DataCentre)
		}
	}
}
