package owner

import (
	"math"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// minShare is the lowest share of a class. It keeps every class from being starved,
// whatever its worth or the share in the bundle.
const minShare = 0.02

// class is the state of one request class. Classes that no bundle names are counted as
// one, under the empty name.
type class struct {
	name     model.ClassName
	share    float64
	priority int
	// objective is the time within which a response has its full worth; zero when the
	// bundle names none.
	objective time.Duration
	inFlight  int
	queued    int
	// credit grows towards one start for the fractional slot of the share; see
	// underShare.
	credit  float64
	service estimate
	// inflation corrects the predicted waits of the class.
	inflation waitInflation
	// callInflation does so for the calls of the class, by their inherited priority plus
	// one.
	callInflation map[uint16]waitInflation
	// outcome is the share of the class's requests that were served.
	outcome outcomeShare

	// overall is the estimate over all classes.
	overall *estimate
}

// expected returns the expected service time; zero when unknown.
func (c *class) expected() time.Duration {
	if c.service.count > 0 {
		return c.service.mean()
	}
	if c.objective > 0 {
		return c.objective / objectiveRuns
	}
	return c.overall.mean()
}

// objectiveRuns is the assumed ratio of a class's objective to its usual service time
// while none was observed; operators set the objective at 2.7 service times. Without this
// assumption, an owner that has just started would start long work on a machine in a slow
// period.
const objectiveRuns = 3

// guaranteed returns the class's part of limit slots; it may be a fraction.
func (c *class) guaranteed(limit int) float64 { return c.share * float64(limit) }

// queuePlaces returns the class's part of the places of a queue with the given limit, at
// least one.
func (c *class) queuePlaces(limit int) float64 { return max(1, c.share*float64(limit)) }

// underShare reports whether the class is below its share: it holds fewer than its whole
// slots, or has enough credit to start one for the fraction.
func (c *class) underShare(limit int) bool {
	g := c.guaranteed(limit)
	if float64(c.inFlight+1) <= g {
		return true
	}
	return float64(c.inFlight) < g && c.credit >= 1
}

// accrueCredit adds to the credit at each start of any class while c waits. A fraction f
// of a slot amounts to f/limit of all starts.
func (c *class) accrueCredit(limit int) {
	g := c.guaranteed(limit)
	whole := math.Floor(g)
	if float64(c.inFlight) <= whole {
		c.credit = min(1, c.credit+(g-whole)/float64(limit))
	}
}

// classSet holds the classes of the current bundle, and classes of earlier ones that are
// still in use.
type classSet struct {
	byName map[model.ClassName]*class
	// all lists the classes of byName and other.
	all   []*class
	other *class
}

func newClassSet(overall *estimate) classSet {
	other := &class{share: minShare, overall: overall}
	return classSet{byName: map[model.ClassName]*class{}, all: []*class{other}, other: other}
}

// configure applies the bundle's shares. Classes that it no longer names keep their
// attempts at the minimum share; they are removed once idle.
func (s *classSet) configure(classes []bundle.Class) {
	for name, c := range s.byName {
		c.share = minShare
		if c.inFlight == 0 && c.queued == 0 {
			delete(s.byName, name)
		}
	}
	for i := range classes {
		b := &classes[i]
		c := s.byName[b.Name]
		if c == nil {
			c = &class{name: b.Name, overall: s.other.overall}
			s.byName[b.Name] = c
		}
		c.share = max(b.Share, minShare)
		c.priority = b.Priority
		c.objective = 0
		if b.ObjectiveMs > 0 {
			c.objective = b.Objective()
		}
	}
	s.all = append(s.all[:0], s.other)
	for _, c := range s.byName {
		s.all = append(s.all, c)
	}
}

// get returns the class of that name.
func (s *classSet) get(name model.ClassName) *class {
	if c := s.byName[name]; c != nil {
		return c
	}
	return s.other
}

// chargeStart accounts for a start of class c: it uses up c's credit when c starts beyond
// its whole slots, and adds credit to the classes that wait.
func (s *classSet) chargeStart(c *class, limit int) {
	if float64(c.inFlight+1) > c.guaranteed(limit) && c.credit >= 1 {
		c.credit = 0
	}
	for _, each := range s.all {
		each.updateCredit(limit)
	}
}

// updateCredit adds credit while the class waits; an idle class loses its credit.
func (c *class) updateCredit(limit int) {
	if c.queued == 0 {
		c.credit = 0
		return
	}
	c.accrueCredit(limit)
}

// chooser returns the queued attempt that starts next, or nil for none.
type chooser func(o *Owner, t time.Duration) *pendingAttempt

// byShares chooses an attempt of a class under its share first, otherwise the first in
// the queue's order: idle shares are borrowed. A tenant at its limit is skipped while
// another tenant waits.
func byShares(o *Owner, t time.Duration) *pendingAttempt {
	limit := o.limit.effective(t)
	var best *pendingAttempt
	var bestBounded, bestUnder bool
	for _, s := range o.queue.nonEmpty {
		p := s.first()
		if p.held || o.waitsForRecovery(t, p) || o.waitsForExclusive(p) {
			continue
		}
		bounded := s.tenant.atBound(limit)
		under := s.class.underShare(limit)
		switch {
		case best == nil:
		case bounded != bestBounded:
			if bounded {
				continue
			}
		case under != bestUnder:
			if bestUnder {
				continue
			}
		case !o.queue.before(p, best):
			continue
		}
		best, bestBounded, bestUnder = p, bounded, under
	}
	return best
}
