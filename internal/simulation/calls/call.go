package calls

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
)

// fleetCall is a caller's request with all its legs: the first engine call and its
// hedges.
type fleetCall struct {
	fleet   *fleet
	entry   *fleetEntry
	legs    []*leg
	started time.Time
	counted bool
	done    bool
	// retriesLeft is the number of times that the caller still retries after a refusal.
	retriesLeft int
}

// leg is one call of the entry engine.
type leg struct {
	*fleetCall
	call *entry.Call
	// step is the last step; inFlight is set while its attempt is in flight.
	step     entry.Step
	inFlight bool
	ended    bool
}

func (f *fleet) begin(e *fleetEntry) {
	x := &fleetCall{
		fleet: f, entry: e, started: f.now, counted: f.now.Sub(epoch) > fleetWarmUp, retriesLeft: f.callerRetries,
	}
	x.submit()
}

// submit sends the request with the caller's remaining time.
func (x *fleetCall) submit() {
	f := x.fleet
	r := entry.Request{
		ID:         "r1",
		Target:     bundle.Target{Bundle: f.bundle, Service: &f.bundle.Services[0], Class: &f.bundle.Classes[0]},
		Idempotent: true, Timeout: x.remaining(), RetryBudget: retryBudget, Replayable: true,
	}
	x.add(x.entry.engine.Begin(f.now, r))
}

// remaining returns the rest of the caller's timeout.
func (x *fleetCall) remaining() time.Duration { return x.fleet.timeout - x.fleet.now.Sub(x.started) }

// retryLater schedules a caller retry after the step's Retry-After. It returns false when
// the request was not refused, no retry is left, or the wait exceeds the remaining time.
func (x *fleetCall) retryLater(s entry.Step) bool {
	if s.Outcome != model.OutcomeNotRun || x.retriesLeft == 0 || s.RetryAfter >= x.remaining() {
		return false
	}
	x.retriesLeft--
	x.legs = nil
	x.fleet.after(s.RetryAfter, func() {
		x.done = false
		x.submit()
	})
	return true
}

func (x *fleetCall) add(c *entry.Call) {
	l := &leg{fleetCall: x, call: c}
	x.legs = append(x.legs, l)
	l.next()
}

// next performs the next step of the engine call.
func (l *leg) next() {
	f := l.fleet
	if l.done {
		return
	}
	l.step = l.call.Next(f.now)
	switch s := l.step; s.Kind {
	case entry.StepSend:
		l.send(s)
	case entry.StepWait:
		f.after(s.Until.Sub(f.now), l.next)
	case entry.StepEnd:
		l.ended = true
		l.finishLeg(s)
	}
}

// send offers the attempt to its owner, interrupts it at the step's deadline and hedges it
// at HedgeAt.
func (l *leg) send(s entry.Step) {
	f := l.fleet
	l.count(&f.stats.sends)
	l.inFlight = true
	f.after(fleetLink, func() {
		f.whenRunning(f.ownerOf(s.To.ID), func() { f.offer(l, &s.Attempt) })
	})
	f.after(s.Until.Sub(f.now), func() {
		if l.awaiting(s.Attempt.ID) {
			l.inFlight = false
			l.call.Interrupted(f.now, false)
			l.next()
		}
	})
	if !s.HedgeAt.IsZero() {
		f.after(s.HedgeAt.Sub(f.now), func() { l.hedge(s.Attempt.ID) })
	}
}

// awaiting reports whether the attempt is in flight and its outcome still counts.
func (l *leg) awaiting(id model.AttemptID) bool {
	return !l.done && l.inFlight && l.step.Attempt.ID == id
}

func (l *leg) hedge(id model.AttemptID) {
	if !l.awaiting(id) {
		return
	}
	if h, ok := l.call.Hedge(l.fleet.now); ok {
		l.count(&l.fleet.stats.hedges)
		l.add(h)
	}
}

// offer offers an attempt to its owner and runs it when the owner starts it.
func (f *fleet) offer(l *leg, a *model.Attempt) {
	o := f.ownerOf(a.Owner)
	decided := func(kind owner.DecisionKind, r model.Refusal) {
		if kind == owner.Refuse {
			l.count(&f.stats.refusals)
			f.deliverReport(l, o, a.ID, func() { l.call.Refused(f.now, r) })
			return
		}
		l.count(&f.stats.runs)
		f.runAttempt(l, o, a.ID)
	}
	kind, r := o.owner.Offer(f.now, a, false)
	if kind == owner.Queue {
		o.waiting[a.ID] = decided
		return
	}
	decided(kind, r)
}

// runAttempt simulates the run of a started attempt and reports its completion.
func (f *fleet) runAttempt(l *leg, o *fleetOwner, id model.AttemptID) {
	serviceTime := f.exponential(fleetMean)
	if o == f.owners[0] {
		serviceTime = time.Duration(float64(serviceTime) * f.slowFactor)
	}
	f.after(serviceTime, func() {
		f.whenRunning(o, func() {
			o.deliver(o.owner.Finish(f.now, id, owner.Completion{ServiceTime: serviceTime, Status: 200}))
			f.deliverReport(l, o, id, func() { l.call.Answered(f.now, false) })
		})
	})
}

// deliverReport delivers the owner's report and applies the outcome, unless the attempt
// was abandoned.
func (f *fleet) deliverReport(l *leg, o *fleetOwner, id model.AttemptID, apply func()) {
	r := o.owner.Report(f.now)
	f.after(fleetLink, func() {
		l.entry.table.Observe(f.now, r)
		if l.awaiting(id) {
			l.inFlight = false
			l.call.Report(f.now, r)
			apply()
			l.next()
		}
	})
}

// whenRunning runs do at an owner as soon as the owner is not paused.
func (f *fleet) whenRunning(o *fleetOwner, do func()) {
	if o == f.owners[0] && f.now.Before(f.pausedUntil) {
		f.after(f.pausedUntil.Sub(f.now), do)
		return
	}
	do()
}

func (f *fleet) ownerOf(id model.InstanceID) *fleetOwner {
	return f.owners[int(id[len(id)-1]-'a')]
}

// count increments n if the call started after the warm-up.
func (x *fleetCall) count(n *int) {
	if x.counted {
		*n++
	}
}

// finishLeg handles the end of a leg. The request ends with the first answer or with the
// last leg.
func (x *fleetCall) finishLeg(s entry.Step) {
	if s.Outcome != model.OutcomeAnswered {
		for _, l := range x.legs {
			if !l.ended {
				return
			}
			s = entry.CombineOutcomes(s, l.step)
		}
	}
	x.done = true
	for _, l := range x.legs {
		x.cancel(l)
	}
	if x.retryLater(s) {
		return
	}
	if x.counted {
		x.fleet.stats.record(x.fleet.now.Sub(x.started), s)
	}
}

// cancel abandons a leg that is still open when the request ends.
func (x *fleetCall) cancel(l *leg) {
	if l.ended {
		return
	}
	f := x.fleet
	l.call.CallerCancelled(f.now)
	if !l.inFlight {
		return
	}
	f.after(fleetLink, func() {
		o := f.ownerOf(l.step.To.ID)
		f.whenRunning(o, func() {
			_, ds := o.owner.Cancel(f.now, l.step.Attempt.ID)
			o.deliver(ds)
		})
	})
}

func (st *fleetStats) record(latency time.Duration, s entry.Step) {
	st.calls++
	switch s.Outcome {
	case model.OutcomeAnswered:
		st.answered++
		st.latencies = append(st.latencies, latency)
	case model.OutcomeNotRun:
		st.notRun++
		st.refusedAfter = append(st.refusedAfter, latency)
	default:
		st.unknown++
	}
}
