package owner

import "time"

// expiring is a key with the time on the owner's clock at which it expires.
type expiring[K any] struct {
	until time.Duration
	key   K
}

// expiryHeap is a binary heap with the earliest time first.
type expiryHeap[K any] []expiring[K]

// push adds a key.
func (h *expiryHeap[K]) push(until time.Duration, key K) {
	s := append(*h, expiring[K]{until, key})
	i := len(s) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if s[parent].until <= s[i].until {
			break
		}
		s[parent], s[i] = s[i], s[parent]
		i = parent
	}
	*h = s
}

// pop removes and returns the earliest key; the heap must not be empty.
func (h *expiryHeap[K]) pop() expiring[K] {
	s := *h
	first := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s[last] = expiring[K]{}
	s = s[:last]
	s.siftDown()
	*h = s
	return first
}

// siftDown moves the root down to its place.
func (h expiryHeap[K]) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].until < h[child].until {
			child++
		}
		if h[i].until <= h[child].until {
			return
		}
		h[i], h[child] = h[child], h[i]
		i = child
	}
}
