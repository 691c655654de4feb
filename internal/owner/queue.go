package owner

import (
	"sort"
	"time"
)

// servesBefore reports whether a is served before b. It is a strict total order.
type servesBefore func(a, b *pendingAttempt) bool

// byWorth serves the highest worth first, then the earliest objective or deadline, then
// the first to arrive. The order of two attempts does not change while they wait.
func byWorth(a, b *pendingAttempt) bool {
	if a.worth != b.worth {
		return a.worth > b.worth
	}
	if !a.late && a.objective != b.objective {
		return a.objective < b.objective
	}
	return byDeadline(a, b)
}

// missesObjective reports whether an attempt started at t is expected to end after its
// objective, when its response has little of its worth left. In an overload this holds
// for most of those that waited longest; serving them first would make all later ones
// miss their objective too. An example of such an overload is a burst of 1.4 times the
// usual load for 5 s while a tenth of the workers leaves.
func (p *pendingAttempt) missesObjective(t time.Duration) bool {
	return p.objective > 0 && t+p.class.expected() > p.objective
}

// byPriority serves the most urgent attempts first (see compareUrgency), then those that
// can still meet their objective, then those whose body was reserved, as the body would
// otherwise have been sent for nothing, then by value.
func byPriority(a, b *pendingAttempt) bool {
	if d := compareUrgency(a, b); d != 0 {
		return d < 0
	}
	if a.late != b.late {
		return b.late
	}
	if a.reserved != b.reserved {
		return a.reserved
	}
	return byValue(a, b)
}

// byValue serves the highest worth per expected slot time first, as a short attempt frees
// its slot sooner. Among attempts of one class it is byWorth.
func byValue(a, b *pendingAttempt) bool {
	if va, vb := a.value(), b.value(); va != vb {
		return va > vb
	}
	return byDeadline(a, b)
}

// value is the worth per expected slot time; the unit cancels in comparisons.
func (p *pendingAttempt) value() float64 {
	return p.worth / float64(max(p.class.expected(), minService))
}

// outranks reports whether p is more urgent than other, or equally urgent with a higher
// value.
func (p *pendingAttempt) outranks(other *pendingAttempt) bool {
	if d := compareUrgency(p, other); d != 0 {
		return d < 0
	}
	return p.value() > other.value()
}

// byDeadline serves the earliest deadline first, then the first to arrive.
func byDeadline(a, b *pendingAttempt) bool {
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.seq < b.seq
}

// subqueue holds the queued attempts with one subqueueKey in reverse order of service:
// the next to be served is at the end, where it is cheap to remove.
type subqueue struct {
	class    *class
	tenant   *tenant
	attempts []*pendingAttempt
	// index is the subqueue's index in queue.nonEmpty.
	index int
}

// first returns the attempt that is served first.
func (s *subqueue) first() *pendingAttempt { return s.attempts[len(s.attempts)-1] }

// last returns the attempt that is served last.
func (s *subqueue) last() *pendingAttempt { return s.attempts[0] }

type subqueueKey struct {
	class     *class
	tenant    *tenant
	late      bool
	exclusive bool
	held      bool
	inherited uint16
	reserved  bool
}

// subqueueKeyOf separates exclusive and held attempts from the rest, as they may have to
// wait while others start, and reserved ones, which go before others of their priority that
// are not late either.
func subqueueKeyOf(p *pendingAttempt) subqueueKey {
	return subqueueKey{p.class, p.tenant, p.late, p.exclusive, p.held, p.inherited, p.reserved}
}

// maxSubqueues is the number of subqueues from which on empty ones are removed at once:
// inherited priorities come from other nodes, and the next bundle may be far off.
const maxSubqueues = 256

// queue holds the queued attempts. Only subqueues with attempts are in nonEmpty, so the
// cost of a choice grows with the classes and tenants that wait.
type queue struct {
	// withinSubqueue orders the attempts of one subqueue and must not change with time.
	withinSubqueue servesBefore
	// before orders attempts of different subqueues.
	before   servesBefore
	nonEmpty []*subqueue
	byKey    map[subqueueKey]*subqueue
	length   int
}

func newQueue() queue {
	return queue{withinSubqueue: byWorth, before: byPriority, byKey: map[subqueueKey]*subqueue{}}
}

// prune removes empty subqueues, as their classes and tenants may no longer exist.
func (q *queue) prune() {
	for key, s := range q.byKey {
		if len(s.attempts) == 0 {
			delete(q.byKey, key)
		}
	}
}

// push adds an attempt.
func (q *queue) push(p *pendingAttempt) {
	key := subqueueKeyOf(p)
	s := q.byKey[key]
	if s == nil {
		s = &subqueue{class: p.class, tenant: p.tenant}
		q.byKey[key] = s
	}
	if len(s.attempts) == 0 {
		s.index = len(q.nonEmpty)
		q.nonEmpty = append(q.nonEmpty, s)
	}
	at := q.indexOf(s, p)
	s.attempts = append(s.attempts, nil)
	copy(s.attempts[at+1:], s.attempts[at:])
	s.attempts[at] = p
	p.class.queued++
	q.length++
}

// indexOf returns the index of p in its own subqueue, or the index at which it is to be
// inserted.
func (q *queue) indexOf(s *subqueue, p *pendingAttempt) int {
	return sort.Search(len(s.attempts), func(i int) bool {
		return s.attempts[i] == p || q.withinSubqueue(s.attempts[i], p)
	})
}

// sharesOrder reports whether two attempts are ordered as those of one subqueue are.
func (p *pendingAttempt) sharesOrder(other *pendingAttempt) bool {
	return p.class == other.class && p.late == other.late &&
		p.inherited == other.inherited && p.reserved == other.reserved
}

// servesFirst reports whether a is served before b, which may be of the same subqueue.
func servesFirst(a, b *pendingAttempt) bool {
	if a.sharesOrder(b) {
		return byWorth(a, b)
	}
	return byPriority(a, b)
}

// countBeforeIn counts the attempts of s that are served before p, which is not in s.
func (q *queue) countBeforeIn(s *subqueue, p *pendingAttempt) int {
	before := q.before
	if s.first().sharesOrder(p) {
		before = q.withinSubqueue
	}
	return len(s.attempts) - sort.Search(len(s.attempts), func(i int) bool { return before(s.attempts[i], p) })
}

// remove takes an attempt out; it must be in the queue.
func (q *queue) remove(p *pendingAttempt) {
	s := q.byKey[subqueueKeyOf(p)]
	at := q.indexOf(s, p)
	copy(s.attempts[at:], s.attempts[at+1:])
	s.attempts[len(s.attempts)-1] = nil
	s.attempts = s.attempts[:len(s.attempts)-1]
	p.class.queued--
	q.length--
	if len(s.attempts) == 0 {
		q.dropEmpty(s)
		if len(q.byKey) > maxSubqueues {
			delete(q.byKey, subqueueKeyOf(p))
		}
	}
}

// dropEmpty removes an empty subqueue from nonEmpty.
func (q *queue) dropEmpty(s *subqueue) {
	last := len(q.nonEmpty) - 1
	moved := q.nonEmpty[last]
	q.nonEmpty[s.index] = moved
	moved.index = s.index
	q.nonEmpty[last] = nil
	q.nonEmpty = q.nonEmpty[:last]
}

// countBefore counts the queued attempts that are served before p, in all classes and in
// its own.
func (q *queue) countBefore(p *pendingAttempt) (all, own int) {
	for _, s := range q.nonEmpty {
		n := q.countBeforeIn(s, p)
		if s.class == p.class {
			own += n
		}
		all += n
	}
	return all, own
}

// displaceable returns the queued attempt that has to make room for newer in a full queue
// of the given limit, or nil. Each class keeps its share of the places: a class within
// its places loses none, and a new attempt of such a class takes the place of the last of
// the other classes. Otherwise only a higher value displaces. An attempt whose body was
// reserved and received is never displaced.
func (q *queue) displaceable(limit int, newer *pendingAttempt) *pendingAttempt {
	entitled := float64(newer.class.queued+1) <= newer.class.queuePlaces(limit)
	var victim *pendingAttempt
	for _, s := range q.nonEmpty {
		if s.first().reserved || !s.mayDisplaceIn(limit, newer) {
			continue
		}
		if p := s.last(); victim == nil || q.before(victim, p) {
			victim = p
		}
	}
	if victim == nil || !entitled && !newer.outranks(victim) {
		return nil
	}
	return victim
}

// demoteLate moves attempts that can no longer meet their objective behind those that
// can.
func (q *queue) demoteLate(t time.Duration) {
	for _, p := range q.filter(func(p *pendingAttempt) bool { return !p.late && p.missesObjective(t) }) {
		q.remove(p)
		p.late = true
		q.push(p)
	}
}

// filter returns the queued attempts that match.
func (q *queue) filter(match func(*pendingAttempt) bool) []*pendingAttempt {
	var out []*pendingAttempt
	for _, s := range q.nonEmpty {
		for _, p := range s.attempts {
			if match(p) {
				out = append(out, p)
			}
		}
	}
	return out
}

// compareBy returns the comparison for package slices of the order that before defines.
func compareBy[T any](before func(a, b T) bool) func(a, b T) int {
	return func(a, b T) int {
		switch {
		case before(a, b):
			return -1
		case before(b, a):
			return 1
		}
		return 0
	}
}
