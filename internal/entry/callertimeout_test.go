package entry

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestCallerRetryDetectedByShorterTimeout(t *testing.T) {
	var c callerTimeout
	now := epoch
	rng := rand.New(rand.NewPCG(1, 2))
	first := func() time.Duration {
		return 425*time.Millisecond + time.Duration(rng.Int64N(int64(75*time.Millisecond)))
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if got := c.observe(now, first()); got != 0 {
			t.Fatalf("first submission: waited %s before, want 0", got)
		}
	}
	if got := c.observe(now, 262*time.Millisecond); got < 180*time.Millisecond || got > 220*time.Millisecond {
		t.Errorf("caller retry: waited %s before, want about 200ms", got)
	}
	// Half of all submissions are retries.
	for range 100 {
		c.observe(now, first())
		c.observe(now, 260*time.Millisecond)
	}
	if got := c.observe(now, 260*time.Millisecond); got == 0 {
		t.Error("no retry is detected while half of the submissions are retries")
	}
}

func TestVaryingTimeoutsAreNotCallerRetries(t *testing.T) {
	var c callerTimeout
	rng := rand.New(rand.NewPCG(1, 2))
	var detected int
	for i := range 1000 {
		timeout := time.Duration(50+rng.IntN(950)) * time.Millisecond
		if c.observe(epoch.Add(time.Duration(i)*10*time.Millisecond), timeout) > 0 && i > 100 {
			detected++
		}
	}
	if detected > 300 {
		t.Errorf("%d of 900 taken for caller retries, want 300 at most", detected)
	}
}

func TestUsualTimeoutExpires(t *testing.T) {
	var c callerTimeout
	now := epoch
	for range 100 {
		c.observe(now, 500*time.Millisecond)
	}
	now = now.Add(usualTTL + time.Millisecond)
	for range 100 {
		if got := c.observe(now, 200*time.Millisecond); got != 0 {
			t.Fatalf("first submission: waited %s before, want 0", got)
		}
	}
}
