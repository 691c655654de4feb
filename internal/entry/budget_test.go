package entry

import (
	"testing"
	"time"
)

// drain takes whole retries out and returns how many there were.
func drain(b *bucket, now time.Time) int {
	n := 0
	for b.withdraw(now, costRetry) {
		n++
	}
	return n
}

func TestBucketBoundsExtraAttempts(t *testing.T) {
	b := newBucket(epoch)
	if n := drain(b, epoch); n != bucketDepth/unit {
		t.Fatalf("%d retries saved up, want %d", n, bucketDepth/unit)
	}
	const firsts = 50
	for range firsts {
		b.deposit(0.2)
	}
	if n := drain(b, epoch); n != firsts/5 {
		t.Errorf("%d retries for %d first attempts at a ratio of 0.2", n, firsts)
	}
	if n := drain(b, epoch.Add(3500*time.Millisecond)); n != 3 {
		t.Errorf("%d retries in 3.5 s without calls, want one a second", n)
	}
	if n := drain(b, epoch.Add(time.Hour)); n != bucketDepth/unit {
		t.Errorf("%d retries after an hour, want no more than were saved at first", n)
	}
}

func TestHedgeIsPaidFromBothBudgets(t *testing.T) {
	s := hedging(t)
	tokens, budget := s.call.bucket.tokens.Load(), s.call.budget
	if _, ok := s.call.Hedge(s.step.HedgeAt); !ok {
		t.Fatal("no hedge")
	}
	if paid := tokens - s.call.bucket.tokens.Load(); paid != costRetry {
		t.Errorf("%d paid from the service's bucket, want %d", paid, costRetry)
	}
	if s.call.budget != budget-1 {
		t.Errorf("path's budget went from %d to %d", budget, s.call.budget)
	}
}

func TestWaitsAreSpread(t *testing.T) {
	e := testEngine(newFakeTable(1))
	const d = 10 * time.Millisecond
	seen := map[time.Duration]bool{}
	for range 100 {
		j, a := e.jitter(d), e.delayed(d)
		if j < d/2 || j >= d*3/2 {
			t.Fatalf("jitter of %v is %v", d, j)
		}
		if a < d || a >= d*3/2 {
			t.Fatalf("delay of %v is %v: advice is undercut or far exceeded", d, a)
		}
		seen[j], seen[a] = true, true
	}
	if len(seen) < 190 {
		t.Errorf("%d different waits of 200", len(seen))
	}
}
