package entry

import (
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// withMoves lets up to n owners refuse the request as busy.
func withMoves(n int) func(*Request) {
	return func(r *Request) {
		b := *r.Target.Bundle
		b.Retry.Moves = n
		r.Target.Bundle = &b
	}
}

// wantAttempt checks where an attempt goes and whether it may be refused as busy.
func wantAttempt(t *testing.T, s Step, to model.InstanceID, mayMove bool) {
	t.Helper()
	wantStep(t, s, StepSend, to)
	if s.Attempt.MayMove != mayMove {
		t.Errorf("attempt at %s: MayMove %v, want %v", to, s.Attempt.MayMove, mayMove)
	}
}

func TestBusyRequestMovesThenQueues(t *testing.T) {
	s := start(t, 3, withMoves(5))
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
	s := start(t, 6, withMoves(2))
	s.do(refuse(model.ReasonBusy), refuse(model.ReasonBusy))
	wantAttempt(t, s.step, "payouts-a", false)
}

func TestMovesSpendNoBudget(t *testing.T) {
	table := newFakeTable(3)
	engine := testEngine(table)
	now := epoch
	r := testRequest()
	withMoves(5)(&r)
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

func TestExtraAttemptsStayWithinFleetBudget(t *testing.T) {
	const entries, extra, ratio = 10, 58.0, 0.2
	for _, perSecond := range []int{1, 20} {
		total := 0
		for range entries {
			total += extraAttempts(t, entries, extra, ratio, perSecond)
		}
		first := entries * perSecond * int(fleetWindow.Seconds())
		if most := int(ratio*float64(first) + extra); total > most {
			t.Errorf("%d requests a second: %d extra attempts in a window, want at most %d", perSecond, total, most)
		}
	}
}

// extraAttempts simulates one entry whose attempts all fail and returns the extra attempts
// of one window after a quiet time.
func extraAttempts(t *testing.T, entries int, extra, ratio float64, perSecond int) int {
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
	attempts := 0
	for n := range perSecond * int(fleetWindow.Seconds()) {
		now := epoch.Add(time.Duration(n) * time.Second / time.Duration(perSecond))
		c := engine.Begin(now, r)
		at := now
		for s := c.Next(at); s.Kind != StepEnd; s = c.Next(at) {
			if s.Kind == StepWait {
				at = s.Until
				continue
			}
			attempts++
			c.Refused(at, model.Refusal{Reason: model.ReasonWorkerBroken})
		}
		attempts--
	}
	return attempts
}

// offers returns how many owners a call is offered to. Each owner starts it at once or, if
// full, refuses it as busy where it may move and queues it otherwise. delayed is the share
// of attempts that the owners report not to start at once, in thousandths.
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

// All owners are full. If requests kept moving, each would be offered to six owners, of
// which one in 25 starts it, and the bytes and CPU time of these offers would delay the
// requests that run.
func TestMovesStopDuringOverload(t *testing.T) {
	e, r := testEngine(newFakeTable(6)), testRequest()
	withMoves(5)(&r)
	if n := offers(e, r, true, 960); n != 6 {
		t.Errorf("%d offers of the first request, want six", n)
	}
	for range 5 {
		offers(e, r, true, 960)
	}
	if n := offers(e, r, true, 960); n != 1 {
		t.Errorf("%d offers of a request during the overload, want one", n)
	}
	for range 5 {
		offers(e, r, false, 250)
	}
	if n := offers(e, r, true, 250); n != 6 {
		t.Errorf("%d offers after the overload, want six", n)
	}
}

// While noisy neighbours slow a third of the owners, moving a request is still worth it.
func TestMovesContinueWhileAThirdOfOwnersIsSlow(t *testing.T) {
	var s startRate
	rng := rand.New(rand.NewPCG(1, 2))
	moves, few := 0, 0
	for range 1000 {
		share := 0.95
		if rng.IntN(3) == 0 {
			share = 0.2
		}
		s.observe(share)
		moves += s.maxMoves(5)
		if s.maxMoves(5) < 4 {
			few++
		}
	}
	if moves < 4900 || few > 10 {
		t.Errorf("%d moves in 1000 requests, fewer than four in %d; want at least 4900 and at most 10", moves, few)
	}
}

// A request that workers had refused was queued at one more owner, without regard to the
// class's bound or the fleet's budget, once all owners had been asked and one was busy.
func TestQueueingAfterRefusalsByWorkersIsWithinMaxAttempts(t *testing.T) {
	s := start(t, 3, withMoves(5), func(r *Request) {
		class := *r.Target.Class
		class.MaxAttempts = 2
		r.Target.Class = &class
	})
	s.do(refuse(model.ReasonBusy), refuse(model.ReasonWorkerShed), refuse(model.ReasonWorkerShed))
	wantEnd(t, s.step, model.OutcomeNotRun, model.ReasonWorkerShed)
}
