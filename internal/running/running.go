// Package running holds the attempts that run at a node's own worker, by which the node
// recognises the calls that the worker makes for them. It does no I/O and takes the time as
// an argument. Design: docs/design/hard-load.md, part 3.
package running

import (
	"maps"
	"sync"
	"time"

	"gypsumstand/internal/model"
)

// Run is one attempt that runs at the own worker.
type Run struct {
	Attempt model.AttemptID
	// Request is the id that the worker was given with the request.
	Request model.RequestID
	Class   model.ClassName
	// Inherited is the priority, plus one, that the attempt inherited itself; zero for the
	// priority of its class.
	Inherited uint16
	// Deadline is the time at which the run is given up.
	Deadline time.Time
}

// Set holds the current runs. It is safe for concurrent use. The zero value is empty.
type Set struct {
	mu        sync.Mutex
	byAttempt map[model.AttemptID]*entry
	// byRequest holds the latest run of each request id. Callers that do not know each other
	// may choose the same id; calls of the earlier run are then not recognised.
	byRequest map[model.RequestID]*entry
	// callRefused counts the runs by class that RecordCallRefused was called for.
	callRefused map[model.ClassName]uint64
}

// entry is a Run with what is known about its calls.
type entry struct {
	Run
	// openCalls counts the calls that have not ended, unserved those that ended without a
	// response.
	openCalls, unserved int
}

// Add adds a run that starts now. A run of the same attempt replaces an earlier one.
func (s *Set) Add(r Run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAttempt == nil {
		s.byAttempt = map[model.AttemptID]*entry{}
		s.byRequest = map[model.RequestID]*entry{}
	}
	s.remove(r.Attempt)
	e := &entry{Run: r}
	s.byAttempt[r.Attempt] = e
	if r.Request != "" {
		s.byRequest[r.Request] = e
	}
}

// Remove removes a run that has ended. unserved reports whether a call of the run ended
// without a response, or had none when the run ended: a worker may give up a call and
// respond before this node has seen that the call's connection was closed. ok is false if
// the set has no such run.
func (s *Set) Remove(id model.AttemptID) (r Run, unserved, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.remove(id)
	if e == nil {
		return Run{}, false, false
	}
	return e.Run, e.unserved > 0 || e.openCalls > 0, true
}

func (s *Set) remove(id model.AttemptID) *entry {
	e := s.byAttempt[id]
	if e == nil {
		return nil
	}
	delete(s.byAttempt, id)
	if s.byRequest[e.Request] == e {
		delete(s.byRequest, e.Request)
	}
	return e
}

// Hint names the run for which a call is made, by its attempt or by its request.
type Hint struct {
	Attempt model.AttemptID
	Request model.RequestID
}

// IsZero reports whether there is no hint.
func (h Hint) IsZero() bool { return h == Hint{} }

// BeginCall returns the run that h names and records that it has one more call. It returns
// nil if no such run is at the worker, or if its deadline has passed at time now.
func (s *Set) BeginCall(now time.Time, h Hint) *Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.find(h)
	if e == nil || !now.Before(e.Deadline) {
		return nil
	}
	e.openCalls++
	return &Call{set: s, parent: e}
}

func (s *Set) find(h Hint) *entry {
	if !h.Attempt.IsZero() {
		return s.byAttempt[h.Attempt]
	}
	return s.byRequest[h.Request]
}

// Len returns the number of runs.
func (s *Set) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.byAttempt)
}

// RecordCallRefused counts a run of a class that failed after a call of it got no response.
func (s *Set) RecordCallRefused(c model.ClassName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callRefused == nil {
		s.callRefused = map[model.ClassName]uint64{}
	}
	s.callRefused[c]++
}

// CallRefused returns the counts of RecordCallRefused.
func (s *Set) CallRefused() map[model.ClassName]uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.callRefused)
}

// Call is a call that the worker makes for a run.
type Call struct {
	set    *Set
	parent *entry
	ended  bool
}

// Parent returns the run for which the call is made.
func (c *Call) Parent() Run { return c.parent.Run }

// End records the call's end before the worker is told of it. served is false if the call
// was refused for load or got no response. Only the first call has an effect; c may be nil.
func (c *Call) End(served bool) {
	if c == nil {
		return
	}
	c.set.mu.Lock()
	defer c.set.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.parent.openCalls--
	if !served {
		c.parent.unserved++
	}
}
