package entry

import (
	"testing"
	"time"
)

// drain withdraws retries until none is left and returns how many there were.
func drain(b *bucket, now time.Time) int {
	n := 0
	for b.withdraw(now, retryCost) {
		n++
	}
	return n
}

func TestBucketBoundsExtraAttempts(t *testing.T) {
	b := newBucket(epoch)
	if n := drain(b, epoch); n != bucketDepth/attemptUnit {
		t.Fatalf("a new bucket holds %d retries, want %d", n, bucketDepth/attemptUnit)
	}
	const firsts = 50
	for range firsts {
		b.deposit(0.2)
	}
	if n := drain(b, epoch); n != firsts/5 {
		t.Errorf("%d retries for %d first attempts at a ratio of 0.2", n, firsts)
	}
	if n := drain(b, epoch.Add(3500*time.Millisecond)); n != 3 {
		t.Errorf("%d retries in 3.5 s without calls, want 3, one a second", n)
	}
	if n := drain(b, epoch.Add(time.Hour)); n != bucketDepth/attemptUnit {
		t.Errorf("%d retries after an hour, want no more than a new bucket holds", n)
	}
}

func TestHedgeSpendsBothBudgets(t *testing.T) {
	s := hedging(t)
	tokens, budget := s.call.bucket.tokens.Load(), s.call.budget
	if _, ok := s.call.Hedge(s.step.HedgeAt); !ok {
		t.Fatal("no hedge")
	}
	if paid := tokens - s.call.bucket.tokens.Load(); paid != retryCost {
		t.Errorf("the hedge took %d out of the service's bucket, want %d", paid, retryCost)
	}
	if s.call.budget != budget-1 {
		t.Errorf("the path's budget went from %d to %d, want one less", budget, s.call.budget)
	}
}

func TestWaitsAreJittered(t *testing.T) {
	e := testEngine(newFakeTable(1))
	const d = 10 * time.Millisecond
	seen := map[time.Duration]bool{}
	for range 100 {
		j, a := e.jitter(d), e.atLeastWithJitter(d)
		if j < d/2 || j >= d*3/2 {
			t.Fatalf("jitter of %v is %v", d, j)
		}
		if a < d || a >= d*3/2 {
			t.Fatalf("delay of %v is %v: Retry-After is undercut or far exceeded", d, a)
		}
		seen[j], seen[a] = true, true
	}
	if len(seen) < 190 {
		t.Errorf("%d different delays of 200, want 190 or more", len(seen))
	}
}
