package window

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// drawTimes draws a sequence of times in ascending order, some of them equal and some
// exactly one length apart.
func drawTimes(t *rapid.T, length time.Duration) []time.Time {
	gaps := rapid.SliceOf(rapid.OneOf(
		rapid.Just(time.Duration(0)), rapid.Just(length), rapid.Map(rapid.Int64Range(1, int64(2*length)), func(n int64) time.Duration { return time.Duration(n) }),
	)).Draw(t, "gaps")
	at := time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)
	times := make([]time.Time, len(gaps))
	for i, gap := range gaps {
		at = at.Add(gap)
		times[i] = at
	}
	return times
}

func TestCounterCountsEventsOfOpenWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		length := time.Duration(rapid.Int64Range(1, 10).Draw(t, "length"))
		times := drawTimes(t, length)
		c := NewCounter(length)
		for i, at := range times {
			first := i
			for first > 0 && at.Sub(times[first-1]) < length {
				first--
			}
			if got, want := c.Add(at), i-first+1; got != want || !c.Oldest().Equal(times[first]) {
				t.Fatalf("event %d of %v: %d counted from %v, want %d", i, times, got, c.Oldest(), want)
			}
		}
	})
}
