package calls

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/owner"
)

// fleetCall is a caller's request with what it counts: a call and its hedge.
type fleetCall struct {
	fleet   *fleet
	entry   *fleetEntry
	legs    []*leg
	began   time.Time
	counted bool
	over    bool
	// returns is how often the caller still comes back after a refusal.
	returns int
}

// leg is one engine call in hand.
type leg struct {
	*fleetCall
	call *entry.Call
	// step is the last one; sent tells whether its attempt is out.
	step  entry.Step
	sent  bool
	ended bool
}

func (f *fleet) begin(e *fleetEntry) {
	x := &fleetCall{fleet: f, entry: e, began: f.now, counted: f.now.Sub(epoch) > fleetWarm, returns: f.returns}
	x.ask()
}

// ask sends the request, with the time that the caller has left.
func (x *fleetCall) ask() {
	f := x.fleet
	r := entry.Request{
		ID:         "r1",
		Target:     bundle.Target{Bundle: f.bundle, Service: &f.bundle.Services[0], Class: &f.bundle.Classes[0]},
		Idempotent: true, Timeout: x.left(), RetryBudget: retryBudget, Replayable: true,
	}
	x.add(x.entry.engine.Begin(f.now, r))
}

// left returns the time that the caller still waits.
func (x *fleetCall) left() time.Duration { return x.fleet.timeout - x.fleet.now.Sub(x.began) }

// comeBack lets a refused caller return as it was told; false when it does not.
func (x *fleetCall) comeBack(s entry.Step) bool {
	if s.Outcome != model.OutcomeNotRun || x.returns == 0 || s.RetryAfter >= x.left() {
		return false
	}
	x.returns--
	x.legs = nil
	x.fleet.after(s.RetryAfter, func() {
		x.over = false
		x.ask()
	})
	return true
}

func (x *fleetCall) add(c *entry.Call) {
	l := &leg{fleetCall: x, call: c}
	x.legs = append(x.legs, l)
	l.next()
}

func (l *leg) next() {
	f := l.fleet
	if l.over {
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
		l.end(s)
	}
}

func (l *leg) send(s entry.Step) {
	f := l.fleet
	l.count(&f.stats.sends)
	l.sent = true
	f.after(fleetLink, func() {
		f.awake(f.ownerOf(s.To.ID), func() { f.offer(l, &s.Attempt) })
	})
	f.after(s.Until.Sub(f.now), func() {
		if l.awaits(s.Attempt.ID) {
			l.sent = false
			l.call.Interrupted(f.now, false)
			l.next()
		}
	})
	if !s.HedgeAt.IsZero() {
		f.after(s.HedgeAt.Sub(f.now), func() { l.hedge(s.Attempt.ID) })
	}
}

func (l *leg) awaits(id model.AttemptID) bool {
	return !l.over && l.sent && l.step.Attempt.ID == id
}

func (l *leg) hedge(id model.AttemptID) {
	if !l.awaits(id) {
		return
	}
	if h, ok := l.call.Hedge(l.fleet.now); ok {
		l.count(&l.fleet.stats.hedges)
		l.add(h)
	}
}

// offer gives an attempt to its owner and runs it when the owner starts it.
func (f *fleet) offer(l *leg, a *model.Attempt) {
	o := f.ownerOf(a.Owner)
	decided := func(v owner.DecisionKind, r model.Refusal) {
		if v == owner.Refuse {
			l.count(&f.stats.refusals)
			f.report(l, o, a.ID, func() { l.call.Refused(f.now, r) })
			return
		}
		l.count(&f.stats.runs)
		f.work(l, o, a.ID)
	}
	v, r := o.owner.Offer(f.now, a, false)
	if v == owner.Queue {
		o.waiting[a.ID] = decided
		return
	}
	decided(v, r)
}

func (f *fleet) work(l *leg, o *fleetOwner, id model.AttemptID) {
	took := f.exponential(fleetMean)
	if o == f.owners[0] {
		took = time.Duration(float64(took) * f.slow)
	}
	f.after(took, func() {
		f.awake(o, func() {
			o.deliver(o.owner.Finish(f.now, id, owner.Completion{ServiceTime: took, Status: 200}))
			f.report(l, o, id, func() { l.call.Answered(f.now, false) })
		})
	})
}

// report hands the owner's word over, unless the attempt was given up.
func (f *fleet) report(l *leg, o *fleetOwner, id model.AttemptID, word func()) {
	r := o.owner.Report(f.now)
	f.after(fleetLink, func() {
		l.entry.table.Observe(f.now, r)
		if l.awaits(id) {
			l.sent = false
			l.call.Report(f.now, r)
			word()
			l.next()
		}
	})
}

// awake does something at an owner once it is not paused.
func (f *fleet) awake(o *fleetOwner, do func()) {
	if o == f.owners[0] && f.now.Before(f.pausedUntil) {
		f.after(f.pausedUntil.Sub(f.now), do)
		return
	}
	do()
}

func (f *fleet) ownerOf(id model.InstanceID) *fleetOwner {
	return f.owners[int(id[len(id)-1]-'a')]
}

func (x *fleetCall) count(n *int) {
	if x.counted {
		*n++
	}
}

// end takes a leg's end: an answer ends the request, and so does the last leg.
func (x *fleetCall) end(s entry.Step) {
	if s.Outcome != model.OutcomeAnswered {
		for _, l := range x.legs {
			if !l.ended {
				return
			}
			s = entry.CombineOutcomes(s, l.step)
		}
	}
	x.over = true
	for _, l := range x.legs {
		x.cancel(l)
	}
	if x.comeBack(s) {
		return
	}
	if x.counted {
		x.fleet.stats.end(x.fleet.now.Sub(x.began), s)
	}
}

// cancel gives up a leg that lost.
func (x *fleetCall) cancel(l *leg) {
	if l.ended {
		return
	}
	f := x.fleet
	l.call.CallerCancelled(f.now)
	if !l.sent {
		return
	}
	f.after(fleetLink, func() {
		o := f.ownerOf(l.step.To.ID)
		f.awake(o, func() {
			_, ds := o.owner.Cancel(f.now, l.step.Attempt.ID)
			o.deliver(ds)
		})
	})
}

func (st *fleetStats) end(took time.Duration, s entry.Step) {
	st.calls++
	switch s.Outcome {
	case model.OutcomeAnswered:
		st.answered++
		st.latencies = append(st.latencies, took)
	case model.OutcomeNotRun:
		st.notRun++
		st.refusedAfter = append(st.refusedAfter, took)
	default:
		st.unknown++
	}
}
