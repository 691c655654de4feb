package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// failInRow runs n attempts that break at the worker at once.
func (r *rig) failInRow(n int) {
	for range n {
		a := r.attempt()
		if got := r.offer(a); got.Kind != Start {
			r.t.Fatalf("decision %v, want a start", got.Kind)
		}
		r.o.Confirm(r.now, a.ID)
		r.o.Finish(r.now, a.ID, Completion{Failed: true})
		r.advance(time.Millisecond)
	}
}

func TestWorkerRestartClosesTheBreaker(t *testing.T) {
	r := newRig(t, testService())
	var changes []bool
	r.o.cfg.OnBreakerChange = func(open bool) { changes = append(changes, open) }
	r.failInRow(breakerThreshold)
	if got := r.offer(r.attempt()); got.Kind != Refuse {
		t.Fatalf("decision %v while every attempt breaks, want a refusal", got.Kind)
	}
	r.collect(r.o.WorkerRestarted(r.now))
	if got := r.offer(r.attempt()); got.Kind != Start {
		t.Errorf("decision %v at the new worker incarnation, want a start", got.Kind)
	}
	if diff := cmp.Diff([]bool{true, false}, changes); diff != "" {
		t.Errorf("breaker changes (-want +got):\n%s", diff)
	}
}

func TestAttemptsOfThePreviousIncarnationAreNotCounted(t *testing.T) {
	svc := testService()
	svc.Slots = breakerThreshold + 1
	r := newRig(t, svc)
	old := make([]func(), 0, breakerThreshold)
	for range breakerThreshold {
		a := r.attempt()
		r.offer(a)
		r.o.Confirm(r.now, a.ID)
		old = append(old, func() { r.o.Finish(r.now, a.ID, Completion{Failed: true}) })
	}
	r.collect(r.o.WorkerRestarted(r.now))
	for _, end := range old {
		end()
	}
	if r.o.breaker.open() || r.o.service.failures != 0 {
		t.Errorf("breaker open: %v, failures %v; want neither", r.o.breaker.open(), r.o.service.failures)
	}
}
