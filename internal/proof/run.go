package proof

import (
	"io"
	"math/rand/v2"
	"slices"
	"time"
)

// Times between the steps of a plan, at the most.
const (
	startWait = 5 * time.Second
	stepWait  = 400 * time.Millisecond
)

// Plan is a course of random steps. The same plan has the same course each time.
type Plan struct {
	Seed uint64
	// Steps is the number of requests, faults and the like.
	Steps int
	// Deadly: callers send requests under which workers end, too.
	Deadly bool
	// Warming: workers bear little for a while, at any moment.
	Warming bool
	// Trace is told what happens, a line each; nil means none.
	Trace io.Writer
}

// Report is what one plan brought about.
type Report struct {
	Plan Plan
	// Violations holds what the oracle found, a line each, none when all promises
	// were kept and service returned once faults had stopped.
	Violations []string
	// Counts is how often things came to pass, by their names.
	Counts map[string]int
	// Hash differs when two runs of a plan differ.
	Hash uint64
}

// Run plays a plan, ends all faults and checks that service returns.
func Run(p Plan) Report {
	c := seededChooser{rand.New(rand.NewPCG(p.Seed, 1))}
	w := newWorld(p.Seed, switches{trace: p.Trace, warming: p.Warming})
	steps := slices.Clone(actions)
	if p.Deadly {
		steps = append(steps, deadlyAction)
	}
	if p.Warming {
		steps = append(steps, warmingAction, warmingAction)
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

// start lets the processes run for a moment before the first step.
func (w *world) start(c chooser) { w.advance(w.wait(c, "start", startWait)) }

// step takes one step and lets some time pass.
func (w *world) step(c chooser, a action) {
	a.do(w, c)
	w.advance(w.wait(c, "then", stepWait))
}

// seededChooser draws a plan's choices from a seed.
type seededChooser struct{ rng *rand.Rand }

func (s seededChooser) pick(_ string, n int) int { return s.rng.IntN(n) }
