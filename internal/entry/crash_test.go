package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

func workerCrashed(s *script) {
	s.call.Refused(s.now, model.Refusal{Reason: model.ReasonWorkerCrashed})
}

// An idempotent request that was in flight at a worker's crash is retried, and the next owner
// learns the number of crashes.
func TestIdempotentRetryAfterCrashCarriesTheCrashCount(t *testing.T) {
	s := start(t, 3, idempotent)
	for crashes := range uint8(2) {
		if got := s.step.Attempt.Crashes; s.step.Kind != StepSend || got != crashes {
			t.Fatalf("step %s with %d crashes; want a send with %d", s.step.Kind, got, crashes)
		}
		s.do(workerCrashed)
	}
}

func TestCrashDuringNonIdempotentRequestIsUnknown(t *testing.T) {
	s := start(t, 3)
	s.do(workerCrashed)
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeUnknown || s.step.Reason != model.ReasonWorkerCrashed {
		t.Errorf("step %s, %s %s; want unknown", s.step.Kind, s.step.Outcome, s.step.Reason)
	}
}

// All owners quarantine the request, so that the caller gets the Retry-After at once.
func TestQuarantinedRequestIsNotOfferedElsewhere(t *testing.T) {
	for _, trait := range []func(*Request){func(*Request) {}, idempotent, keyed} {
		s := start(t, 3, trait)
		s.do(func(s *script) {
			s.call.Refused(s.now, model.Refusal{Reason: model.ReasonQuarantined, NotRun: true, RetryAfter: 20 * time.Second})
		})
		if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 20*time.Second {
			t.Errorf("%+v: step %s, %s, Retry-After %s; want not-run, 20s", s.call.req, s.step.Kind, s.step.Outcome, s.step.RetryAfter)
		}
	}
}

// An attempt was in flight at a crash, so that the submission may have run.
func TestQuarantineAfterCrashIsUnknown(t *testing.T) {
	s := start(t, 3, idempotent)
	s.do(workerCrashed)
	s.do(func(s *script) { s.call.Refused(s.now, model.Refusal{Reason: model.ReasonQuarantined, NotRun: true}) })
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeUnknown {
		t.Errorf("step %s, %s; want unknown", s.step.Kind, s.step.Outcome)
	}
}
