package owner

import (
	"sort"
	"time"
)

// before tells whether a is served before b. It is a strict total order.
type before func(a, b *item) bool

// byWorth serves the highest worth first, then the earliest objective or deadline,
// then the first to arrive. It never changes while attempts wait.
func byWorth(a, b *item) bool {
	if a.worth != b.worth {
		return a.worth > b.worth
	}
	if !a.late && a.objective != b.objective {
		return a.objective < b.objective
	}
	return byDeadline(a, b)
}

// missesObjective tells whether a start now is expected to end after the objective.
// An answer then has little of its worth left. In an overload that is most of what
// waits longest: served first, it makes all that comes after it late as well. Load: a
// burst of 1.4 times the usual for 5 s while a tenth of the workers leaves.
func (it *item) missesObjective(t time.Duration) bool {
	return it.objective > 0 && t+it.class.expected() > it.objective
}

// byPriority serves the class of the smallest rank first, then what can still meet its
// objective, then by value.
func byPriority(a, b *item) bool {
	if a.class.priority != b.class.priority {
		return a.class.priority < b.class.priority
	}
	if a.late != b.late {
		return b.late
	}
	return byValue(a, b)
}

// byValue serves the highest worth per expected slot time first, as a short
// attempt leaves its slot to others sooner. Among attempts of one class it is
// byWorth.
func byValue(a, b *item) bool {
	if va, vb := a.value(), b.value(); va != vb {
		return va > vb
	}
	return byDeadline(a, b)
}

// value is the worth per expected slot time; the unit cancels in comparisons.
func (it *item) value() float64 {
	return it.worth / float64(max(it.class.expected(), minService))
}

// outranks tells whether it is of a more urgent class, or worth more of an equally
// urgent one.
func (it *item) outranks(other *item) bool {
	if it.class.priority != other.class.priority {
		return it.class.priority < other.class.priority
	}
	return it.value() > other.value()
}

// byDeadline serves the earliest deadline first, then the first to arrive.
func byDeadline(a, b *item) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.seq < b.seq
}

// lane holds the waiting attempts of one class and one tenant, the last to be
// served first, so that both ends are at hand.
type lane struct {
	class  *class
	tenant *tenant
	items  []*item
	// at is the lane's place among the queue's lanes while it holds any.
	at int
}

// best returns the attempt that is served first.
func (l *lane) best() *item { return l.items[len(l.items)-1] }

// least returns the attempt that is served last.
func (l *lane) least() *item { return l.items[0] }

type laneKey struct {
	class  *class
	tenant *tenant
	late   bool
	alone  bool
}

// keyOf parts what runs alone from the rest: it may have to wait while the rest starts.
func keyOf(it *item) laneKey { return laneKey{it.class, it.tenant, it.late, it.alone} }

// queue holds the waiting attempts. Only lanes that hold any are listed, so the
// cost of a choice grows with the classes and tenants that wait.
type queue struct {
	// inLane orders the attempts of one lane and must not change with time.
	inLane before
	// before orders attempts of different lanes.
	before before
	lanes  []*lane
	index  map[laneKey]*lane
	length int
}

func newQueue() queue {
	return queue{inLane: byWorth, before: byPriority, index: map[laneKey]*lane{}}
}

// prune forgets lanes without attempts, as classes and tenants may go.
func (q *queue) prune() {
	for key, l := range q.index {
		if len(l.items) == 0 {
			delete(q.index, key)
		}
	}
}

// push adds an attempt.
func (q *queue) push(it *item) {
	key := keyOf(it)
	l := q.index[key]
	if l == nil {
		l = &lane{class: it.class, tenant: it.tenant}
		q.index[key] = l
	}
	if len(l.items) == 0 {
		l.at = len(q.lanes)
		q.lanes = append(q.lanes, l)
	}
	at := q.rank(l, it)
	l.items = append(l.items, nil)
	copy(l.items[at+1:], l.items[at:])
	l.items[at] = it
	it.class.queued++
	q.length++
}

// rank returns the place in its own lane of an attempt: that of the first one
// that is served before it, or its own when it waits.
func (q *queue) rank(l *lane, it *item) int {
	return sort.Search(len(l.items), func(i int) bool {
		return l.items[i] == it || q.inLane(l.items[i], it)
	})
}

// above counts the attempts of l that are served before one that is not in l.
func (q *queue) above(l *lane, it *item) int {
	b := q.before
	if l.class == it.class && l.best().late == it.late {
		b = q.inLane
	}
	return len(l.items) - sort.Search(len(l.items), func(i int) bool { return b(l.items[i], it) })
}

// remove takes an attempt out; it must be in the queue.
func (q *queue) remove(it *item) {
	l := q.index[keyOf(it)]
	at := q.rank(l, it)
	copy(l.items[at:], l.items[at+1:])
	l.items[len(l.items)-1] = nil
	l.items = l.items[:len(l.items)-1]
	it.class.queued--
	q.length--
	if len(l.items) == 0 {
		q.unlist(l)
	}
}

// unlist takes an empty lane off the list.
func (q *queue) unlist(l *lane) {
	last := len(q.lanes) - 1
	moved := q.lanes[last]
	q.lanes[l.at] = moved
	moved.at = l.at
	q.lanes[last] = nil
	q.lanes = q.lanes[:last]
}

// ahead counts the waiting attempts that are served before it, in all classes
// and in its own.
func (q *queue) ahead(it *item) (all, own int) {
	for _, l := range q.lanes {
		n := q.above(l, it)
		if l.class == it.class {
			own += n
		}
		all += n
	}
	return all, own
}

// least returns the waiting attempt that has to give way to a new one in a full
// queue of the given limit, or nil. Each class keeps its share of the places: a
// class within its places loses none, and a new attempt of such a class takes
// the place of the least of the others. Otherwise only a higher value displaces.
func (q *queue) least(limit int, newer *item) *item {
	entitled := float64(newer.class.queued+1) <= newer.class.places(limit)
	var victim *item
	for _, l := range q.lanes {
		if float64(l.class.queued) <= l.class.places(limit) && l.class != newer.class {
			continue
		}
		if it := l.least(); victim == nil || q.before(victim, it) {
			victim = it
		}
	}
	if victim == nil || !entitled && !newer.outranks(victim) {
		return nil
	}
	return victim
}

// moveLate puts what can no longer meet its objective behind what can.
func (q *queue) moveLate(t time.Duration) {
	for _, it := range q.where(func(it *item) bool { return !it.late && it.missesObjective(t) }) {
		q.remove(it)
		it.late = true
		q.push(it)
	}
}

// where returns the waiting attempts that match.
func (q *queue) where(match func(*item) bool) []*item {
	var out []*item
	for _, l := range q.lanes {
		for _, it := range l.items {
			if match(it) {
				out = append(out, it)
			}
		}
	}
	return out
}
