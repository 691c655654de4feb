package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	testOwner       model.InstanceID  = "w1"
	testIncarnation model.Incarnation = 7
)

// rig drives one owner on a fake clock.
type rig struct {
	t   testing.TB
	o   *Owner
	now time.Time
	// seq is the last sequence number of the rig's entry.
	seq uint64
	// decided holds the decisions of all calls so far.
	decided []Decision
}

func testService() *bundle.Service {
	return &bundle.Service{Name: "payout", Slots: 2, Connections: 10, QueueLimit: 4, WarmupMs: 0, KeyMemoryMs: 60_000}
}

func testBundle(svc *bundle.Service) *bundle.Bundle {
	return &bundle.Bundle{
		Name: "b", Version: 3,
		Classes: []bundle.Class{
			{Name: "payout", Worth: 10, DeadlineMs: 2000, Share: 0.5},
			{Name: "view", Worth: 1, DeadlineMs: 1000},
			{Name: "lookup", Worth: 0, DeadlineMs: 500},
		},
		Services: []bundle.Service{*svc},
	}
}

// newRig returns a live owner a minute after its start.
func newRig(t testing.TB, svc *bundle.Service) *rig {
	t.Helper()
	start := time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)
	self := model.Instance{ID: testOwner, Service: svc.Name, Incarnation: testIncarnation}
	r := &rig{t: t, o: New(Config{Self: self, Started: start}), now: start.Add(time.Minute)}
	r.o.Configure(r.now, testBundle(svc), svc, 2)
	r.o.SetState(r.now, model.StateLive)
	return r
}

// pass moves the clock by d.
func (r *rig) pass(d time.Duration) { r.now = r.now.Add(d) }

// tick moves the clock by d and ticks.
func (r *rig) tick(d time.Duration) []Decision {
	r.pass(d)
	return r.keep(r.o.Tick(r.now))
}

func (r *rig) keep(ds []Decision) []Decision {
	r.decided = append(r.decided, ds...)
	return ds
}

// attempt returns a fresh non-idempotent attempt sent just now.
func (r *rig) attempt() *model.Attempt {
	r.seq++
	return &model.Attempt{
		ID:               model.AttemptID{Entry: "e1", Incarnation: 1, Sequence: r.seq},
		Request:          model.RequestID("r" + time.Duration(r.seq).String()),
		Owner:            testOwner,
		OwnerIncarnation: testIncarnation,
		Service:          "payout",
		Class:            "payout",
		Worth:            10,
		Remaining:        time.Second,
		OwnerClock:       r.o.Report(r.now).Clock,
	}
}

// keyed returns a fresh attempt with a caller's own request id.
func (r *rig) keyed(id model.RequestID) *model.Attempt {
	a := r.attempt()
	a.Request = id
	a.CallerKey = true
	return a
}

// offer offers a and returns the answer.
func (r *rig) offer(a *model.Attempt) answer {
	v, refusal := r.o.Offer(r.now, a, false)
	return answer{v, refusal}
}

func (r *rig) finish(a *model.Attempt, f Completion) []Decision {
	return r.keep(r.o.Finish(r.now, a.ID, f))
}

func (r *rig) settle(a *model.Attempt, remaining time.Duration) model.AttemptState {
	reply, ds := r.o.Resolve(r.now, wire.Resolve{
		Attempt: a.ID, OwnerIncarnation: a.OwnerIncarnation, Request: a.Request, Remaining: remaining,
	})
	r.keep(ds)
	return reply.State
}

// answer is the result of an offer.
type answer struct {
	Verdict DecisionKind
	Refusal model.Refusal
}

var started = answer{Verdict: Start}
var waits = answer{Verdict: Queue}

// refused is a refusal without its advice.
func refused(reason model.Reason, notRun bool) answer {
	return answer{Refuse, model.Refusal{Reason: reason, NotRun: notRun}}
}

// want compares a with an expected answer, without the advice to come back.
func (r *rig) want(got, want answer) {
	r.t.Helper()
	got.Refusal.RetryAfter = 0
	if d := cmp.Diff(want, got); d != "" {
		r.t.Fatalf("answer (-want +got):\n%s", d)
	}
}

// wantDecisions compares decisions, without the advice to come back.
func (r *rig) wantDecisions(got []Decision, want ...Decision) {
	r.t.Helper()
	var plain []Decision
	for _, d := range got {
		d.Refusal.RetryAfter = 0
		plain = append(plain, d)
	}
	if d := cmp.Diff(want, plain); d != "" {
		r.t.Fatalf("decisions (-want +got):\n%s", d)
	}
}

// fill starts attempts until the slots are taken.
func (r *rig) fill(n int) []*model.Attempt {
	r.t.Helper()
	var out []*model.Attempt
	for range n {
		a := r.attempt()
		r.want(r.offer(a), started)
		out = append(out, a)
	}
	return out
}

func startOf(a *model.Attempt) Decision { return Decision{Attempt: a.ID, Kind: Start} }

func refusalOf(a *model.Attempt, reason model.Reason) Decision {
	return Decision{Attempt: a.ID, Kind: Refuse, Refusal: model.Refusal{Reason: reason, NotRun: true}}
}
