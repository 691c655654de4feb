package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// suspect offers a fresh attempt under a caution.
func (r *rig) suspect(c Restrictions) (DecisionKind, model.AttemptID, model.Refusal) {
	a := r.attempt()
	v, refusal := r.o.OfferSuspect(r.now, a, false, c)
	return v, a.ID, refusal
}

func putAsideFor(d time.Duration) model.Refusal {
	return model.Refusal{Reason: model.ReasonQuarantined, NotRun: true, RetryAfter: d}
}

// doubtRig has eight slots.
func doubtRig(t *testing.T) *rig {
	svc := testService()
	svc.Slots, svc.QueueLimit, svc.Connections = 8, 20, 40
	return newRig(t, svc)
}

// What was in hand at an end mostly had no part in it, and starts as any other.
func TestWhatWasInHandAtOneEndStartsAtOnce(t *testing.T) {
	r := doubtRig(t)
	for i := range 8 {
		if v, _, _ := r.suspect(Restrictions{Crashes: 1}); v != Start {
			t.Errorf("attempt %d: verdict %d, though slots are free", i, v)
		}
	}
}

func TestRequestsUnderWhichTwoWorkersEndedRunOneByOne(t *testing.T) {
	r := doubtRig(t)
	v, first, _ := r.suspect(Restrictions{Exclusive: true})
	if v != Start {
		t.Fatalf("the first: verdict %d", v)
	}
	v, second, _ := r.suspect(Restrictions{Crashes: 2})
	if v != Queue {
		t.Fatalf("the second: verdict %d; want it to wait", v)
	}
	if v, _, _ := r.suspect(Restrictions{}); v != Start {
		t.Errorf("an attempt that is not suspect waits behind one that does: verdict %d", v)
	}
	r.pass(10 * time.Millisecond)
	ds := r.keep(r.o.Finish(r.now, first, Completion{Status: 200, ServiceTime: 10 * time.Millisecond}))
	if len(ds) != 1 || ds[0].Attempt != second || ds[0].Kind != Start {
		t.Errorf("after the first's end: %+v; want the second to start", ds)
	}
}

// That a request is suspect is known of some only when their bodies are here, after their start.
func TestAStartedAttemptRunsAloneOrNotAtAll(t *testing.T) {
	r := doubtRig(t)
	_, first, _ := r.suspect(Restrictions{})
	_, second, _ := r.suspect(Restrictions{})
	for range 2 {
		if !r.o.MarkExclusive(first) {
			t.Fatal("the first does not run alone")
		}
	}
	if r.o.MarkExclusive(second) {
		t.Error("the second runs beside the first")
	}
	r.pass(10 * time.Millisecond)
	r.keep(r.o.Finish(r.now, first, Completion{Status: 200, ServiceTime: 10 * time.Millisecond}))
	if !r.o.MarkExclusive(second) {
		t.Error("the second does not run alone after the first's end")
	}
}

// An entry that can place a suspect attempt elsewhere need not wait for another's end.
func TestASuspectAttemptMovesOnRatherThanWait(t *testing.T) {
	r := doubtRig(t)
	r.suspect(Restrictions{Exclusive: true})
	a := r.attempt()
	a.MayMove = true
	v, refusal := r.o.OfferSuspect(r.now, a, false, Restrictions{Exclusive: true})
	if v != Refuse || refusal.Reason != model.ReasonBusy || !refusal.NotRun {
		t.Errorf("verdict %d, %+v; want busy", v, refusal)
	}
}

func TestARequestThatIsPutAsideIsRefusedForGood(t *testing.T) {
	r := doubtRig(t)
	a := r.attempt()
	v, refusal := r.o.OfferSuspect(r.now, a, false, Restrictions{Refusal: putAsideFor(time.Minute)})
	if v != Refuse || refusal.Reason != model.ReasonQuarantined || !refusal.NotRun || refusal.RetryAfter != time.Minute {
		t.Errorf("verdict %d, %+v", v, refusal)
	}
	if v, refusal := r.o.Offer(r.now, a, false); v != Refuse || refusal.Reason != model.ReasonFenced {
		t.Errorf("the same attempt again: verdict %d, %+v; its refusal said that it never runs", v, refusal)
	}
}

// A caller's key that has run is told so, also when its request is put aside meanwhile: "not
// run" would not be true of the key.
func TestAKeyThatRanIsNotToldNotRunWhenPutAside(t *testing.T) {
	r := doubtRig(t)
	a := r.keyed("k")
	if v, _ := r.o.Offer(r.now, a, false); v != Start {
		t.Fatalf("verdict %d", v)
	}
	r.o.Confirm(r.now, a.ID)
	r.o.Finish(r.now, a.ID, Completion{Failed: true})
	again := r.keyed("k")
	v, refusal := r.o.OfferSuspect(r.now, again, false, Restrictions{Refusal: putAsideFor(0)})
	if v != Refuse || refusal.NotRun || refusal.Reason != model.ReasonDuplicateDone {
		t.Errorf("verdict %d, %+v; want that it has run", v, refusal)
	}
}

func TestARequestThatIsHeldBackNamesItsOnlyOwner(t *testing.T) {
	r := doubtRig(t)
	want := model.Refusal{Reason: model.ReasonDeferred, NotRun: true, OnlyOwner: "payouts-9", RetryAfter: 2 * time.Second}
	v, _, refusal := r.suspect(Restrictions{Refusal: want, OnlyOwner: "payouts-9"})
	if v != Refuse || refusal != want {
		t.Errorf("verdict %d, %+v; want %+v", v, refusal, want)
	}
}

// The owner whose worker ended tells when it expects that back, not its usual second.
func TestTheOnlyOwnerOfARequestTellsWhenItsWorkerIsBack(t *testing.T) {
	r := doubtRig(t)
	r.keep(r.o.SetState(r.now, model.StateCold))
	c := Restrictions{OnlyOwner: "payouts-1", RetryAfter: 2500 * time.Millisecond}
	v, _, refusal := r.suspect(c)
	if v != Refuse || refusal.Reason != model.ReasonDeferred || refusal.RetryAfter != c.RetryAfter || !refusal.NotRun {
		t.Errorf("verdict %d, %+v; want held back for %s", v, refusal, c.RetryAfter)
	}
}
