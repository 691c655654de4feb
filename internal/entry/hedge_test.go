package entry

import (
	"fmt"
	"sort"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// hedging returns a call of a bundle that hedges, with a pace that is known.
func hedging(t *testing.T, traits ...func(*Request)) *script {
	r := testRequest()
	r.Idempotent = true
	r.Target.Bundle.Retry.HedgeAfterQuantile = 0.9
	for _, trait := range traits {
		trait(&r)
	}
	s := &script{t: t, table: newFakeTable(3), now: epoch}
	e := testEngine(s.table)
	for i := range paceWindow {
		e.paces.of(paceKey{testService, "payout"}, newPace).answered(time.Duration(i+1)*100*time.Microsecond, 0.9)
	}
	s.call = e.Begin(epoch, r)
	s.next()
	return s
}

func TestHedgeIsDueOnceACallIsLate(t *testing.T) {
	s := hedging(t)
	if late := s.step.HedgeAt.Sub(epoch); late < 89*time.Millisecond || late > 92*time.Millisecond {
		t.Fatalf("hedge after %v, want the 90th percentile of 90 ms", late)
	}
	first := s.step.To.ID
	h, ok := s.call.Hedge(s.step.HedgeAt)
	if !ok {
		t.Fatal("no hedge")
	}
	step := h.Next(s.step.HedgeAt)
	if step.Kind != StepSend || step.To.ID == first || !step.HedgeAt.IsZero() {
		t.Fatalf("hedge %v to %q", step.Kind, step.To.ID)
	}
	if step.Attempt.RetryBudget != 0 || step.Attempt.ID == s.step.Attempt.ID {
		t.Fatalf("hedge's attempt %+v", step.Attempt)
	}
	if _, again := s.call.Hedge(s.step.HedgeAt); again {
		t.Fatal("hedged twice")
	}
	h.Answered(s.step.HedgeAt, false)
	s.call.CallerGone(s.step.HedgeAt)
	if !s.table.balanced() {
		t.Fatalf("Sent and Done do not balance: %v", s.table.inFlight)
	}
}

func TestThereIsNoHedge(t *testing.T) {
	tests := map[string]func(*Request){
		"for what must not run twice":       func(r *Request) { r.Idempotent = false },
		"when the body cannot be sent":      streamed,
		"when the path has nothing left":    func(r *Request) { r.RetryBudget = 0 },
		"when the bundle names no quantile": func(r *Request) { r.Target.Bundle.Retry.HedgeAfterQuantile = 0 },
		"when the deadline is sooner":       func(r *Request) { r.Timeout = 50 * time.Millisecond },
	}
	for name, trait := range tests {
		t.Run(name, func(t *testing.T) {
			s := hedging(t, trait)
			if _, ok := s.call.Hedge(s.now.Add(time.Millisecond)); ok {
				t.Fatal("hedged")
			}
		})
	}
	t.Run("when refusals have drained the service's budget", func(t *testing.T) {
		s := hedging(t)
		s.call.bucket.tokens.Store(hedgeReserve - 1)
		if _, ok := s.call.Hedge(s.step.HedgeAt); ok {
			t.Fatal("hedged")
		}
	})
}

func TestEndOfBothIsNotRunOnlyWhenBothAre(t *testing.T) {
	unknown := Step{Kind: StepEnd, Outcome: model.OutcomeUnknown}
	notRun := Step{Kind: StepEnd, Outcome: model.OutcomeNotRun}
	for _, tt := range []struct{ a, b, want Step }{
		{unknown, notRun, unknown}, {notRun, unknown, unknown}, {notRun, notRun, notRun}, {unknown, unknown, unknown},
	} {
		if got := EndOfBoth(tt.a, tt.b); got.Outcome != tt.want.Outcome {
			t.Errorf("%v and %v: %v, want %v", tt.a.Outcome, tt.b.Outcome, got.Outcome, tt.want.Outcome)
		}
	}
}

// pausing stops the first owner for a quarter of the time.
func (f *fleet) pausing() {
	var pause func()
	pause = func() {
		f.pausedUntil = f.now.Add(500 * time.Millisecond)
		f.after(2*time.Second, pause)
	}
	f.after(4*time.Second, pause)
}

func TestHedgesAnswerCallsThatAPausedOwnerHolds(t *testing.T) {
	unanswered := map[float64]int{}
	for _, quantile := range []float64{0, 0.95} {
		f := newFleet(1, defaultTuning)
		f.bundle.Retry.HedgeAfterQuantile = quantile
		f.length = fleetLong / 2
		f.pausing()
		f.run(0.6)
		f.stats.log(t, fmt.Sprintf("hedge after %.2f", quantile))
		unanswered[quantile] = f.stats.calls - f.stats.answered
	}
	if unanswered[0] < 10 || unanswered[0.95] > unanswered[0]/10 {
		t.Errorf("%d calls unanswered with hedges, %d without", unanswered[0.95], unanswered[0])
	}
}

func BenchmarkHedge(b *testing.B) {
	faults := map[string]func(*fleet){"slowed": func(f *fleet) { f.slow = 5 }, "paused": (*fleet).pausing}
	for fault, set := range faults {
		for _, share := range []float64{0.6, 0.85} {
			for _, quantile := range []float64{0, 0.95, 0.99} {
				b.Run(fmt.Sprintf("one %s/%.0f%%/after %.2f", fault, 100*share, quantile), func(b *testing.B) {
					for range b.N {
						medianOfSeeds(share, quantile, set).report(b)
					}
				})
			}
		}
	}
}

// medianOfSeeds runs a fleet with several seeds and returns the figures of the
// one with the median answered share.
func medianOfSeeds(share, quantile float64, set func(*fleet)) *fleetStats {
	const seeds = 7
	var runs []*fleetStats
	for seed := range uint64(seeds) {
		f := newFleet(seed+1, defaultTuning)
		f.bundle.Retry.HedgeAfterQuantile = quantile
		f.length = fleetLong
		set(f)
		f.run(share)
		runs = append(runs, &f.stats)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].answeredShare() < runs[j].answeredShare() })
	return runs[seeds/2]
}
