package worker

import (
	"context"
	"sync"
	"time"
)

// slots bounds the requests that run at once and those that wait, first come,
// first served.
type slots struct {
	limit      int
	queueLimit int
	// changed is called, without the lock, when load has changed.
	changed func()

	mu      sync.Mutex
	running int
	waiting []chan struct{} // closed when the slot is handed over
}

func newSlots(limit, queueLimit int, changed func()) *slots {
	return &slots{limit: limit, queueLimit: queueLimit, changed: changed}
}

// slotResult says how a wait for a slot ended.
type slotResult uint8

const (
	slotTaken slotResult = iota
	// slotFull: the queue was full.
	slotFull
	// slotLate: the bounded wait ended.
	slotLate
	// slotCancelled: the caller gave up.
	slotCancelled
)

// take waits for a slot for at most d. queued tells whether none was free. A
// free slot is taken without a look at ctx.
func (s *slots) take(ctx context.Context, d time.Duration) (result slotResult, queued bool) {
	defer s.changed()
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return slotTaken, false
	}
	if len(s.waiting) >= s.queueLimit {
		s.mu.Unlock()
		return slotFull, true
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	s.changed()
	return s.wait(ctx, d, turn), true
}

func (s *slots) wait(ctx context.Context, d time.Duration, turn chan struct{}) slotResult {
	timer := time.NewTimer(d)
	defer timer.Stop()
	result := slotTaken
	select {
	case <-turn:
		return slotTaken
	case <-timer.C:
		result = slotLate
	case <-ctx.Done():
		result = slotCancelled
	}
	if !s.leave(turn) {
		return slotTaken // the slot was handed over meanwhile
	}
	return result
}

// leave takes turn out of the queue; false means that it is no longer there.
func (s *slots) leave(turn chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.waiting {
		if t == turn {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// release hands the slot to the first that waits, or frees it.
func (s *slots) release() {
	defer s.changed()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) == 0 {
		s.running--
		return
	}
	turn := s.waiting[0]
	s.waiting = s.waiting[1:]
	close(turn)
}

// load returns the numbers of running and waiting requests.
func (s *slots) load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}
