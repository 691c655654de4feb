package entry

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestAReturnIsKnownByItsShorterTimeout(t *testing.T) {
	var p patience
	now := epoch
	rng := rand.New(rand.NewPCG(1, 2))
	first := func() time.Duration {
		return 425*time.Millisecond + time.Duration(rng.Int64N(int64(75*time.Millisecond)))
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		if got := p.note(now, first()); got != 0 {
			t.Fatalf("a first sending is taken for one after %s", got)
		}
	}
	if got := p.note(now, 262*time.Millisecond); got < 180*time.Millisecond || got > 220*time.Millisecond {
		t.Errorf("a return is taken for one after %s, want about 200ms", got)
	}
	// Half of all come back.
	for range 100 {
		p.note(now, first())
		p.note(now, 260*time.Millisecond)
	}
	if got := p.note(now, 260*time.Millisecond); got == 0 {
		t.Error("no return is known while half come back")
	}
}

func TestCallersThatChooseTheirTimeoutsFreelyAreNotTakenForReturns(t *testing.T) {
	var p patience
	rng := rand.New(rand.NewPCG(1, 2))
	var taken int
	for i := range 1000 {
		timeout := time.Duration(50+rng.IntN(950)) * time.Millisecond
		if p.note(epoch.Add(time.Duration(i)*10*time.Millisecond), timeout) > 0 && i > 100 {
			taken++
		}
	}
	if taken > 300 {
		t.Errorf("%d of 900 taken for returns", taken)
	}
}

func TestAUsualTimeoutThatNobodySendsAnyMoreIsForgotten(t *testing.T) {
	var p patience
	now := epoch
	for range 100 {
		p.note(now, 500*time.Millisecond)
	}
	now = now.Add(patienceMemory + time.Millisecond)
	for range 100 {
		if got := p.note(now, 200*time.Millisecond); got != 0 {
			t.Fatalf("taken for a return after %s", got)
		}
	}
}
