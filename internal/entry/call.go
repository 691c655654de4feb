package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// Bounds of one call. Every call ends within them, whatever the owners reply.
const (
	// maxOwners bounds the owners that one call offers its request to in one round.
	maxOwners = 6
	// maxSends bounds the attempts of one call, resent ones included.
	maxSends = 16
)

// phase is what a call does next.
type phase uint8

const (
	// phasePlace: choose an owner and send.
	phasePlace phase = iota
	// phaseResend: send to the same owner again with its current incarnation and clock.
	phaseResend
	// phaseSent: an attempt is in flight; wait for the adapter's report on it.
	phaseSent
	// phaseResolve: ask the owner for the attempt's outcome.
	phaseResolve
	// phaseResolving: an outcome resolution is in flight; wait for the adapter's report.
	phaseResolving
	// phaseWait: wait until c.until, then continue with c.after.
	phaseWait
	// phaseEnd: the call is over.
	phaseEnd
)

// Call is the state of one request. It is used by one goroutine at a time.
type Call struct {
	engine *Engine
	bucket *bucket
	// fleetBudget is nil unless the bundle bounds the extra attempts of all entries together.
	fleetBudget *fleetBudget
	// workerAttempts counts the attempts that a worker received or may have received.
	workerAttempts int
	// startRate is the service's share of attempts that start at once; maxMoves is how many
	// owners may refuse this request as busy.
	startRate *startRate
	maxMoves  int
	// outcomes is nil unless the bundle admits requests by outcome; admission is its decision.
	outcomes  *outcomeAdmission
	admission Admission
	// latency is nil unless the bundle hedges and the request is idempotent.
	latency  *latencyQuantile
	req      Request
	deadline time.Time
	// waitedBefore estimates how long the caller had waited before this submission.
	waitedBefore time.Duration
	// budget is the number of extra attempts left to this call and to the calls below it.
	budget int

	phase phase
	// until is used by phaseWait and phaseResolving, after by phaseWait.
	until time.Time
	after phase

	current  model.Attempt
	to       model.Instance
	estimate route.EstimateSummary
	sentAt   time.Time
	// acknowledgeBy is for the attempt in flight; see acknowledgeTime.
	acknowledgeBy time.Time
	hedgeAt       time.Time
	hedged        bool
	// unresolved reports that the current attempt neither ended nor was proved not to have
	// run.
	unresolved bool
	// mayHaveRun reports that an attempt before the current one may have run.
	mayHaveRun bool
	// ownerIncarnation and ownerClock are from the load report with the current owner's
	// reply, valid if hasReport.
	ownerIncarnation model.Incarnation
	ownerClock       time.Duration
	hasReport        bool
	// ownerTime is the part of the current attempt's latency that was spent at the owner.
	ownerTime time.Duration
	// resent reports that the attempt was sent to the current owner a second time, with a
	// fresh incarnation and clock.
	resent bool

	// moves counts the owners that refused the request as busy. queueing reports that the
	// request no longer moves but waits in an owner's queue.
	moves    int
	queueing bool
	// gaveUp are the owners that gave the request up after they had queued it. relocations is
	// their number, or maxRelocations once no owner may give it up any more.
	relocations int
	gaveUp      triedOwners
	sends       int
	retries     int
	// crashes counts the workers that seem to have crashed during this call's attempts.
	crashes      int
	rounds       int
	resolveTries int
	// refusedForLoad reports that an owner refused because it was overloaded.
	refusedForLoad bool
	// refusedTransiently reports that an owner refused for a reason that soon passes; see
	// isTransient.
	refusedTransiently bool
	tried              triedOwners
	onlyOwner          onlyOwnerState
	home               homeState
	// retryOwnersAt is the earliest time at which an owner that refused may be asked again;
	// zero when none sent a Retry-After.
	retryOwnersAt time.Time
	query         route.Query

	outcome    model.Outcome
	reason     model.Reason
	retryAfter time.Duration
	// overloadRetryAfter is the longest Retry-After of the owners that refused because they
	// were overloaded.
	overloadRetryAfter time.Duration
}

// triedOwners is a small set of owners that needs no allocation.
type triedOwners struct {
	ids [maxOwners]model.InstanceID
	n   int
}

func (t *triedOwners) add(id model.InstanceID) {
	if t.n < len(t.ids) && !t.has(id) {
		t.ids[t.n] = id
		t.n++
	}
}

func (t *triedOwners) has(id model.InstanceID) bool {
	for _, other := range t.list() {
		if other == id {
			return true
		}
	}
	return false
}

func (t *triedOwners) full() bool               { return t.n == len(t.ids) }
func (t *triedOwners) list() []model.InstanceID { return t.ids[:t.n] }

// Deadline returns the time by which the caller must have a response.
func (c *Call) Deadline() time.Time { return c.deadline }

// SetReplayable sets whether the body can still be sent again. An adapter that streams the
// body keeps it true until an attempt has read a byte of the body, and calls SetReplayable
// before it reports that attempt's end.
func (c *Call) SetReplayable(replayable bool) { c.req.Replayable = replayable }

// Next returns what to do now. After StepSend or StepResolve the adapter must report the
// result before it calls Next again; otherwise Next returns the same step. From the deadline
// on, Next returns StepEnd only; once it has returned StepEnd it always does.
func (c *Call) Next(now time.Time) Step {
	if c.phase != phaseEnd && !now.Before(c.deadline) {
		c.expire(now)
	}
	for {
		switch c.phase {
		case phasePlace:
			c.place(now)
		case phaseResend:
			c.resend(now)
		case phaseResolve:
			c.resolve(now)
		case phaseWait:
			if now.Before(c.until) {
				return Step{Kind: StepWait, Until: c.until}
			}
			c.phase = c.after
		case phaseSent:
			return Step{
				Kind: StepSend, To: c.to, Attempt: c.current, Until: c.deadline,
				AcknowledgeBy: c.acknowledgeBy, HedgeAt: c.hedgeAt, Estimate: c.estimate,
				Reserve: c.current.BodyBytes > 0,
			}
		case phaseResolving:
			return c.resolveStep(now)
		default:
			return c.endStep()
		}
	}
}

// place chooses an owner and sends to it; without one left, afterAllTried decides.
func (c *Call) place(now time.Time) {
	choice, ok := c.choose(now)
	if !ok {
		c.afterAllTried(now)
		return
	}
	c.resent = false
	c.estimate = choice.Estimate
	c.send(now, choice.Instance, choice.OwnerClock)
}

// choose picks an owner that this call has not tried in this round. A request that needs
// its home node goes there until that node delegates it, a deferred one to its only owner.
func (c *Call) choose(now time.Time) (route.Choice, bool) {
	if c.sends == maxSends {
		return route.Choice{}, false
	}
	if c.mustUseHome() {
		return c.chooseHome(now)
	}
	if c.onlyOwner.id != "" {
		return c.chooseOnlyOwner(now)
	}
	if c.tried.full() {
		return route.Choice{}, false
	}
	q := c.routeQuery(now)
	q.Tried = c.tried.list()
	return c.engine.table.Pick(now, q)
}

// routeQuery returns this call's query to the routing table at time now.
func (c *Call) routeQuery(now time.Time) *route.Query {
	c.query = route.Query{
		Service:   c.req.Target.Service.Name,
		Class:     c.req.Target.Class.Name,
		Remaining: c.deadline.Sub(now),
		Regions:   c.req.Regions,
		BodyBytes: c.req.BodyBytes,
	}
	return &c.query
}

// resend sends to the current owner again, with the incarnation and the clock that it
// reported.
func (c *Call) resend(now time.Time) {
	c.resent = true
	c.to.Incarnation = c.ownerIncarnation
	c.send(now, c.to, c.ownerClock)
}

// send starts an attempt at an owner whose clock is at least ownerClock now.
func (c *Call) send(now time.Time, to model.Instance, ownerClock time.Duration) {
	if to.ID == c.engine.cfg.Self.ID {
		to.Incarnation = model.Incarnation(c.engine.ownIncarnation.Load())
	}
	c.to = to
	c.sentAt = now
	c.acknowledgeBy = c.acknowledgeTime(now)
	c.hedgeAt = c.hedgeTime(now)
	c.sends++
	c.tried.add(to.ID)
	c.onlyOwner.noteSent(to.ID)
	c.unresolved = true
	c.hasReport = false
	c.ownerTime = 0
	c.resolveTries = 0
	c.home.provesNotRun = c.home.isDelegated()
	c.phase = phaseSent
	c.current = model.Attempt{
		ID:               c.engine.nextAttemptID(),
		Request:          c.req.ID,
		CallerKey:        c.req.CallerKey,
		Owner:            to.ID,
		OwnerIncarnation: to.Incarnation,
		Service:          c.req.Target.Service.Name,
		Class:            c.req.Target.Class.Name,
		Tenant:           c.req.Tenant,
		Worth:            c.req.Target.Class.Worth,
		Idempotent:       c.req.Idempotent,
		Remaining:        c.deadline.Sub(now),
		OwnerClock:       ownerClock,
		Bundle:           c.req.Target.Bundle.VersionID(),
		RetryBudget:      childBudget(c.budget),
		Delegated:        c.home.isDelegated(),
		Caller:           c.req.Caller,
		MayMove:          c.mayMove(),
		Objective:        c.objectiveLeft(now),
		Crashes:          uint8(c.crashes),
		Granted:          c.onlyOwner.granted,
		Regions:          c.req.Regions,

		InheritedPriority: c.req.InheritedPriority,
		BodyBytes:         c.reservedBytes(),
		Relocatable:       c.relocatable(),
	}
	c.engine.table.Sent(now, to.ID)
}

// objectiveLeft returns the time left to the class's objective, counted from the caller's
// first submission: zero when the class has no objective, negative when it has passed. So
// an objective that passes at this moment yields -1 ns.
func (c *Call) objectiveLeft(now time.Time) time.Duration {
	if c.req.Target.Class.ObjectiveMs <= 0 {
		return 0
	}
	submitted := c.deadline.Add(-c.req.Timeout - c.waitedBefore)
	left := submitted.Add(c.req.Target.Class.Objective()).Sub(now)
	if left == 0 {
		return -1
	}
	return left
}

// wait makes Next wait until a time and then continue with the phase after.
func (c *Call) wait(until time.Time, after phase) {
	c.until = until
	c.after = after
	c.phase = phaseWait
}
