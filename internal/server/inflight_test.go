package server

import (
	"context"
	"errors"
	"testing"
)

func TestAttemptsAtALostOwnerAreGivenUpAndNoOthers(t *testing.T) {
	var f InFlight
	lost, endLost := f.begin(context.Background(), "lost")
	answered, endAnswered := f.begin(context.Background(), "lost")
	other, endOther := f.begin(context.Background(), "other")
	endAnswered()
	f.GiveUp("lost")
	f.GiveUp("unknown")
	if !errors.Is(context.Cause(lost), errOwnerLost) {
		t.Errorf("at the lost owner: %v", context.Cause(lost))
	}
	if answered.Err() != nil || other.Err() != nil {
		t.Errorf("answered before: %v, at another owner: %v", answered.Err(), other.Err())
	}
	endLost()
	endOther()
	if len(f.attempts) != 0 {
		t.Errorf("%d owners are still held", len(f.attempts))
	}
}
