package route

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

type variant struct {
	name   string
	policy Policy
	tune   func(*tuning)
}

var baselines = []variant{
	{"product", PolicyExpectedTime, nil},
	{"random", PolicyRandom, nil},
	{"round-robin", PolicyRoundRobin, nil},
	{"least-in-flight", PolicyLeastInFlight, nil},
	{"polled-two", PolicyPolledTwoChoices, nil},
}

var ablations = []variant{
	{"product", PolicyExpectedTime, nil},
	{"no-dead-zone", PolicyExpectedTime, func(t *tuning) { t.deadZone = 0 }},
	{"noise-1", PolicyExpectedTime, func(t *tuning) { t.noise = 1 }},
	{"no-ageing", PolicyExpectedTime, func(t *tuning) { t.loadMemory = float64(time.Hour) }},
	{"memory-5ms", PolicyExpectedTime, func(t *tuning) { t.loadMemory = float64(5 * time.Millisecond) }},
	{"memory-100ms", PolicyExpectedTime, func(t *tuning) { t.loadMemory = float64(100 * time.Millisecond) }},
	{"no-own-sends", PolicyExpectedTime, func(t *tuning) { t.ownSends = false }},
	{"d=1+1", PolicyExpectedTime, func(t *tuning) { t.local, t.remote = 1, 1 }},
	{"d=1+2", PolicyExpectedTime, func(t *tuning) { t.local, t.remote = 1, 2 }},
	{"d=1+3", PolicyExpectedTime, func(t *tuning) { t.local, t.remote = 1, 3 }},
	{"d=2+1", PolicyExpectedTime, func(t *tuning) { t.local, t.remote = 2, 1 }},
	{"d=4+4", PolicyExpectedTime, func(t *tuning) { t.local, t.remote = 4, 4 }},
	{"no-failure", PolicyExpectedTime, func(t *tuning) { t.failure = false }},
	{"no-noise", PolicyExpectedTime, func(t *tuning) { t.noise = 0 }},
	{"no-path", PolicyExpectedTime, func(t *tuning) { t.path = false }},
	{"no-silence", PolicyExpectedTime, func(t *tuning) { t.silence = false }},
}

var faults = []struct {
	name  string
	fault fault
}{{"steady", noFault}, {"slowed", slowed}, {"failing", failing}, {"cold", cold}, {"paused", paused}, {"starved", starved}}

const seeds = 9

// repeat runs all seeds and returns the medians of the latencies and the means
// of the shares.
func repeat(upstreams int, load float64, f fault, v variant) outcome {
	var p50, p99 []time.Duration
	var sum outcome
	for seed := range uint64(seeds) {
		o := runExperiment(seed, upstreams, load, f, v.policy, v.tune)
		p50, p99 = append(p50, o.p50), append(p99, o.p99)
		sum.inTime += o.inTime / seeds
		sum.messages += o.messages / seeds
	}
	slices.Sort(p50)
	slices.Sort(p99)
	sum.p50, sum.p99 = p50[seeds/2], p99[seeds/2]
	return sum
}

// BenchmarkPolicies and BenchmarkAblations print simulated figures; the time
// per operation means nothing.
//
//	go test -run '^$' -bench 'Policies|Ablations' -benchtime 1x ./internal/route
func BenchmarkPolicies(b *testing.B) { compare(b, baselines) }

func BenchmarkAblations(b *testing.B) { compare(b, ablations) }

func compare(b *testing.B, variants []variant) {
	for _, f := range faults {
		for _, load := range []float64{0.6, 0.85, 1.1} {
			for _, v := range variants {
				b.Run(fmt.Sprintf("%s/%.0f%%/%s", f.name, 100*load, v.name), func(b *testing.B) {
					for b.Loop() {
						o := repeat(4, load, f.fault, v)
						b.ReportMetric(float64(o.p50)/1e6, "p50-ms")
						b.ReportMetric(float64(o.p99)/1e6, "p99-ms")
						b.ReportMetric(100*o.inTime, "%in-time")
						b.ReportMetric(o.messages, "msgs/call")
					}
				})
			}
		}
	}
}

// TestProductBeatsBaselines repeats a part of BenchmarkPolicies on one seed.
func TestProductBeatsBaselines(t *testing.T) {
	const seed = 1
	for _, f := range []fault{failing, cold} {
		best := runExperiment(seed, 4, 0.6, f, PolicyExpectedTime, nil)
		for _, v := range baselines[1:] {
			o := runExperiment(seed, 4, 0.6, f, v.policy, nil)
			if best.p99 >= o.p99 || best.inTime < o.inTime {
				t.Errorf("fault %d: product %+v, %s %+v", f, best, v.name, o)
			}
		}
	}
}
