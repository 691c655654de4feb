package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

func TestExplainSortsByCost(t *testing.T) {
	table := seeded(4)
	table.Done(origin, "s-00000", Result{Refused: model.ReasonOverloaded, RetryAfter: time.Second})
	leaving := report("s-00001", 2*time.Second)
	leaving.State = model.StateLeaving
	table.Observe(origin, leaving)
	var ids []model.InstanceID
	for _, e := range table.Explain(origin, query) {
		ids = append(ids, e.Instance.ID)
		sum := e.Link + e.Wait + e.Service + e.Overdue
		if off := sum - e.Expected; off < -5 || off > 5 {
			t.Errorf("%v: the parts add up to %v, Expected is %v", e.Instance.ID, sum, e.Expected)
		}
		cost := e.Link + e.Service + e.Overdue + waitWeight*(e.Wait+e.Failure)
		if off := cost - e.Cost; off < -10 || off > 10 {
			t.Errorf("%v: cost %v, want %v", e.Instance.ID, e.Cost, cost)
		}
	}
	want := []model.InstanceID{"s-00002", "s-00003", "s-00000", "s-00001"}
	if diff := cmp.Diff(want, ids); diff != "" {
		t.Error(diff)
	}
}

func TestStaleUpstreamsOfCalledServicesComeFirst(t *testing.T) {
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
	for range 20 {
		got := table.StaleUpstreams(now, 500*time.Millisecond, 6)
		if len(got) != 6 {
			t.Fatalf("got %d upstreams, want 6", len(got))
		}
		for i, in := range got {
			if in.ID == "b1" {
				t.Error("an upstream with a recent report is returned")
			}
			if called := in.Service == "b"; called != (i < 4) {
				t.Errorf("position %d is %v, want the four of service b first", i, in.ID)
			}
		}
	}
}

func TestUpstreamCountExcludesLeaving(t *testing.T) {
	fleet := makeFleet(4)
	fleet.Instances[1].State = model.StateLeaving
	fleet.Instances[2].State = model.StateGone
	table := NewTable(Config{})
	table.Update(origin, fleet, nil)
	if got := table.UpstreamCount("s"); got != 2 {
		t.Errorf("got %d, want 2", got)
	}
	if got := table.UpstreamCount("other"); got != 0 {
		t.Errorf("got %d for an unknown service, want 0", got)
	}
}
