package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// ban is a reason from outside, besides the worker's own life stage, to admit nothing.
type ban struct {
	holds bool
	since time.Duration
}

func (b *ban) set(t time.Duration, holds bool) {
	if holds && !b.holds {
		b.since = t
	}
	b.holds = holds
}

// heldFor tells whether it has held for a time.
func (b *ban) heldFor(t, atLeast time.Duration) bool { return b.holds && t-b.since >= atLeast }

// SetWithdrawn says whether the platform's list, as the fleet's view holds it, has
// this upstream as leaving: as long as it does, no new attempt is admitted, as
// others may hold an older view. Unlike the own word (SetState), the list's may be
// taken back, under a greater incarnation.
// What waits is turned away after withdrawnQueue, by Tick.
func (o *Owner) SetWithdrawn(now time.Time, leaving bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawn.set(o.clock(now), leaving)
}

// SetUnlisted says whether the directory that names all workers lacks this node's own
// one: until it is listed, nothing is admitted, and what waits is turned away as
// after Withdraw.
func (o *Owner) SetUnlisted(now time.Time, unlisted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unlisted.set(o.clock(now), unlisted)
}

// evacuatedQueue is how long what was queued before the evacuation of the own data centre may
// still start. The worker goes on meanwhile, and the others of its service have much to take
// over; news and queue together stay far under the five seconds within which an evacuation
// has to be in force.
const evacuatedQueue = time.Second

// SetEvacuated says whether nothing is to be sent to the workers of the own data centre: as long
// as that holds nothing is admitted. What waits is turned away after evacuatedQueue, by Tick.
func (o *Owner) SetEvacuated(now time.Time, evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated.set(o.clock(now), evacuated)
}

// refuseEvacuated is the refusal of an attempt while the own data centre is evacuated: until
// when nobody knows.
func refuseEvacuated() model.Refusal {
	return model.Refusal{Reason: model.ReasonEvacuated, NotRun: true, RetryAfter: retryNotReady}
}

// withdrawnQueue is how long what was queued before the worker was withdrawn may
// still start. Work may reach a worker for 2 s after it left, and the news takes up to
// 1.5 s (package directory); a tenth of a second is kept for the way to the worker and
// one for a tick that comes late. What is turned away is placed elsewhere at once.
const withdrawnQueue = 300 * time.Millisecond

// refuseWithdrawn turns away what waits for a worker that takes no new work.
func (o *Owner) refuseWithdrawn(t time.Duration) {
	if o.queue.length == 0 {
		return
	}
	switch {
	case o.state >= model.StateLeaving && t-o.leavingAt >= withdrawnQueue:
		o.turnAwayAll(t, notRun(model.ReasonLeaving))
	case o.withdrawn.heldFor(t, withdrawnQueue):
		o.turnAwayAll(t, notRun(model.ReasonLeaving))
	case o.unlisted.heldFor(t, withdrawnQueue):
		o.turnAwayAll(t, notRun(model.ReasonNotReady))
	case o.evacuated.heldFor(t, evacuatedQueue):
		o.turnAwayAll(t, refuseEvacuated())
	}
}
