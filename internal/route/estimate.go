package route

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// Time constants: durations, and float64s in nanoseconds.
const (
	// loadDecay is the time constant of the decay of a report's load to its service's mean,
	// about the duration of a burst. In simulations, values from 5 to 100 ms differ little,
	// while no decay at all is clearly worse.
	loadDecay = 20 * time.Millisecond
	// serviceTimeDecay is the time constant for a report's service time and failure rate: an
	// upstream that gets no calls must become worth a try again.
	serviceTimeDecay = 5 * float64(time.Second)
	// limitDecay is the time constant with which a lowered limit is expected to rise to the
	// slots, as it does while a worker warms up or recovers.
	limitDecay = 500 * float64(time.Millisecond)
	// failureDecay is the time constant for the failure rate that this node observes itself.
	failureDecay = 5 * float64(time.Second)
	// pathDecay is the time constant for the network time above the link's usual one.
	pathDecay = float64(time.Second)
	// coldPenalty is the expected wait at an upstream that is reported as cold, and coldDecay
	// the time constant of its decay. A try that is too early costs a round trip only, as the
	// owner refuses it.
	coldPenalty = 100 * float64(time.Millisecond)
	coldDecay   = 100 * float64(time.Millisecond)
	// maxBackOff bounds the RetryAfter of a refusal.
	maxBackOff = 10 * time.Second
	// failureCost bounds the cost of a failed call, which is otherwise the call's remaining
	// time.
	failureCost = 2 * time.Second
	// defaultRemaining is the remaining time of a query that does not set it.
	defaultRemaining = time.Second
	// warmingSlowness is how many times as long as usual a warming worker takes.
	warmingSlowness = 2
	// defaultServiceTime is for a service without any report.
	defaultServiceTime = 10 * float64(time.Millisecond)
)

const (
	// defaultSlots is for a service that is in no bundle.
	defaultSlots = 20
	// deadZone is the share of its service's mean service time by which an upstream's must
	// differ to count. Smaller differences are mostly noise of the owner's smoothing. All
	// entry nodes receive the same noise, so that they would all prefer the same upstream.
	deadZone = 0.5
	// waitWeight is the weight of the wait and of failure in the cost.
	waitWeight = 3
	// An upstream without a report is assumed to run slots/unreportedLimitDivisor
	// concurrently.
	unreportedLimitDivisor = 4
	// overdueFactor is how many times the expected latency may pass without a report before a
	// response counts as overdue.
	overdueFactor = 3
)

// Estimate is the estimate for one candidate, with its parts.
type Estimate struct {
	Instance model.Instance
	// Reported reports whether the owner sent a load report, Age how long ago.
	Reported bool
	Age      time.Duration
	// Load is the expected number of requests at the owner (running and queued, own ones
	// included), Limit how many it runs concurrently.
	Load  float64
	Limit float64
	// OwnInFlight is the number of this node's attempts in flight there.
	OwnInFlight int
	// FailureRate is the expected share of failures, 0 to 1.
	FailureRate float64
	// Link is the round-trip time, Wait the time until the start, Service the worker's time,
	// and Overdue the time by which a response is overdue.
	Link, Wait, Service, Overdue time.Duration
	// Expected is the time to the complete response, the sum of the four.
	Expected time.Duration
	// Failure is the expected loss by failure, as a time.
	Failure time.Duration
	// Cost is what candidates are compared by: Link + Service + Overdue +
	// 3 x (Wait + Failure), and Config.RemoteCost for another data centre.
	Cost time.Duration
	// Leaving and unreachable candidates are not chosen.
	Leaving     bool
	Unreachable bool
	// Evacuated candidates are not chosen either. Warming ones are chosen in turns; see
	// warming.go.
	Evacuated bool
	Warming   time.Duration
	// RateLimit is the worker's rate limit in requests a second, zero when it names none.
	RateLimit float64
}

// estimateParts is an estimate in nanoseconds.
type estimateParts struct {
	reported    bool
	age         float64
	load, limit float64
	failureRate float64

	link, wait, service, overdue, failure float64
	// rateWait is the wait due to the worker's rate limit.
	rateWait float64
	// remote is Config.RemoteCost for an upstream of another data centre, otherwise zero.
	remote float64
}

// latency is the expected time to the response.
func (p *estimateParts) latency() float64 { return p.link + p.wait + p.service + p.overdue }

// cost is what candidates are compared by. A request in a queue also delays those behind
// it, and a failure loses more than time, so that both weigh more than the rest of the
// latency.
func (p *estimateParts) cost() float64 {
	return p.link + p.service + p.overdue + p.remote + waitWeight*(p.wait+p.failure)
}

// estimate computes the parts for one candidate. deviate is by how many standard deviations
// its uncertain load is assumed to differ from the expected one.
func (t *Table) estimate(u *upstream, now int64, remaining time.Duration, deviate float64) estimateParts {
	c := u.cell
	meanUse, meanService, known := u.service.stats.means()
	if !known {
		meanService = defaultServiceTime
	}
	p := estimateParts{link: float64(u.link.roundTrip())}
	if u.instance.DataCentre != t.cfg.DataCentre {
		p.remote = float64(t.cfg.RemoteCost)
	}
	if t.tuning.Path {
		p.link += max(0, outsideZone(c.pathExcess.value(now, pathDecay), deadZone*meanService))
	}
	last := c.lastReport.Load()
	if last == nil || last == retiredReport {
		p.fromServiceMeans(u, meanUse, meanService)
	} else {
		p.fromReport(t, u, last, now, meanUse, meanService)
	}
	p.load = max(p.load, float64(c.inFlight.Load()))
	p.failureRate = max(p.failureRate, c.failureRate.value(now, failureDecay))
	p.addWait(t, deviate)
	p.wait = max(p.wait, p.rateWait)
	p.wait += c.coldWait(last, now)
	p.wait += float64(max(0, c.backOffUntil.Load()-now))
	if t.tuning.Overdue {
		p.addOverdue(c, now)
	}
	if c.isWarming(now) {
		p.service *= warmingSlowness
	}
	if t.tuning.Failure {
		p.addFailure(meanService, remaining)
	}
	return p
}

// fromServiceMeans fills in the parts of an upstream without a report: the service's mean
// load on a part of the slots.
func (p *estimateParts) fromServiceMeans(u *upstream, meanUse, meanService float64) {
	p.limit = float64(max(1, u.service.slots/unreportedLimitDivisor))
	p.load = meanUse*p.limit + float64(u.cell.inFlight.Load())
	p.service = meanService
	p.age = math.Inf(1)
}

// fromReport decays the last report to the service's means and adds the own attempts that
// it does not include.
func (p *estimateParts) fromReport(
	t *Table, u *upstream, last *receivedReport, now int64, meanUse, meanService float64,
) {
	r := &last.report
	p.reported = true
	p.age = float64(max(0, now-last.receivedAt))
	p.limit = float64(max(1, r.Limit))
	if slots := float64(u.service.slots); slots > p.limit {
		p.limit += (slots - p.limit) * (1 - math.Exp(-p.age/limitDecay))
	}
	reported := float64(r.InFlight) + float64(r.Queued)
	mean := meanUse * p.limit
	p.load = mean + (reported-mean)*math.Exp(-p.age/float64(t.tuning.LoadDecay))
	if t.tuning.OwnSends {
		p.load += float64(u.cell.sendsNotCounted(last))
	}
	speed := math.Exp(-p.age / serviceTimeDecay)
	p.service = meanService
	if r.ServiceTime > 0 {
		p.service += outsideZone(float64(r.ServiceTime)-meanService, t.tuning.DeadZone*meanService) * speed
	}
	p.failureRate = r.FailureShare() * speed
	p.rateWait = rateWait(u.cell, last, p.age)
}

// rateWait returns the expected wait until a worker with a rate limit can start one more
// attempt, in nanoseconds. Its slots are mostly free, so its load does not show it.
func rateWait(c *cell, last *receivedReport, age float64) float64 {
	perSecond := last.report.RateLimit()
	if perSecond == 0 {
		return 0
	}
	sinceStart := (age - float64(last.report.StartWait())) / float64(time.Second)
	starts := min(1+sinceStart*perSecond, float64(model.RateBurst(perSecond)))
	missing := 1 + float64(c.sendsNotCounted(last)) - starts
	return max(missing, 0) / perSecond * float64(time.Second)
}

// outsideZone returns the part of d that is farther than zone from zero.
func outsideZone(d, zone float64) float64 {
	switch {
	case d > zone:
		return d - zone
	case d < -zone:
		return d + zone
	}
	return 0
}

// addWait turns the load into an expected wait: the expected excess of the load, this
// attempt included, over the limit, in service times per slot. The load is assumed to have
// the variance of a Poisson variable, so that the wait grows smoothly as the slots fill up;
// the square root approximates the expected excess of a normal distribution, with which it
// agrees at the limit.
func (p *estimateParts) addWait(t *Table, deviate float64) {
	const normalAtZero = 2 / math.Pi
	variance := (p.load + 1) * p.uncertainty(t)
	load := max(0, p.load+deviate*math.Sqrt(variance))
	excess := load + 1 - p.limit
	p.wait = p.service / p.limit * (excess + math.Sqrt(excess*excess+normalAtZero*(variance+1))) / 2
}

// uncertainty grows from 0 for a report made just now to 1 for an old one.
func (p *estimateParts) uncertainty(t *Table) float64 {
	if !p.reported {
		return 1
	}
	return 1 - math.Exp(-2*(p.age+p.link)/float64(t.tuning.LoadDecay))
}

// coldWait is the penalty of an upstream that is reported as cold by its owner or in the
// fleet's view, whichever is newer.
func (c *cell) coldWait(last *receivedReport, now int64) float64 {
	state := model.UpstreamState(c.fleetState.Load())
	at := c.fleetStateAt.Load()
	if last != nil && last != retiredReport && last.receivedAt >= at {
		state = last.report.State
		at = last.receivedAt
	}
	if state != model.StateCold {
		return 0
	}
	return coldPenalty * math.Exp(-float64(max(0, now-at))/coldDecay)
}

// addOverdue adds the time by which a response is overdue: if an attempt is in flight for
// long beyond its expected latency, the next one is expected to wait as well.
func (p *estimateParts) addOverdue(c *cell, now int64) {
	if c.inFlight.Load() == 0 {
		return
	}
	silent := float64(now - c.silentSince.Load())
	p.overdue = max(0, silent-overdueFactor*p.latency())
}

// addFailure adds the expected cost of failure: a failed call is as bad as one that takes
// all its remaining time. As failures are often fast, the part of the calls that fails
// counts at least with the service's mean service time.
func (p *estimateParts) addFailure(meanService float64, remaining time.Duration) {
	if remaining <= 0 {
		remaining = defaultRemaining
	}
	p.service += p.failureRate * max(0, meanService-p.service)
	p.failure = p.failureRate * float64(min(remaining, failureCost))
}
