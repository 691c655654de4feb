package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

func notAcknowledged(s *script) {
	s.call.Refused(s.now, model.Refusal{Reason: model.ReasonNotAcknowledged, NotRun: true})
}

func TestAcknowledgeTimeDependsOnObjective(t *testing.T) {
	for _, tt := range []struct {
		name        string
		objectiveMs int64
		want        time.Duration
	}{
		{"no objective", 0, maxAcknowledgeTime},
		{"a long objective", 3000, maxAcknowledgeTime},
		{"between the bounds", 800, 200 * time.Millisecond},
		{"a short objective", 150, minAcknowledgeTime},
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

func TestLocalAttemptIsNeverWithdrawn(t *testing.T) {
	table := newFakeTable(1)
	e := testEngine(table)
	e.cfg.Self.ID = e.Begin(epoch, testRequest()).Next(epoch).To.ID
	if step := e.Begin(epoch, testRequest()).Next(epoch); !step.AcknowledgeBy.IsZero() {
		t.Errorf("attempt at the node's own owner is withdrawn after %s", step.AcknowledgeBy.Sub(epoch))
	}
}

func TestUnacknowledgedRequestMovesAtNoCost(t *testing.T) {
	for _, idempotent := range []bool{false, true} {
		s := start(t, 3, func(r *Request) { r.Idempotent = idempotent })
		first := s.step.To.ID
		s.do(notAcknowledged)
		if s.step.Kind != StepSend || s.step.To.ID == first {
			t.Errorf("idempotent %v: step %s to %s, want another owner than %s", idempotent, s.step.Kind, s.step.To.ID, first)
		}
		if s.call.workerAttempts != 0 || s.call.retries != 0 {
			t.Errorf("idempotent %v: %d worker attempts, %d retries; want none", idempotent, s.call.workerAttempts, s.call.retries)
		}
	}
}

func TestUnacknowledgedEverywhereIsNotRun(t *testing.T) {
	s := start(t, 2)
	for range maxSends {
		if s.step.Kind == StepSend {
			s.do(notAcknowledged)
		}
	}
	if s.step.Kind != StepEnd || s.step.Outcome != model.OutcomeNotRun || s.step.RetryAfter <= 0 {
		t.Errorf("step %s, outcome %s, retry after %s; want a not-run end with Retry-After", s.step.Kind, s.step.Outcome, s.step.RetryAfter)
	}
}

func TestBodyIsSentAtOnceAfterRecentReport(t *testing.T) {
	for _, tt := range []struct {
		name     string
		believed route.EstimateSummary
		withheld bool
	}{
		{"no report", route.EstimateSummary{}, true},
		{"recent report", route.EstimateSummary{Reported: true, Age: recentReportAge / 2}, false},
		{"old report", route.EstimateSummary{Reported: true, Age: recentReportAge}, true},
	} {
		s := start(t, 2)
		s.call.estimate = tt.believed
		if got := !s.call.acknowledgeTime(epoch).IsZero(); got != tt.withheld {
			t.Errorf("%s: body withheld: %v, want the opposite", tt.name, got)
		}
	}
}
