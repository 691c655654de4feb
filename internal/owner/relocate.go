package owner

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
)

// An attempt that waits in the queue of a machine that became slow, or whose queue grew, may
// be answered sooner by another owner. The owner then gives it up: it refuses the attempt as
// busy and fences it, and the entry places the request once more. An owner gives up only
// what gains clearly, the last in order first and a few at a time, as the estimates of other
// owners are old and several owners may see the same free one.
const (
	// minRelocationGain is the least gain, as a share of the class's usual service time. It
	// is above the error of an expected wait, which is a part of a service time, so that two
	// owners with equal queues do not swap requests. A lower gain moves more requests without
	// answering more in time.
	minRelocationGain = 0.75
	// maxRelocatedPerTick bounds the attempts given up in one tick, maxConsideredPerTick those
	// that are compared with other owners.
	maxRelocatedPerTick  = 2
	maxConsideredPerTick = 16
)

// Relocation describes why a queued attempt was given up.
type Relocation struct {
	Class model.ClassName
	// Slow reports that the machine was in a slow period.
	Slow bool
	// Waited is the time in the queue. Here and Elsewhere are the expected times to the
	// response at this owner and at the best other one.
	Waited, Here, Elsewhere time.Duration
}

// RelocationCount counts the attempts of one class that were given up.
type RelocationCount struct {
	Class model.ClassName
	// Slow is the part of Total that was given up in a slow period of the machine.
	Total, Slow uint64
	// Gain is the sum of the expected gains.
	Gain time.Duration
}

// relocator holds the state of giving up queued attempts.
type relocator struct {
	enabled bool
	counts  map[model.ClassName]*RelocationCount
}

// count adds an attempt that was given up. Classes come from the bundle, so their number is
// bounded.
func (r *relocator) count(d Relocation) {
	c := r.counts[d.Class]
	if c == nil {
		if r.counts == nil {
			r.counts = map[model.ClassName]*RelocationCount{}
		}
		c = &RelocationCount{Class: d.Class}
		r.counts[d.Class] = c
	}
	c.Total++
	if d.Slow {
		c.Slow++
	}
	c.Gain += d.Here - d.Elsewhere
}

// Relocations returns the counts of all classes of which attempts were given up.
func (o *Owner) Relocations() []RelocationCount {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []RelocationCount
	for _, c := range o.relocation.counts {
		out = append(out, *c)
	}
	return out
}

// askAlternatives asks for the other owners' estimates if queued attempts may be given up. It
// calls Config.Alternatives without the lock.
func (o *Owner) askAlternatives(now time.Time) []model.Alternative {
	if o.cfg.Alternatives == nil || !o.mayRelocate() {
		return nil
	}
	return o.cfg.Alternatives(now)
}

func (o *Owner) mayRelocate() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.relocation.enabled && !o.soleUpstream && o.queue.length > 0
}

// relocateQueued gives up queued attempts that another owner is expected to answer clearly
// sooner.
func (o *Owner) relocateQueued(t time.Duration, alternatives []model.Alternative) {
	if len(alternatives) == 0 || !o.relocation.enabled || !o.runs() || o.pause.blocked(t) {
		return
	}
	left := maxRelocatedPerTick
	for _, p := range o.lastRelocatable() {
		best, end := o.bestAlternative(p, alternatives)
		if best == nil {
			continue
		}
		d := Relocation{
			Class: p.class.name, Slow: o.slowdown.slow(t), Waited: t - p.arrived,
			Here: o.expectedHere(t, p), Elsewhere: end,
		}
		if !d.worthwhile(p, p.deadline-t) {
			continue
		}
		o.giveUp(t, p, d)
		best.Wait += best.WaitPerAttempt
		left--
		if left == 0 {
			return
		}
	}
}

// lastRelocatable returns the queued attempts that may be given up, the last in order of
// service first, at most maxConsideredPerTick.
func (o *Owner) lastRelocatable() []*pendingAttempt {
	found := o.queue.filter((*pendingAttempt).mayBeGivenUp)
	slices.SortFunc(found, compareBy(func(a, b *pendingAttempt) bool { return servesFirst(b, a) }))
	return found[:min(len(found), maxConsideredPerTick)]
}

// mayBeGivenUp reports whether a queued attempt can be placed elsewhere. One that registered
// its id here, waits because of a crash of a worker, or whose body was reserved here, stays.
func (p *pendingAttempt) mayBeGivenUp() bool {
	return p.relocatable && !p.keyed && !p.exclusive && !p.held && p.content.IsZero() && !p.reserved
}

// expectedHere is the expected time to the response of a queued attempt. In a slow period
// the queue either starts it at the slow speed or lets it wait for the recovery, whichever
// ends sooner.
func (o *Owner) expectedHere(t time.Duration, p *pendingAttempt) time.Duration {
	wait, _ := o.predict(t, p)
	usual := p.class.expected()
	if !o.slowdown.slow(t) {
		return wait + usual
	}
	slow := time.Duration(float64(usual) * o.slowdown.factor(t))
	return min(wait+slow, max(wait, o.slowdown.recoversIn())+usual)
}

// bestAlternative returns the owner where p is expected to end first and the time until then;
// nil if p may run at none of them.
func (o *Owner) bestAlternative(p *pendingAttempt, alternatives []model.Alternative) (best *model.Alternative, end time.Duration) {
	usual := p.class.expected()
	for i := range alternatives {
		e := &alternatives[i]
		if !p.regions.Allows(e.Region) {
			continue
		}
		if at := expectedElsewhere(e, usual, o.service.all.mean()); best == nil || at < end {
			best, end = e, at
		}
	}
	return best, end
}

// expectedElsewhere is the expected time to the response at another owner: the way of the
// refusal and of the new attempt, the wait and the run. usual is the class's service time here
// and mean that of all classes; a worker that is slower than this one takes longer in
// proportion.
func expectedElsewhere(e *model.Alternative, usual, mean time.Duration) time.Duration {
	slower := max(e.Slowdown, 1)
	if mean > 0 {
		slower *= max(1, float64(e.Service)/float64(mean))
	}
	return rerouteCost + e.RoundTrip + e.Wait + time.Duration(float64(usual)*slower)
}

// worthwhile reports whether the gain is clear, and the response elsewhere is expected
// within the time left.
func (d Relocation) worthwhile(p *pendingAttempt, left time.Duration) bool {
	gain := float64(d.Here - d.Elsewhere)
	return gain >= minRelocationGain*float64(p.class.expected()) && d.Elsewhere < left
}

// giveUp refuses a queued attempt so that the entry places it elsewhere.
func (o *Owner) giveUp(t time.Duration, p *pendingAttempt, d Relocation) {
	o.relocation.count(d)
	r := o.refuseBusy(t, p)
	o.refuseQueued(t, p, r)
	o.decisions[len(o.decisions)-1].Relocation = &d
}
