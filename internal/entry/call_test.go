package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// script drives one call: each action carries out the current step and reports its result.
type script struct {
	t     *testing.T
	call  *Call
	table *fakeTable
	now   time.Time
	step  Step
}

type action func(s *script)

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

// next gets the next step and waits as long as the steps ask for.
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

func (s *script) do(actions ...action) *script {
	for _, m := range actions {
		s.now = s.now.Add(time.Millisecond)
		m(s)
		s.next()
	}
	return s
}

func refuse(reason model.Reason) action {
	return func(s *script) {
		s.call.Report(s.now, reportOf(s.step.To.ID))
		s.call.Refused(s.now, model.Refusal{Reason: reason, NotRun: true, RetryAfter: 20 * time.Millisecond})
	}
}

func fail(reason model.Reason) action {
	return func(s *script) { s.call.Refused(s.now, model.Refusal{Reason: reason}) }
}

func resolveAs(state model.AttemptState) action {
	return func(s *script) {
		s.call.Resolved(s.now, wire.ResolveReply{Attempt: s.step.Attempt.ID, State: state, Report: reportOf(s.step.To.ID)})
	}
}

func interrupted(s *script)         { s.call.Interrupted(s.now, false) }
func interruptedResponse(s *script) { s.call.Interrupted(s.now, true) }
func answer(s *script)              { s.call.Answered(s.now, false) }
func serverError(s *script)         { s.call.Answered(s.now, true) }
func resolveFails(s *script)        { s.call.ResolveFailed(s.now) }
func callerCancels(s *script)       { s.call.CallerCancelled(s.now) }
func deadlinePasses(s *script)      { s.now = s.call.Deadline() }

// unreachable is reported by the adapter without a load report.
func unreachable(s *script) {
	s.call.Refused(s.now, model.Refusal{Reason: model.ReasonWorkerUnreachable, NotRun: true})
}

// resolveOther is a reply about another attempt.
func resolveOther(s *script) {
	s.call.Resolved(s.now, wire.ResolveReply{
		Attempt: model.AttemptID{Entry: "other", Incarnation: 1, Sequence: 1}, Report: reportOf(s.step.To.ID),
	})
}

// resolveByRestarted is a reply of the owner's next incarnation.
func resolveByRestarted(s *script) {
	r := reportOf(s.step.To.ID)
	r.Incarnation++
	s.call.Resolved(s.now, wire.ResolveReply{Attempt: s.step.Attempt.ID, State: model.AttemptNeverSeen, Report: r})
}

func TestCallEnds(t *testing.T) {
	type traits = []func(*Request)
	tests := map[string]struct {
		owners  int
		traits  traits
		moves   []action
		outcome model.Outcome
		reason  model.Reason
	}{
		"answer":      {2, nil, []action{answer}, model.OutcomeAnswered, model.ReasonNone},
		"no upstream": {0, nil, nil, model.OutcomeNotRun, model.ReasonNoUpstream},
		"no upstream for a caller's key proves nothing about earlier submissions": {
			0, traits{keyed}, nil, model.OutcomeUnknown, model.ReasonNoUpstream},
		"all owners are overloaded": {
			2, nil, []action{refuse(model.ReasonOverloaded), refuse(model.ReasonQueueFull)},
			model.OutcomeNotRun, model.ReasonQueueFull},
		"cold for an unknown time": {
			1, nil, []action{refuse(model.ReasonNotReady)}, model.OutcomeNotRun, model.ReasonNotReady},
		"one owner cold, the other unreachable": {
			2, nil, []action{refuse(model.ReasonNotReady), unreachable}, model.OutcomeNotRun, model.ReasonWorkerUnreachable},
		"paused, and paused again": {
			1, nil, []action{refuse(model.ReasonPaused), refuse(model.ReasonPaused), refuse(model.ReasonPaused)},
			model.OutcomeNotRun, model.ReasonPaused},
		"tenant limit": {3, nil, []action{refuse(model.ReasonTenantLimit)}, model.OutcomeNotRun, model.ReasonTenantLimit},
		"duplicate, although this attempt did not run": {
			3, traits{keyed}, []action{refuse(model.ReasonDuplicateDone)}, model.OutcomeUnknown, model.ReasonDuplicateDone},
		"refused after the body was streamed": {
			3, traits{streamed}, []action{refuse(model.ReasonLeaving)}, model.OutcomeNotRun, model.ReasonLeaving},
		"server error of the worker is the response": {2, nil, []action{serverError}, model.OutcomeAnswered, model.ReasonNone},
		"server error of the worker with no other owner": {
			1, traits{idempotent}, []action{serverError}, model.OutcomeAnswered, model.ReasonNone},
		"response of the worker is broken": {2, nil, []action{fail(model.ReasonWorkerBroken)}, model.OutcomeUnknown, model.ReasonWorkerBroken},
		"interrupted after part of the response was sent": {
			2, traits{idempotent}, []action{interruptedResponse}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"rest of a streamed response is missing": {
			2, nil, []action{answer, interruptedResponse}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"resolved as started":   {2, nil, []action{interrupted, resolveAs(model.AttemptStarted)}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"resolved as done":      {2, nil, []action{interrupted, resolveAs(model.AttemptDone)}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"resolved as forgotten": {2, nil, []action{interrupted, resolveAs(model.AttemptForgotten)}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"resolved as queued after the body was streamed": {
			2, traits{streamed}, []action{interrupted, resolveAs(model.AttemptQueued)}, model.OutcomeNotRun, model.ReasonLinkBroken},
		"resolved by another incarnation": {
			2, nil, []action{interrupted, resolveByRestarted}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"caller cancels before the response": {2, nil, []action{callerCancels}, model.OutcomeUnknown, model.ReasonCancelled},
		"no response until the deadline":     {2, nil, []action{deadlinePasses}, model.OutcomeUnknown, model.ReasonExpired},
		"interrupted at the deadline": {
			2, nil, []action{func(s *script) { deadlinePasses(s); interrupted(s) }}, model.OutcomeUnknown, model.ReasonExpired},
		"unresolved at the deadline": {2, nil, []action{interrupted, deadlinePasses}, model.OutcomeUnknown, model.ReasonLinkBroken},
		"home node unreachable": {
			1, traits{keyed}, []action{unreachable, unreachable, unreachable}, model.OutcomeUnknown, model.ReasonWorkerUnreachable},
		"home node unreachable after it had refused": {
			1, traits{keyed}, []action{refuse(model.ReasonNotReady), unreachable, unreachable},
			model.OutcomeUnknown, model.ReasonWorkerUnreachable},
		"owner unreachable without a key": {
			1, nil, []action{unreachable}, model.OutcomeNotRun, model.ReasonWorkerUnreachable},
		"home node refuses without registering": {
			1, traits{keyed}, []action{refuse(model.ReasonTenantLimit)}, model.OutcomeNotRun, model.ReasonTenantLimit},
		"idempotent and interrupted, then refused by the rest": {
			2, traits{idempotent}, []action{interrupted, refuse(model.ReasonTenantLimit)}, model.OutcomeUnknown, model.ReasonTenantLimit},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, tt.owners, tt.traits...).do(tt.moves...)
			wantEnd(t, s.step, tt.outcome, tt.reason)
			if again := s.call.Next(s.now); !cmp.Equal(again, s.step) {
				t.Errorf("Next returned a different end: %s", cmp.Diff(s.step, again))
			}
			if !s.table.balanced() {
				t.Errorf("Sent and Done do not balance: %v", s.table.inFlight)
			}
		})
	}
}

func TestCallNextStep(t *testing.T) {
	tests := map[string]struct {
		traits []func(*Request)
		moves  []action
		kind   StepKind
		to     model.InstanceID
	}{
		"another owner after a refusal":                      {nil, []action{refuse(model.ReasonQueueFull)}, StepSend, "payouts-b"},
		"another owner after a failed connection":            {nil, []action{unreachable}, StepSend, "payouts-b"},
		"the same owner with fresh clock":                    {nil, []action{refuse(model.ReasonStale)}, StepSend, "payouts-a"},
		"another owner after a second stale":                 {nil, []action{refuse(model.ReasonStale), refuse(model.ReasonStale)}, StepSend, "payouts-b"},
		"resolution after an interruption":                   {nil, []action{interrupted}, StepResolve, "payouts-a"},
		"resolution after a refusal without proof":           {nil, []action{fail(model.ReasonCancelled)}, StepResolve, "payouts-a"},
		"resolution again after no reply":                    {nil, []action{interrupted, resolveFails}, StepResolve, "payouts-a"},
		"resolution again after a reply for another attempt": {nil, []action{interrupted, resolveOther}, StepResolve, "payouts-a"},
		"another owner once resolved as fenced":              {nil, []action{interrupted, resolveAs(model.AttemptFenced)}, StepSend, "payouts-b"},
		"another owner after an interruption, if idempotent": {
			[]func(*Request){idempotent}, []action{interrupted}, StepSend, "payouts-b"},
		"another owner after a server error, if idempotent": {
			[]func(*Request){idempotent}, []action{serverError}, StepSend, "payouts-b"},
		"the home node again once resolved as never seen": {
			[]func(*Request){keyed}, []action{interrupted, resolveAs(model.AttemptNeverSeen)}, StepSend, "payouts-a"},
		"the home node again after a failed connection": {[]func(*Request){keyed}, []action{unreachable}, StepSend, "payouts-a"},
		"another owner once delegated":                  {[]func(*Request){keyed}, []action{refuse(model.ReasonDelegated)}, StepSend, "payouts-b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := start(t, 3, tt.traits...).do(tt.moves...)
			wantStep(t, s.step, tt.kind, tt.to)
		})
	}
}

func TestResentAttemptUsesTheReportsIncarnationAndClock(t *testing.T) {
	s := start(t, 2)
	s.table.owners[0].Incarnation = 0
	first := s.step.Attempt
	s.do(refuse(model.ReasonIncarnation))
	got := s.step.Attempt
	if got.OwnerIncarnation != 7 || got.OwnerClock != 2*time.Second || got.ID == first.ID {
		t.Fatalf("resent as %+v, want a new id, incarnation 7 and clock 2s", got)
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

func TestHomeIsNotifiedOfDelegatedOutcome(t *testing.T) {
	tests := map[string]struct {
		moves []action
		want  model.Outcome
	}{
		"answered":       {[]action{answer}, model.OutcomeAnswered},
		"not run":        {[]action{refuse(model.ReasonTenantLimit)}, model.OutcomeNotRun},
		"unknown":        {[]action{deadlinePasses}, model.OutcomeUnknown},
		"caller cancels": {[]action{callerCancels}, model.OutcomeUnknown},
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

func TestRetryAfterForCaller(t *testing.T) {
	tests := map[string]struct {
		traits []func(*Request)
		moves  []action
		want   time.Duration
	}{
		"the owner's Retry-After":        {nil, []action{refuse(model.ReasonTenantLimit)}, 20 * time.Millisecond},
		"no Retry-After":                 {[]func(*Request){streamed}, []action{unreachable}, defaultRetryAfter},
		"unknown must not be sent again": {nil, []action{interruptedResponse}, 0},
		"unknown but idempotent":         {[]func(*Request){idempotent}, []action{interruptedResponse}, defaultRetryAfter},
		"unknown but with a key":         {[]func(*Request){keyed}, []action{interruptedResponse}, defaultRetryAfter},
		"answered needs no Retry-After":  {nil, []action{answer}, 0},
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

func TestOutcomeResolutionRetriesUntilDeadline(t *testing.T) {
	s := start(t, 2).do(interrupted)
	asked := 0
	for s.step.Kind == StepResolve && asked <= 10 {
		wantStep(t, s.step, StepResolve, "payouts-a")
		if s.step.Until.After(s.call.Deadline()) {
			t.Fatalf("resolution until %v, after the deadline", s.step.Until)
		}
		asked++
		s.call.ResolveFailed(s.now)
		s.next()
	}
	wantEnd(t, s.step, model.OutcomeUnknown, model.ReasonLinkBroken)
	if !s.now.Equal(s.call.Deadline()) {
		t.Errorf("gave up at %v, before the deadline", s.now)
	}
	if asked < 5 || asked > 10 {
		t.Errorf("asked %d times, want 5 to 10", asked)
	}
}

func TestCallEndsAtOnceWhenAllOwnersRefuse(t *testing.T) {
	s := start(t, 6)
	for range maxOwners {
		wantStep(t, s.step, StepSend, s.step.To.ID)
		s.call.Report(s.now, reportOf(s.step.To.ID))
		s.call.Refused(s.now, model.Refusal{Reason: model.ReasonNotReady, NotRun: true, RetryAfter: 2 * testTimeout})
		s.step = s.call.Next(s.now)
	}
	wantEnd(t, s.step, model.OutcomeNotRun, model.ReasonNotReady)
}
