package owner

import (
	"math/rand/v2"
	"testing"
	"time"

	"gypsumstand/internal/dialect"
	"gypsumstand/internal/model"
)

func named(perSecond float64) dialect.RateLimit {
	return dialect.RateLimit{Kind: dialect.RateLimitNamed, PerSecond: perSecond}
}

var noRateLimit = dialect.RateLimit{Kind: dialect.RateLimitNone}

// hear passes the owner a response to a request sent now.
func (r *rig) hear(l dialect.RateLimit) RateLimitChange {
	ds, change := r.o.ObserveRateLimit(r.now, r.now, l)
	r.collect(ds)
	return change
}

// offerFor offers up to perTick attempts every 10 ms for d, each of which may wait a second
// and takes service, and returns the times of the starts.
func (r *rig) offerFor(d time.Duration, perTick int, service time.Duration) []time.Time {
	var starts []time.Time
	type running struct {
		id  model.AttemptID
		end time.Time
	}
	var runs []running
	for end := r.now.Add(d); r.now.Before(end); {
		r.tick(10 * time.Millisecond)
		for len(runs) > 0 && !r.now.Before(runs[0].end) {
			r.collect(r.o.Finish(r.now, runs[0].id, Completion{ServiceTime: service, Status: 200}))
			runs = runs[1:]
		}
		for range perTick {
			a := r.attempt()
			if kind, _ := r.o.Offer(r.now, a, false); kind == Start {
				runs = append(runs, running{a.ID, r.now.Add(service)})
				starts = append(starts, r.now)
			}
		}
		for _, a := range takeStarted(r) {
			runs = append(runs, running{a.ID, r.now.Add(service)})
			starts = append(starts, r.now)
		}
	}
	return starts
}

func TestOwnerStartsAtTheNamedRateUnderOverload(t *testing.T) {
	for _, perSecond := range []float64{0, 0.3, 1, 4.3, 20} {
		svc := testService()
		svc.Slots, svc.Connections, svc.QueueLimit = 18, 200, 40
		r := newRig(t, svc)
		r.hear(named(perSecond))
		starts := r.offerFor(20*time.Second, 3, 50*time.Millisecond)
		rate := max(perSecond, minRateLimit)
		if got := float64(len(starts)); got > rate*20+float64(model.RateBurst(rate)) || got < 0.9*rate*20-1 {
			t.Errorf("%g a second: %d starts in 20 s", perSecond, len(starts))
		}
		for i := range starts {
			n := 0
			for _, at := range starts[i:] {
				if at.Sub(starts[i]) < 4*time.Second {
					n++
				}
			}
			if float64(n) > 6*perSecond+5 {
				t.Fatalf("%g a second: %d starts in 4 s", perSecond, n)
			}
		}
	}
}

// Responses on several connections overtake each other.
func TestRateLimitEndsOnlyWithResponseToLaterRequest(t *testing.T) {
	r := newRig(t, testService())
	sentBefore := r.now
	r.advance(10 * time.Millisecond)
	if got := r.hear(named(3)); got != RateLimitSet {
		t.Errorf("a first limit: %v", got)
	}
	r.advance(10 * time.Millisecond)
	if _, change := r.o.ObserveRateLimit(r.now, sentBefore, noRateLimit); change != RateLimitUnchanged {
		t.Errorf("an overtaken response: %v", change)
	}
	if got := r.hear(dialect.RateLimit{Kind: dialect.RateLimitMalformed}); got != RateLimitUnusable {
		t.Errorf("a malformed limit: %v", got)
	}
	if _, change := r.o.ObservePolledRateLimit(r.now, r.now, noRateLimit); change != RateLimitUnchanged {
		t.Errorf("a health response without a limit: %v", change)
	}
	if got := r.hear(named(3.2)); got != RateLimitUnchanged {
		t.Errorf("almost the same limit: %v", got)
	}
	if perSecond, on := r.o.RateLimit(); !on || perSecond != 3.2 {
		t.Errorf("limit %v, named %v", perSecond, on)
	}
	if got := r.hear(noRateLimit); got != RateLimitEnded {
		t.Errorf("a later response: %v", got)
	}
	r.o.ObservePolledRateLimit(r.now, r.now, named(1))
	if _, change := r.o.ObservePolledRateLimit(r.now, r.now, noRateLimit); change != RateLimitEnded {
		t.Errorf("a health response without a limit after one with it: %v", change)
	}
	r.hear(named(1))
	r.o.WorkerRestarted(r.now)
	if _, on := r.o.RateLimit(); on {
		t.Error("the limit of the previous worker incarnation is in use")
	}
}

func TestAttemptBeyondTheRateIsRefusedAtOnceWithTrueRetryAfter(t *testing.T) {
	svc := testService()
	svc.Slots, svc.Connections, svc.QueueLimit = 18, 200, 40
	r := newRig(t, svc)
	r.hear(named(0.5))
	r.want(r.offer(r.attempt()), refused(model.ReasonOverloaded, true))
	_, refusal := r.o.Offer(r.now, r.attempt(), false)
	if refusal.RetryAfter != 2*time.Second {
		t.Errorf("Retry-After %s with an empty bucket at one start in 2 s", refusal.RetryAfter)
	}
	moving := r.attempt()
	moving.MayMove = true
	if _, refusal := r.o.Offer(r.now, moving, false); refusal.Reason != model.ReasonBusy || refusal.RetryAfter != 2*time.Second {
		t.Errorf("an attempt that may move: %+v", refusal)
	}
	r.advance(2 * time.Second)
	r.want(r.offer(r.attempt()), started)
}

func TestUrgentClassGetsTheStartsFirst(t *testing.T) {
	svc := testService()
	svc.Slots, svc.Connections, svc.QueueLimit = 18, 200, 40
	r := newRig(t, svc)
	r.hear(named(2))
	low, high := r.attempt(), r.attempt()
	low.Class, low.Worth, low.Remaining = "view", 1, 5*time.Second
	r.want(r.offer(low), enqueued)
	high.Remaining = 5 * time.Second
	r.want(r.offer(high), enqueued)
	for range 60 {
		r.tick(10 * time.Millisecond)
	}
	if got := takeStarted(r); len(got) != 1 || got[0].ID != high.ID {
		t.Errorf("started %v, want the attempt of greater worth only", got)
	}
}

// The worker may have named a limit to the process before.
func TestNewOwnerHoldsBackUntilTheFirstResponse(t *testing.T) {
	svc := testService()
	svc.Slots, svc.Connections, svc.QueueLimit = 18, 200, 40
	r := newRig(t, svc)
	r.o = New(Config{Self: r.o.cfg.Self, Started: r.now, WorkersNameRateLimits: true})
	r.o.Configure(r.now, testBundle(svc), svc, 2)
	r.o.SetState(r.now, model.StateLive)
	r.advance(time.Millisecond)
	r.fill(maxUnheardInFlight)
	r.want(r.offer(r.attempt()), enqueued)
	r.hear(noRateLimit)
	if got := len(takeStarted(r)); got != 1 {
		t.Errorf("%d queued attempts started after the first response, want 1", got)
	}
	r.fill(svc.Slots - maxUnheardInFlight - 1)
}

// Limits come, change and go at random; the allowed number is that of the highest limit of
// the last 4 s.
func TestChangingRateLimitsAreKept(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		svc := testService()
		svc.Slots, svc.Connections, svc.QueueLimit = 18, 200, 40
		r := newRig(t, svc)
		highest := 1 + 8*rng.Float64()
		r.hear(named(highest))
		var starts []time.Time
		for range 30 {
			starts = append(starts, r.offerFor(time.Duration(rng.Int64N(int64(time.Second))), 1+rng.IntN(3), 30*time.Millisecond)...)
			r.hear(named(highest * rng.Float64()))
		}
		first := 0
		for i, at := range starts {
			for at.Sub(starts[first]) >= 4*time.Second {
				first++
			}
			if n := float64(i - first + 1); n > 6*highest+5 {
				t.Fatalf("seed %d: %g starts in 4 s at limits up to %g", seed, n, highest)
			}
		}
	}
}
