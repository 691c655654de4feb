package owner

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
)

const (
	// maxBodiesInTransit is the number of bodies that are sent to this owner at a time. One
	// body saturates the link of a small instance; each further one only delays all others
	// and the messages beside them.
	maxBodiesInTransit = 1
	// reservationExpiry is how long a granted reservation waits for its attempt. The entry
	// sends it at once, so this is several times the longest round trip between two regions
	// (70 ms) and the time in which another body passes on the same link.
	reservationExpiry = 400 * time.Millisecond
	// slowTransferAfter is when a body that still arrives no longer counts as in transit, plus
	// the time that it takes at slowTransferRate. It is longer than most uploads may take, so
	// that a link that is only busy gets no second body.
	slowTransferAfter = 2500 * time.Millisecond
	// slowTransferRate is a quarter of the smallest instance's link, in bytes per millisecond.
	// A body that is sent more slowly, such as by a caller with a slow connection, does not
	// saturate the link.
	slowTransferRate = 312
	// DefaultBodyMemory bounds the bytes of reserved bodies at a node without a memory
	// limit.
	DefaultBodyMemory = 64 << 20
)

// reservationState is how far the body of a reservation has come.
type reservationState uint8

const (
	// reservationWaiting: the entry waits for the reply.
	reservationWaiting reservationState = iota
	// reservationGranted: the entry may send the attempt with its body.
	reservationGranted
	// reservationTransferring: the head of the attempt has arrived.
	reservationTransferring
	// reservationSlow: the body still arrives, but no longer counts as in transit.
	reservationSlow
	// reservationArrived: the whole body is in memory.
	reservationArrived
)

// reservation allows one attempt to be sent with its body. It holds no slot.
type reservation struct {
	// attempt is used for the checks of the worker's state, pending for the order of grants.
	attempt *model.Attempt
	pending *pendingAttempt
	state   reservationState
	// grantedAt is valid unless state is reservationWaiting.
	grantedAt time.Duration
}

// inTransit reports whether the body may saturate the link, now or at any moment.
func (r *reservation) inTransit() bool {
	return r.state == reservationGranted || r.state == reservationTransferring
}

// isSlow reports whether the body takes so long that it cannot saturate the link.
func (r *reservation) isSlow(t time.Duration) bool {
	limit := slowTransferAfter + time.Duration(r.attempt.BodyBytes/slowTransferRate)*time.Millisecond
	return r.state == reservationTransferring && t-r.grantedAt >= limit
}

// before reports whether r is granted before other: in the order in which the queue serves
// their attempts.
func (r *reservation) before(other *reservation) bool {
	return servesFirst(r.pending, other.pending)
}

// reservations holds the reservations of bodies that entries of other nodes send. Its times
// are on the owner's clock.
type reservations struct {
	byID map[model.AttemptID]*reservation
	// waiting lists those in state reservationWaiting, in no order.
	waiting []*reservation
	// transit is the number of bodies in transit, memory the bytes of all bodies in transit
	// or in memory.
	transit   int
	memory    int64
	maxMemory int64
	// transfer is the time from a grant to the arrival of the whole body.
	transfer estimate
	// expired counts the reservations whose attempt never arrived.
	expired uint64
}

func newReservations(maxMemory int64) reservations {
	if maxMemory <= 0 {
		maxMemory = DefaultBodyMemory
	}
	return reservations{byID: map[model.AttemptID]*reservation{}, maxMemory: maxMemory}
}

// fits reports whether the memory suffices for one more body of so many bytes.
func (s *reservations) fits(bytes int64) bool { return bytes <= s.maxMemory-s.memory }

// hasTransit reports whether one more body may be sent now.
func (s *reservations) hasTransit() bool { return s.transit < maxBodiesInTransit }

// wait adds a reservation that is granted later.
func (s *reservations) wait(r *reservation) {
	s.byID[r.attempt.ID] = r
	s.waiting = append(s.waiting, r)
}

// grant grants a reservation, which may be waiting.
func (s *reservations) grant(t time.Duration, r *reservation) {
	s.removeWaiting(r)
	s.byID[r.attempt.ID] = r
	r.state = reservationGranted
	r.grantedAt = t
	s.transit++
	s.memory += r.attempt.BodyBytes
}

// begin notes that the attempt of a granted reservation has arrived, without its body.
func (s *reservations) begin(id model.AttemptID) (bytes int64, ok bool) {
	r := s.byID[id]
	if r == nil || r.state != reservationGranted {
		return 0, false
	}
	r.state = reservationTransferring
	return r.attempt.BodyBytes, true
}

// arrive notes that the whole body of a reservation has arrived.
func (s *reservations) arrive(t time.Duration, id model.AttemptID) {
	r := s.byID[id]
	if r == nil || r.state != reservationTransferring && r.state != reservationSlow {
		return
	}
	if r.inTransit() {
		s.transit--
		s.transfer.add(t - r.grantedAt)
	}
	r.state = reservationArrived
}

// arrived reports whether the whole body of a reserved attempt is in memory.
func (s *reservations) arrived(id model.AttemptID) bool {
	r := s.byID[id]
	return r != nil && r.state == reservationArrived
}

// remove ends a reservation in any state.
func (s *reservations) remove(id model.AttemptID) {
	r := s.byID[id]
	if r == nil {
		return
	}
	delete(s.byID, id)
	if r.state == reservationWaiting {
		s.removeWaiting(r)
		return
	}
	if r.inTransit() {
		s.transit--
	}
	s.memory -= r.attempt.BodyBytes
}

func (s *reservations) removeWaiting(r *reservation) {
	for i, w := range s.waiting {
		if w == r {
			last := len(s.waiting) - 1
			s.waiting[i] = s.waiting[last]
			s.waiting[last] = nil
			s.waiting = s.waiting[:last]
			return
		}
	}
}

// expire ends the granted reservations whose attempt has not arrived in time, and the transit
// of slow bodies. Only bodies in transit can be concerned, so that most calls return at once.
func (s *reservations) expire(t time.Duration) {
	if s.transit == 0 {
		return
	}
	for id, r := range s.byID {
		switch {
		case r.state == reservationGranted && t-r.grantedAt >= reservationExpiry:
			s.remove(id)
			s.expired++
		case r.isSlow(t):
			r.state = reservationSlow
			s.transit--
		}
	}
}

// next returns the waiting reservation that is granted next, or nil.
func (s *reservations) next() *reservation {
	var first *reservation
	for _, r := range s.waiting {
		if first == nil || r.before(first) {
			first = r
		}
	}
	return first
}

// countBefore counts the waiting reservations that are granted before r.
func (s *reservations) countBefore(r *reservation) int {
	n := 0
	for _, w := range s.waiting {
		if w.before(r) {
			n++
		}
	}
	return n
}

// predictTransfer predicts the time until the body of a reservation that is made now has
// arrived, from those before it.
func (s *reservations) predictTransfer(r *reservation) time.Duration {
	return s.transferAfter(s.countBefore(r))
}

// transferAfter predicts the time until a body has arrived that is sent after so many waiting
// ones.
func (s *reservations) transferAfter(waiting int) time.Duration {
	rounds := (s.transit+waiting)/maxBodiesInTransit + 1
	return time.Duration(rounds) * s.transfer.mean()
}

// inOrder returns the waiting reservations in the order in which they are granted, those that
// can no longer meet their objective behind the others of their priority.
func (s *reservations) inOrder(t time.Duration) []*reservation {
	for _, r := range s.waiting {
		r.pending.late = r.pending.late || r.pending.missesObjective(t)
	}
	ordered := slices.Clone(s.waiting)
	slices.SortFunc(ordered, compareBy((*reservation).before))
	return ordered
}
