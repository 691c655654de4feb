package owner

import (
	"fmt"
	"gypsumstand/internal/model"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"
)

// Orders and choosers that are compared with those in use.

func byArrival(a, b *pendingAttempt) bool { return a.seq < b.seq }

// stateless makes a function that returns c for every run.
func stateless(c chooser) func() chooser { return func() chooser { return c } }

// ordered returns all queued attempts in the queue's order.
func ordered(o *Owner) []*pendingAttempt {
	all := o.queue.filter(func(*pendingAttempt) bool { return true })
	sort.Slice(all, func(i, j int) bool { return o.queue.before(all[i], all[j]) })
	return all
}

// firstInOrder ignores shares.
func firstInOrder(o *Owner, _ time.Duration) *pendingAttempt { return ordered(o)[0] }

// fixedShares lets each class use only its own slots, without borrowing.
func fixedShares(o *Owner, t time.Duration) *pendingAttempt {
	for _, p := range ordered(o) {
		if float64(p.class.inFlight) < p.class.guaranteed(o.limit.effective(t)) {
			return p
		}
	}
	return nil
}

// expense is the expected slot time of an attempt relative to the mean.
func expense(o *Owner, c *class) float64 {
	if c.service.count == 0 || o.service.all.count == 0 {
		return 1
	}
	return c.service.value / o.service.all.value
}

// occupancy bounds the expected slot time in flight, as the paper's target occupancy
// does. With reserve, attempts that do not fit keep theirs reserved (Algorithm 1),
// otherwise cheaper ones pass them. The target is factor times the slots: the expense of
// attempts in flight is above the mean, as expensive attempts stay longer.
func occupancy(factor float64, reserve bool) func() chooser {
	return stateless(func(o *Owner, t time.Duration) *pendingAttempt {
		left := factor * float64(o.limit.effective(t))
		for _, c := range o.classes.all {
			left -= float64(c.inFlight) * expense(o, c)
		}
		for _, p := range ordered(o) {
			e := expense(o, p.class)
			if left >= e || o.inFlight == 0 {
				return p
			}
			if reserve {
				left -= e
			}
		}
		return nil
	})
}

// weightedRandom draws a class with a probability in proportion to its share, as the
// paper draws a quota group, and takes that class's first attempt.
func weightedRandom() chooser {
	random := rand.New(rand.NewPCG(3, 4))
	return func(o *Owner, _ time.Duration) *pendingAttempt {
		var best *pendingAttempt
		var most float64
		for _, s := range o.queue.nonEmpty {
			if key := math.Pow(random.Float64(), 1/s.class.share); best == nil || key > most {
				best, most = s.first(), key
			}
		}
		return best
	}
}

// governor lets each class start as many attempts as a PID controller allows, as the
// paper's quota governor does. Its set point is the class's share plus what the others
// leave idle, its process variable the number that the class has in flight.
type governor struct {
	at              time.Duration
	sum, last, left map[*class]float64
}

func newGovernor() chooser {
	g := &governor{sum: map[*class]float64{}, last: map[*class]float64{}, left: map[*class]float64{}}
	return g.choose
}

func (g *governor) choose(o *Owner, t time.Duration) *pendingAttempt {
	const interval = 10 * time.Millisecond
	if t-g.at >= interval || g.at == 0 {
		g.at = t
		g.update(o, o.limit.effective(t))
	}
	for _, p := range ordered(o) {
		if g.left[p.class] >= 1 {
			g.left[p.class]--
			return p
		}
	}
	return nil
}

func (g *governor) update(o *Owner, limit int) {
	const kp, ki, kd = 1, 0.1, 0.1
	idle := 0.0
	for _, c := range o.classes.all {
		idle += max(0, c.guaranteed(limit)-float64(c.inFlight+c.queued))
	}
	for _, c := range o.classes.all {
		own := max(0, c.guaranteed(limit)-float64(c.inFlight+c.queued))
		e := c.guaranteed(limit) + idle - own - float64(c.inFlight)
		g.sum[c] = max(-10, min(10, g.sum[c]+e))
		g.left[c] = kp*e + ki*g.sum[c] + kd*(e-g.last[c])
		g.last[c] = e
	}
}

type variant struct {
	name string
	// short: also run without -full.
	short  bool
	before servesBefore
	inLane servesBefore
	// choose makes the chooser of one run.
	choose func() chooser
}

func (v variant) prepare(o *Owner) {
	o.queue.before, o.queue.withinSubqueue = v.before, v.inLane
	o.choose = v.choose()
}

// currentOrder is the name of the order that New sets.
const currentOrder = "worth per slot time, shares, borrowing"

var variants = []variant{
	{"FIFO", true, byArrival, byArrival, stateless(firstInOrder)},
	{"EDF", true, byDeadline, byDeadline, stateless(firstInOrder)},
	{"worth", true, byWorth, byWorth, stateless(firstInOrder)},
	{"worth, shares, borrowing", true, byWorth, byWorth, stateless(byShares)},
	{"worth, shares, no borrowing", true, byWorth, byWorth, stateless(fixedShares)},
	{currentOrder, true, byValue, byWorth, stateless(byShares)},
	{"weighted random class", false, byWorth, byWorth, weightedRandom},
	{"PID governor", false, byWorth, byWorth, newGovernor},
	{"expense bound x1", false, byWorth, byWorth, occupancy(1, false)},
	{"expense bound x1, Algorithm 1", false, byWorth, byWorth, occupancy(1, true)},
	{"expense bound x3", false, byWorth, byWorth, occupancy(3, false)},
	{"expense bound x3, Algorithm 1", false, byWorth, byWorth, occupancy(3, true)},
}

// heavy is work whose most valuable class also takes longest.
var heavy = []load{
	{class: "payout", worth: 10, part: 0.4, share: 0.3, service: 60 * time.Millisecond, deadline: 600 * time.Millisecond},
	{class: "statement", worth: 5, part: 0.2, share: 0.2, service: 40 * time.Millisecond, deadline: 400 * time.Millisecond},
	{class: "view", worth: 1, part: 0.3, share: 0.2, service: 5 * time.Millisecond, deadline: 100 * time.Millisecond},
	{class: "lookup", worth: 0, part: 0.1, share: 0.05, service: 3 * time.Millisecond, deadline: 100 * time.Millisecond},
}

// TestOrdersCompared compares the order in use with its alternatives; -full -v logs the
// whole table. It fails when the order in use answers clearly less worth than FIFO, EDF
// or shares without borrowing.
func TestOrdersCompared(t *testing.T) {
	length, levels, seeds := 2*time.Second, []float64{1.5}, 1
	if *full {
		length, levels, seeds = 30*time.Second, []float64{0.6, 0.85, 1.1, 1.5}, 3
	}
	for name, loads := range map[string][]load{"mixed": mixed, "heavy": heavy} {
		for _, level := range levels {
			worth := map[string]float64{}
			for _, v := range variants {
				if !*full && !v.short {
					continue
				}
				sc := scenario{loads: loads, slots: 20, level: level, length: length, prepare: v.prepare}
				worth[v.name] = compare(t, fmt.Sprintf("%s %.2f %s", name, level, v.name), sc, seeds)
			}
			for _, plain := range []string{"FIFO", "EDF", "worth, shares, no borrowing"} {
				if ours := worth[currentOrder]; ours < worth[plain]-0.01 {
					t.Errorf("%s at %.2f: worth %.4f, but %s has %.4f", name, level, ours, plain, worth[plain])
				}
			}
		}
	}
}

// compare runs a scenario with several seeds, logs the results, and returns the mean
// share of the worth that was answered in deadline.
func compare(t *testing.T, name string, sc scenario, seeds int) float64 {
	t.Helper()
	var sum, least, most float64
	var last result
	for seed := range seeds {
		sc.seed = uint64(seed)
		last = simulate(t, sc)
		sum += last.worth
		if seed == 0 {
			least, most = last.worth, last.worth
		}
		least, most = min(least, last.worth), max(most, last.worth)
	}
	var b strings.Builder
	for _, l := range sc.loads {
		fmt.Fprintf(&b, " %s %.3f/%v", l.class, last.answeredShare(l.class), last.tail[l.class].Round(time.Millisecond))
	}
	t.Logf("%-60s worth %.4f (%.4f..%.4f) all %.3f%s", name, sum/float64(seeds), least, most, last.all, b.String())
	return sum / float64(seeds)
}

// offerWithObjective offers an attempt whose objective is left from now, and expects it
// to be queued.
func (r *rig) offerWithObjective(left time.Duration) *model.Attempt {
	a := r.attempt()
	a.Objective = left
	r.want(r.offer(a), enqueued)
	return a
}

func TestAttemptsInTimeAreServedBeforeLateOnes(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(100 * time.Millisecond)
	running := r.fill(2)
	first := r.offerWithObjective(150 * time.Millisecond)
	second := r.offerWithObjective(400 * time.Millisecond)
	// The first attempt can no longer meet its objective when a slot becomes free.
	r.advance(100 * time.Millisecond)
	r.wantDecisions(r.finish(running[0], Completion{ServiceTime: 100 * time.Millisecond, Status: 200}), Decision{Attempt: second.ID, Kind: Start})
	r.wantDecisions(r.finish(running[1], Completion{ServiceTime: 100 * time.Millisecond, Status: 200}), Decision{Attempt: first.ID, Kind: Start})
}

func TestEarliestObjectiveIsServedFirst(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(100 * time.Millisecond)
	running := r.fill(2)
	r.offerWithObjective(900 * time.Millisecond)
	urgent := r.offerWithObjective(500 * time.Millisecond)
	r.advance(10 * time.Millisecond)
	r.wantDecisions(r.finish(running[0], Completion{ServiceTime: 10 * time.Millisecond, Status: 200}), Decision{Attempt: urgent.ID, Kind: Start})
}

func TestQueuedAttemptThatCannotFinishIsRefused(t *testing.T) {
	r := newRig(t, testService())
	r.learnService(100 * time.Millisecond)
	r.fill(2)
	a := r.attempt()
	a.Remaining = 300 * time.Millisecond
	r.want(r.offer(a), enqueued)
	r.advance(225 * time.Millisecond)
	r.wantDecisions(r.o.Tick(r.now), Decision{Attempt: a.ID, Kind: Refuse, Refusal: notRunRefusal(model.ReasonExpired)})
}
