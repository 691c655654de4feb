package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// hedgeMinBudget is what a service's bucket must hold for a hedge. Refusals for load drain
// the bucket, so that hedging stops where it would worsen an overload.
const hedgeMinBudget = bucketDepth / 2

// Hedge starts a second attempt at another owner beside the one in flight. The adapter may
// call it once the step's HedgeAt has passed without a response; ok is false when the
// budgets or the owners left do not allow it.
//
// The hedge is a separate call for the same request with c's deadline; another goroutine
// may carry out its steps concurrently with c's. The first of the two that ends with a
// response provides the caller's, and the adapter calls CallerCancelled on the other. If
// neither does, the caller gets the result of CombineOutcomes.
func (c *Call) Hedge(now time.Time) (h *Call, ok bool) {
	if c.hedgeAt.IsZero() || !c.bucket.holds(hedgeMinBudget) {
		return nil, false
	}
	return c.hedge(now)
}

// HedgeUnreachable is Hedge for an attempt whose owner turned out to be unreachable: it
// doesn't wait for HedgeAt and needs no hedgeMinBudget, as it takes the place of the retry
// that would follow.
func (c *Call) HedgeUnreachable(now time.Time) (h *Call, ok bool) {
	if !c.req.Idempotent || !c.canResend() || c.hedged {
		return nil, false
	}
	return c.hedge(now)
}

func (c *Call) hedge(now time.Time) (h *Call, ok bool) {
	left := c.budget - c.current.RetryBudget
	if c.phase != phaseSent || left < 1 {
		return nil, false
	}
	choice, ok := c.choose(now)
	if !ok || !c.bucket.withdraw(now, retryCost) || !c.spendHedgeAttempt(now) {
		return nil, false
	}
	c.budget--
	c.tried.add(choice.Instance.ID)
	c.hedgeAt = time.Time{}
	c.hedged = true
	// Each of the two calls counts the other's attempt.
	c.workerAttempts++
	h = &Call{}
	*h = *c
	h.budget = 0
	h.estimate = choice.Estimate
	h.send(now, choice.Instance, choice.OwnerClock)
	return h, true
}

// spendHedgeAttempt is spendWorkerAttempt for a hedge: the attempt in flight counts as one
// that a worker received.
func (c *Call) spendHedgeAttempt(now time.Time) bool {
	c.workerAttempts++
	defer func() { c.workerAttempts-- }()
	return c.spendWorkerAttempt(now)
}

// CombineOutcomes returns the step that ends a request when neither a call nor its hedge
// got a response: not-run only when both are proved not to have run.
func CombineOutcomes(a, b Step) Step {
	if a.Outcome == model.OutcomeUnknown {
		return a
	}
	return b
}

// hedgeTime returns when an attempt sent now is to be hedged; zero means never. A call is
// hedged at most once.
func (c *Call) hedgeTime(now time.Time) time.Time {
	if c.latency == nil || c.hedged || !c.canResend() {
		return time.Time{}
	}
	after := c.latency.hedgeDelay()
	if after == 0 || !now.Add(after).Before(c.deadline) {
		return time.Time{}
	}
	return now.Add(after)
}

// Parameters of a latencyQuantile.
const (
	// latencyWindow is the number of responses from which a quantile is computed.
	latencyWindow = 1000
	// maxLatency bounds the recorded latencies.
	maxLatency = time.Minute
	// latencyDigits is the precision of latencies in significant decimal digits.
	latencyDigits = 2
)

// latencyQuantile tracks a quantile of the latency of successful calls of one class of one
// service.
type latencyQuantile struct {
	mu     sync.Mutex
	window *hdrhistogram.Histogram
	// nanos is the quantile of the last full window, in nanoseconds; zero before the first.
	nanos atomic.Int64
}

type classKey struct {
	service model.ServiceName
	class   model.ClassName
}

func newLatencyQuantile() *latencyQuantile {
	return &latencyQuantile{window: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)}
}

// latencyFor returns the latency of a target whose calls are hedged, or nil.
func (e *Engine) latencyFor(t *bundle.Target) *latencyQuantile {
	if t.Bundle.Retry.HedgeAfterQuantile <= 0 {
		return nil
	}
	return e.latencies.get(classKey{t.Service.Name, t.Class.Name}, newLatencyQuantile)
}

// record adds the latency of a call; quantile, 0 to 1, is the bundle's.
func (l *latencyQuantile) record(latency time.Duration, quantile float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails for values out of range only.
	_ = l.window.RecordValue(max(1, min(latency, maxLatency).Microseconds()))
	if l.window.TotalCount() < latencyWindow {
		return
	}
	const percent = 100
	micros := l.window.ValueAtQuantile(quantile * percent)
	l.nanos.Store(int64(time.Duration(micros) * time.Microsecond))
	l.window.Reset()
}

// hedgeDelay returns the time after which to hedge a call; zero means not known yet.
func (l *latencyQuantile) hedgeDelay() time.Duration { return time.Duration(l.nanos.Load()) }
