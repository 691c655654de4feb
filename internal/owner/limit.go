package owner

import "time"

// Parameters of the slow start and the adaptive limit.
const (
	// slowStartShare is the share of the slots that a worker gets when its slow start
	// begins.
	slowStartShare = 0.1
	// shedFactor multiplies the adaptive limit after the worker refused for load or could
	// not be reached, timeoutFactor after a time-out.
	shedFactor    = 0.7
	timeoutFactor = 0.9
	// timeoutMargin is how many times the expected service time a time-out must have
	// lasted to count against the worker: service times vary, and attempts that waited
	// long have little time left.
	timeoutMargin = 3
)

// signal is what one finished attempt shows about the worker's capacity.
type signal uint8

const (
	// signalNone shows nothing, for example a server error.
	signalNone signal = iota
	// signalServed: answered.
	signalServed
	// signalShed: refused for load, or not reachable.
	signalShed
	// signalTimeout: no complete response in time.
	signalTimeout
)

// sample is one finished attempt as the adaptation sees it.
type sample struct {
	signal signal
	// startedAt and endedAt are on the owner's clock.
	startedAt time.Duration
	endedAt   time.Duration
	service   time.Duration
	// expected is the expected service time of the attempt's class.
	expected time.Duration
}

// adaptation lowers the limit below the slots according to the ends of attempts.
type adaptation interface {
	// observe records a finished attempt.
	observe(s sample, slots int)
	// ceiling returns the limit, at most slots.
	ceiling(slots int) float64
}

// limiter determines how many attempts may be at the worker.
type limiter struct {
	slots       int
	warmup      time.Duration
	warmupStart time.Duration
	adapt       adaptation
}

func newLimiter() limiter { return limiter{adapt: newAdaptation()} }

func newAdaptation() adaptation { return &aimd{margin: timeoutMargin} }

func (l *limiter) configure(slots int, warmup time.Duration) {
	l.slots = slots
	l.warmup = warmup
}

// startWarmup begins the slow start at time t.
func (l *limiter) startWarmup(t time.Duration) { l.warmupStart = t }

// effective returns the limit at time t, from 1 to the slots.
func (l *limiter) effective(t time.Duration) int {
	n := min(l.slowStartLimit(t), l.adapt.ceiling(l.slots))
	return min(max(int(n), 1), l.slots)
}

// slowStartLimit grows linearly from slowStartShare of the slots to all of them over the
// warm-up.
func (l *limiter) slowStartLimit(t time.Duration) float64 {
	since := t - l.warmupStart
	if since >= l.warmup {
		return float64(l.slots)
	}
	part := float64(since) / float64(l.warmup)
	return float64(l.slots) * (slowStartShare + (1-slowStartShare)*part)
}

// aimd is additive increase, multiplicative decrease on the worker's refusals and
// time-outs. Longer service times alone do not lower the limit, since the worker's slots
// are real.
type aimd struct {
	// margin is how many times the expected service time an attempt must have taken for
	// its time-out to count; 0 means that time-outs do not count.
	margin time.Duration
	// reduction is how far the ceiling is below the slots; it stays valid when the slots
	// change.
	reduction    float64
	lastDecrease time.Duration
}

func (a *aimd) ceiling(slots int) float64 { return max(1, float64(slots)-a.reduction) }

func (a *aimd) observe(s sample, slots int) {
	switch s.signal {
	case signalShed:
		a.decrease(s, slots, shedFactor)
	case signalTimeout:
		if a.margin > 0 && s.service >= a.margin*s.expected {
			a.decrease(s, slots, timeoutFactor)
		}
	case signalServed:
		a.increase(slots)
	}
}

// decrease lowers the ceiling, once for all attempts that were at the worker at the time
// of the last decrease.
func (a *aimd) decrease(s sample, slots int, factor float64) {
	if s.startedAt < a.lastDecrease {
		return
	}
	a.lastDecrease = s.endedAt
	a.reduction = float64(slots) - max(1, a.ceiling(slots)*factor)
}

// increase adds one slot per round of responses, whether or not the limit was used up.
// The limit cannot exceed the slots, and it also has to recover while another limit
// binds, such as that of a tenant.
func (a *aimd) increase(slots int) { a.reduction = max(0, a.reduction-1/a.ceiling(slots)) }
