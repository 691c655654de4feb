package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// breakInRow plays n attempts that break at the worker at once.
func (r *rig) breakInRow(n int) {
	for range n {
		a := r.attempt()
		if got := r.offer(a); got.Verdict != Start {
			r.t.Fatalf("verdict %v, want a start", got.Verdict)
		}
		r.o.Confirm(r.now, a.ID)
		r.o.Finish(r.now, a.ID, Completion{Failed: true})
		r.pass(time.Millisecond)
	}
}

func TestAnotherLifeIsNotHeldToTheBreaksOfTheOneBefore(t *testing.T) {
	r := newRig(t, testService())
	var told []bool
	r.o.cfg.OnBreakerChange = func(open bool) { told = append(told, open) }
	r.breakInRow(breakerTrips)
	if got := r.offer(r.attempt()); got.Verdict != Refuse {
		t.Fatalf("verdict %v while every attempt breaks, want a refusal", got.Verdict)
	}
	r.keep(r.o.WorkerRestarted(r.now))
	if got := r.offer(r.attempt()); got.Verdict != Start {
		t.Errorf("verdict %v at the new life, want a start", got.Verdict)
	}
	if diff := cmp.Diff([]bool{true, false}, told); diff != "" {
		t.Errorf("told of the breaker (-want +got):\n%s", diff)
	}
}

func TestEndsOfAttemptsAtTheLifeBeforeSayNothingOfTheNewOne(t *testing.T) {
	svc := testService()
	svc.Slots = breakerTrips + 1
	r := newRig(t, svc)
	old := make([]func(), 0, breakerTrips)
	for range breakerTrips {
		a := r.attempt()
		r.offer(a)
		r.o.Confirm(r.now, a.ID)
		old = append(old, func() { r.o.Finish(r.now, a.ID, Completion{Failed: true}) })
	}
	r.keep(r.o.WorkerRestarted(r.now))
	for _, end := range old {
		end()
	}
	if r.o.breaker.open() || r.o.speed.failures != 0 {
		t.Errorf("breaker open: %v, failures %v; want neither", r.o.breaker.open(), r.o.speed.failures)
	}
}
