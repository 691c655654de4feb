package entry

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

func TestNoMoveIsAskedForWhereTheBestOwnerHasJustSaidThatItIsFull(t *testing.T) {
	for _, tt := range []struct {
		name     string
		believed route.Belief
		want     bool
	}{
		{"two wait there", route.Belief{Heard: true, Age: freshReport, Load: 10, Limit: 8}, true},
		{"one waits there", route.Belief{Heard: true, Load: 9, Limit: 8}, false},
		{"a slot is free", route.Belief{Heard: true, Load: 7, Limit: 8}, false},
		{"an old report", route.Belief{Heard: true, Age: freshReport + time.Millisecond, Load: 20, Limit: 8}, false},
		{"nothing was heard", route.Belief{Load: 20, Limit: 8}, false},
	} {
		c := Call{believed: tt.believed}
		if got := c.believedFull(); got != tt.want {
			t.Errorf("%s: full %v, want %v", tt.name, got, tt.want)
		}
	}
}

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
