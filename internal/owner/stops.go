package owner

import (
	"time"

	"gypsumstand/internal/model"
)

// admissionStop is an external reason to admit nothing, besides the worker's own state.
type admissionStop struct {
	active bool
	since  time.Duration
}

func (s *admissionStop) set(t time.Duration, active bool) {
	if active && !s.active {
		s.since = t
	}
	s.active = active
}

// activeFor reports whether the stop has been active for at least the given time.
func (s *admissionStop) activeFor(t, atLeast time.Duration) bool {
	return s.active && t-s.since >= atLeast
}

// SetWithdrawn sets whether the platform's list, as the fleet's view holds it, has this
// upstream as leaving. While it does, no new attempt is admitted, as other nodes may hold
// an older view. Unlike the worker's own state (SetState), the list may change back,
// under a greater incarnation. Tick refuses queued attempts after withdrawnQueue.
func (o *Owner) SetWithdrawn(now time.Time, withdrawn bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawn.set(o.clock(now), withdrawn)
}

// SetWorker sets the id of the worker that is listed; empty for none.
func (o *Owner) SetWorker(now time.Time, id model.WorkerID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.worker = id
	o.updateAnnounced(o.clock(now))
}

// ObserveLeaving records that a worker said itself that it is leaving, and reports whether
// that was not known. No attempt is admitted for that worker any more, and Tick refuses
// queued ones after withdrawnQueue. Where workers have no ids, it holds for good.
func (o *Owner) ObserveLeaving(now time.Time, worker model.WorkerID) (first bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.announced.active {
		// A late response of an earlier worker must not hide that this one leaves.
		return false
	}
	o.announcedWorker, o.hasAnnounced = worker, true
	o.updateAnnounced(o.clock(now))
	return o.announced.active
}

// updateAnnounced stops admission while the listed worker is the one that said that it is
// leaving.
func (o *Owner) updateAnnounced(t time.Duration) {
	o.announced.set(t, o.hasAnnounced && o.announcedWorker == o.worker)
}

// SetUnlisted sets whether this node's own worker is missing from the directory that
// names all workers. Until it is listed, nothing is admitted, and Tick refuses queued
// attempts after withdrawnQueue.
func (o *Owner) SetUnlisted(now time.Time, unlisted bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unlisted.set(o.clock(now), unlisted)
}

// evacuatedQueue is how long attempts that were queued before the evacuation of the own
// data centre may still start. The worker goes on meanwhile, and the other workers of its
// service have much to take over. The delay of the announcement and this time together
// stay far below the five seconds within which an evacuation has to be in force.
const evacuatedQueue = time.Second

// SetEvacuated sets whether nothing may be sent to the workers of the own data centre.
// While it is set nothing is admitted, and Tick refuses queued attempts after
// evacuatedQueue.
func (o *Owner) SetEvacuated(now time.Time, evacuated bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuated.set(o.clock(now), evacuated)
}

// refuseEvacuated is the refusal of an attempt while the own data centre is evacuated.
// The end of the evacuation is unknown, so its Retry-After is retryNotReady.
func refuseEvacuated() model.Refusal {
	return model.Refusal{Reason: model.ReasonEvacuated, NotRun: true, RetryAfter: retryNotReady}
}

// withdrawnQueue is how long attempts that were queued before the worker was withdrawn,
// left or became unlisted may still start. Work may reach a worker for 2 s after it left,
// and the update takes up to 1.5 s (package directory); of the rest, 100 ms are kept for
// the path to the worker and 100 ms for a late tick. Refused attempts are placed
// elsewhere at once.
const withdrawnQueue = 300 * time.Millisecond

// refuseStopped refuses queued attempts of a worker that has taken no new work for
// withdrawnQueue, or for evacuatedQueue while its data centre is evacuated.
func (o *Owner) refuseStopped(t time.Duration) {
	if o.queue.length == 0 {
		return
	}
	switch {
	case o.state >= model.StateLeaving && t-o.leavingAt >= withdrawnQueue:
		o.refuseAllQueued(t, notRunRefusal(model.ReasonLeaving))
	case o.withdrawn.activeFor(t, withdrawnQueue), o.announced.activeFor(t, withdrawnQueue):
		o.refuseAllQueued(t, notRunRefusal(model.ReasonLeaving))
	case o.unlisted.activeFor(t, withdrawnQueue):
		o.refuseAllQueued(t, notRunRefusal(model.ReasonNotReady))
	case o.evacuated.activeFor(t, evacuatedQueue):
		o.refuseAllQueued(t, refuseEvacuated())
	}
}
