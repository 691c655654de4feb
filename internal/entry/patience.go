package entry

import (
	"sync"
	"time"

	"gypsumstand/internal/bundle"
)

// Callers that were refused come back with what is left of their time, and their wait
// counts from their first sending. A return is known by its shorter timeout, where most
// callers of a class send about the same. Served as if they had just come, returns
// fill the queue with answers that are late for their callers: under a burst of 2 times
// the room answers within the objective fell from 0.53 to 0.48 of the lookups' worth.
const (
	// patienceSamples is the number of sendings over which the usual timeout's share is
	// smoothed.
	patienceSamples = 32
	// patienceShare is the share of sendings that must have the usual timeout for a
	// shorter one to be taken for a return: with one return each, and all refused, a
	// half still has it. Where callers choose their timeouts freely few have any one.
	patienceShare = 0.25
	// patienceSame is the part of the greatest timeout by which a usual one may be less.
	// A return has waited for a refusal, its advice and two ways, which is mostly more.
	patienceSame = 0.2
	// patienceMemory is the time after which a usual timeout that nobody sends any more
	// is given up: a new release of a caller.
	patienceMemory = 5 * time.Second
)

// patience knows the timeout that most callers of a class send. Safe for concurrent use.
type patience struct {
	mu sync.Mutex
	// greatest is the greatest timeout that was sent of late, seen when one like it was
	// sent last.
	greatest time.Duration
	seen     time.Time
	// usual is the smoothed mean of those like it, in nanoseconds, share the smoothed
	// share of sendings that had one.
	usual, share float64
}

// note takes the timeout of a sending and returns for how long its caller is believed
// to have waited before.
func (p *patience) note(now time.Time, timeout time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.seen) > patienceMemory || float64(timeout) > (1+patienceSame)*float64(p.greatest) {
		p.greatest, p.usual, p.share = 0, float64(timeout), 0
	}
	p.greatest = max(p.greatest, timeout)
	if float64(timeout) >= (1-patienceSame)*float64(p.greatest) {
		p.seen = now
		p.usual += (float64(timeout) - p.usual) / patienceSamples
		p.share += (1 - p.share) / patienceSamples
		return 0
	}
	p.share -= p.share / patienceSamples
	if p.share < patienceShare {
		return 0
	}
	return max(time.Duration(p.usual)-timeout, 0)
}

// patienceOf returns what is known of the callers of a class.
func (e *Engine) patienceOf(t *bundle.Target) *patience {
	key := paceKey{t.Service.Name, t.Class.Name}
	return e.patiences.of(key, func() *patience { return &patience{} })
}
