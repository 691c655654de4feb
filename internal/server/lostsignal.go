package server

import (
	"sync"

	"gypsumstand/internal/model"
)

// UnreachableSignal tells attempts that their owner was found out of reach, so that those
// whose requests may be repeated are also made elsewhere. The attempt itself goes on:
// an owner that answers no probe may be a slow machine whose worker is at work. The
// zero value is ready; it is safe for concurrent use.
type UnreachableSignal struct {
	mu sync.Mutex
	// waiting has an entry for each owner with attempts.
	waiting map[model.InstanceID]*lostWait
}

// lostWait is what the attempts at one owner wait for.
type lostWait struct {
	lost chan struct{}
	// attempts counts those that wait.
	attempts int
}

// wait returns a channel that is closed when the owner is lost, and what ends the wait.
func (s *UnreachableSignal) wait(owner model.InstanceID) (lost <-chan struct{}, end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := s.waiting[owner]
	if w == nil {
		w = &lostWait{lost: make(chan struct{})}
		if s.waiting == nil {
			s.waiting = map[model.InstanceID]*lostWait{}
		}
		s.waiting[owner] = w
	}
	w.attempts++
	return w.lost, func() { s.end(owner, w) }
}

func (s *UnreachableSignal) end(owner model.InstanceID, w *lostWait) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.attempts--
	if w.attempts == 0 && s.waiting[owner] == w {
		delete(s.waiting, owner)
	}
}

// Unreachable tells the attempts at an owner. It does not block.
func (s *UnreachableSignal) Raise(owner model.InstanceID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w := s.waiting[owner]; w != nil {
		close(w.lost)
		delete(s.waiting, owner)
	}
}
