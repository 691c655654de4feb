package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// script drives one call: each move takes the outstanding step and reports.
type script struct {
	t     *testing.T
	call  *Call
	table *fakeTable
	now   time.Time
	step  Step
}

type move func(s *script)

func start(t *testing.T, owners int, traits ...func(*Request)) *script {
	r := testRequest()
	for _, trait := range traits {
		trait(&r)
	}
	table := newFakeTable(owners)
	s := &script{t: t, table: table, now: epoch}
	s.call = testEngine(table).Begin(epoch, r)
	s.next()
	return s
}

// next asks for a step and waits out waits.
func (s *script) next() {
	s.step = s.call.Next(s.now)
	for s.step.Kind == StepWait {
		if !s.step.Until.After(s.now) || s.step.Until.After(s.call.Deadline()) {
			s.t.Fatalf("wait at %v until %v", s.now.Sub(epoch), s.step.Until.Sub(epoch))
		}
		s.now = s.step.Until
		s.step = s.call.Next(s.now)
	}
}

func (s *script) do(moves ...move) *script {
	for _, m := range moves {
		s.now = s.now.Add(time.Millisecond)
		m(s)
		s.next()
	}
	return s
}

func refuse(reason model.Reason) move {
	return func(s *script) {
		s.call.Report(s.now, reportOf(s.step.To.ID))
		s.call.Refused(s.now, model.Refusal{Reason: reason, NotRun: true, RetryAfter: 20 * time.Millisecond})
	}
}

func fail(reason model.Reason) move {
	return func(s *script) { s.call.Refused(s.now, model.Refusal{Reason: reason}) }
}

func settle(state model.AttemptState) move {
	return func(s *script) {
		s.call.Resolved(s.now, wire.ResolveReply{Attempt: s.step.Attempt.ID, State: state, Report: reportOf(s.step.To.ID)})
	}
}

func broken(s *script)       { s.call.Interrupted(s.now, false) }
func cut(s *script)          { s.call.Interrupted(s.now, true) }
func answer(s *script)       { s.call.Answered(s.now, false) }
func serverError(s *script)  { s.call.Answered(s.now, true) }
func settleFailed(s *script) { s.call.ResolveFailed(s.now) }
func gone(s *script)         { s.call.CallerCancelled(s.now) }
func late(s *script)         { s.now = s.call.Deadline() }

// unreachable is reported by the adapter without a report of the owner.
func unreachable(s *script) {
	s.call.Refused(s.now, model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true})
}

func crossedSettle(s *script) {
	s.call.Resolved(s.now, wire.ResolveReply{
		Attempt: model.AttemptID{Entry: "other", Incarnation: 1, Sequence: 1}, Report: reportOf(s.step.To.ID),
	})
}

func restartedSettle(s *script) {
	r := reportOf(s.step.To.ID)
	r.Incarnation++
	s.call.Resolved(s.now, wire.ResolveReply{Attempt: s.step.Attempt.ID, State: model.AttemptNeverSeen, Report: r})
}

func TestCallEnds(t *testing.T) {
	type traits = []func(*Request)
	tests := map[string]struct {
		owners  int
		traits  traits
		moves   []move
		outcome model.Outcome
		reason  model.Reason
	}{
		"answer":      {2, nil, []move{answer}, model.OutcomeAnswered, model.ReasonNone},
		"no upstream": {0, nil, nil, model.OutcomeNotRun, model.ReasonNoUpstream},
		"no upstream for a caller's key proves nothing of earlier sendings": {
			0, traits{keyed}, nil, model.OutcomeUnknown, model.ReasonNoUpstream},
		"no room at any": {
			2, nil, []move{refuse(model.ReasonOverloaded), refuse(model.ReasonQueueFull)},
			model.OutcomeNotRun, model.ReasonQueueFull},
		"cold, which nobody knows the end of": {
			1, nil, []move{refuse(model.ReasonNotReady)}, model.OutcomeNotRun, model.ReasonNotReady},
		"cold at one and out of reach at the other": {
			2, nil, []move{refuse(model.ReasonNotReady), unreachable}, model.OutcomeNotRun, model.ReasonWorkerUnreachable},
		"paused, and paused again": {
			1, nil, []move{refuse(model.ReasonPaused), refuse(model.ReasonPaused), refuse(model.ReasonPaused)},
			model.OutcomeNotRun, model.ReasonPaused},
		"tenant limit": {3, nil, []move{refuse(model.ReasonTenantLimit)}, model.OutcomeNotRun, model.ReasonTenantLimit},
		"duplicate, although this attempt did not run": {
			3, traits{keyed}, []move{refuse(model.ReasonDuplicateDone)}, model.OutcomeUnknown, model.ReasonDuplicateDone},
		"refused with the body gone": {
			3, traits{streamed}, []move{refuse(model.ReasonLeaving)}, model.OutcomeNotRun, model.ReasonLeaving},
		"error of the worker passes through": {2, nil, []move{serverError}, model.OutcomeAnswered, model.ReasonNone},
		"error of the worker with no other owner": {
			1, traits{idempotent}, []move{serverError}, model.OutcomeAnswered, model.ReasonNone},
		"worker broke": {2, nil, []move{fail(model.ReasonWorkerBroken)}, model.OutcomeUnknown, model.ReasonWorkerBroken},
		"part of an answer went on": {
			2, traits{idempotent}, []move{cut}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"rest of a streamed answer is missing": {
			2, nil, []move{answer, cut}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"settled as started":   {2, nil, []move{broken, settle(model.AttemptStarted)}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"settled as done":      {2, nil, []move{broken, settle(model.AttemptDone)}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"settled as forgotten": {2, nil, []move{broken, settle(model.AttemptForgotten)}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"settled as queued with the body gone": {
			2, traits{streamed}, []move{broken, settle(model.AttemptQueued)}, model.OutcomeNotRun, model.ReasonLinkBroken},
		"settled by another incarnation": {
			2, nil, []move{broken, restartedSettle}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"caller gone before the answer": {2, nil, []move{gone}, model.OutcomeUnknown, model.ReasonCancelled},
		"silence until the deadline":    {2, nil, []move{late}, model.OutcomeUnknown, model.ReasonExpired},
		"broken at the deadline": {
			2, nil, []move{func(s *script) { late(s); broken(s) }}, model.OutcomeUnknown, model.ReasonExpired},
		"unsettled at the deadline": {2, nil, []move{broken, late}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"home unreachable": {
			1, traits{keyed}, []move{unreachable, unreachable, unreachable}, model.OutcomeUnknown, model.ReasonWorkerUnreachable},
		"home unreachable after it had refused": {
			1, traits{keyed}, []move{refuse(model.ReasonNotReady), unreachable, unreachable},
			model.OutcomeUnknown, model.ReasonWorkerUnreachable},
		"owner unreachable without a key": {
			1, nil, []move{unreachable}, model.OutcomeNotRun, model.ReasonWorkerUnreachable},
		"home refuses without registering": {
			1, traits{keyed}, []move{refuse(model.ReasonTenantLimit)}, model.OutcomeNotRun, model.ReasonTenantLimit},
		"idempotent and broken, then refused by the rest": {
			2, traits{idempotent}, []move{broken, refuse(model.ReasonTenantLimit)}, model.OutcomeUnknown, model.ReasonTenantLimit},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, tt.owners, tt.traits...).do(tt.moves...)
			wantEnd(t, s.step, tt.outcome, tt.reason)
			if again := s.call.Next(s.now); !cmp.Equal(again, s.step) {
				t.Errorf("the end changed: %s", cmp.Diff(s.step, again))
			}
			if !s.table.balanced() {
				t.Errorf("Sent and Done do not balance: %v", s.table.inFlight)
			}
		})
	}
}

func TestCallGoesOnWith(t *testing.T) {
	tests := map[string]struct {
		traits []func(*Request)
		moves  []move
		kind   StepKind
		to     model.InstanceID
	}{
		"another owner after a refusal":          {nil, []move{refuse(model.ReasonQueueFull)}, StepSend, "payouts-b"},
		"another owner after no connection":      {nil, []move{unreachable}, StepSend, "payouts-b"},
		"the same owner with a fresh stamp":      {nil, []move{refuse(model.ReasonStale)}, StepSend, "payouts-a"},
		"another owner after a second stale":     {nil, []move{refuse(model.ReasonStale), refuse(model.ReasonStale)}, StepSend, "payouts-b"},
		"settlement after a break":               {nil, []move{broken}, StepResolve, "payouts-a"},
		"settlement after an unproved refusal":   {nil, []move{fail(model.ReasonCancelled)}, StepResolve, "payouts-a"},
		"settlement again after silence":         {nil, []move{broken, settleFailed}, StepResolve, "payouts-a"},
		"settlement again after a crossed reply": {nil, []move{broken, crossedSettle}, StepResolve, "payouts-a"},
		"another owner once settled as barred":   {nil, []move{broken, settle(model.AttemptFenced)}, StepSend, "payouts-b"},
		"another owner after a break, if idempotent": {
			[]func(*Request){idempotent}, []move{broken}, StepSend, "payouts-b"},
		"another owner after an error, if idempotent": {
			[]func(*Request){idempotent}, []move{serverError}, StepSend, "payouts-b"},
		"the home again after it was settled": {
			[]func(*Request){keyed}, []move{broken, settle(model.AttemptNeverSeen)}, StepSend, "payouts-a"},
		"the home again after no connection": {[]func(*Request){keyed}, []move{unreachable}, StepSend, "payouts-a"},
		"another owner once delegated":       {[]func(*Request){keyed}, []move{refuse(model.ReasonDelegated)}, StepSend, "payouts-b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, 3, tt.traits...).do(tt.moves...)
			wantStep(t, s.step, tt.kind, tt.to)
		})
	}
}

func TestResentAttemptIsBoundAndStampedByTheReport(t *testing.T) {
	s := start(t, 2)
	s.table.owners[0].Incarnation = 0
	first := s.step.Attempt
	s.do(refuse(model.ReasonIncarnation))
	got := s.step.Attempt
	if got.OwnerIncarnation != 7 || got.OwnerClock != 2*time.Second || got.ID == first.ID {
		t.Fatalf("resent as %+v", got)
	}
}

func TestDelegatedRequestNeverReturnsToItsHome(t *testing.T) {
	s := start(t, 2, keyed).do(refuse(model.ReasonDelegated))
	for range DefaultTuning().MaxRounds {
		wantStep(t, s.step, StepSend, "payouts-b")
		if !s.step.Attempt.Delegated {
			t.Fatal("the attempt elsewhere is not marked as delegated")
		}
		s.do(refuse(model.ReasonNotReady))
	}
	wantStep(t, s.step, StepSend, "payouts-b")
}

func TestHomeIsToldHowADelegatedRequestEnded(t *testing.T) {
	tests := map[string]struct {
		moves []move
		want  model.Outcome
	}{
		"answered": {[]move{answer}, model.OutcomeAnswered},
		"not run":  {[]move{refuse(model.ReasonTenantLimit)}, model.OutcomeNotRun},
		"unknown":  {[]move{late}, model.OutcomeUnknown},
		"gone":     {[]move{gone}, model.OutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, 2, keyed)
			home := s.step.Attempt.ID
			s.do(refuse(model.ReasonDelegated)).do(tt.moves...)
			wantStep(t, s.step, StepEnd, "payouts-a")
			want := &wire.KeyResult{Request: "r1", Attempt: home, Outcome: tt.want}
			if diff := cmp.Diff(want, s.step.Notify); diff != "" {
				t.Fatal(diff)
			}
		})
	}
}

func TestCallerIsToldWhenToComeBack(t *testing.T) {
	tests := map[string]struct {
		traits []func(*Request)
		moves  []move
		want   time.Duration
	}{
		"the owner's advice":       {nil, []move{refuse(model.ReasonTenantLimit)}, 20 * time.Millisecond},
		"no advice":                {[]func(*Request){streamed}, []move{unreachable}, defaultRetryAfter},
		"unknown must not be sent": {nil, []move{cut}, 0},
		"unknown but idempotent":   {[]func(*Request){idempotent}, []move{cut}, defaultRetryAfter},
		"unknown but with a key":   {[]func(*Request){keyed}, []move{cut}, defaultRetryAfter},
		"answered needs no advice": {nil, []move{answer}, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, 2, tt.traits...).do(tt.moves...)
			if s.step.Kind != StepEnd || s.step.RetryAfter != tt.want {
				t.Fatalf("step %v, retry after %v, want end, %v", s.step.Kind, s.step.RetryAfter, tt.want)
			}
		})
	}
}

func TestSettlementIsAskedAgainUntilTheDeadline(t *testing.T) {
	s := start(t, 2).do(broken)
	asked := 0
	for s.step.Kind == StepResolve && asked <= 10 {
		wantStep(t, s.step, StepResolve, "payouts-a")
		if s.step.Until.After(s.call.Deadline()) {
			t.Fatalf("asked until %v, after the deadline", s.step.Until)
		}
		asked++
		s.call.ResolveFailed(s.now)
		s.next()
	}
	wantEnd(t, s.step, model.OutcomeUnknown, model.ReasonLinkBroken)
	if !s.now.Equal(s.call.Deadline()) {
		t.Errorf("gave up at %v", s.now)
	}
	if asked < 5 || asked > 10 {
		t.Errorf("asked %d times", asked)
	}
}

func TestFinalAnswerIsGivenAtOnce(t *testing.T) {
	s := start(t, 6)
	for range maxOwners {
		wantStep(t, s.step, StepSend, s.step.To.ID)
		s.call.Report(s.now, reportOf(s.step.To.ID))
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: 2 * testTimeout})
		s.step = s.call.Next(s.now)
	}
	wantEnd(t, s.step, model.OutcomeNotRun, model.ReasonNotReady)
}
