package owner

import "time"

// Slow start and adaptation.
const (
	// warmStart is the share of the slots that a worker gets at the start of its
	// warm-up.
	warmStart = 0.1
	// cutShed and cutTimeout are the factors of the adaptive limit after the
	// worker refused for load or could not be reached, and after a time-out.
	cutShed    = 0.7
	cutTimeout = 0.9
	// timeoutMargin is how many times the expected service time a time-out must
	// have lasted to speak against the worker, as service times vary and attempts
	// that waited long have little time left.
	timeoutMargin = 3
)

// signal is what one finished attempt says about the worker's capacity.
type signal uint8

const (
	// signalNone: says nothing, such as a server error.
	signalNone signal = iota
	// signalServed: answered.
	signalServed
	// signalShed: refused for load, or not reachable.
	signalShed
	// signalTimeout: no whole answer in time.
	signalTimeout
)

// sample is one finished attempt as the adaptation sees it.
type sample struct {
	signal signal
	// startedAt and endedAt are on the owner's clock.
	startedAt time.Duration
	endedAt   time.Duration
	service   time.Duration
	// expected is the service time of its class.
	expected time.Duration
}

// adaptation lowers the limit below the slots by what the worker shows.
type adaptation interface {
	// observe takes a finished attempt.
	observe(s sample, slots int)
	// ceiling returns the limit, at most slots.
	ceiling(slots int) float64
}

// limiter says how many attempts may be at the worker.
type limiter struct {
	slots    int
	warmup   time.Duration
	warmedAt time.Duration
	adapt    adaptation
}

func newLimiter() limiter { return limiter{adapt: newAdaptation()} }

func newAdaptation() adaptation { return &aimd{margin: timeoutMargin} }

func (l *limiter) configure(slots int, warmup time.Duration) {
	l.slots = slots
	l.warmup = warmup
}

// warm begins the slow start at time t.
func (l *limiter) warm(t time.Duration) { l.warmedAt = t }

// effective returns the limit at time t, from 1 to the slots.
func (l *limiter) effective(t time.Duration) int {
	n := min(l.warmLimit(t), l.adapt.ceiling(l.slots))
	return min(max(int(n), 1), l.slots)
}

// warmLimit ramps from warmStart of the slots to all of them over the warm-up.
func (l *limiter) warmLimit(t time.Duration) float64 {
	since := t - l.warmedAt
	if since >= l.warmup {
		return float64(l.slots)
	}
	part := float64(since) / float64(l.warmup)
	return float64(l.slots) * (warmStart + (1-warmStart)*part)
}

// aimd is additive increase, multiplicative decrease on the worker's refusals
// and time-outs. A slower worker alone does not lower it: its slots are real.
type aimd struct {
	// margin is how many times the expected service time an attempt must have
	// taken for its time-out to count; 0 means that time-outs do not count.
	margin time.Duration
	// given is how far the ceiling is below the slots, so that a change of the
	// slots needs no care.
	given   float64
	lastCut time.Duration
}

func (a *aimd) ceiling(slots int) float64 { return max(1, float64(slots)-a.given) }

func (a *aimd) observe(s sample, slots int) {
	switch s.signal {
	case signalShed:
		a.cut(s, slots, cutShed)
	case signalTimeout:
		if a.margin > 0 && s.service >= a.margin*s.expected {
			a.cut(s, slots, cutTimeout)
		}
	case signalServed:
		a.raise(slots)
	}
}

// cut lowers the ceiling, once for all attempts that were at the worker at the
// time of the last cut.
func (a *aimd) cut(s sample, slots int, factor float64) {
	if s.startedAt < a.lastCut {
		return
	}
	a.lastCut = s.endedAt
	a.given = float64(slots) - max(1, a.ceiling(slots)*factor)
}

// raise adds one slot per round of answers, whether or not the limit was used
// up: it cannot grow over the slots, and a limit that binds in another place (a
// bound of a tenant) has to recover as well.
func (a *aimd) raise(slots int) { a.given = max(0, a.given-1/a.ceiling(slots)) }
