package server

import (
	"sync"

	"gypsumstand/internal/model"
)

// UnreachableSignal notifies attempts that their owner has become unreachable, so that
// those of idempotent requests are hedged. The attempt itself continues: an owner that
// does not reply to a probe may be a slow machine whose worker is running the request.
// The zero value is ready for use; it is safe for concurrent use.
type UnreachableSignal struct {
	mu sync.Mutex
	// waiting has an entry for each owner with waiting attempts.
	waiting map[model.InstanceID]*ownerWaiters
}

// ownerWaiters are the attempts that wait for a signal about one owner.
type ownerWaiters struct {
	unreachable chan struct{}
	// attempts is the number of waiting attempts.
	attempts int
}

// wait returns a channel that is closed when the owner becomes unreachable, and a
// function that ends the wait.
func (s *UnreachableSignal) wait(owner model.InstanceID) (unreachable <-chan struct{}, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waiting[owner]
	if w == nil {
		w = &ownerWaiters{unreachable: make(chan struct{})}
		if s.waiting == nil {
			s.waiting = map[model.InstanceID]*ownerWaiters{}
		}
		s.waiting[owner] = w
	}
	w.attempts++
	return w.unreachable, func() { s.end(owner, w) }
}

func (s *UnreachableSignal) end(owner model.InstanceID, w *ownerWaiters) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.attempts--
	if w.attempts == 0 && s.waiting[owner] == w {
		delete(s.waiting, owner)
	}
}

// Raise notifies the attempts at an owner. It does not block.
func (s *UnreachableSignal) Raise(owner model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiting[owner]; w != nil {
		close(w.unreachable)
		delete(s.waiting, owner)
	}
}
