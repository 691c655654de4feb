package suspension

import (
	"testing"
	"time"
)

func TestARunningMachineIsNotSuspended(t *testing.T) {
	first, err := Now()
	if err != nil {
		t.Fatal(err)
	}
	for range 1000 {
		now, err := Now()
		if err != nil {
			t.Fatal(err)
		}
		if now.Least > now.Most {
			t.Fatalf("%+v", now)
		}
		if d := now.Since(first); d != 0 {
			t.Fatalf("suspended for %s", d)
		}
	}
}

func TestASuspensionIsToldAtItsMost(t *testing.T) {
	before := Total{Least: time.Second, Most: time.Second + time.Millisecond}
	for _, tt := range []struct{ asleep, want time.Duration }{
		{0, 0},
		{least, 0},
		{3 * time.Second, 3*time.Second + time.Millisecond},
	} {
		after := Total{Least: before.Least + tt.asleep, Most: before.Most + tt.asleep}
		if got := after.Since(before); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.asleep, got, tt.want)
		}
	}
}
