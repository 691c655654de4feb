package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

func notTakenUp(s *script) {
	s.call.Refused(s.now, model.Refusal{Reason: model.ReasonNotAcknowledged, NotRun: true})
}

func TestAnOwnerHasAPartOfTheObjectiveToTakeAnAttemptUp(t *testing.T) {
	for _, tt := range []struct {
		name        string
		objectiveMs int64
		want        time.Duration
	}{
		{"no objective", 0, takeUpMost},
		{"a long objective", 3000, takeUpMost},
		{"between the bounds", 800, 200 * time.Millisecond},
		{"a short objective", 150, takeUpLeast},
	} {
		r := testRequest()
		class := *r.Target.Class
		class.ObjectiveMs = tt.objectiveMs
		r.Target.Class = &class
		step := testEngine(newFakeTable(2)).Begin(epoch, r).Next(epoch)
		if got := step.AcknowledgeBy.Sub(epoch); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}

func TestAnAttemptAtThisNodesOwnerIsNeverWithdrawn(t *testing.T) {
	table := newFakeTable(1)
	e := testEngine(table)
	e.cfg.Self.ID = e.Begin(epoch, testRequest()).Next(epoch).To.ID
	if step := e.Begin(epoch, testRequest()).Next(epoch); !step.AcknowledgeBy.IsZero() {
		t.Errorf("withdrawn after %s", step.AcknowledgeBy.Sub(epoch))
	}
}

func TestARequestThatIsNotTakenUpGoesElsewhereAndHasArrivedNowhere(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		s := start(t, 3, func(r *Request) { r.Idempotent = idempotent })
		first := s.step.To.ID
		s.do(notTakenUp)
		if s.step.Kind != StepSend || s.step.To.ID == first {
			t.Errorf("idempotent %v: step %s to %s after %s", idempotent, s.step.Kind, s.step.To.ID, first)
		}
		if s.call.arrived != 0 || s.call.retries != 0 {
			t.Errorf("idempotent %v: %d arrivals, %d retries", idempotent, s.call.arrived, s.call.retries)
		}
	}
}

func TestWhatNoOwnerTakesUpIsToldNotRun(t *testing.T) {
	s := start(t, 2)
	for range maxSends {
		if s.step.Kind == StepSend {
			s.do(notTakenUp)
		}
	}
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter <= 0 {
		t.Errorf("step %s, outcome %s, retry after %s", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

func TestTheBodyLeavesAtOnceForAnOwnerThatWasHeardJustNow(t *testing.T) {
	for _, tt := range []struct {
		name     string
		believed route.EstimateSummary
		withheld bool
	}{
		{"never heard", route.EstimateSummary{}, true},
		{"heard just now", route.EstimateSummary{Reported: true, Age: heardAge / 2}, false},
		{"heard a while ago", route.EstimateSummary{Reported: true, Age: heardAge}, true},
	} {
		s := start(t, 2)
		s.call.believed = tt.believed
		if got := !s.call.takeUpTime(epoch).IsZero(); got != tt.withheld {
			t.Errorf("%s: withheld %v", tt.name, got)
		}
	}
}
