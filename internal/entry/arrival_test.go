package entry

import (
	"testing"

	"gypsumstand/internal/model"
)

// A refusal of a worker has arrived there, whatever it proves.
func TestWhatAWorkerRefusedHasArrived(t *testing.T) {
	for reason, want := range map[model.Reason]int{
		model.ReasonWorkerShed: 1, model.ReasonWorkerReplaced: 1, model.ReasonNotReady: 0, model.ReasonBusy: 0, model.ReasonOverloaded: 0,
	} {
		var c Call
		c.noteArrival(model.Refusal{Reason: reason, NotRun: true})
		if c.arrived != want {
			t.Errorf("%s: %d arrivals, want %d", reason, c.arrived, want)
		}
	}
}
