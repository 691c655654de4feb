package simulation

import (
	"time"
)

// arrivals schedules Poisson calls, rate per second, until a time of the run. entry
// selects the node that receives a call.
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

// bursts schedules bursts of the given rate; each burst arrives at one entry node.
func (s *sim) bursts(rate float64) {
	s.after(time.Duration(s.rng.ExpFloat64()/burstsPerSecond*float64(time.Second)), func() {
		e := s.randomEntry()
		length := 5*time.Millisecond + time.Duration(s.rng.Int64N(int64(15*time.Millisecond)))
		s.arrivals(rate, min(runLength, s.now+length), func() *entryNode { return e })
		s.bursts(rate)
	})
}

// randomEntry returns a random entry node.
func (s *sim) randomEntry() *entryNode { return s.entries[s.rng.IntN(len(s.entries))] }
