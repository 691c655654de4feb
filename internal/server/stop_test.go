package server

import (
	"testing"
	"time"
)

// A call that came after the bound of a stop could still be passed on: what ends it came
// from another goroutine, some time later. The evidence is this test on the code before,
// where hardly a call in a thousand was ended at once.
func TestACallThatComesAfterTheBoundOfAStopIsEndedBeforeItIsPassedOn(t *testing.T) {
	b := NewStopBound()
	b.Set(time.Now())
	<-b.ending.Done()
	passedOn := 0
	for range 1000 {
		ctx, end := b.bound(t.Context())
		if ctx.Err() == nil {
			passedOn++
		}
		end()
	}
	if passedOn > 0 {
		t.Errorf("%d of 1000 calls could still be passed on", passedOn)
	}
}
