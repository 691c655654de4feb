package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
)

// breakerLoad runs a worker that breaks every attempt from 1 to 2 s and answers all
// others in 5 ms, under one attempt every 10 ms for 4 s. Of every outOf attempts the
// first idempotent ones are idempotent.
type breakerLoad struct{ idempotent, outOf int }

// breakerResult counts the attempts that broke at the worker: lost those that must not be
// repeated, all every one. It also holds the calls of OnBreakerChange and the refusals.
type breakerResult struct {
	lost, all   int
	changes     []bool
	lastRefusal time.Duration
	refusals    []model.Refusal
}

func (b breakerLoad) run(t *testing.T) breakerResult {
	t.Helper()
	r := newRig(t, testService())
	var out breakerResult
	r.o.cfg.OnBreakerChange = func(open bool) { out.changes = append(out.changes, open) }
	for i := range 400 {
		at := time.Duration(i) * 10 * time.Millisecond
		a := r.attempt()
		a.Idempotent = i%b.outOf < b.idempotent
		switch got := r.offer(a); got.Kind {
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

// A worker that resets every request still passes its health checks. In one second with
// 100 requests that must not be repeated, all are lost without the breaker, and 11 with
// it: the others are refused and proved not to have run.
func TestBreakerLimitsLossAtABrokenWorker(t *testing.T) {
	got := breakerLoad{idempotent: 0, outOf: 1}.run(t)
	if got.lost > 12 {
		t.Errorf("%d of 100 attempts were lost at a worker that breaks all of them", got.lost)
	}
	for _, r := range got.refusals {
		if !r.NotRun || r.Reason != model.ReasonNotReady || r.RetryAfter <= 0 || r.RetryAfter > breakerMaxInterval {
			t.Fatalf("refused with %+v", r)
		}
	}
	if got.lastRefusal > 2*time.Second+breakerMaxInterval {
		t.Errorf("still refusing %v after the worker recovered", got.lastRefusal-2*time.Second)
	}
	if diff := cmp.Diff([]bool{true, false}, got.changes); diff != "" {
		t.Errorf("breaker changes (-want +got):\n%s", diff)
	}
}

func TestIdempotentAttemptsAreTriedFirst(t *testing.T) {
	got := breakerLoad{idempotent: 1, outOf: 4}.run(t)
	if got.lost > breakerThreshold {
		t.Errorf("%d attempts that must not be repeated were lost", got.lost)
	}
	if got.all > 2*breakerThreshold+5 {
		t.Errorf("%d attempts broke at the worker", got.all)
	}
	if got.lastRefusal > 2*time.Second+breakerMaxInterval {
		t.Errorf("still refusing %v after the worker recovered", got.lastRefusal-2*time.Second)
	}
}

func TestOneResponseClosesTheBreaker(t *testing.T) {
	var b breaker
	for range breakerThreshold - 1 {
		b.observe(0, true)
	}
	b.observe(0, false)
	for range breakerThreshold - 1 {
		b.observe(0, true)
	}
	if _, open := b.refuses(0, false); open {
		t.Error("breaker open although a response interrupted the failures")
	}
}

func TestOnlyBrokenResponsesCountForTheBreaker(t *testing.T) {
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
		if got := tt.f.broken(); got != tt.want {
			t.Errorf("%s: broken %v, want %v", name, got, tt.want)
		}
	}
}
