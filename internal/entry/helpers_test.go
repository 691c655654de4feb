package entry

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

var epoch = time.Date(2026, 12, 1, 8, 0, 0, 0, time.UTC)

const (
	testService model.ServiceName = "payouts"
	testTimeout                   = time.Second
)

// fakeTable offers its owners in order and counts the attempts in flight.
type fakeTable struct {
	owners   []model.Instance
	home     int
	inFlight map[model.InstanceID]int
	results  []route.Result
	// choose, when set, returns the index of the owner to offer first.
	choose func() int
}

func newFakeTable(owners int) *fakeTable {
	t := &fakeTable{inFlight: map[model.InstanceID]int{}}
	for i := range owners {
		t.owners = append(t.owners, model.Instance{
			ID: model.InstanceID("payouts-" + string(rune('a'+i))), Service: testService, Incarnation: 7,
		})
	}
	return t
}

func (t *fakeTable) Pick(now time.Time, q *route.Query) (route.Choice, bool) {
	first := 0
	if t.choose != nil {
		first = t.choose()
	}
	tried := triedOwners{}
	for _, id := range q.Tried {
		tried.add(id)
	}
	for i := range t.owners {
		in := t.owners[(first+i)%len(t.owners)]
		if !tried.has(in.ID) {
			return route.Choice{Instance: in, OwnerClock: time.Second}, true
		}
	}
	return route.Choice{}, false
}

func (t *fakeTable) NextHome(_ time.Time, _ *route.Query, _ model.RequestID, skipped []model.InstanceID) (route.Choice, bool) {
	for i := range t.owners {
		home := t.owners[(t.home+i)%len(t.owners)]
		if !slices.Contains(skipped, home.ID) {
			return route.Choice{Instance: home, OwnerClock: time.Second}, true
		}
	}
	return route.Choice{}, false
}

func (t *fakeTable) PickInstance(_ time.Time, _ *route.Query, id model.InstanceID) (route.Choice, bool) {
	for _, in := range t.owners {
		if in.ID == id {
			return route.Choice{Instance: in, OwnerClock: time.Second}, true
		}
	}
	return route.Choice{}, false
}

func (t *fakeTable) NoUpstreamReason(*route.Query) model.Reason { return model.ReasonNoUpstream }

func (t *fakeTable) Sent(_ time.Time, id model.InstanceID) { t.inFlight[id]++ }

func (t *fakeTable) Done(_ time.Time, id model.InstanceID, r route.Result) {
	t.inFlight[id]--
	t.results = append(t.results, r)
}

func (t *fakeTable) balanced() bool {
	for _, n := range t.inFlight {
		if n != 0 {
			return false
		}
	}
	return true
}

func seeded(seed uint64) func() uint64 { return rand.New(rand.NewPCG(seed, 1)).Uint64 }

func testEngine(table chooser) *Engine {
	self := model.Instance{ID: "vouchers-a", Service: "vouchers", Incarnation: 3}
	return newEngine(Config{Self: self, Random: seeded(1)}, table)
}

func testTarget() bundle.Target {
	b := &bundle.Bundle{
		Name: "inyange", Version: 9, Retry: bundle.Retry{PerPath: 2, Ratio: 0.2},
		Classes:  []bundle.Class{{Name: "payout", Worth: 10, DeadlineMs: 1000}},
		Services: []bundle.Service{{Name: testService, Slots: 20}},
	}
	return bundle.Target{Bundle: b, Service: &b.Services[0], Class: &b.Classes[0]}
}

func testRequest() Request {
	return Request{ID: "r1", Target: testTarget(), Timeout: testTimeout, RetryBudget: 2, Replayable: true}
}

func idempotent(r *Request) { r.Idempotent = true }
func keyed(r *Request)      { r.CallerKey = true }
func streamed(r *Request)   { r.Replayable = false }

// reportOf is the load report of an owner of the fake table.
func reportOf(id model.InstanceID) model.LoadReport {
	return model.LoadReport{Owner: id, Incarnation: 7, Clock: 2 * time.Second}
}

func wantStep(t *testing.T, s Step, kind StepKind, to model.InstanceID) Step {
	t.Helper()
	if s.Kind != kind || s.To.ID != to {
		t.Fatalf("step %v to %q (%v, %v), want %v to %q", s.Kind, s.To.ID, s.Outcome, s.Reason, kind, to)
	}
	return s
}

func wantEnd(t *testing.T, s Step, outcome model.Outcome, reason model.Reason) Step {
	t.Helper()
	if s.Kind != StepEnd || s.Outcome != outcome || s.Reason != reason {
		t.Fatalf("step %v to %q (%v, %v), want end (%v, %v)", s.Kind, s.To.ID, s.Outcome, s.Reason, outcome, reason)
	}
	return s
}
