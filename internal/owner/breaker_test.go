package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

// breaking plays a worker that breaks every attempt from 1 to 2 s and answers all
// others in 20 ms, under one attempt every 10 ms for 4 s. Of every `of` attempts the
// first `repeatable` may be repeated.
type breaking struct{ repeatable, of int }

// broken counts what the load got: attempts that broke at the worker and must not be
// repeated, all that broke, and when the last refusal was made,
// and what the owner told of its breaker.
type broken struct {
	lost, all   int
	changes     []bool
	lastRefusal time.Duration
	refusals    []model.Refusal
}

func (b breaking) play(t *testing.T) broken {
	t.Helper()
	r := newRig(t, testService())
	var out broken
	r.o.cfg.OnBreakerChange = func(open bool) { out.changes = append(out.changes, open) }
	for i := range 400 {
		at := time.Duration(i) * 10 * time.Millisecond
		a := r.attempt()
		a.Idempotent = i%b.of < b.repeatable
		switch got := r.offer(a); got.Verdict {
		case Refuse:
			out.lastRefusal = at
			out.refusals = append(out.refusals, got.Refusal)
		case Start:
			r.o.Confirm(r.now, a.ID)
			f := Completion{ServiceTime: 5 * time.Millisecond, Status: 200}
			if at >= time.Second && at < 2*time.Second {
				f = Completion{ServiceTime: time.Millisecond, Failed: true}
				out.all++
				if !a.Idempotent {
					out.lost++
				}
			}
			r.o.Finish(r.now.Add(5*time.Millisecond), a.ID, f)
		}
		r.tick(10 * time.Millisecond)
	}
	return out
}

// A worker that resets every request says well to its health checks. In one second of
// 100 requests that must not be repeated, 100 were lost before and 11 after, as the
// others were refused and proved not to have run.
func TestAWorkerThatBreaksEverythingIsGivenFewAttempts(t *testing.T) {
	got := breaking{repeatable: 0, of: 1}.play(t)
	if got.lost > 12 {
		t.Errorf("%d of 100 attempts were lost at a worker that breaks all", got.lost)
	}
	for _, r := range got.refusals {
		if !r.NotRun || r.Reason != model.ReasonNotReady || r.RetryAfter <= 0 || r.RetryAfter > breakerMostPause {
			t.Fatalf("refused with %+v", r)
		}
	}
	if got.lastRefusal > 2*time.Second+breakerMostPause {
		t.Errorf("still refusing %v after the worker mended", got.lastRefusal-2*time.Second)
	}
	if diff := cmp.Diff([]bool{true, false}, got.changes); diff != "" {
		t.Errorf("told that it breaks: %s", diff)
	}
}

func TestWhatMayBeRepeatedTriesABreakingWorkerFirst(t *testing.T) {
	got := breaking{repeatable: 1, of: 4}.play(t)
	if got.lost > breakerTrips {
		t.Errorf("%d attempts that must not be repeated were lost", got.lost)
	}
	if got.all > 2*breakerTrips+5 {
		t.Errorf("%d attempts broke", got.all)
	}
	if got.lastRefusal > 2*time.Second+breakerMostPause {
		t.Errorf("still refusing %v after the worker mended", got.lastRefusal-2*time.Second)
	}
}

func TestOneAnswerClosesTheBreaker(t *testing.T) {
	var b breaker
	for range breakerTrips - 1 {
		b.ended(0, true)
	}
	b.ended(0, false)
	for range breakerTrips - 1 {
		b.ended(0, true)
	}
	if _, open := b.refuses(0, false); open {
		t.Error("open although an answer came in between")
	}
}

func TestOnlyABrokenAnswerSpeaksAgainstTheWorker(t *testing.T) {
	for name, tt := range map[string]struct {
		f    Completion
		want bool
	}{
		"reset":        {Completion{Failed: true, ServiceTime: time.Millisecond}, true},
		"time-out":     {Completion{Failed: true, Expired: true, ServiceTime: time.Second}, false},
		"given up":     {Completion{Failed: true, Abandoned: true}, false},
		"server error": {Completion{Failed: true, Status: 500, ServiceTime: time.Millisecond}, false},
		"not run":      {Completion{Failed: true, NotRun: true}, false},
		"answered":     {Completion{Status: 200}, false},
	} {
		if got := tt.f.broke(); got != tt.want {
			t.Errorf("%s: broke %v, want %v", name, got, tt.want)
		}
	}
}
