package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// The Retry-After of a busy owner is the time until a slot is free, not until an overload
// ends.
func TestCallerGetsLongestOverloadRetryAfter(t *testing.T) {
	s := start(t, 3, withMoves(5))
	s.do(func(s *script) {
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonBusy, NotRun: true, RetryAfter: 20 * time.Millisecond})
	})
	for _, after := range []time.Duration{700 * time.Millisecond, 300 * time.Millisecond} {
		s.do(func(s *script) {
			s.call.Refused(s.now, model.Refusal{Reason: model.ReasonOverloaded, NotRun: true, RetryAfter: after})
		})
	}
	for s.step.Kind != StepEnd {
		s.do(refuse(model.ReasonOverloaded))
	}
	if s.step.RetryAfter != 700*time.Millisecond {
		t.Errorf("Retry-After %s, want 700 ms", s.step.RetryAfter)
	}
}
