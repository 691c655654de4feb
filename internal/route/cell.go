package route

import (
	"math"
	"sync/atomic"
	"time"

	"gypsumstand/internal/model"
)

const (
	// sendTimes is how many of the last own send times a cell keeps, to tell
	// which attempts a report could not have counted yet.
	sendTimes = 16
	// driftDivisor bounds the drift of two clocks against each other:
	// 1/5000 = 200 ppm.
	driftDivisor = 5000
	// failureGain is the weight of one result in the smoothed failure rate.
	failureGain = 1.0 / 8
	// pathGain is the weight of one result in the smoothed time of the way.
	pathGain = 1.0 / 16
	// maxExcess bounds one result's part in it, in mean service times: one late
	// answer says little.
	maxExcess = 4
	// sameAnswer is the time within which a report may be the one that rode on a
	// refusal.
	sameAnswer = int64(time.Millisecond)
	// absentBackOff is how long an instance whose address refuses connections is
	// not worth another try while there are others; membership takes it out.
	absentBackOff = time.Second
	// mostlyFailing is the failure rate in thousandths above which a worker's
	// service time says nothing of its service's.
	mostlyFailing = 500
)

// heard is the last report of an upstream; immutable.
type heard struct {
	report model.LoadReport
	// at is when it was heard.
	at int64
	// covered is the number of own sends that it counts.
	covered uint64
}

// retired marks the cell of an upstream that no picker holds.
var retired = &heard{}

// ownerClock returns the lower bound of the owner's clock at time now.
func (h *heard) ownerClock(now int64) time.Duration {
	if h == retired {
		return 0
	}
	passed := max(0, now-h.at)
	allowance := (passed + driftDivisor - 1) / driftDivisor
	return h.report.Clock + time.Duration(passed-allowance)
}

// contribution returns what a report adds to its service's statistics.
func (h *heard) contribution() (reports, utilisation, serviceTime int64) {
	if h == nil || h == retired || h.report.State != model.StateLive || h.report.Limit == 0 {
		return 0, 0, 0
	}
	if h.report.FailureRate > mostlyFailing || h.report.ServiceTime <= 0 {
		return 0, 0, 0
	}
	load := int64(h.report.InFlight) + int64(h.report.Queued)
	return 1, load * fixedPoint / int64(h.report.Limit), int64(h.report.ServiceTime)
}

// cell is what this node knows of one life of one upstream. Times are
// picker.nanos. Its parts are read one by one, without a lock: a reader may see
// parts of two moments, which an estimate bears.
type cell struct {
	heard atomic.Pointer[heard]
	// fleetIncarnation is the fleet's, zero when it knows none.
	fleetIncarnation atomic.Uint64
	// fleetState is the fleet's, and since when.
	fleetState   atomic.Uint32
	fleetStateAt atomic.Int64
	inFlight     atomic.Int64
	// sent counts own sends; sentAt holds the times of the last ones.
	sent   atomic.Uint64
	sentAt [sendTimes]atomic.Int64
	// silentSince is when the upstream was last heard, or when the oldest
	// attempt since then was sent.
	silentSince atomic.Int64
	// backOffUntil is when a refusal's RetryAfter ends, refusedAt when the
	// refusal came.
	backOffUntil atomic.Int64
	refusedAt    atomic.Int64
	// leavingIn is the incarnation whose owner refused as leaving.
	leavingIn atomic.Uint64
	// unreachedUntil is until when the owner counts as out of reach, zero while it
	// does not.
	unreachedUntil atomic.Int64
	// warmingUntil is until when the worker is known to be warming, and turnAt when this
	// entry's next turn at it comes meanwhile; zero for never.
	warmingUntil, turnAt atomic.Int64
	failure              decaying
	// path is the time of the way beyond the link's usual one, in nanoseconds.
	path decaying
	// polledLoad is for the baseline PolicyPolledTwoChoices only.
	polledLoad atomic.Int64
}

func newCell(inc model.Incarnation) *cell {
	c := &cell{}
	c.fleetIncarnation.Store(uint64(inc))
	return c
}

// incarnation returns the newest known one, zero when none is.
func (c *cell) incarnation() model.Incarnation {
	inc := model.Incarnation(c.fleetIncarnation.Load())
	if h := c.heard.Load(); h != nil {
		inc = max(inc, h.report.Incarnation)
	}
	return inc
}

// raiseIncarnation takes the fleet's word; an older one is ignored. Called by
// Update only.
func (c *cell) raiseIncarnation(inc model.Incarnation) {
	if uint64(inc) > c.fleetIncarnation.Load() {
		c.fleetIncarnation.Store(uint64(inc))
	}
}

// setFleetState notes the fleet's word.
func (c *cell) setFleetState(now int64, s model.UpstreamState) {
	if c.fleetStateAt.Load() != 0 && c.fleetState.Load() == uint32(s) {
		return
	}
	c.fleetState.Store(uint32(s))
	c.fleetStateAt.Store(now)
	c.endBackOff(now)
}

// sendOne counts an attempt.
func (c *cell) sendOne(now int64) {
	if c.inFlight.Add(1) == 1 {
		c.silentSince.Store(now)
	}
	n := c.sent.Add(1)
	c.sentAt[n%sendTimes].Store(now)
}

// endOne ends an attempt. An attempt may end at a cell that did not see it
// begin (another life of the instance), so the count stops at zero.
func (c *cell) endOne(now int64) {
	c.silentSince.Store(now)
	for {
		n := c.inFlight.Load()
		if n <= 0 || c.inFlight.CompareAndSwap(n, n-1) {
			return
		}
	}
}

// sentAfter counts the own sends after a time, at most sendTimes.
func (c *cell) sentAfter(at int64) uint64 {
	n := c.sent.Load()
	count := uint64(0)
	for count < min(n, sendTimes) && c.sentAt[(n-count)%sendTimes].Load() > at {
		count++
	}
	return count
}

// sentSince returns the own attempts in flight that h does not count.
func (c *cell) sentSince(h *heard) int64 {
	n := int64(c.sent.Load() - h.covered)
	return max(0, min(n, c.inFlight.Load()))
}

// leaving tells whether the owner itself said that it is leaving or gone, within
// memory before now where that is not zero.
func (c *cell) leaving(now, memory int64) bool {
	h := c.heard.Load()
	if h != nil && h.report.State >= model.StateLeaving && (memory == 0 || now-h.at < memory) {
		return true
	}
	in := c.leavingIn.Load()
	if in == 0 || in != leavingKey(c.incarnation()) {
		return false
	}
	return memory == 0 || now-c.refusedAt.Load() < memory
}

// leavingKey tells an unknown incarnation from no refusal.
func leavingKey(inc model.Incarnation) uint64 { return uint64(inc) + 1 }

// observe takes a report. final says that leaving never turns back within an
// incarnation: so it is where the worker's lives are its node's. taken is false for one that
// is no news.
func (u *upstream) observe(now int64, r *model.LoadReport, final bool) (taken bool) {
	c := u.cell
	if r.Incarnation < model.Incarnation(c.fleetIncarnation.Load()) {
		return false
	}
	covered := c.sent.Load() - c.sentAfter(now-u.link.roundTrip())
	for {
		last := c.heard.Load()
		if last == retired || (last != nil && !newer(r, &last.report)) {
			return false
		}
		next := &heard{report: *r, at: now, covered: covered}
		if final {
			next.report.State = stateAfter(last, r)
		}
		if !c.heard.CompareAndSwap(last, next) {
			continue
		}
		u.service.stats.replace(last, next)
		if last != nil && r.Incarnation > last.report.Incarnation {
			c.forget()
		}
		c.silentSince.Store(now)
		c.endBackOff(now)
		return true
	}
}

// stateAfter returns the state that r tells; leaving never turns back within an
// incarnation.
func stateAfter(last *heard, r *model.LoadReport) model.UpstreamState {
	if last == nil || last.report.Incarnation != r.Incarnation || last.report.State < model.StateLeaving {
		return r.State
	}
	return max(r.State, last.report.State)
}

// newer orders two reports of one owner.
func newer(r, last *model.LoadReport) bool {
	if r.Incarnation != last.Incarnation {
		return r.Incarnation > last.Incarnation
	}
	return r.Clock > last.Clock
}

// forget drops what was learned of an earlier life, save the attempts in flight.
func (c *cell) forget() {
	c.backOffUntil.Store(0)
	c.failure.reset()
	c.path.reset()
}

// retire ends a cell's part in its service's statistics.
func (u *upstream) retire() {
	last := u.cell.heard.Swap(retired)
	u.service.stats.replace(last, nil)
}

// learn takes the result of an own attempt.
func (u *upstream) learn(now int64, r *Result) {
	c := u.cell
	if r.Refused != model.ReasonNone {
		u.learnRefusal(now, r)
		return
	}
	failed := 0.0
	if r.Failed {
		failed = 1
	}
	c.failure.add(now, failed, failureGain, failureMemory)
	if !r.Failed {
		u.learnPath(now, r)
		u.link.sample(now, int64(r.Latency-r.OwnerTime))
	}
}

func (u *upstream) learnRefusal(now int64, r *Result) {
	c := u.cell
	if r.Refused == model.ReasonOwnerAbsent {
		c.refusedAt.Store(now)
		c.backOffUntil.Store(now + int64(absentBackOff))
		return
	}
	if r.RetryAfter > 0 && aboutUpstream(r.Refused) {
		c.refusedAt.Store(now)
		c.backOffUntil.Store(now + int64(min(r.RetryAfter, maxBackOff)))
	}
	if r.Refused == model.ReasonLeaving {
		c.refusedAt.Store(now)
		c.leavingIn.Store(leavingKey(c.incarnation()))
	}
	u.link.sample(now, int64(r.Latency-r.OwnerTime))
}

// aboutUpstream tells whether a refusal speaks of the upstream, not of the
// request or its tenant.
func aboutUpstream(r model.Reason) bool {
	switch r {
	case model.ReasonOverloaded, model.ReasonQueueFull, model.ReasonLeaving,
		model.ReasonNotReady, model.ReasonWorkerUnreachable,
		model.ReasonWorkerShed, model.ReasonWorkerReplaced, model.ReasonPaused, model.ReasonBusy, model.ReasonEvacuated:
		return true
	}
	return false
}

// endBackOff ends the back-off when the upstream's word is later than the
// refusal: the load that it tells speaks for itself.
func (c *cell) endBackOff(now int64) {
	if c.backOffUntil.Load() != 0 && now-c.refusedAt.Load() > sameAnswer {
		c.backOffUntil.Store(0)
	}
}

// learnPath smooths the time of the way beyond the link's usual one. Where the
// owner does not tell how long it held the attempt, its mean service time and
// the wait at its last report stand for that.
func (u *upstream) learnPath(now int64, r *Result) {
	h := u.cell.heard.Load()
	held := float64(r.OwnerTime)
	if held <= 0 {
		if h == nil || h == retired {
			return
		}
		held = h.held()
	}
	excess := float64(r.Latency) - held - float64(u.link.roundTrip())
	if _, meanService, ok := u.service.stats.means(); ok {
		excess = min(excess, maxExcess*meanService)
	}
	u.cell.path.add(now, excess, pathGain, pathMemory)
}

// held is the expected time of an attempt at the owner at the report's moment.
func (h *heard) held() float64 {
	limit := float64(max(1, h.report.Limit))
	ahead := float64(h.report.InFlight) + float64(h.report.Queued) + 1 - limit
	return float64(h.report.ServiceTime) * (1 + max(0, ahead)/limit)
}

// decaying is a smoothed value that falls towards zero while nothing is added.
// Its two parts are written without a lock: of two writers at once one may be
// lost, which a smoothed value bears.
type decaying struct {
	bits atomic.Uint64
	at   atomic.Int64
}

// value returns the value at time now, with the memory's time constant.
func (d *decaying) value(now int64, memory float64) float64 {
	v := math.Float64frombits(d.bits.Load())
	if v == 0 {
		return 0
	}
	return v * math.Exp(-float64(max(0, now-d.at.Load()))/memory)
}

// add smooths x in with the given gain.
func (d *decaying) add(now int64, x, gain, memory float64) {
	v := d.value(now, memory)
	d.bits.Store(math.Float64bits(v + (x-v)*gain))
	d.at.Store(now)
}

func (d *decaying) reset() { d.bits.Store(0) }
