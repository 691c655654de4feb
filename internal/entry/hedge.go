package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
)

// hedgeReserve is what a service's bucket must hold for a hedge: refusals for
// load drain it, so that hedges end where they would make an overload worse.
const hedgeReserve = bucketDepth / 2

// Hedge begins a second attempt beside the one that is out, at another owner. The
// adapter may call it once the step's HedgeAt has passed without an answer; ok is
// false when the budgets or the owners left do not allow it.
//
// The hedge is a call of its own for the same request, with c's deadline: another
// goroutine may carry out its steps beside c's. The first of the two that ends
// with an answer is the caller's, and the other is told CallerCancelled. When neither
// has one the caller is told CombineOutcomes.
func (c *Call) Hedge(now time.Time) (h *Call, ok bool) {
	if c.hedgeAt.IsZero() || !c.bucket.has(hedgeReserve) {
		return nil, false
	}
	return c.hedge(now)
}

// HedgeUnreachable is Hedge for an attempt whose owner was found out of reach: it waits for
// no time and needs no reserve, as it stands for the retry that would follow.
func (c *Call) HedgeUnreachable(now time.Time) (h *Call, ok bool) {
	if !c.req.Idempotent || !c.replaceable() || c.hedged {
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
	if !ok || !c.bucket.withdraw(now, costRetry) || !c.mayHedge(now) {
		return nil, false
	}
	c.budget--
	c.tried.add(choice.Instance.ID)
	c.hedgeAt = time.Time{}
	c.hedged = true
	// Each of the two counts the other's arrival.
	c.arrived++
	h = &Call{}
	*h = *c
	h.budget = 0
	h.believed = choice.Estimate
	h.send(now, choice.Instance, choice.OwnerClock)
	return h, true
}

// mayHedge tells whether the hedge may arrive at one more worker beside the one
// that has the attempt in flight.
func (c *Call) mayHedge(now time.Time) bool {
	c.arrived++
	defer func() { c.arrived-- }()
	return c.mayArriveAgain(now)
}

// CombineOutcomes returns what the caller is told when neither of a call and its hedge
// ended with an answer: not-run only when both are proved not to have run.
func CombineOutcomes(a, b Step) Step {
	if a.Outcome == model.OutcomeUnknown {
		return a
	}
	return b
}

// hedgeTime returns when an attempt that is sent now is to be hedged; zero means
// never. A call is hedged once.
func (c *Call) hedgeTime(now time.Time) time.Time {
	if c.pace == nil || c.hedged || !c.replaceable() {
		return time.Time{}
	}
	after := c.pace.after()
	if after == 0 || !now.Add(after).Before(c.deadline) {
		return time.Time{}
	}
	return now.Add(after)
}

// Bounds of a pace's memory.
const (
	// paceWindow is the number of answers that a quantile is read from.
	paceWindow = 1000
	// paceLongest bounds the latencies that are told apart.
	paceLongest = time.Minute
	// paceDigits is the precision of latencies in decimal digits.
	paceDigits = 2
)

// pace follows how long answered calls of one class of one service take.
type pace struct {
	mu     sync.Mutex
	window *hdrhistogram.Histogram
	// quantile in nanoseconds of the last full window; zero before the first.
	quantile atomic.Int64
}

type paceKey struct {
	service model.ServiceName
	class   model.ClassName
}

func newPace() *pace {
	return &pace{window: hdrhistogram.New(1, paceLongest.Microseconds(), paceDigits)}
}

// paceOf returns the pace of a target whose calls are hedged, or nil.
func (e *Engine) paceOf(t *bundle.Target) *pace {
	if t.Bundle.Retry.HedgeAfterQuantile <= 0 {
		return nil
	}
	return e.paces.of(paceKey{t.Service.Name, t.Class.Name}, newPace)
}

// answered takes the latency of a call; quantile is the bundle's.
func (p *pace) answered(latency time.Duration, quantile float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A latency out of range cannot be recorded; it is bounded here.
	_ = p.window.RecordValue(max(1, min(latency, paceLongest).Microseconds()))
	if p.window.TotalCount() < paceWindow {
		return
	}
	const percent = 100
	micros := p.window.ValueAtQuantile(quantile * percent)
	p.quantile.Store(int64(time.Duration(micros) * time.Microsecond))
	p.window.Reset()
}

// after returns the time after which a call is late; zero means not known yet.
func (p *pace) after() time.Duration { return time.Duration(p.quantile.Load()) }
