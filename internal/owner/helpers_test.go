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
	// decided holds the decisions returned by all calls so far.
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

// newRig returns an owner with a live worker, a minute after its start.
func newRig(t testing.TB, svc *bundle.Service) *rig {
	t.Helper()
	start := time.Date(2025, 1, 1, 0, 0, 0, 0, time.UTC)
	self := model.Instance{ID: testOwner, Service: svc.Name, Incarnation: testIncarnation}
	r := &rig{t: t, o: New(Config{Self: self, Started: start}), now: start.Add(time.Minute)}
	r.o.Configure(r.now, testBundle(svc), svc, 2)
	r.o.SetState(r.now, model.StateLive)
	return r
}

// advance moves the clock by d.
func (r *rig) advance(d time.Duration) { r.now = r.now.Add(d) }

// tick moves the clock by d and calls Tick.
func (r *rig) tick(d time.Duration) []Decision {
	r.advance(d)
	return r.collect(r.o.Tick(r.now))
}

func (r *rig) collect(ds []Decision) []Decision {
	r.decided = append(r.decided, ds...)
	return ds
}

// attempt returns a new non-idempotent attempt sent now.
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

// keyed returns a new attempt with a caller's own request id.
func (r *rig) keyed(id model.RequestID) *model.Attempt {
	a := r.attempt()
	a.Request = id
	a.CallerKey = true
	return a
}

// offer offers a and returns the result.
func (r *rig) offer(a *model.Attempt) offerResult {
	v, refusal := r.o.Offer(r.now, a, false)
	return offerResult{v, refusal}
}

func (r *rig) finish(a *model.Attempt, f Completion) []Decision {
	return r.collect(r.o.Finish(r.now, a.ID, f))
}

func (r *rig) resolve(a *model.Attempt, remaining time.Duration) model.AttemptState {
	reply, ds := r.o.Resolve(r.now, wire.Resolve{
		Attempt: a.ID, OwnerIncarnation: a.OwnerIncarnation, Request: a.Request, Remaining: remaining,
	})
	r.collect(ds)
	return reply.State
}

// offerResult is the result of an offer.
type offerResult struct {
	Kind    DecisionKind
	Refusal model.Refusal
}

var started = offerResult{Kind: Start}
var enqueued = offerResult{Kind: Queue}

// refused is a refusal without Retry-After.
func refused(reason model.Reason, notRun bool) offerResult {
	return offerResult{Refuse, model.Refusal{Reason: reason, NotRun: notRun}}
}

// want compares an offer's result with the expected one, without Retry-After.
func (r *rig) want(got, want offerResult) {
	r.t.Helper()
	got.Refusal.RetryAfter = 0
	if d := cmp.Diff(want, got); d != "" {
		r.t.Fatalf("offer result (-want +got):\n%s", d)
	}
}

// wantDecisions compares decisions, without Retry-After.
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

// fill starts n attempts.
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

func startDecision(a *model.Attempt) Decision { return Decision{Attempt: a.ID, Kind: Start} }

func refuseDecision(a *model.Attempt, reason model.Reason) Decision {
	return Decision{Attempt: a.ID, Kind: Refuse, Refusal: model.Refusal{Reason: reason, NotRun: true}}
}
