package entry

import (
	"math"
	"slices"
	"sync"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// While most of a class's requests are refused for load, or fail because calls of their runs
// are refused, an entry admits only a fraction of them (bundle.Admission.ByOutcome). Slots are
// then spent on requests that are served. The fraction follows the served shares that owners
// report: admitted fraction x served share is the share of the demand that the service can
// serve, whatever the fraction is, so dividing it by the wanted served share gives the fraction
// at once. Stepping the fraction by the error alone would swing, as a report shows the effect
// of a step one to two seconds later.

const (
	// wantedServed is the served share of the admitted requests below which the fraction is
	// reduced, and to which it is reduced. As owners count a refusal as a quarter of a failed
	// run, a class whose runs do not fail is reduced once owners refuse half of it.
	wantedServed = 0.8
	// raiseServed is the served share from which the fraction is raised at the full rate; it is
	// the greatest that owners report.
	raiseServed = 0.95
	// raiseRate is how fast the fraction is raised, per second, and slowRaise the part of it
	// that remains at wantedServed. From minAdmitted, all are admitted again after a second: a
	// slow raise would keep requests out long after a burst of 2 s.
	raiseRate = 0.6
	slowRaise = 0.2
	// minAdmitted is the least fraction. It bounds what is lost where reports are wrong, and
	// while the served share still shows a burst that has ended. At twice the capacity, half of
	// the requests can be served, so that a much lower fraction would leave slots idle.
	minAdmitted = 0.4
	// reductionTime is the time constant of reductions. It averages over a few reports, each of
	// which has a small sample.
	reductionTime = 300 * time.Millisecond
	// feedbackLag is the time with which served shares follow the fraction: the owner's window,
	// the age of reports and their smoothing. It is split between two filters, as the share
	// follows late at first and then fast.
	feedbackLag = 1200 * time.Millisecond
	// servedGain is the least weight of one report in the smoothed served share, and
	// servedTime the time constant where reports are rare.
	servedGain = 1.0 / 4
	servedTime = 300 * time.Millisecond
	// servedTTL is the age from which on a served share counts as unknown.
	servedTTL = time.Second
	// repeatedGain is the weight of one submission in the share of retries.
	repeatedGain = 1.0 / 16
	// arrivalTTL is how long after a request its class counts as present at this entry.
	arrivalTTL = 2 * time.Second
	// classTTL is how long after its last request the state of a class is kept. By then all of
	// it has returned to its initial values, a pause of reductions included.
	classTTL = time.Minute
)

// outcomeAdmission decides which of a service's requests are admitted. It is safe for
// concurrent use.
type outcomeAdmission struct {
	mu sync.Mutex
	// classes are those of which a caller sent a request.
	classes []*classAdmission
}

// classAdmission is the state of one class.
type classAdmission struct {
	name     model.ClassName
	priority int
	// served is the smoothed served share over the owners' reports, the latest of which came
	// at reportedAt.
	served     float64
	reportedAt time.Time
	// admitted is the fraction that this class's own outcomes allow.
	admitted float64
	// past is the fraction in force, delayed by feedbackLag; halfway is delayed by half of it.
	halfway, past float64
	steppedAt     time.Time
	arrivedAt     time.Time
	// repeated is the smoothed share of submissions that are a caller's retry.
	repeated float64
	// shortSince is when the shortage began; zero when there is none.
	shortSince time.Time
	effect     reductionEffect
	// announced is the fraction in the latest AdmissionChange.
	announced float64
}

// admissionInputs is the basis of a decision, for logs and metrics.
type admissionInputs struct {
	// admitted is the fraction in force and served the smoothed served share.
	admitted, served float64
	// chance is the probability with which the request is admitted.
	chance float64
	// age is the time since the latest report, negative without one.
	age time.Duration
	// rank is the number of more urgent classes present.
	rank int
	// lasted is how long the shortage has lasted.
	lasted time.Duration
}

// arrive records a caller's request of a class and returns the inputs of its decision. changed
// reports that the fraction in force differs notably from the one announced last, before.
func (a *outcomeAdmission) arrive(now time.Time, class *bundle.Class, repeated bool) (in admissionInputs, before float64, changed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.class(now, class)
	c.arrivedAt = now
	c.observeArrival(repeated)
	c.priority = class.Priority
	a.step(now, c)
	in = a.inputs(now, c)
	before, changed = c.announce(in.admitted)
	in.chance = c.chance(in.admitted, repeated)
	return in, before, changed
}

// observe adds the served shares of one owner's report. A class that it does not list is
// served there.
func (a *outcomeAdmission) observe(now time.Time, list []model.ClassOutcome) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.classes {
		a.step(now, c)
		c.observe(now, servedIn(list, c.name))
	}
}

// servedIn returns the served share of a class in a report, 0 to 1.
func servedIn(list []model.ClassOutcome, class model.ClassName) float64 {
	for _, o := range list {
		if o.Class == class {
			return min(o.ServedShare(), 1)
		}
	}
	return 1
}

// class returns the state of a class. When it is new, those without requests for classTTL are
// dropped, as bundles may have renamed them.
func (a *outcomeAdmission) class(now time.Time, class *bundle.Class) *classAdmission {
	for _, c := range a.classes {
		if c.name == class.Name {
			return c
		}
	}
	a.classes = slices.DeleteFunc(a.classes, func(c *classAdmission) bool {
		return now.Sub(c.arrivedAt) >= classTTL
	})
	c := &classAdmission{name: class.Name, served: 1, admitted: 1, past: 1, halfway: 1, announced: 1, effect: newReductionEffect(), steppedAt: now}
	a.classes = append(a.classes, c)
	return c
}

// step brings a class's fraction up to date.
func (a *outcomeAdmission) step(now time.Time, c *classAdmission) {
	elapsed := now.Sub(c.steppedAt)
	if elapsed <= 0 {
		return
	}
	c.steppedAt = now
	c.halfway += (a.fraction(now, c) - c.halfway) * approach(elapsed, feedbackLag/2)
	c.past += (c.halfway - c.past) * approach(elapsed, feedbackLag/2)
	c.effect.observe(elapsed, c.past, c.served)
	c.adjust(now, elapsed)
}

// fraction returns the fraction in force: the class's own, but at least that of each less
// urgent class present, as those are to give way first.
func (a *outcomeAdmission) fraction(now time.Time, c *classAdmission) float64 {
	f := c.admitted
	for _, other := range a.classes {
		if other.priority > c.priority && other.present(now) {
			f = max(f, other.admitted)
		}
	}
	return f
}

// inputs returns the basis of a decision on a class, without the chance of a request.
func (a *outcomeAdmission) inputs(now time.Time, c *classAdmission) admissionInputs {
	in := admissionInputs{admitted: a.fraction(now, c), served: c.served, age: -1}
	if !c.reportedAt.IsZero() {
		in.age = now.Sub(c.reportedAt)
	}
	if !c.shortSince.IsZero() {
		in.lasted = now.Sub(c.shortSince)
	}
	for _, other := range a.classes {
		if other.priority < c.priority && other.present(now) {
			in.rank++
		}
	}
	return in
}

// present reports whether callers sent requests of the class recently.
func (c *classAdmission) present(now time.Time) bool { return now.Sub(c.arrivedAt) < arrivalTTL }

// observeArrival counts a submission.
func (c *classAdmission) observeArrival(repeated bool) {
	target := 0.0
	if repeated {
		target = 1
	}
	c.repeated += (target - c.repeated) * repeatedGain
}

// chance returns the probability with which a submission is admitted when the given fraction
// of all is. First submissions go before retries, which are mostly past their objective.
func (c *classAdmission) chance(fraction float64, repeated bool) float64 {
	first := 1 - c.repeated
	if !repeated {
		return min(fraction/first, 1)
	}
	return max((fraction-first)/c.repeated, 0)
}

// observe adds the served share of one report.
func (c *classAdmission) observe(now time.Time, served float64) {
	gain := servedGain
	if !c.reportedAt.IsZero() {
		gain = max(gain, approach(now.Sub(c.reportedAt), servedTime))
	}
	c.served += (served - c.served) * gain
	c.reportedAt = now
}

// adjust moves the fraction towards what the served share allows.
func (c *classAdmission) adjust(now time.Time, elapsed time.Duration) {
	target := c.target(now)
	if target < c.admitted {
		c.admitted = max(c.admitted+(target-c.admitted)*approach(elapsed, reductionTime), minAdmitted)
	} else {
		c.admitted = min(c.admitted+c.raiseRate(now)*elapsed.Seconds(), target)
	}
	c.trackShortage(now)
}

// raiseRate returns how fast the fraction is raised, per second.
func (c *classAdmission) raiseRate(now time.Time) float64 {
	if !c.known(now) || c.effect.paused(now) {
		return raiseRate
	}
	part := (c.served - wantedServed) / (raiseServed - wantedServed)
	return raiseRate * min(max(part, slowRaise), 1)
}

// known reports whether a report came recently.
func (c *classAdmission) known(now time.Time) bool {
	return !c.reportedAt.IsZero() && now.Sub(c.reportedAt) <= servedTTL
}

// target returns the fraction that the served share allows.
func (c *classAdmission) target(now time.Time) float64 {
	if !c.known(now) || c.served >= wantedServed || c.effect.absent(now) {
		return 1
	}
	return min(c.past*c.served/wantedServed, 1)
}

// trackShortage records when a shortage begins and ends.
func (c *classAdmission) trackShortage(now time.Time) {
	switch {
	case c.admitted >= 1:
		c.shortSince = time.Time{}
		c.effect.reset()
	case c.shortSince.IsZero():
		c.shortSince = now
	}
}

// approach returns the part of the way that a value with the time constant covers in elapsed.
func approach(elapsed, constant time.Duration) float64 {
	return 1 - math.Exp(-float64(elapsed)/float64(constant))
}

// admissionFor returns the admission of a target's service, or nil where the bundle has none.
func (e *Engine) admissionFor(t *bundle.Target) *outcomeAdmission {
	if !t.Bundle.Admission.ByOutcome {
		return nil
	}
	return e.admissions.get(t.Service.Name, func() *outcomeAdmission { return &outcomeAdmission{} })
}
