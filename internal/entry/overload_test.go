package entry

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// log writes a fleet's figures beside what they were measured for.
func (s *fleetStats) log(t *testing.T, what string) {
	t.Helper()
	t.Logf("%-32s answered %6.2f%%, p99 %6.1f ms, sends per call %.3f, runs per answer %.3f, refused after p50 %.1f p99 %.1f ms, %d calls",
		what, 100*s.answeredShare(), ms(quantile(s.latencies, 0.99)), s.sendsPerCall(), float64(s.runs)/float64(s.answered),
		ms(quantile(s.refusedAfter, 0.5)), ms(quantile(s.refusedAfter, 0.99)), s.calls)
}

func (s *fleetStats) answeredShare() float64 { return float64(s.answered) / float64(s.calls) }
func (s *fleetStats) sendsPerCall() float64  { return float64(s.sends) / float64(s.calls) }

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func TestOverloadDoesNotMultiplyRefusals(t *testing.T) {
	f := newFleet(5, defaultTuning)
	f.run(2)
	s := &f.stats
	s.log(t, "200% of capacity")
	saved := fleetEntries * float64(bucketDepth/unit+fleetRun/time.Second) / float64(s.calls)
	if bound := 1 + testTarget().Bundle.Retry.Ratio + saved; s.sendsPerCall() > bound {
		t.Errorf("%.3f sends per call, want at most %.3f", s.sendsPerCall(), bound)
	}
	if after := quantile(s.refusedAfter, 1); after > fleetTimeout/10 {
		t.Errorf("a refusal took %v", after)
	}
}

func BenchmarkOverload(b *testing.B) {
	tunings := map[string]tuning{
		"never elsewhere":             {shed: bucketDepth + 1, place: bucketDepth + 1},
		"elsewhere without a budget":  {},
		"elsewhere within the budget": defaultTuning,
	}
	for _, share := range []float64{0.85, 1.1, 2} {
		for name, tu := range tunings {
			b.Run(fmt.Sprintf("%.0f%%/%s", 100*share, name), func(b *testing.B) {
				for range b.N {
					f := newFleet(5, tu)
					f.length = fleetLong
					f.run(share)
					f.stats.report(b)
				}
			})
		}
	}
}

// report gives a fleet's figures as a benchmark's.
func (s *fleetStats) report(b *testing.B) {
	b.ReportMetric(100*s.answeredShare(), "answered%")
	b.ReportMetric(ms(quantile(s.latencies, 0.99)), "p99ms")
	b.ReportMetric(ms(quantile(s.latencies, 0.999)), "p99.9ms")
	b.ReportMetric(s.sendsPerCall(), "sends/call")
	b.ReportMetric(float64(s.runs)/float64(s.answered), "runs/answer")
	b.ReportMetric(ms(quantile(s.refusedAfter, 0.99)), "refusedp99ms")
}

func TestRefusalsOfOneOwnerAreMadeUpForElsewhere(t *testing.T) {
	for name, state := range map[string]model.UpstreamState{"leaving": model.StateLeaving, "cold": model.StateCold} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(5, defaultTuning)
			f.after(fleetRun/2, func() { f.owners[0].deliver(f.owners[0].owner.SetState(f.now, state)) })
			f.run(0.6)
			f.stats.log(t, "one of four is "+name)
			if f.stats.notRun+f.stats.unknown > 0 {
				t.Errorf("%d told not-run, %d unknown", f.stats.notRun, f.stats.unknown)
			}
		})
	}
}

func TestCallsWaitForWorkersThatWake(t *testing.T) {
	f := newFleet(5, defaultTuning)
	f.timeout = 3 * time.Second
	f.length = fleetLong
	for _, o := range f.owners {
		f.after(fleetLong/2, func() { o.deliver(o.owner.SetState(f.now, model.StateCold)) })
		f.after(fleetLong/2+2*time.Second, func() { o.deliver(o.owner.SetState(f.now, model.StateLive)) })
	}
	f.run(0.002)
	f.stats.log(t, "all cold for 2 s, 8 calls/s")
	if f.stats.answered != f.stats.calls {
		t.Errorf("%d of %d calls answered", f.stats.answered, f.stats.calls)
	}
}
