package owner

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

func TestOfferRefusesUnboundAttempts(t *testing.T) {
	tests := []struct {
		name   string
		change func(a *model.Attempt)
		want   offerResult
	}{
		{"another incarnation", func(a *model.Attempt) { a.OwnerIncarnation++ }, refused(model.ReasonIncarnation, true)},
		{"another owner", func(a *model.Attempt) { a.Owner = "w2" }, refused(model.ReasonIncarnation, true)},
		{"no incarnation, not idempotent", func(a *model.Attempt) { a.OwnerIncarnation = 0 }, refused(model.ReasonIncarnation, true)},
		{"no incarnation, idempotent", func(a *model.Attempt) { a.OwnerIncarnation = 0; a.Idempotent = true }, started},
		{"no stamp, not idempotent", func(a *model.Attempt) { a.OwnerClock = 0 }, refused(model.ReasonStale, true)},
		{"no stamp, idempotent", func(a *model.Attempt) { a.OwnerClock = 0; a.Idempotent = true }, started},
		{"older than its remaining time", func(a *model.Attempt) { a.OwnerClock -= time.Second }, refused(model.ReasonStale, true)},
		{"just younger than its remaining time", func(a *model.Attempt) { a.OwnerClock -= time.Second - 1 }, started},
		{"no time left", func(a *model.Attempt) { a.Remaining = 0 }, refused(model.ReasonExpired, true)},
		{"stamped in the future", func(a *model.Attempt) { a.OwnerClock++ }, refused(model.ReasonBadRequest, true)},
		{"stamped in the far future", func(a *model.Attempt) { a.OwnerClock = 1 << 62 }, refused(model.ReasonBadRequest, false)},
		{"stamped before the start", func(a *model.Attempt) { a.OwnerClock = -1 }, refused(model.ReasonBadRequest, true)},
		{"no attempt id", func(a *model.Attempt) { a.ID = model.AttemptID{} }, refused(model.ReasonBadRequest, true)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t, testService())
			a := r.attempt()
			tt.change(a)
			r.want(r.offer(a), tt.want)
		})
	}
}

func TestOwnEntryNeedsNoStamp(t *testing.T) {
	r := newRig(t, testService())
	a := r.attempt()
	a.OwnerClock = 0
	a.OwnerIncarnation = 0
	v, refusal := r.o.Offer(r.now, a, true)
	r.want(offerResult{v, refusal}, started)
}

func TestSameAttemptIDRunsOnce(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		r := newRig(t, testService())
		a := r.attempt()
		a.Idempotent = idempotent
		r.want(r.offer(a), started)
		r.want(r.offer(a), refused(model.ReasonDuplicateRunning, false))
		r.finish(a, Completion{Status: 200})
		r.want(r.offer(a), refused(model.ReasonDuplicateDone, false))
	}
}

func TestFinishNotRunFences(t *testing.T) {
	r := newRig(t, testService())
	a := r.attempt()
	r.want(r.offer(a), started)
	r.finish(a, Completion{NotRun: true})
	r.want(r.offer(a), refused(model.ReasonFenced, true))
	if got := r.resolve(a, time.Second); got != model.AttemptFenced {
		t.Fatalf("resolved as %v", got)
	}
}

func TestRefusedAttemptStaysRefused(t *testing.T) {
	r := newRig(t, testService())
	r.o.SetState(r.now, model.StateCold)
	a := r.attempt()
	r.want(r.offer(a), refused(model.ReasonNotReady, true))
	r.o.SetState(r.now, model.StateLive)
	r.want(r.offer(a), refused(model.ReasonFenced, true))
}

func TestResolve(t *testing.T) {
	r := newRig(t, testService())
	never, running, waiting := r.attempt(), r.attempt(), r.attempt()
	r.want(r.offer(running), started)
	r.fill(1)
	r.want(r.offer(waiting), enqueued)

	if got := r.resolve(never, time.Second); got != model.AttemptNeverSeen {
		t.Errorf("never seen: resolved as %v", got)
	}
	r.want(r.offer(never), refused(model.ReasonFenced, true))
	if got := r.resolve(running, time.Second); got != model.AttemptStarted {
		t.Errorf("started: resolved as %v", got)
	}
	if got := r.resolve(waiting, time.Second); got != model.AttemptQueued {
		t.Errorf("queued: resolved as %v", got)
	}
	r.wantDecisions(r.decided, refuseDecision(waiting, model.ReasonFenced))
	if got := r.resolve(waiting, time.Second); got != model.AttemptFenced {
		t.Errorf("resolved again: state %v", got)
	}
	r.finish(running, Completion{Status: 500, Failed: true})
	if got := r.resolve(running, time.Second); got != model.AttemptDone {
		t.Errorf("done: resolved as %v", got)
	}
	other := r.attempt()
	other.OwnerIncarnation--
	if got := r.resolve(other, time.Second); got != model.AttemptForgotten {
		t.Errorf("another incarnation: resolved as %v", got)
	}
}

// A fence has to hold until no copy of the attempt can be in time any more.
func TestFenceHoldsUntilAttemptIsStale(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond, 999 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, time.Minute} {
		r := newRig(t, testService())
		a := r.attempt()
		r.advance(400 * time.Millisecond)
		if got := r.resolve(a, 600*time.Millisecond); got != model.AttemptNeverSeen {
			t.Fatalf("resolved as %v", got)
		}
		r.tick(delay)
		got := r.offer(a)
		if got.Kind != Refuse || !got.Refusal.NotRun {
			t.Errorf("copy %v after the fence: %+v", delay, got)
		}
	}
}

// A Resolve that arrives after the record has expired must not prove "not run".
func TestForgottenAttemptProvesNothing(t *testing.T) {
	r := newRig(t, testService())
	a, never := r.attempt(), r.attempt()
	r.want(r.offer(a), started)
	r.finish(a, Completion{Status: 200})
	r.tick(time.Hour)
	if got := r.resolve(a, 0); got != model.AttemptForgotten {
		t.Errorf("a done attempt: resolved as %v", got)
	}
	r.want(r.offer(a), refused(model.ReasonStale, false))
	if got := r.resolve(never, 0); got != model.AttemptNeverSeen {
		t.Errorf("an attempt never seen: resolved as %v", got)
	}
}

func TestOlderEntryIncarnationIsRefused(t *testing.T) {
	r := newRig(t, testService())
	old := r.attempt()
	newer := r.attempt()
	newer.ID.Incarnation++
	r.want(r.offer(newer), started)
	r.want(r.offer(old), refused(model.ReasonStale, false))
	if got := r.resolve(old, time.Second); got != model.AttemptForgotten {
		t.Errorf("resolved as %v", got)
	}
}

// At its bound the ledger answers less precisely, but never wrongly.
func TestFullLedgerClaimsNothingFalse(t *testing.T) {
	r := newRig(t, testService())
	r.o.attempts.maxRecords = 100
	done, fenced := r.attempt(), r.attempt()
	if got := r.resolve(fenced, time.Second); got != model.AttemptNeverSeen {
		t.Fatalf("resolved as %v", got)
	}
	r.want(r.offer(done), started)
	r.finish(done, Completion{Status: 200})
	for range 100 {
		r.advance(time.Microsecond)
		if a := r.attempt(); r.resolve(a, 10*time.Second) != model.AttemptNeverSeen {
			t.Fatal("an attempt never seen was not fenced")
		}
	}
	if n := len(r.o.attempts.records); n > 100 {
		t.Fatalf("%d records", n)
	}
	if got := r.offer(fenced); got.Kind != Refuse || !got.Refusal.NotRun {
		t.Errorf("a fence evicted early: %+v", got)
	}
	if got := r.resolve(done, time.Second); got != model.AttemptForgotten {
		t.Errorf("a done record evicted early: resolved as %v", got)
	}
	if got := r.offer(done); got.Kind != Refuse || got.Refusal.NotRun {
		t.Errorf("a done record evicted early: %+v", got)
	}
}

func TestCancel(t *testing.T) {
	r := newRig(t, testService())
	running := r.fill(2)[0]
	waiting := r.attempt()
	r.want(r.offer(waiting), enqueued)
	if notRun, ds := r.o.Cancel(r.now, running.ID); notRun || len(ds) > 0 {
		t.Errorf("a started attempt was cancelled: %v %v", notRun, ds)
	}
	notRun, ds := r.o.Cancel(r.now, waiting.ID)
	if !notRun {
		t.Error("a queued attempt was not cancelled")
	}
	r.wantDecisions(ds, refuseDecision(waiting, model.ReasonCancelled))
	r.want(r.offer(waiting), refused(model.ReasonFenced, true))
}
