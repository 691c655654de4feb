package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// suspect offers a new attempt under restrictions.
func (r *rig) suspect(c Restrictions) (DecisionKind, model.AttemptID, model.Refusal) {
	a := r.attempt()
	v, refusal := r.o.OfferSuspect(r.now, a, false, c)
	return v, a.ID, refusal
}

func quarantinedFor(d time.Duration) model.Refusal {
	return model.Refusal{Reason: model.ReasonQuarantined, NotRun: true, RetryAfter: d}
}

// eightSlotRig returns an owner with eight slots.
func eightSlotRig(t *testing.T) *rig {
	svc := testService()
	svc.Slots, svc.QueueLimit, svc.Connections = 8, 20, 40
	return newRig(t, svc)
}

// Most requests in flight at a crash did not cause it, so they start as any other.
func TestAttemptsAfterOneCrashStartAtOnce(t *testing.T) {
	r := eightSlotRig(t)
	for i := range 8 {
		if v, _, _ := r.suspect(Restrictions{Crashes: 1}); v != Start {
			t.Errorf("attempt %d: decision %d, though slots are free", i, v)
		}
	}
}

func TestRequestsAfterTwoCrashesRunOneByOne(t *testing.T) {
	r := eightSlotRig(t)
	v, first, _ := r.suspect(Restrictions{Exclusive: true})
	if v != Start {
		t.Fatalf("the first: decision %d", v)
	}
	v, second, _ := r.suspect(Restrictions{Crashes: 2})
	if v != Queue {
		t.Fatalf("the second: decision %d; want it to wait", v)
	}
	if v, _, _ := r.suspect(Restrictions{}); v != Start {
		t.Errorf("an attempt that is not suspect waits behind an exclusive one: decision %d", v)
	}
	r.advance(10 * time.Millisecond)
	ds := r.collect(r.o.Finish(r.now, first, Completion{Status: 200, ServiceTime: 10 * time.Millisecond}))
	if len(ds) != 1 || ds[0].Attempt != second || ds[0].Kind != Start {
		t.Errorf("after the end of the first: %+v; want the second to start", ds)
	}
}

// Some requests are known to be suspect only when their bodies have arrived, after the
// start.
func TestMarkExclusiveAdmitsOneAttempt(t *testing.T) {
	r := eightSlotRig(t)
	_, first, _ := r.suspect(Restrictions{})
	_, second, _ := r.suspect(Restrictions{})
	for range 2 {
		if !r.o.MarkExclusive(first) {
			t.Fatal("the first is not exclusive")
		}
	}
	if r.o.MarkExclusive(second) {
		t.Error("the second runs at the same time as the first")
	}
	r.advance(10 * time.Millisecond)
	r.collect(r.o.Finish(r.now, first, Completion{Status: 200, ServiceTime: 10 * time.Millisecond}))
	if !r.o.MarkExclusive(second) {
		t.Error("the second is not exclusive after the end of the first")
	}
}

// An entry that can place a suspect attempt elsewhere need not wait for another one's
// end.
func TestExclusiveAttemptMovesRatherThanWaits(t *testing.T) {
	r := eightSlotRig(t)
	r.suspect(Restrictions{Exclusive: true})
	a := r.attempt()
	a.MayMove = true
	v, refusal := r.o.OfferSuspect(r.now, a, false, Restrictions{Exclusive: true})
	if v != Refuse || refusal.Reason != model.ReasonBusy || !refusal.NotRun {
		t.Errorf("decision %d, %+v; want busy", v, refusal)
	}
}

func TestQuarantinedRequestStaysRefused(t *testing.T) {
	r := eightSlotRig(t)
	a := r.attempt()
	v, refusal := r.o.OfferSuspect(r.now, a, false, Restrictions{Refusal: quarantinedFor(time.Minute)})
	if v != Refuse || refusal.Reason != model.ReasonQuarantined || !refusal.NotRun || refusal.RetryAfter != time.Minute {
		t.Errorf("decision %d, %+v", v, refusal)
	}
	if v, refusal := r.o.Offer(r.now, a, false); v != Refuse || refusal.Reason != model.ReasonFenced {
		t.Errorf("the same attempt again: decision %d, %+v; its refusal claimed that it never runs", v, refusal)
	}
}

// A caller's key that has run is refused as done even while its request is quarantined:
// "not run" would be false for the key.
func TestQuarantineDoesNotClaimNotRunForAKeyThatRan(t *testing.T) {
	r := eightSlotRig(t)
	a := r.keyed("k")
	if v, _ := r.o.Offer(r.now, a, false); v != Start {
		t.Fatalf("decision %d", v)
	}
	r.o.Confirm(r.now, a.ID)
	r.o.Finish(r.now, a.ID, Completion{Failed: true})
	again := r.keyed("k")
	v, refusal := r.o.OfferSuspect(r.now, again, false, Restrictions{Refusal: quarantinedFor(0)})
	if v != Refuse || refusal.NotRun || refusal.Reason != model.ReasonDuplicateDone {
		t.Errorf("decision %d, %+v; want a refusal as done", v, refusal)
	}
}

func TestDeferredRequestNamesItsOnlyOwner(t *testing.T) {
	r := eightSlotRig(t)
	want := model.Refusal{Reason: model.ReasonDeferred, NotRun: true, OnlyOwner: "payouts-9", RetryAfter: 2 * time.Second}
	v, _, refusal := r.suspect(Restrictions{Refusal: want, OnlyOwner: "payouts-9"})
	if v != Refuse || refusal != want {
		t.Errorf("decision %d, %+v; want %+v", v, refusal, want)
	}
}

// The owner whose worker crashed returns the expected recovery as Retry-After, not its
// default of a second.
func TestOnlyOwnerReportsWorkerRecovery(t *testing.T) {
	r := eightSlotRig(t)
	r.collect(r.o.SetState(r.now, model.StateCold))
	c := Restrictions{OnlyOwner: "payouts-1", RetryAfter: 2500 * time.Millisecond}
	v, _, refusal := r.suspect(c)
	if v != Refuse || refusal.Reason != model.ReasonDeferred || refusal.RetryAfter != c.RetryAfter || !refusal.NotRun {
		t.Errorf("decision %d, %+v; want it deferred for %s", v, refusal, c.RetryAfter)
	}
}
