package entry

import (
	"time"

	"gypsumstand/internal/model"
)

// Retry-After of requests that are not admitted.
const (
	// minAdmissionRetry is the least Retry-After: at once, a caller would meet the same
	// shortage.
	minAdmissionRetry = 100 * time.Millisecond
	// retryTimeShare is the largest part of the caller's time that Retry-After takes, so that
	// the repeated request can be answered in the rest; rankTimeShare is added for each more
	// urgent class, of which maxRank count.
	retryTimeShare = 0.5
	rankTimeShare  = 0.125
	maxRank        = 2
	// rankDelay is how much later a class is told to return for each more urgent class, as a
	// part of the shortage's duration.
	rankDelay = 0.5
	// retryJitter is the part of Retry-After that is random, so that the callers refused in
	// one moment do not return in one moment.
	retryJitter = 0.3
	// announceStep is the least change of a fraction that is announced, apart from the return
	// to 1.
	announceStep = 0.2
)

// Admission is the decision on a request by the outcomes of its class, for logs and metrics.
type Admission struct {
	// Refused reports that the request was refused.
	Refused bool
	// Changed reports that the admitted share has changed notably since the latest decision
	// that said so, when it was Before.
	Changed bool
	Before  float64
	// Admitted is the share of the class's requests that is admitted, 0 to 1.
	Admitted float64
	// Served is the smoothed share of the admitted requests that owners served, and ReportAge
	// the time since the latest report, negative without one.
	Served    float64
	ReportAge time.Duration
}

// Admission returns the decision of Begin; the zero value where the bundle does not ask for
// one.
func (c *Call) Admission() Admission { return c.admission }

// refuseByOutcome decides whether the call is refused before any owner is asked, and ends it
// then. Calls of workers are not refused: their parents are. A request with a caller's own id
// is not refused either, as only its home node can tell whether it has run.
func (c *Call) refuseByOutcome(now time.Time) bool {
	c.outcomes = c.engine.admissionFor(&c.req.Target)
	if c.outcomes == nil || c.req.WorkerCall || c.needsHome() {
		return false
	}
	in, before, changed := c.outcomes.arrive(now, c.req.Target.Class, c.waitedBefore > 0)
	c.admission = Admission{
		Changed: changed, Before: before,
		Admitted: in.admitted, Served: in.served, ReportAge: in.age,
	}
	if in.admitted >= 1 || c.engine.randomShare() < in.chance {
		return false
	}
	c.admission.Refused = true
	c.retryAfter = admissionRetryAfter(in, c.req.Timeout, c.engine.randomShare())
	c.end(model.OutcomeNotRun, model.ReasonOverloaded)
	return true
}

// admissionRetryAfter returns when a refused caller should come back. As in package owner, a
// shortage is expected to last as long again as it has lasted. jitter is uniform in 0 to 1.
func admissionRetryAfter(in admissionInputs, timeout time.Duration, jitter float64) time.Duration {
	rank := float64(min(in.rank, maxRank))
	after := max(float64(in.lasted), float64(minAdmissionRetry)) * (1 + rankDelay*rank)
	bound := float64(timeout) * (retryTimeShare + rankTimeShare*rank)
	return max(time.Duration(min(after, bound)*(1-retryJitter*jitter)), time.Millisecond)
}

// announce reports whether the fraction in force differs notably from the one announced
// before, which it replaces then.
func (c *classAdmission) announce(fraction float64) (before float64, changed bool) {
	before = c.announced
	returned := fraction >= 1 && before < 1
	if !returned && max(before-fraction, fraction-before) < announceStep {
		return before, false
	}
	c.announced = fraction
	return before, true
}

// randomShare returns a uniform value in 0 to 1.
func (e *Engine) randomShare() float64 { return float64(e.cfg.Random()>>11) / (1 << 53) }

// MalformedOutcomes returns the number of load reports whose class outcomes were malformed and
// ignored.
func (e *Engine) MalformedOutcomes() uint64 { return e.malformedOutcomes.Load() }

// AdmissionState is the current admission of one class, for metrics.
type AdmissionState struct {
	Service          model.ServiceName
	Class            model.ClassName
	Admitted, Served float64
}

// AdmissionStates returns the admission of each class of which this entry had requests where
// the bundle asks for it.
func (e *Engine) AdmissionStates(now time.Time) []AdmissionState {
	var out []AdmissionState
	values := e.admissions.values.Load()
	if values == nil {
		return nil
	}
	for service, a := range *values {
		a.mu.Lock()
		for _, c := range a.classes {
			a.step(now, c)
			out = append(out, AdmissionState{service, c.name, a.fraction(now, c), c.served})
		}
		a.mu.Unlock()
	}
	return out
}
