package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// hedging returns a call of a bundle that hedges, with a known latency quantile.
func hedging(t *testing.T, traits ...func(*Request)) *script {
	r := testRequest()
	r.Idempotent = true
	r.Target.Bundle.Retry.HedgeAfterQuantile = 0.9
	for _, trait := range traits {
		trait(&r)
	}
	s := &script{t: t, table: newFakeTable(3), now: epoch}
	e := testEngine(s.table)
	for i := range latencyWindow {
		e.latencies.get(classKey{testService, "payout"}, newLatencyQuantile).record(time.Duration(i+1)*100*time.Microsecond, 0.9)
	}
	s.call = e.Begin(epoch, r)
	s.next()
	return s
}

func TestHedgeIsDueAtTheQuantile(t *testing.T) {
	s := hedging(t)
	if late := s.step.HedgeAt.Sub(epoch); late < 89*time.Millisecond || late > 92*time.Millisecond {
		t.Fatalf("hedge after %v, want the 90th percentile, 90 ms", late)
	}
	first := s.step.To.ID
	h, ok := s.call.Hedge(s.step.HedgeAt)
	if !ok {
		t.Fatal("no hedge")
	}
	step := h.Next(s.step.HedgeAt)
	if step.Kind != StepSend || step.To.ID == first || !step.HedgeAt.IsZero() {
		t.Fatalf("hedge: step %v to %q, want a send to another owner without a hedge", step.Kind, step.To.ID)
	}
	if step.Attempt.RetryBudget != 0 || step.Attempt.ID == s.step.Attempt.ID {
		t.Fatalf("hedge: attempt %+v, want a new id and no retry budget", step.Attempt)
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

func TestHedgeIsNotAllowed(t *testing.T) {
	tests := map[string]func(*Request){
		"not idempotent":               func(r *Request) { r.Idempotent = false },
		"body streams":                 streamed,
		"no budget left on the path":   func(r *Request) { r.RetryBudget = 0 },
		"no quantile in the bundle":    func(r *Request) { r.Target.Bundle.Retry.HedgeAfterQuantile = 0 },
		"deadline before the quantile": func(r *Request) { r.Timeout = 50 * time.Millisecond },
	}
	for name, trait := range tests {
		t.Run(name, func(t *testing.T) {
			s := hedging(t, trait)
			if _, ok := s.call.Hedge(s.now.Add(time.Millisecond)); ok {
				t.Fatal("hedged")
			}
		})
	}
	t.Run("service's budget drained by refusals", func(t *testing.T) {
		s := hedging(t)
		s.call.bucket.tokens.Store(hedgeMinBudget - 1)
		if _, ok := s.call.Hedge(s.step.HedgeAt); ok {
			t.Fatal("hedged")
		}
	})
}

func TestCombinedOutcomeIsNotRunOnlyIfBothAre(t *testing.T) {
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

func TestHedgeForUnreachableOwner(t *testing.T) {
	s := hedging(t, func(r *Request) { r.Target.Bundle.Retry.HedgeAfterQuantile = 0 })
	first := s.step.To.ID
	if _, ok := s.call.Hedge(epoch); ok {
		t.Fatal("hedged without a quantile")
	}
	h, ok := s.call.HedgeUnreachable(epoch)
	if !ok {
		t.Fatal("no hedge for an unreachable owner")
	}
	if step := h.Next(epoch); step.Kind != StepSend || step.To.ID == first {
		t.Fatalf("hedge: step %v to %q, want a send to another owner", step.Kind, step.To.ID)
	}
	if _, again := s.call.HedgeUnreachable(epoch); again {
		t.Error("hedged twice")
	}
	h.Answered(epoch, false)
	s.call.CallerCancelled(epoch)
	if !s.table.balanced() {
		t.Errorf("Sent and Done do not balance: %v", s.table.inFlight)
	}
}

func TestNoHedgeForUnreachableOwner(t *testing.T) {
	for name, trait := range map[string]func(*Request){
		"not idempotent": func(r *Request) { r.Idempotent = false },
		"body streams":   streamed,
		"no budget left": func(r *Request) { r.RetryBudget = 0 },
	} {
		if _, ok := hedging(t, trait).call.HedgeUnreachable(epoch); ok {
			t.Errorf("%s: hedged", name)
		}
	}
}
