package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// After a pause of the process.
const (
	// pauseDoubt is how long nothing is started or admitted after a pause unless
	// a Tick shows earlier that the process runs.
	pauseDoubt = 250 * time.Millisecond
	// pauseRecent is how long attempts without a stamp are refused after a pause:
	// they may have waited in a socket buffer for as long as the pause lasted.
	pauseRecent = 500 * time.Millisecond
)

// pauseState is what is known of pauses of the process.
type pauseState struct {
	// count is the number of pauses so far.
	count       uint64
	doubtUntil  time.Duration
	recentUntil time.Duration
}

// doubted tells whether nothing may start yet.
func (p *pauseState) doubted(t time.Duration) bool { return t < p.doubtUntil }

// recent tells whether messages of unknown age may still arrive.
func (p *pauseState) recent(t time.Duration) bool { return t < p.recentUntil }

// refresh ends the doubt: timers run again.
func (p *pauseState) refresh() { p.doubtUntil = 0 }

// ProcessPaused says that the process had been stopped for d: all attempts that wait
// are judged anew before anything starts. Nothing starts and nothing is admitted
// until the next Tick, or for pauseDoubt.
func (o *Owner) ProcessPaused(now time.Time, d time.Duration) []Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	t := o.clock(now)
	o.pause.count++
	o.pause.doubtUntil = t + pauseDoubt
	o.pause.recentUntil = t + pauseRecent
	o.expire(t)
	late := o.queue.where(func(it *item) bool { return it.deadline-t < it.class.expected() })
	for _, it := range late {
		o.turnAway(t, it, model.Refusal{Reason: model.ReasonPaused, NotRun: true, RetryAfter: retryPaused})
	}
	return o.take()
}
