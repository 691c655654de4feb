package owner

import (
	"math"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// shareFloor is the share of every class that the bundle gives less, so that
// none is starved, whatever its worth.
const shareFloor = 0.02

// class is the state of one request class. Classes that no bundle names are
// counted as one, under the empty name.
type class struct {
	name     model.ClassName
	share    float64
	priority int
	// objective is the time within which an answer has its full worth; zero when the
	// bundle names none.
	objective time.Duration
	inFlight  int
	queued    int
	// credit grows towards one slot for the part of the share that is no whole
	// slot; see under.
	credit  float64
	service estimate
	// stretch is what was learned of the class's waits.
	stretch stretch

	// overall is the estimate over all classes.
	overall *estimate
}

// expected returns the expected service time; zero when nothing is known.
func (c *class) expected() time.Duration {
	if c.service.count > 0 {
		return c.service.mean()
	}
	if c.objective > 0 {
		return c.objective / objectiveRuns
	}
	return c.overall.mean()
}

// objectiveRuns is how many usual runs an objective is taken to be while none was
// seen: operators set it at 2.7 of them. Without a guess an owner that has just
// started would start long work on a machine that is slow at this moment.
const objectiveRuns = 3

// guaranteed returns the class's part of limit slots; it may be a fraction.
func (c *class) guaranteed(limit int) float64 { return c.share * float64(limit) }

// places returns the class's part of a queue's places, at least one.
func (c *class) places(limit int) float64 { return max(1, c.share*float64(limit)) }

// under tells whether the class is under its share: it holds fewer than its
// whole slots, or has saved up a start for the fraction over them.
func (c *class) under(limit int) bool {
	g := c.guaranteed(limit)
	if float64(c.inFlight+1) <= g {
		return true
	}
	return float64(c.inFlight) < g && c.credit >= 1
}

// save adds to the credit at each start of any class while c waits. A fraction f
// of a slot amounts to f/limit of all starts.
func (c *class) save(limit int) {
	g := c.guaranteed(limit)
	whole := math.Floor(g)
	if float64(c.inFlight) <= whole {
		c.credit = min(1, c.credit+(g-whole)/float64(limit))
	}
}

// classSet holds the classes of the bundle in force and of those before it.
type classSet struct {
	byName map[model.ClassName]*class
	// all lists the classes of byName and other.
	all   []*class
	other *class
}

func newClassSet(overall *estimate) classSet {
	other := &class{share: shareFloor, overall: overall}
	return classSet{byName: map[model.ClassName]*class{}, all: []*class{other}, other: other}
}

// configure takes the bundle's shares. Classes that it no longer names keep
// their attempts and fall to the floor; they go once they are idle.
func (s *classSet) configure(classes []bundle.Class) {
	for name, c := range s.byName {
		c.share = shareFloor
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
		c.share = max(b.Share, shareFloor)
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

// charge accounts a start of class c: the classes that wait save towards their
// fractions and c pays with what it had saved.
func (s *classSet) charge(c *class, limit int) {
	if float64(c.inFlight+1) > c.guaranteed(limit) && c.credit >= 1 {
		c.credit = 0
	}
	for _, each := range s.all {
		each.accrue(limit)
	}
}

// accrue saves while the class waits; an idle class keeps no credit.
func (c *class) accrue(limit int) {
	if c.queued == 0 {
		c.credit = 0
		return
	}
	c.save(limit)
}

// chooser returns the waiting attempt that starts next, or nil for none.
type chooser func(o *Owner, t time.Duration) *item

// byShares chooses an attempt of a class under its share first, otherwise the
// first by the queue's order: idle shares are borrowed. A tenant at its bound is
// passed over while another tenant waits.
func byShares(o *Owner, t time.Duration) *item {
	limit := o.limit.effective(t)
	var best *item
	var bestBounded, bestUnder bool
	for _, l := range o.queue.lanes {
		it := l.best()
		if o.held(t, it) || o.mustWait(it) {
			continue
		}
		bounded := l.tenant.atBound(limit)
		under := l.class.under(limit)
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
		case !o.queue.before(it, best):
			continue
		}
		best, bestBounded, bestUnder = it, bounded, under
	}
	return best
}
