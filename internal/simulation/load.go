package simulation

import (
	"time"
)

// arrivals starts a Poisson stream of calls at a rate per second until a time.
func (s *sim) arrivals(rate float64, until time.Duration, entry func() *entryNode) {
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	if s.now+gap > until {
		return
	}
	s.after(gap, func() {
		entry().call(s.now, nil)
		s.arrivals(rate, until, entry)
	})
}

// bursts adds bursts of a rate, each at one entry node.
func (s *sim) bursts(rate float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/burstsPerSecond*float64(time.Second)), func() {
		e := s.anyEntry()
		length := 5*time.Millisecond + time.Duration(s.rng.Int64N(int64(15*time.Millisecond)))
		s.arrivals(rate, min(runLength, s.now+length), func() *entryNode { return e })
		s.bursts(rate)
	})
}

// anyEntry draws an entry node.
func (s *sim) anyEntry() *entryNode { return s.entries[s.rng.IntN(len(s.entries))] }
