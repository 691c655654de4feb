package proof

import (
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Longest times between the steps of a plan.
const (
	maxStartWait = 5 * time.Second
	maxStepWait  = 400 * time.Millisecond
)

// Plan is a reproducible sequence of random steps: the same plan always runs in the same
// way.
type Plan struct {
	Seed uint64
	// Steps is the number of steps: requests, faults and passing time.
	Steps int
	// Deadly adds requests that crash their workers.
	Deadly bool
	// Warming lets workers warm up at random moments, with a limited request rate.
	Warming bool
	// RateLimits lets workers name rate limits at random moments.
	RateLimits bool
	// Announcements lets workers say only in their responses that they are leaving.
	Announcements bool
	// Clocks gives each machine a clock with an origin and a rate of its own.
	Clocks bool
	// Trace receives one line for each event of the run; nil disables it.
	Trace io.Writer
}

// Report is the result of one plan.
type Report struct {
	Plan Plan
	// Violations holds one line for each violation that the oracle found. It is empty
	// when all promises held and service recovered after the faults.
	Violations []string
	// Counts holds the number of events of each kind, by the kind's name.
	Counts map[string]int
	// Hash is a hash of the trace: it differs when two runs of a plan differ.
	Hash uint64
}

// Run plays a plan, then ends all faults and checks that service recovers.
func Run(p Plan) Report {
	c := seededChooser{rand.New(rand.NewPCG(p.Seed, 1))}
	w := newWorld(p.Seed, options{trace: p.Trace, warming: p.Warming, rateLimits: p.RateLimits, clocks: p.Clocks})
	steps := slices.Clone(actions)
	if p.Deadly {
		steps = append(steps, deadlyAction)
	}
	if p.Warming {
		steps = append(steps, warmingAction, warmingAction)
	}
	if p.RateLimits {
		steps = append(steps, rateLimitAction, rateLimitAction)
	}
	if p.Announcements {
		steps = append(steps, announceAction)
	}
	w.play(c, p.Steps, steps)
	return w.report(p)
}

// play takes a plan's steps, then ends all faults and checks recovery.
func (w *world) play(c chooser, steps int, actions []action) {
	w.start(c)
	for range steps {
		w.step(c, actions[c.pick("action", len(actions))])
	}
	w.recover()
}

func (w *world) report(p Plan) Report {
	r := Report{Plan: p, Counts: w.ledger.counts, Hash: w.trace.hash.Sum64()}
	for _, v := range w.ledger.violations {
		r.Violations = append(r.Violations, v.String())
	}
	return r
}

// start lets the processes run for up to maxStartWait before the first step.
func (w *world) start(c chooser) { w.advance(w.pickDuration(c, "start", maxStartWait)) }

// step takes one step and lets up to maxStepWait pass.
func (w *world) step(c chooser, a action) {
	a.do(w, c)
	w.advance(w.pickDuration(c, "then", maxStepWait))
}

// seededChooser draws a plan's choices from a seed.
type seededChooser struct{ rng *rand.Rand }

func (s seededChooser) pick(_ string, n int) int { return s.rng.IntN(n) }
