package entry

import (
	"testing"

	"gypsumstand/internal/model"
)

// A refusal by the worker itself used a worker attempt, even if it proves "not run".
func TestRefusalByWorkerCountsAsWorkerAttempt(t *testing.T) {
	for reason, want := range map[model.Reason]int{
		model.ReasonWorkerShed: 1, model.ReasonWorkerReplaced: 1, model.ReasonNotReady: 0, model.ReasonBusy: 0, model.ReasonOverloaded: 0,
	} {
		var c Call
		c.countWorkerAttempt(model.Refusal{Reason: reason, NotRun: true})
		if c.workerAttempts != want {
			t.Errorf("%s: %d worker attempts, want %d", reason, c.workerAttempts, want)
		}
	}
}
