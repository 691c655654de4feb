package quarantine

import (
	"testing"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// A node short of CPU time handled a fifth of its ticks. Each counted for one interval, so
// the average of a busy worker was still that of an idle one.
func TestSlotUseIsAveragedOverTimeAlsoWhenTicksAreLate(t *testing.T) {
	const idle, busy = 8 * time.Second, 2 * time.Second
	averageAfter := func(interval time.Duration) float64 {
		use, now := 0.0, epoch
		q := New(Config{
			Self: model.Instance{ID: "a"}, Started: now, Fleet: func() *model.Fleet { return nil },
			SlotUse: func(time.Time) (float64, bool) { return use, true },
		})
		pass := func(d, interval time.Duration) {
			for end := now.Add(d); now.Before(end); {
				now = now.Add(interval)
				q.Handle(now, control.Tick{})
			}
		}
		pass(idle, control.TickInterval)
		use = 0.75
		pass(busy, interval)
		return q.averageUse
	}
	want := averageAfter(control.TickInterval)
	if got := averageAfter(5 * control.TickInterval); got < 0.9*want {
		t.Errorf("average use %.2f with a tick every fifth interval, %.2f with all ticks", got, want)
	}
}
