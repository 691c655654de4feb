package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

func workerEnded(s *script) {
	s.call.Refused(s.now, model.Refusal{Reason: model.ReasonWorkerCrashed})
}

// What was in hand at a worker's end is tried again as before, and its next owner is told.
func TestALookupUnderWhichAWorkerEndsGoesOnAndSaysSo(t *testing.T) {
	s := start(t, 3, idempotent)
	for ends := range uint8(2) {
		if got := s.step.Attempt.Crashes; s.step.Kind != StepSend || got != ends {
			t.Fatalf("step %s, %d ends told; want a sending with %d", s.step.Kind, got, ends)
		}
		s.do(workerEnded)
	}
}

func TestAPayoutUnderWhichAWorkerEndsIsToldUnknown(t *testing.T) {
	s := start(t, 3)
	s.do(workerEnded)
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeUnknown || s.step.Reason != model.ReasonWorkerCrashed {
		t.Errorf("step %s, %s %s; want unknown", s.step.Kind, s.step.Outcome, s.step.Reason)
	}
}

// No other owner would take it, and the caller is told when to come back.
func TestARequestThatIsPutAsideIsOfferedToNobodyElse(t *testing.T) {
	for _, trait := range []func(*Request){func(*Request) {}, idempotent, keyed} {
		s := start(t, 3, trait)
		s.do(func(s *script) {
			s.call.Refused(s.now, model.Refusal{Reason: model.ReasonQuarantined, NotRun: true, RetryAfter: 20 * time.Second})
		})
		if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter != 20*time.Second {
			t.Errorf("%+v: step %s, %s, come back after %s", s.call.req, s.step.Kind, s.step.Outcome, s.step.RetryAfter)
		}
	}
}

// An attempt was in hand at an end: "not run" would not be true of the sending.
func TestASendingThatRanIsNotToldNotRunWhenPutAside(t *testing.T) {
	s := start(t, 3, idempotent)
	s.do(workerEnded)
	s.do(func(s *script) { s.call.Refused(s.now, model.Refusal{Reason: model.ReasonQuarantined, NotRun: true}) })
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeUnknown {
		t.Errorf("step %s, %s; want unknown", s.step.Kind, s.step.Outcome)
	}
}
