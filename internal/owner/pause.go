package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// Effects of a pause of the process.
const (
	// pauseBlock is how long nothing is started or admitted after a pause, unless a Tick
	// shows earlier that the process runs.
	pauseBlock = 250 * time.Millisecond
	// pauseRecent is how long attempts without a stamp are refused after a pause: they
	// may have waited in a socket buffer for as long as the pause lasted.
	pauseRecent = 500 * time.Millisecond
)

// pauseState tracks pauses of the process.
type pauseState struct {
	// count is the number of pauses so far.
	count        uint64
	blockedUntil time.Duration
	recentUntil  time.Duration
}

// blocked reports whether nothing may start yet.
func (p *pauseState) blocked(t time.Duration) bool { return t < p.blockedUntil }

// recent reports whether messages of unknown age may still arrive.
func (p *pauseState) recent(t time.Duration) bool { return t < p.recentUntil }

// unblock allows starts again, as a Tick shows that the process runs.
func (p *pauseState) unblock() { p.blockedUntil = 0 }

// ProcessPaused records that the process had been stopped for d. Queued attempts are
// checked again before anything starts: nothing starts and nothing is admitted until the
// next Tick, or for pauseBlock.
func (o *Owner) ProcessPaused(now time.Time, d time.Duration) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.pause.count++
	o.pause.blockedUntil = t + pauseBlock
	o.pause.recentUntil = t + pauseRecent
	o.expireQueued(t)
	late := o.queue.filter(func(p *pendingAttempt) bool { return p.deadline-t < p.class.expected() })
	for _, p := range late {
		o.refuseQueued(t, p, model.Refusal{Reason: model.ReasonPaused, NotRun: true, RetryAfter: retryPaused})
	}
	return o.takeDecisions()
}
