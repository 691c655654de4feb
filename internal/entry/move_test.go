package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// moving lets up to n owners turn the request away as busy.
func moving(n int) func(*Request) {
	return func(r *Request) {
		b := *r.Target.Bundle
		b.Retry.Moves = n
		r.Target.Bundle = &b
	}
}

// wantAttempt checks where an attempt goes and whether it may be turned away.
func wantAttempt(t *testing.T, s Step, to model.InstanceID, mayMove bool) {
	t.Helper()
	wantStep(t, s, StepSend, to)
	if s.Attempt.MayMove != mayMove {
		t.Errorf("attempt at %s: MayMove %v, want %v", to, s.Attempt.MayMove, mayMove)
	}
}

func TestABusyOwnersRequestMovesOnAndAtLastStays(t *testing.T) {
	s := start(t, 3, moving(5))
	wantAttempt(t, s.step, "payouts-a", true)
	s.do(refuse(model.ReasonBusy))
	wantAttempt(t, s.step, "payouts-b", true)
	s.do(refuse(model.ReasonBusy))
	wantAttempt(t, s.step, "payouts-c", true)
	s.do(refuse(model.ReasonBusy))
	wantAttempt(t, s.step, "payouts-a", false)
	s.do(answer)
	wantEnd(t, s.step, model.OutcomeAnswered, model.ReasonNone)
}

func TestMovesAreBounded(t *testing.T) {
	s := start(t, 6, moving(2))
	s.do(refuse(model.ReasonBusy), refuse(model.ReasonBusy))
	wantAttempt(t, s.step, "payouts-a", false)
}

func TestMovesSpendNothingOfTheBudgets(t *testing.T) {
	table := newFakeTable(3)
	engine := testEngine(table)
	now := epoch
	r := testRequest()
	moving(5)(&r)
	for range 200 {
		c := engine.Begin(now, r)
		for range 3 {
			c.Next(now)
			c.Refused(now, model.Refusal{Reason: model.ReasonBusy, NotRun: true})
		}
		if s := c.Next(now); s.Kind != StepSend {
			t.Fatalf("step %v (%v)", s.Kind, s.Reason)
		}
		c.Answered(now, false)
	}
}

func TestArrivalsOfAllEntriesStayWithinTheFleetsAllowance(t *testing.T) {
	const entries, extra, ratio = 10, 58.0, 0.2
	for _, perSecond := range []int{1, 20} {
		total := 0
		for range entries {
			total += extraArrivals(t, entries, extra, ratio, perSecond)
		}
		first := entries * perSecond * int(fleetWindow.Seconds())
		if most := int(ratio*float64(first) + extra); total > most {
			t.Errorf("%d requests a second: %d extra arrivals in a window, at most %d are allowed", perSecond, total, most)
		}
	}
}

// extraArrivals plays one entry whose every attempt fails and returns the extra
// arrivals of one window after a quiet time.
func extraArrivals(t *testing.T, entries int, extra, ratio float64, perSecond int) int {
	t.Helper()
	engine := testEngine(newFakeTable(6))
	engine.SetEntryNodes(entries)
	b := &bundle.Bundle{
		Name: "b", Version: 1, Retry: bundle.Retry{PerPath: 10, Ratio: ratio, FleetExtra: extra},
		Classes:  []bundle.Class{{Name: "view", DeadlineMs: 10_000, MaxAttempts: 4}},
		Services: []bundle.Service{{Name: testService, Slots: 20}},
	}
	r := testRequest()
	r.Idempotent, r.RetryBudget = true, 10
	r.Target = bundle.Target{Bundle: b, Service: &b.Services[0], Class: &b.Classes[0], Idempotent: true}
	arrivals := 0
	for n := range perSecond * int(fleetWindow.Seconds()) {
		now := epoch.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		c := engine.Begin(now, r)
		at := now
		for s := c.Next(at); s.Kind != StepEnd; s = c.Next(at) {
			if s.Kind == StepWait {
				at = s.Until
				continue
			}
			arrivals++
			c.Refused(at, model.Refusal{Reason: model.ReasonWorkerBroken})
		}
		arrivals--
	}
	return arrivals
}

// offers returns how many offers a call makes at owners that start it at once or, where they
// are full, turn away what they may turn away and let the rest wait. They say which share of
// offers they do not start at once, in thousandths.
func offers(e *Engine, r Request, full bool, delayed uint16) int {
	c := e.Begin(epoch, r)
	for n := 1; ; n++ {
		s := c.Next(epoch)
		c.Report(epoch, model.LoadReport{Owner: s.To.ID, Incarnation: 7, Delayed: delayed})
		if full && s.Attempt.MayMove {
			c.Refused(epoch, model.Refusal{Reason: model.ReasonBusy, NotRun: true})
			continue
		}
		c.Answered(epoch, false)
		return n
	}
}

// Load: all owners are full, for many requests. Each made six offers, of which one in 25 was
// started, and the offers' bytes and processor time delayed those that were.
func TestInAnOverloadRequestsWaitAtTheirFirstOwnerAndMoveAgainAfterIt(t *testing.T) {
	e, r := testEngine(newFakeTable(6)), testRequest()
	moving(5)(&r)
	if n := offers(e, r, true, 960); n != 6 {
		t.Errorf("%d offers of the first request, want six", n)
	}
	for range 5 {
		offers(e, r, true, 960)
	}
	if n := offers(e, r, true, 960); n != 1 {
		t.Errorf("%d offers of a request in an overload, want one", n)
	}
	for range 5 {
		offers(e, r, false, 250)
	}
	if n := offers(e, r, true, 250); n != 6 {
		t.Errorf("%d offers once owners have started at once again, want six", n)
	}
}

// Neighbours that slow a third of the machines leave it worth while to move.
func TestRequestsMoveWhileTwoThirdsOfTheOwnersStartAtOnce(t *testing.T) {
	var s starts
	rng := rand.New(rand.NewPCG(1, 2))
	moves, few := 0, 0
	for range 1000 {
		share := 0.95
		if rng.IntN(3) == 0 {
			share = 0.2
		}
		s.hear(share)
		moves += s.moves(5)
		if s.moves(5) < 4 {
			few++
		}
	}
	if moves < 4900 || few > 10 {
		t.Errorf("%d moves in 1000 requests, fewer than four in %d; want about 5000 and 10 at most", moves, few)
	}
}
