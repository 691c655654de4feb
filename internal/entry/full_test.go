package entry

import (
	"testing"
	"time"

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
