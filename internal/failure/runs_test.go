package failure

import (
	"sync"

	"gypsumstand/internal/model"
)

// runCounts counts runs by request id, for workers that the tests implement. It is safe
// for concurrent use.
type runCounts struct {
	mu   sync.Mutex
	runs map[model.RequestID]int
}

// rawRuns counts the runs of rawWorker.
var rawRuns runCounts

func (c *runCounts) add(id model.RequestID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runs == nil {
		c.runs = map[model.RequestID]int{}
	}
	c.runs[id]++
}

func (c *runCounts) count(id model.RequestID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}
