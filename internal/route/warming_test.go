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

const playedEntries = 40

// placed plays a second in which each of playedEntries entries sends 50 attempts a second to
// a fleet, and counts them by data centre.
func placed(t *testing.T, fleets ...*model.Fleet) map[model.DataCentre]int {
	t.Helper()
	set := bundle.NewSet([]*bundle.Bundle{{Name: "b", Version: 1, Services: []bundle.Service{
		{Name: "shop", Slots: 9, WarmingPerSecond: 13, WarmingMs: 3000},
	}}})
	counts := map[model.DataCentre]int{}
	for e := range playedEntries {
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

// playedFleet has four workers in data centre a and four in b, which warm up until a time, and
// as many instances of another service as make playedEntries.
func playedFleet(warmingUntil time.Time, evacuated ...model.DataCentre) *model.Fleet {
	f := &model.Fleet{Evacuated: evacuated}
	for i := range playedEntries {
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

func TestEntriesTogetherOfferWarmingWorkersWhatTheyBear(t *testing.T) {
	got := placed(t, playedFleet(warmingStart.Add(3*time.Second)))
	// Four workers bear 13 a second each; the turns are drawn, so some more or fewer come.
	if n := got["b"]; n == 0 || n > 4*13*3/2 {
		t.Errorf("%d of 2000 attempts went to four warming workers that bear 52", n)
	}
	if n := got["a"]; n < 1900 {
		t.Errorf("%d of 2000 attempts went to the warm ones", n)
	}
}

func TestWarmingWorkersAreChosenWhereThereAreNoOthers(t *testing.T) {
	if got := placed(t, playedFleet(warmingStart.Add(3*time.Second), "a")); got["b"] != 2000 {
		t.Errorf("placed %v, want all at the warming ones", got)
	}
}

func TestAnEvacuatedDataCentreIsNotChosen(t *testing.T) {
	if got := placed(t, playedFleet(time.Time{}, "b")); got["b"] != 0 || got["a"] != 2000 {
		t.Errorf("placed %v, want nothing in the evacuated one", got)
	}
	if got := placed(t, playedFleet(time.Time{}, "a", "b")); len(got) != 0 {
		t.Errorf("placed %v although all are evacuated", got)
	}
}

func TestADataCentreThatIsTakenBackIsUsedAsAWarmingOne(t *testing.T) {
	got := placed(t, playedFleet(time.Time{}, "b"), playedFleet(time.Time{}))
	if n := got["b"]; n == 0 || n > 4*13*3/2 {
		t.Errorf("%d of 2000 attempts went there in the first second, its workers may bear 52", n)
	}
}

func TestARequestIsPlacedWithinItsRegions(t *testing.T) {
	table := NewTable(Config{Self: "e", DataCentre: "a", Regions: model.DataCentreRegions{"a": "north", "b": "south"}})
	fleet := playedFleet(time.Time{})
	table.Update(warmingStart, fleet, nil)
	south := model.NewRegions([]model.RegionName{"south"})
	for range 200 {
		c, ok := table.Pick(warmingStart, &Query{Service: "shop", Regions: south})
		if !ok || c.Instance.DataCentre != "b" {
			t.Fatalf("placed at %s in %s, want b", c.Instance.ID, c.Instance.DataCentre)
		}
		home, ok := table.NextHome(warmingStart, &Query{Service: "shop", Regions: south}, "r", nil)
		if !ok || home.Instance.DataCentre != "b" {
			t.Fatalf("its home is %s in %s, want b", home.Instance.ID, home.Instance.DataCentre)
		}
	}
}

func TestTheLackOfAnUpstreamHasItsReason(t *testing.T) {
	table := NewTable(Config{Self: "e", DataCentre: "a", Regions: model.DataCentreRegions{"a": "north", "b": "south"}})
	table.Update(warmingStart, playedFleet(time.Time{}, "b"), nil)
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

// The owners of an evacuated data centre run nothing, but remember callers' own ids.
func TestAnEvacuationMovesNoHomes(t *testing.T) {
	before, after := NewTable(Config{Self: "e"}), NewTable(Config{Self: "e"})
	before.Update(warmingStart, playedFleet(time.Time{}), nil)
	after.Update(warmingStart, playedFleet(time.Time{}, "b"), nil)
	for i := range 100 {
		id := model.RequestID(fmt.Sprint("r", i))
		want, _ := before.Home(warmingStart, "shop", id)
		if got, _ := after.Home(warmingStart, "shop", id); got.Instance.ID != want.Instance.ID {
			t.Errorf("the home of %s moved from %s to %s", id, want.Instance.ID, got.Instance.ID)
		}
	}
}

// Word of an evacuation reaches an entry up to 1.5 s after the owners there.
func TestAnOwnerThatRefusesAsEvacuatedIsLeftToLast(t *testing.T) {
	table := NewTable(Config{Self: "e", DataCentre: "a"})
	table.Update(warmingStart, playedFleet(time.Time{}), nil)
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
