package simulation

import (
	"slices"
	"time"

	"gypsumstand/internal/route"
)

// Contender is a routing policy under comparison.
type Contender struct {
	Name   string
	Policy route.Policy
	// Adjust modifies the tuning of the product's policy; nil keeps the defaults.
	Adjust func(*route.Tuning)
}

func (c Contender) tuning() *route.Tuning {
	t := route.DefaultTuning()
	if c.Adjust != nil {
		c.Adjust(&t)
	}
	return &t
}

// Policies returns the product's policy, followed by its baselines.
func Policies() []Contender {
	return []Contender{
		{Name: "product", Policy: route.PolicyExpectedTime},
		{Name: "random", Policy: route.PolicyRandom},
		{Name: "round-robin", Policy: route.PolicyRoundRobin},
		{Name: "least-in-flight", Policy: route.PolicyLeastInFlight},
		{Name: "polled-two", Policy: route.PolicyPolledTwoChoices},
	}
}

// Ablations returns the product's policy, followed by variants of it that differ in one
// part each.
func Ablations() []Contender {
	parts := []struct {
		name   string
		change func(*route.Tuning)
	}{
		{"product", nil},
		{"no-dead-zone", func(t *route.Tuning) { t.DeadZone = 0 }},
		{"noise-1", func(t *route.Tuning) { t.Noise = 1 }},
		{"no-ageing", func(t *route.Tuning) { t.LoadDecay = time.Hour }},
		{"memory-5ms", func(t *route.Tuning) { t.LoadDecay = 5 * time.Millisecond }},
		{"memory-100ms", func(t *route.Tuning) { t.LoadDecay = 100 * time.Millisecond }},
		{"no-own-sends", func(t *route.Tuning) { t.OwnSends = false }},
		{"d=1+1", func(t *route.Tuning) { t.Local, t.Remote = 1, 1 }},
		{"d=1+2", func(t *route.Tuning) { t.Local, t.Remote = 1, 2 }},
		{"d=1+3", func(t *route.Tuning) { t.Local, t.Remote = 1, 3 }},
		{"d=2+1", func(t *route.Tuning) { t.Local, t.Remote = 2, 1 }},
		{"d=4+4", func(t *route.Tuning) { t.Local, t.Remote = 4, 4 }},
		{"no-failure", func(t *route.Tuning) { t.Failure = false }},
		{"no-noise", func(t *route.Tuning) { t.Noise = 0 }},
		{"no-path", func(t *route.Tuning) { t.Path = false }},
		{"no-silence", func(t *route.Tuning) { t.Overdue = false }},
	}
	var out []Contender
	for _, p := range parts {
		out = append(out, Contender{Name: p.name, Adjust: p.change})
	}
	return out
}

// seedCount is the number of runs that Repeat aggregates.
const seedCount = 9

// Repeat runs a scenario with all seeds. It returns the medians of the latencies and the
// means of the other figures.
func Repeat(sc Scenario, c Contender) Outcome {
	var p50, p99 []time.Duration
	var sum Outcome
	for seed := range uint64(seedCount) {
		o := Run(seed, sc, c)
		p50, p99 = append(p50, o.P50), append(p99, o.P99)
		sum.WithinDeadline += o.WithinDeadline / seedCount
		sum.Messages += o.Messages / seedCount
	}
	slices.Sort(p50)
	slices.Sort(p99)
	sum.P50, sum.P99 = p50[seedCount/2], p99[seedCount/2]
	return sum
}
