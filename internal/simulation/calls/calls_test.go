package calls

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
)

// log logs the figures of a run under a label.
func (s *fleetStats) log(t *testing.T, label string) {
	t.Helper()
	t.Logf("%-32s answered %6.2f%%, p99 %6.1f ms, sends per call %.3f, runs per answer %.3f, refused after p50 %.1f p99 %.1f ms, %d calls",
		label, 100*s.answeredShare(), ms(quantile(s.latencies, 0.99)), s.sendsPerCall(), float64(s.runs)/float64(s.answered),
		ms(quantile(s.refusedAfter, 0.5)), ms(quantile(s.refusedAfter, 0.99)), s.calls)
}

func TestOverloadDoesNotMultiplyRefusals(t *testing.T) {
	f := newFleet(5, entry.DefaultTuning())
	f.run(2)
	s := &f.stats
	s.log(t, "200% of capacity")
	saved := fleetEntries * float64(entry.MaxBudget/entry.AttemptCost+fleetRun/time.Second) / float64(s.calls)
	if bound := 1 + retryRatio + saved; s.sendsPerCall() > bound {
		t.Errorf("%.3f sends per call, want at most %.3f", s.sendsPerCall(), bound)
	}
	if after := quantile(s.refusedAfter, 1); after > fleetTimeout/10 {
		t.Errorf("a refusal took %v", after)
	}
}

func TestRefusedCallsAreAnsweredElsewhere(t *testing.T) {
	for name, state := range map[string]model.UpstreamState{"leaving": model.StateLeaving, "cold": model.StateCold} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(5, entry.DefaultTuning())
			f.after(fleetRun/2, func() { f.owners[0].deliver(f.owners[0].owner.SetState(f.now, state)) })
			f.run(0.6)
			f.stats.log(t, "one of four is "+name)
			if f.stats.notRun+f.stats.unknown > 0 {
				t.Errorf("%d calls reported not-run, %d unknown", f.stats.notRun, f.stats.unknown)
			}
		})
	}
}

// TestCallerRetriesAfterColdStartAreAnswered makes all workers cold for two seconds, as
// after a power loss on all instances. The duration is not known in advance, so callers
// are refused at once with a Retry-After, and those that retry are answered.
func TestCallerRetriesAfterColdStartAreAnswered(t *testing.T) {
	for _, callerRetries := range []int{0, 2} {
		f := newFleet(5, entry.DefaultTuning())
		f.timeout = 3 * time.Second
		f.length = fleetLong
		f.callerRetries = callerRetries
		for _, o := range f.owners {
			f.after(fleetLong/2, func() { o.deliver(o.owner.SetState(f.now, model.StateCold)) })
			f.after(fleetLong/2+2*time.Second, func() { o.deliver(o.owner.SetState(f.now, model.StateLive)) })
		}
		f.run(0.002)
		f.stats.log(t, fmt.Sprintf("all cold for 2 s, %d caller retries", callerRetries))
		if callerRetries > 0 && f.stats.answered != f.stats.calls {
			t.Errorf("%d of %d calls answered", f.stats.answered, f.stats.calls)
		}
		if after := quantile(f.stats.refusedAfter, 1); after > 10*fleetLink*fleetOwners {
			t.Errorf("a refusal took %s", after)
		}
	}
}

func TestHedgesAnswerCallsOfAPausedOwner(t *testing.T) {
	unanswered := map[float64]int{}
	for _, quantile := range []float64{0, 0.95} {
		f := newFleet(1, entry.DefaultTuning())
		f.bundle.Retry.HedgeAfterQuantile = quantile
		f.length = fleetLong / 2
		f.pauseRepeatedly()
		f.run(0.6)
		f.stats.log(t, fmt.Sprintf("hedge after %.2f", quantile))
		unanswered[quantile] = f.stats.calls - f.stats.answered
	}
	if unanswered[0] < 10 || unanswered[0.95] > unanswered[0]/10 {
		t.Errorf("%d calls unanswered with hedges, %d without", unanswered[0.95], unanswered[0])
	}
}
