package suspension

import (
	"testing"
	"time"
)

func TestRunningMachineReportsNoSuspension(t *testing.T) {
	first, err := Now()
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		now, err := Now()
		if err != nil {
			t.Fatal(err)
		}
		if now.Min > now.Max {
			t.Fatalf("%+v", now)
		}
		if d := now.Since(first); d != 0 {
			t.Fatalf("suspended for %s", d)
		}
	}
}

func TestSinceReturnsUpperBound(t *testing.T) {
	before := Total{Min: time.Second, Max: time.Second + time.Millisecond}
	for _, tt := range []struct{ suspended, want time.Duration }{
		{0, 0},
		{minSuspension, 0},
		{3 * time.Second, 3*time.Second + time.Millisecond},
	} {
		after := Total{Min: before.Min + tt.suspended, Max: before.Max + tt.suspended}
		if got := after.Since(before); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.suspended, got, tt.want)
		}
	}
}
