package worker

import (
	"context"
	"sync"
	"time"
)

// slots bounds the running requests and queues the others in order of arrival.
type slots struct {
	limit      int
	queueLimit int
	// onChange is called without the lock after a change of load.
	onChange func()

	mu      sync.Mutex
	running int
	waiting []chan struct{} // a channel is closed to hand its waiter the slot
}

func newSlots(limit, queueLimit int, onChange func()) *slots {
	return &slots{limit: limit, queueLimit: queueLimit, onChange: onChange}
}

// slotResult is the result of waiting for a slot.
type slotResult uint8

const (
	slotAcquired slotResult = iota
	// slotQueueFull means that the queue was full.
	slotQueueFull
	// slotTimedOut means that the wait exceeded its limit.
	slotTimedOut
	// slotCancelled means that the caller disconnected.
	slotCancelled
)

// acquire waits for a slot for at most d; queued reports whether none was free. A free
// slot is taken even if ctx is already cancelled.
func (s *slots) acquire(ctx context.Context, d time.Duration) (result slotResult, queued bool) {
	defer s.onChange()
	s.mu.Lock()
	if s.running < s.limit {
		s.running++
		s.mu.Unlock()
		return slotAcquired, false
	}
	if len(s.waiting) >= s.queueLimit {
		s.mu.Unlock()
		return slotQueueFull, true
	}
	turn := make(chan struct{})
	s.waiting = append(s.waiting, turn)
	s.mu.Unlock()
	s.onChange()
	return s.wait(ctx, d, turn), true
}

func (s *slots) wait(ctx context.Context, d time.Duration, turn chan struct{}) slotResult {
	timer := time.NewTimer(d)
	defer timer.Stop()
	result := slotAcquired
	select {
	case <-turn:
		return slotAcquired
	case <-timer.C:
		result = slotTimedOut
	case <-ctx.Done():
		result = slotCancelled
	}
	if !s.dequeue(turn) {
		return slotAcquired // the slot was handed over concurrently
	}
	return result
}

// dequeue removes turn from the queue; it returns false if turn is no longer queued.
func (s *slots) dequeue(turn chan struct{}) bool {
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

// release hands the slot to the first waiting request, or frees it.
func (s *slots) release() {
	defer s.onChange()
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
