package server

import (
	"testing"
	"time"
)

// A call that arrived after the bound of a stop could still be passed on, because another
// goroutine cancelled its context some time later. Without the fix hardly one call in a
// thousand ended at once.
func TestCallAfterStopBoundIsNeverPassedOn(t *testing.T) {
	b := NewStopBound()
	b.Set(time.Now())
	<-b.ctx.Done()
	passedOn := 0
	for range 1000 {
		ctx, end := b.withContext(t.Context())
		if ctx.Err() == nil {
			passedOn++
		}
		end()
	}
	if passedOn > 0 {
		t.Errorf("%d of 1000 calls could still be passed on", passedOn)
	}
}
