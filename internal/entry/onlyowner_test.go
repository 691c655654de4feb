package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// deferTo is the refusal of an owner that defers a request to its only owner.
func deferTo(owner model.InstanceID, after time.Duration) action {
	return func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: after, OnlyOwner: owner})
	}
}

func TestDeferredRequestGoesToItsOnlyOwner(t *testing.T) {
	for _, trait := range []func(*Request){func(*Request) {}, idempotent} {
		s := start(t, 3, trait, withMoves(5))
		s.do(deferTo("payouts-c", 3*time.Second))
		if s.step.Kind != StepSend || s.step.To.ID != "payouts-c" {
			t.Fatalf("step %s to %s; want a send to payouts-c", s.step.Kind, s.step.To.ID)
		}
		if s.step.Attempt.MayMove {
			t.Error("the only owner may refuse the request as busy, though no other owner may run it")
		}
	}
}

// The only owner's worker has just crashed, undetected so far. A request with the caller's
// own key would otherwise wait for it until the deadline.
func TestKeyedRequestFailsFastWhenOnlyOwnerHasNoWorker(t *testing.T) {
	s := start(t, 3, keyed)
	s.do(func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDelegated, NotRun: true, OnlyOwner: "payouts-c", RetryAfter: 3 * time.Second})
	}, func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true})
	})
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 3*time.Second {
		t.Errorf("step %s, %s, Retry-After %s; want not-run, 3s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

// No other owner may run the request, so that the call ends at once, with the Retry-After
// of the only owner.
func TestDeferredRequestFailsFastWhenOnlyOwnerHasNoWorker(t *testing.T) {
	s := start(t, 3)
	s.do(deferTo("payouts-c", 3*time.Second), deferTo("payouts-c", 1200*time.Millisecond))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 1200*time.Millisecond {
		t.Errorf("step %s, %s, Retry-After %s; want not-run, 1.2s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
	if took := s.now.Sub(epoch); took > 10*time.Millisecond {
		t.Errorf("ended after %s, want 10 ms at most", took)
	}
}

func TestDeferredRequestWithoutOnlyOwnerEnds(t *testing.T) {
	s := start(t, 3)
	s.do(deferTo("", 3*time.Second))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 3*time.Second {
		t.Errorf("step %s, %s, Retry-After %s; want not-run, 3s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

// Two owners each name the other as the only one. Each is asked as such once, then the call
// ends.
func TestDisagreeingOwnersEndTheCall(t *testing.T) {
	s := start(t, 3)
	first := s.step.To.ID
	s.do(deferTo("payouts-c", time.Second), deferTo(first, time.Second), deferTo("payouts-c", time.Second))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun {
		t.Errorf("step %s, %s; want the end", s.step.Kind, s.step.Outcome)
	}
}

// A worker crashed during an earlier attempt, so that the submission may have run.
func TestDeferralAfterCrashIsUnknown(t *testing.T) {
	s := start(t, 3, idempotent)
	crashed := s.step.To.ID
	s.do(workerCrashed, deferTo("", 3*time.Second), deferTo(crashed, time.Second))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeUnknown || s.step.RetryAfter != time.Second {
		t.Errorf("step %s, %s, Retry-After %s; want unknown, 1s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

// The home node registers the caller's id and delegates the request to its only owner.
func TestHomeDelegatesDeferredRequestToOnlyOwner(t *testing.T) {
	s := start(t, 3, keyed)
	s.do(func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDelegated, NotRun: true, OnlyOwner: "payouts-c"})
	})
	if s.step.Kind != StepSend || s.step.To.ID != "payouts-c" || !s.step.Attempt.Delegated {
		t.Errorf("step %s to %s; want a delegated send to payouts-c", s.step.Kind, s.step.To.ID)
	}
}

// The next owner defers the request before it learns which owner coordinates it. The call
// asks the owner whose worker crashed again, and that one grants the run to an owner.
func TestDeferredRequestCarriesTheGrant(t *testing.T) {
	s := start(t, 3, idempotent)
	crashed := s.step.To.ID
	s.do(workerCrashed, deferTo("", 3*time.Second))
	if s.step.Kind != StepSend || s.step.To.ID != crashed || s.step.Attempt.Granted {
		t.Fatalf("step %s to %s; want %s to be asked", s.step.Kind, s.step.To.ID, crashed)
	}
	s.do(func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDeferred, NotRun: true, OnlyOwner: "payouts-c", Granted: true})
	})
	if s.step.Kind != StepSend || s.step.To.ID != "payouts-c" || !s.step.Attempt.Granted {
		t.Errorf("step %s to %s, granted %t; want payouts-c, granted", s.step.Kind, s.step.To.ID, s.step.Attempt.Granted)
	}
}
