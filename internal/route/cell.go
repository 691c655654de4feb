package route

import (
	"sync/atomic"
	"time"

	"gypsumstand/internal/model"
)

const (
	// keptSendTimes is how many of the latest own send times a cell keeps, to know which
	// attempts a report cannot include yet.
	keptSendTimes = 16
	// maxDriftInverse is the inverse of the greatest drift between two clocks: 1/5000 = 200
	// ppm.
	maxDriftInverse = 5000
	// failureGain is the weight of one result in the smoothed failure rate.
	failureGain = 1.0 / 8
	// pathGain is the weight of one result in the smoothed path excess.
	pathGain = 1.0 / 16
	// maxPathExcess bounds what one result adds to the path excess, in mean service times,
	// as a single late response proves little.
	maxPathExcess = 4
	// refusalReportWindow is the time after a refusal within which a report may be the one
	// that came with it.
	refusalReportWindow = int64(time.Millisecond)
	// absentOwnerBackOff is the back-off from an instance whose address refuses connections;
	// the membership protocol removes it from the fleet later.
	absentOwnerBackOff = time.Second
	// maxFailureForServiceTime is the failure rate, in thousandths, above which a worker's
	// service time does not count in its service's mean.
	maxFailureForServiceTime = 500
)

// cell is what this node knows about one incarnation of an upstream. Times are
// picker.nanos. The fields are read separately, without a lock: a reader may see fields of
// two moments, which an estimate tolerates.
type cell struct {
	lastReport atomic.Pointer[receivedReport]
	// fleetIncarnation is the incarnation in the fleet's view, zero when it knows none.
	fleetIncarnation atomic.Uint64
	// fleetState is the state in the fleet's view, fleetStateAt when it changed to that.
	fleetState   atomic.Uint32
	fleetStateAt atomic.Int64
	inFlight     atomic.Int64
	// sent counts own sends; sentAt holds the times of the latest ones.
	sent   atomic.Uint64
	sentAt [keptSendTimes]atomic.Int64
	// silentSince is the last time at which a report was received, an attempt ended, or an
	// attempt was sent while none was in flight.
	silentSince atomic.Int64
	// backOffUntil is when a refusal's RetryAfter ends, refusedAt when the refusal was
	// received.
	backOffUntil atomic.Int64
	refusedAt    atomic.Int64
	// leavingIn is the incarnation (as a leavingKey) whose owner refused as leaving, leavingAt
	// when it did so last.
	leavingIn atomic.Uint64
	leavingAt atomic.Int64
	// leavingWorker is the worker that has said itself that it is leaving; nil if none has.
	leavingWorker atomic.Pointer[model.WorkerID]
	// unreachableUntil is the time up to which the owner counts as unreachable, zero if it
	// doesn't.
	unreachableUntil atomic.Int64
	// warmingUntil is the time up to which the worker is known to be warming, zero if it
	// isn't; nextTurnAt is when this entry may next choose it meanwhile.
	warmingUntil, nextTurnAt atomic.Int64
	failureRate              decaying
	// pathExcess is the network time above the link's usual one, in nanoseconds.
	pathExcess decaying
	// polledLoad is used by the baseline PolicyPolledTwoChoices only.
	polledLoad atomic.Int64
}

func newCell(inc model.Incarnation) *cell {
	c := &cell{}
	c.fleetIncarnation.Store(uint64(inc))
	return c
}

// incarnation returns the newest known incarnation, zero when none is known.
func (c *cell) incarnation() model.Incarnation {
	inc := model.Incarnation(c.fleetIncarnation.Load())
	if last := c.lastReport.Load(); last != nil {
		inc = max(inc, last.report.Incarnation)
	}
	return inc
}

// raiseIncarnation takes over the fleet's incarnation if it is newer. Only Update calls it.
func (c *cell) raiseIncarnation(inc model.Incarnation) {
	if uint64(inc) > c.fleetIncarnation.Load() {
		c.fleetIncarnation.Store(uint64(inc))
	}
}

// setFleetState takes over the state in the fleet's view.
func (c *cell) setFleetState(now int64, s model.UpstreamState) {
	if c.fleetStateAt.Load() != 0 && c.fleetState.Load() == uint32(s) {
		return
	}
	c.fleetState.Store(uint32(s))
	c.fleetStateAt.Store(now)
	c.clearBackOff(now)
}

// countSend counts the start of an attempt.
func (c *cell) countSend(now int64) {
	if c.inFlight.Add(1) == 1 {
		c.silentSince.Store(now)
	}
	n := c.sent.Add(1)
	c.sentAt[n%keptSendTimes].Store(now)
}

// countEnd counts the end of an attempt. The attempt may have started at the cell of another
// incarnation, so the count stops at zero.
func (c *cell) countEnd(now int64) {
	c.silentSince.Store(now)
	for {
		n := c.inFlight.Load()
		if n <= 0 || c.inFlight.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// sentAfter returns the number of own sends after a time, at most keptSendTimes.
func (c *cell) sentAfter(at int64) uint64 {
	n := c.sent.Load()
	count := uint64(0)
	for count < min(n, keptSendTimes) && c.sentAt[(n-count)%keptSendTimes].Load() > at {
		count++
	}
	return count
}

// sendsNotCounted returns the number of own attempts in flight that last does not include.
func (c *cell) sendsNotCounted(last *receivedReport) int64 {
	n := int64(c.sent.Load() - last.countedSends)
	return max(0, min(n, c.inFlight.Load()))
}

// workerLeaving reports whether the upstream's worker has said itself that it is leaving.
// That is final for the worker, unlike an owner's announcement, after which its node may
// start again beside the same worker.
func (u *upstream) workerLeaving() bool {
	id := u.cell.leavingWorker.Load()
	return id != nil && *id == u.instance.Worker
}

// reportedLeaving reports whether the owner itself announced that it is leaving or gone,
// within ttl before now, or ever if ttl is zero.
func (c *cell) reportedLeaving(now, ttl int64) bool {
	last := c.lastReport.Load()
	if last != nil && last.report.State >= model.StateLeaving && (ttl == 0 || now-last.receivedAt < ttl) {
		return true
	}
	in := c.leavingIn.Load()
	if in == 0 || in != leavingKey(c.incarnation()) {
		return false
	}
	return ttl == 0 || now-c.leavingAt.Load() < ttl
}

// leavingKey distinguishes an unknown incarnation from zero, which means no refusal.
func leavingKey(inc model.Incarnation) uint64 { return uint64(inc) + 1 }

// observe takes over a report; it returns false for one that is not newer. final reports that
// leaving is final within an incarnation, as it is where worker and node restart together.
func (u *upstream) observe(now int64, r *model.LoadReport, final bool) (accepted bool) {
	c := u.cell
	if r.Incarnation < model.Incarnation(c.fleetIncarnation.Load()) {
		return false
	}
	covered := c.sent.Load() - c.sentAfter(now-u.link.roundTrip())
	for {
		last := c.lastReport.Load()
		if last == retiredReport || (last != nil && !isNewer(r, &last.report)) {
			return false
		}
		next := &receivedReport{report: *r, receivedAt: now, countedSends: covered}
		if final {
			next.report.State = nextState(last, r)
		}
		if !c.lastReport.CompareAndSwap(last, next) {
			continue
		}
		u.service.stats.replace(last, next)
		if last != nil && r.Incarnation > last.report.Incarnation {
			c.resetLearned()
		}
		c.silentSince.Store(now)
		c.clearBackOff(now)
		if r.LeavingWorker != "" {
			c.leavingWorker.Store(&next.report.LeavingWorker)
		}
		return true
	}
}

// nextState returns the state after report r; leaving is final within an incarnation.
func nextState(last *receivedReport, r *model.LoadReport) model.UpstreamState {
	if last == nil || last.report.Incarnation != r.Incarnation || last.report.State < model.StateLeaving {
		return r.State
	}
	return max(r.State, last.report.State)
}

// isNewer orders two reports of one owner.
func isNewer(r, last *model.LoadReport) bool {
	if r.Incarnation != last.Incarnation {
		return r.Incarnation > last.Incarnation
	}
	return r.Clock > last.Clock
}

// resetLearned drops what was learned about an earlier incarnation, except the attempts in
// flight.
func (c *cell) resetLearned() {
	c.backOffUntil.Store(0)
	c.failureRate.reset()
	c.pathExcess.reset()
}

// retire takes a cell's last report out of its service's statistics and rejects later
// reports.
func (u *upstream) retire() {
	last := u.cell.lastReport.Swap(retiredReport)
	u.service.stats.replace(last, nil)
}

// addResult learns from the result of an own attempt.
func (u *upstream) addResult(now int64, r *Result) {
	c := u.cell
	if r.Refused != model.ReasonNone {
		u.addRefusal(now, r)
		return
	}
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	c.failureRate.add(now, failed, failureGain, failureDecay)
	if !r.Failed {
		u.addPathSample(now, r)
		u.link.addSample(now, int64(r.Latency-r.OwnerTime))
	}
}

func (u *upstream) addRefusal(now int64, r *Result) {
	c := u.cell
	if r.Refused == model.ReasonOwnerAbsent {
		c.refusedAt.Store(now)
		c.backOffUntil.Store(now + int64(absentOwnerBackOff))
		return
	}
	if r.RetryAfter > 0 && concernsUpstream(r.Refused) {
		c.refusedAt.Store(now)
		c.backOffUntil.Store(now + int64(min(r.RetryAfter, maxBackOff)))
	}
	if r.Refused == model.ReasonLeaving {
		c.refusedAt.Store(now)
		c.leavingAt.Store(now)
		c.leavingIn.Store(leavingKey(c.incarnation()))
	}
	u.link.addSample(now, int64(r.Latency-r.OwnerTime))
}

// concernsUpstream reports whether the reason of a refusal concerns the upstream, not the
// request or its tenant.
func concernsUpstream(r model.Reason) bool {
	switch r {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonLeaving,
		model.ReasonNotReady, model.ReasonWorkerUnreachable,
		model.ReasonWorkerShed, model.ReasonWorkerReplaced, model.ReasonPaused, model.ReasonBusy, model.ReasonEvacuated:
		return true
	}
	return false
}

// clearBackOff ends the back-off when a report or state newer than the refusal is received,
// as the estimate then uses that one's load.
func (c *cell) clearBackOff(now int64) {
	if c.backOffUntil.Load() != 0 && now-c.refusedAt.Load() > refusalReportWindow {
		c.backOffUntil.Store(0)
	}
}

// addPathSample smooths the network time above the link's usual one. If the owner did not
// report how long the attempt was there, the service time and the wait by its last report
// are used.
func (u *upstream) addPathSample(now int64, r *Result) {
	last := u.cell.lastReport.Load()
	held := float64(r.OwnerTime)
	if held <= 0 {
		if last == nil || last == retiredReport {
			return
		}
		held = last.expectedOwnerTime()
	}
	excess := float64(r.Latency) - held - float64(u.link.roundTrip())
	if _, meanService, ok := u.service.stats.means(); ok {
		excess = min(excess, maxPathExcess*meanService)
	}
	u.cell.pathExcess.add(now, excess, pathGain, pathDecay)
}
