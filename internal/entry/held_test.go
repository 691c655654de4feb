package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// heldBackFor is the refusal of an owner that leaves a request to another one.
func heldBackFor(home model.InstanceID, after time.Duration) move {
	return func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDeferred, NotRun: true, RetryAfter: after, OnlyOwner: home})
	}
}

func TestARequestThatIsHeldBackGoesToItsOnlyOwner(t *testing.T) {
	for _, trait := range []func(*Request){func(*Request) {}, idempotent} {
		s := start(t, 3, trait, moving(5))
		s.do(heldBackFor("payouts-c", 3*time.Second))
		if s.step.Kind != StepSend || s.step.To.ID != "payouts-c" {
			t.Fatalf("step %s to %s; want a sending to payouts-c", s.step.Kind, s.step.To.ID)
		}
		if s.step.Attempt.MayMove {
			t.Error("its only owner may turn it away as busy, though no other one would run it")
		}
	}
}

// The only owner's worker has just ended, which nobody has noticed yet: a payout with its
// caller's key waited for it until its deadline.
func TestAKeyedRequestIsRefusedAtOnceWhereItsOnlyOwnerCannotRunIt(t *testing.T) {
	s := start(t, 3, keyed)
	s.do(func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDelegated, NotRun: true, OnlyOwner: "payouts-c", RetryAfter: 3 * time.Second})
	}, func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true})
	})
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 3*time.Second {
		t.Errorf("step %s, %s, come back after %s; want not run", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

// Nobody else would run it: the caller is told at once, with the time of the owner that knows.
func TestARequestIsRefusedAtOnceWhileItsOnlyOwnerIsWithoutAWorker(t *testing.T) {
	s := start(t, 3)
	s.do(heldBackFor("payouts-c", 3*time.Second), heldBackFor("payouts-c", 1200*time.Millisecond))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 1200*time.Millisecond {
		t.Errorf("step %s, %s, come back after %s; want not run, 1.2s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
	if took := s.now.Sub(epoch); took > 10*time.Millisecond {
		t.Errorf("told after %s", took)
	}
}

func TestARequestThatNobodyMayRunIsOfferedToNobodyElse(t *testing.T) {
	s := start(t, 3)
	s.do(heldBackFor("", 3*time.Second))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 3*time.Second {
		t.Errorf("step %s, %s, come back after %s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

// Two owners that send a call to each other end it, as each is asked by name once.
func TestOwnersThatDisagreeOnTheOnlyOneEndTheCall(t *testing.T) {
	s := start(t, 3)
	first := s.step.To.ID
	s.do(heldBackFor("payouts-c", time.Second), heldBackFor(first, time.Second), heldBackFor("payouts-c", time.Second))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun {
		t.Errorf("step %s, %s; want the end", s.step.Kind, s.step.Outcome)
	}
}

// A worker ended under an earlier attempt: "not run" would not be true of the sending.
func TestASendingThatRanIsNotToldNotRunWhenHeldBack(t *testing.T) {
	s := start(t, 3, idempotent)
	ended := s.step.To.ID
	s.do(workerEnded, heldBackFor("", 3*time.Second), heldBackFor(ended, time.Second))
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeUnknown || s.step.RetryAfter != time.Second {
		t.Errorf("step %s, %s, come back after %s; want unknown, 1s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

// The home of a caller's own id registers it and leaves the placing to the call.
func TestAKeyedRequestThatIsHeldBackIsDelegatedToItsOnlyOwner(t *testing.T) {
	s := start(t, 3, keyed)
	s.do(func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDelegated, NotRun: true, OnlyOwner: "payouts-c"})
	})
	if s.step.Kind != StepSend || s.step.To.ID != "payouts-c" || !s.step.Attempt.Delegated {
		t.Errorf("step %s to %s; want a delegated sending to payouts-c", s.step.Kind, s.step.To.ID)
	}
}

// The first to be asked in its place has not heard of the end: the owner whose worker ended
// is asked again, and says where the request may run.
func TestALookupIsLentToTheOwnerThatTheFirstOneNames(t *testing.T) {
	s := start(t, 3, idempotent)
	ended := s.step.To.ID
	s.do(workerEnded, heldBackFor("", 3*time.Second))
	if s.step.Kind != StepSend || s.step.To.ID != ended || s.step.Attempt.Granted {
		t.Fatalf("step %s to %s; want %s to be asked", s.step.Kind, s.step.To.ID, ended)
	}
	s.do(func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonDeferred, NotRun: true, OnlyOwner: "payouts-c", Granted: true})
	})
	if s.step.Kind != StepSend || s.step.To.ID != "payouts-c" || !s.step.Attempt.Granted {
		t.Errorf("step %s to %s, lent %t; want payouts-c, lent", s.step.Kind, s.step.To.ID, s.step.Attempt.Granted)
	}
}
