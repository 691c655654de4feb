package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// hedging returns a call of a bundle that hedges, with a pace that is known.
func hedging(t *testing.T, traits ...func(*Request)) *script {
	r := testRequest()
	r.Idempotent = true
	r.Target.Bundle.Retry.HedgeAfterQuantile = 0.9
	for _, trait := range traits {
		trait(&r)
	}
	s := &script{t: t, table: newFakeTable(3), now: epoch}
	e := testEngine(s.table)
	for i := range paceWindow {
		e.paces.of(paceKey{testService, "payout"}, newPace).answered(time.Duration(i+1)*100*time.Microsecond, 0.9)
	}
	s.call = e.Begin(epoch, r)
	s.next()
	return s
}

func TestHedgeIsDueOnceACallIsLate(t *testing.T) {
	s := hedging(t)
	if late := s.step.HedgeAt.Sub(epoch); late < 89*time.Millisecond || late > 92*time.Millisecond {
		t.Fatalf("hedge after %v, want the 90th percentile of 90 ms", late)
	}
	first := s.step.To.ID
	h, ok := s.call.Hedge(s.step.HedgeAt)
	if !ok {
		t.Fatal("no hedge")
	}
	step := h.Next(s.step.HedgeAt)
	if step.Kind != StepSend || step.To.ID == first || !step.HedgeAt.IsZero() {
		t.Fatalf("hedge %v to %q", step.Kind, step.To.ID)
	}
	if step.Attempt.RetryBudget != 0 || step.Attempt.ID == s.step.Attempt.ID {
		t.Fatalf("hedge's attempt %+v", step.Attempt)
	}
	if _, again := s.call.Hedge(s.step.HedgeAt); again {
		t.Fatal("hedged twice")
	}
	h.Answered(s.step.HedgeAt, false)
	s.call.CallerCancelled(s.step.HedgeAt)
	if !s.table.balanced() {
		t.Fatalf("Sent and Done do not balance: %v", s.table.inFlight)
	}
}

func TestThereIsNoHedge(t *testing.T) {
	tests := map[string]func(*Request){
		"for what must not run twice":       func(r *Request) { r.Idempotent = false },
		"when the body cannot be sent":      streamed,
		"when the path has nothing left":    func(r *Request) { r.RetryBudget = 0 },
		"when the bundle names no quantile": func(r *Request) { r.Target.Bundle.Retry.HedgeAfterQuantile = 0 },
		"when the deadline is sooner":       func(r *Request) { r.Timeout = 50 * time.Millisecond },
	}
	for name, trait := range tests {
		t.Run(name, func(t *testing.T) {
			s := hedging(t, trait)
			if _, ok := s.call.Hedge(s.now.Add(time.Millisecond)); ok {
				t.Fatal("hedged")
			}
		})
	}
	t.Run("when refusals have drained the service's budget", func(t *testing.T) {
		s := hedging(t)
		s.call.bucket.tokens.Store(hedgeReserve - 1)
		if _, ok := s.call.Hedge(s.step.HedgeAt); ok {
			t.Fatal("hedged")
		}
	})
}

func TestEndOfBothIsNotRunOnlyWhenBothAre(t *testing.T) {
	unknown := Step{Kind: StepEnd, Outcome: model.OutcomeUnknown}
	notRun := Step{Kind: StepEnd, Outcome: model.OutcomeNotRun}
	for _, tt := range []struct{ a, b, want Step }{
		{unknown, notRun, unknown}, {notRun, unknown, unknown}, {notRun, notRun, notRun}, {unknown, unknown, unknown},
	} {
		if got := CombineOutcomes(tt.a, tt.b); got.Outcome != tt.want.Outcome {
			t.Errorf("%v and %v: %v, want %v", tt.a.Outcome, tt.b.Outcome, got.Outcome, tt.want.Outcome)
		}
	}
}

func TestAnAttemptAtALostOwnerIsAlsoMadeElsewhere(t *testing.T) {
	s := hedging(t, func(r *Request) { r.Target.Bundle.Retry.HedgeAfterQuantile = 0 })
	first := s.step.To.ID
	if _, ok := s.call.Hedge(epoch); ok {
		t.Fatal("hedged without a quantile")
	}
	h, ok := s.call.HedgeUnreachable(epoch)
	if !ok {
		t.Fatal("not made elsewhere")
	}
	if step := h.Next(epoch); step.Kind != StepSend || step.To.ID == first {
		t.Fatalf("%v to %q", step.Kind, step.To.ID)
	}
	if _, again := s.call.HedgeUnreachable(epoch); again {
		t.Error("made elsewhere twice")
	}
	h.Answered(epoch, false)
	s.call.CallerCancelled(epoch)
	if !s.table.balanced() {
		t.Errorf("Sent and Done do not balance: %v", s.table.inFlight)
	}
}

func TestWhatMustNotRunTwiceWaitsForALostOwner(t *testing.T) {
	for name, trait := range map[string]func(*Request){
		"not idempotent":   func(r *Request) { r.Idempotent = false },
		"body streams":     streamed,
		"no budget's left": func(r *Request) { r.RetryBudget = 0 },
	} {
		if _, ok := hedging(t, trait).call.HedgeUnreachable(epoch); ok {
			t.Errorf("%s: made elsewhere", name)
		}
	}
}
