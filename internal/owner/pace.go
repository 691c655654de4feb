package owner

import (
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
)

// Workers share their machines with others, and say how long work takes there at
// this moment. The time of a run is set by the pace at its start: one that starts
// on a machine that is four times slower takes four times as long, although the
// machine is back to usual within a few hundred milliseconds. So an owner that is
// slow turns an attempt away while another owner may be at its usual pace, and
// holds back what no other took until its own machine is, where that is sooner done.
const (
	// slowPace is the pace from which a machine counts as slow. Cold workers take
	// twice as long for seconds, too long to wait for, so it lies above them.
	slowPace = 2.5
	// firstSpell is the expected length of a slow spell before one was seen. Load:
	// neighbours that change every 300 ms and slow a third of the time.
	firstSpell = 400 * time.Millisecond
	// spellLeft is the part of a spell that is left at an arbitrary moment of it:
	// half of its last step and the steps that may follow.
	spellLeft = 0.7
	// moveCost is the delay under which a slow start is not worth a move: a refusal
	// takes 1 to 2 ms to another data centre and as much of processor time.
	moveCost = 10 * time.Millisecond
	// paceMemory is how old a sample of the pace may be to hold attempts back.
	paceMemory = 500 * time.Millisecond
)

// pacing is what the worker said last of its pace.
type pacing struct {
	// now is the pace, 1 as usual; 0 when the worker does not tell.
	now float64
	// at is the sample's time, slowSince the beginning of the present slow spell.
	at, slowSince time.Duration
	spell         estimate
}

// observe takes a sample and tells whether the worker went from slow to usual.
func (p *pacing) observe(t time.Duration, pace float64) (eased bool) {
	was := p.now >= slowPace
	p.now, p.at = pace, t
	slow := pace >= slowPace
	switch {
	case slow && !was:
		p.slowSince = t
	case was && !slow:
		p.spell.add(t - p.slowSince)
		return true
	}
	return false
}

// factor returns how many times as long as usual work takes, at least 1.
func (p *pacing) factor(t time.Duration) float64 {
	if p.now <= 1 || t-p.at > paceMemory {
		return 1
	}
	return p.now
}

// slow tells whether the machine is slow for a short while.
func (p *pacing) slow(t time.Duration) bool { return p.factor(t) >= slowPace }

// easesIn is the expected time until the machine is back to usual.
func (p *pacing) easesIn() time.Duration {
	spell := firstSpell
	if p.spell.count > 0 {
		spell = p.spell.mean()
	}
	return time.Duration(float64(spell) * spellLeft)
}

// holdRule decides whether an attempt waits for the machine to ease. All times are
// from now on.
type holdRule struct {
	// usual is the expected service time at the usual pace, factor how many times
	// longer it takes now.
	usual  time.Duration
	factor float64
	// easesIn is the expected time until the pace is usual.
	easesIn time.Duration
}

// holds tells whether starting later is expected to end sooner. It also takes up
// the slot for a shorter time.
func (h holdRule) holds() bool {
	slowEnd := time.Duration(float64(h.usual) * h.factor)
	easedEnd := h.easesIn + h.usual
	return easedEnd < slowEnd
}

// held tells whether an attempt that is first in its lane waits for the machine.
func (o *Owner) held(t time.Duration, it *item) bool {
	if !o.pace.slow(t) {
		return false
	}
	return holdRule{
		usual:   it.class.expected(),
		factor:  o.pace.factor(t),
		easesIn: o.pace.easesIn(),
	}.holds()
}

// slowStart is the time that a start at the present pace costs an attempt.
func (o *Owner) slowStart(t time.Duration, it *item) time.Duration {
	return time.Duration(float64(it.class.expected()) * (o.pace.factor(t) - 1))
}

// busy returns the refusal of an attempt that another owner may start sooner, with
// the time after which this one is worth asking again.
func (o *Owner) busy(t time.Duration, it *item) model.Refusal {
	wait := time.Duration(0)
	if o.free(t) <= 0 {
		wait = o.wait(t, it)
	}
	if o.pace.slow(t) {
		wait = max(wait, o.pace.easesIn())
	}
	wait = min(max(wait, retryMin), retryMax)
	return model.Refusal{Reason: model.ReasonBusy, NotRun: true, RetryAfter: wait}
}

// movesOn tells whether an attempt that may be placed elsewhere should be: it
// cannot start now, or would take much longer than usual.
func (o *Owner) movesOn(t time.Duration, it *item) bool {
	return o.free(t) <= 0 || o.pace.slow(t) && o.slowStart(t, it) > moveCost
}

// ObserveLoad takes a worker's own word about its load and returns who may start.
func (o *Owner) ObserveLoad(now time.Time, l dialect.WorkerLoad) []Decision {
	if !l.Known || l.Slowdown <= 0 {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.pace.observe(t, l.Slowdown) {
		o.dispatch(t)
	}
	return o.take()
}

// paceAge is how old a sample of the pace may be to decide on an attempt. Load: neighbours
// that change every 300 ms, so that one in twelve samples of that age is wrong.
const paceAge = 50 * time.Millisecond

// NeedsSample tells whether what the worker last said of itself is too old to decide on an
// attempt: of its pace where it tells that, or of whether it is warming.
func (o *Owner) NeedsSample(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	return o.pace.now > 0 && t-o.pace.at > paceAge || o.warming.stale(t)
}

// WaitsForSample tells whether attempts wait for the worker's machine to ease, or for a sign
// that the worker is warm, and the last sample is too old to show either.
func (o *Owner) WaitsForSample(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	if o.queue.length == 0 {
		return false
	}
	return o.pace.slow(t) && t-o.pace.at > paceAge || o.warming.stale(t)
}
