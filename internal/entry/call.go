package entry

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// Bounds of one call. Every path ends within them, whatever owners answer.
const (
	// maxOwners is the number of owners that one call offers its request to.
	maxOwners = 6
	// maxSends is the number of attempts of one call, resent ones included.
	maxSends = 16
)

// phase is what a call does next.
type phase uint8

const (
	// phasePlace: choose an owner and send.
	phasePlace phase = iota
	// phaseResend: send to the same owner again with a fresh stamp.
	phaseResend
	// phaseSent: an attempt is out; its report is awaited.
	phaseSent
	// phaseSettle: ask the owner what became of the attempt.
	phaseSettle
	// phaseAsked: a settlement is out; its report is awaited.
	phaseAsked
	// phaseWait: wait until c.until, then go on with c.after.
	phaseWait
	// phaseEnd: over.
	phaseEnd
)

// Call is the state of one request. It is used by one goroutine at a time.
type Call struct {
	engine *Engine
	bucket *bucket
	// extra is set where the bundle bounds extra arrivals of all entries together.
	extra *arrivals
	// arrived counts the attempts that a worker has, or may have, had.
	arrived int
	// starts is what is known of the service's offers, mostMoves how many owners may turn
	// the request away as busy.
	starts    *starts
	mostMoves int
	// pace is set where the bundle hedges.
	pace     *pace
	req      Request
	deadline time.Time
	// waited is how long the caller is believed to have waited before this sending.
	waited time.Duration
	// budget is the number of extra attempts left to the path.
	budget int

	phase phase
	// until is for phaseWait and phaseAsked, after for phaseWait.
	until time.Time
	after phase

	current  model.Attempt
	to       model.Instance
	believed route.EstimateSummary
	sentAt   time.Time
	// takenUpBy is for the attempt that is out, see takeUpTime.
	takenUpBy time.Time
	hedgeAt   time.Time
	hedged    bool
	// open: the current attempt has neither ended nor is proved not to have run.
	open bool
	// doubt: an attempt before the current one may have run.
	doubt bool
	// life and clock are the current owner's, when a report came with its word.
	life      model.Incarnation
	clock     time.Duration
	hasReport bool
	// held is the owner's part of the current attempt's time.
	held time.Duration
	// resent: the current owner was already given a fresh stamp.
	resent bool

	// moves counts the owners that turned the request away as busy; staying says
	// that it now waits where it is placed.
	moves   int
	staying bool
	sends   int
	retries int
	// ends counts the workers that seem to have ended under this call's attempts.
	ends   int
	rounds int
	asks   int
	// loaded: an owner refused for load.
	loaded bool
	// passing: an owner refused for a reason that passes within a moment.
	passing bool
	tried   triedOwners
	named   namedOwner
	home    homeState
	// advice is the earliest time at which an owner that refused may be asked
	// again; zero when none gave advice.
	advice time.Time
	query  route.Query

	outcome    model.Outcome
	reason     model.Reason
	retryAfter time.Duration
	// overloaded is the longest advice of owners that refused for load.
	overloaded time.Duration
}

// triedOwners is a small set of owners without allocation.
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
	for _, tried := range t.list() {
		if tried == id {
			return true
		}
	}
	return false
}

func (t *triedOwners) full() bool               { return t.n == len(t.ids) }
func (t *triedOwners) list() []model.InstanceID { return t.ids[:t.n] }

// Deadline returns when the caller must be answered.
func (c *Call) Deadline() time.Time { return c.deadline }

// SetReplayable tells whether the body can still be sent again. An adapter that
// streams the body says true for as long as no attempt has taken a byte of it,
// and calls SetReplayable before the report of the attempt that did.
func (c *Call) SetReplayable(replayable bool) { c.req.Replayable = replayable }

// Next returns what to do now. After StepSend or StepResolve one report must
// come before Next is called again; without one the same step is returned. From
// the deadline on there is no step but StepEnd, which is returned for ever.
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
		case phaseSettle:
			c.ask(now)
		case phaseWait:
			if now.Before(c.until) {
				return Step{Kind: StepWait, Until: c.until}
			}
			c.phase = c.after
		case phaseSent:
			return Step{Kind: StepSend, To: c.to, Attempt: c.current, Until: c.deadline, AcknowledgeBy: c.takenUpBy, HedgeAt: c.hedgeAt, Estimate: c.believed}
		case phaseAsked:
			return c.settleStep(now)
		default:
			return c.endStep()
		}
	}
}

// place chooses an owner and sends to it, or gives up.
func (c *Call) place(now time.Time) {
	choice, ok := c.choose(now)
	if !ok {
		c.exhausted(now)
		return
	}
	c.resent = false
	c.believed = choice.Estimate
	c.send(now, choice.Instance, choice.OwnerClock)
}

// choose picks an owner that this call has not asked in this round. The first
// attempt of a request with a caller's key goes to the id's home.
func (c *Call) choose(now time.Time) (route.Choice, bool) {
	if c.sends == maxSends {
		return route.Choice{}, false
	}
	if c.bound() {
		return c.chooseHome(now)
	}
	if c.named.home != "" {
		return c.chooseNamed(now)
	}
	if c.tried.full() {
		return route.Choice{}, false
	}
	q := c.queryAt(now)
	q.Tried = c.tried.list()
	return c.engine.table.Pick(now, q)
}

// queryAt returns what the table is asked for this call at time now.
func (c *Call) queryAt(now time.Time) *route.Query {
	c.query = route.Query{
		Service:   c.req.Target.Service.Name,
		Class:     c.req.Target.Class.Name,
		Remaining: c.deadline.Sub(now),
		Regions:   c.req.Regions,
	}
	return &c.query
}

// resend sends to the current owner again, bound and stamped by its own report.
func (c *Call) resend(now time.Time) {
	c.resent = true
	c.to.Incarnation = c.life
	c.send(now, c.to, c.clock)
}

// send makes an attempt at an owner whose clock is at least ownerClock now.
func (c *Call) send(now time.Time, to model.Instance, ownerClock time.Duration) {
	if to.ID == c.engine.cfg.Self.ID {
		to.Incarnation = model.Incarnation(c.engine.adopted.Load())
	}
	c.to = to
	c.sentAt = now
	c.takenUpBy = c.takeUpTime(now)
	c.hedgeAt = c.hedgeTime(now)
	c.sends++
	c.tried.add(to.ID)
	c.named.sent(to.ID)
	c.open = true
	c.hasReport = false
	c.held = 0
	c.asks = 0
	c.home.spoke = c.home.delegated()
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
		Delegated:        c.home.delegated(),
		Caller:           c.req.Caller,
		MayMove:          c.mayMove(),
		Objective:        c.objectiveLeft(now),
		Crashes:          uint8(c.ends),
		Granted:          c.named.lent,
		Regions:          c.req.Regions,
	}
	c.engine.table.Sent(now, to.ID)
}

// objectiveLeft returns the time left to the class's objective, zero when it sets
// none; one that has passed is told as the least negative time.
func (c *Call) objectiveLeft(now time.Time) time.Duration {
	if c.req.Target.Class.ObjectiveMs <= 0 {
		return 0
	}
	began := c.deadline.Add(-c.req.Timeout - c.waited)
	left := began.Add(c.req.Target.Class.Objective()).Sub(now)
	if left == 0 {
		return -1
	}
	return left
}

// wait goes on with after at time until.
func (c *Call) wait(until time.Time, after phase) {
	c.until = until
	c.after = after
	c.phase = phaseWait
}
