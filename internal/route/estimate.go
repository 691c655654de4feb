package route

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

// Time constants: durations, and float64s in nanoseconds.
const (
	// loadMemory is the decay constant of a report's load towards its service's
	// mean, about the time in which a burst comes and goes. The
	// comparison of parts (package simulation) finds little between 5 and 100 ms,
	// and none (a report believed for ever) clearly worse.
	loadMemory = 20 * time.Millisecond
	// speedMemory is that of a report's service time and failure rate: a worker
	// that nobody calls must look worth a try again.
	speedMemory = 5 * float64(time.Second)
	// limitMemory is that of a lowered limit towards the slots: it rises while a
	// worker warms up or recovers.
	limitMemory = 500 * float64(time.Millisecond)
	// failureMemory is that of this node's own count of failures.
	failureMemory = 5 * float64(time.Second)
	// pathMemory is that of the time of the way beyond the link's usual one.
	pathMemory = float64(time.Second)
	// coldPenalty is the wait at an upstream whose owner says that it is cold,
	// and coldMemory the decay constant of that word. A try too early costs a
	// round trip only, since the owner refuses it.
	coldPenalty = 100 * float64(time.Millisecond)
	coldMemory  = 100 * float64(time.Millisecond)
	// maxBackOff bounds what a refusal's RetryAfter is believed.
	maxBackOff = 10 * time.Second
	// failureCost bounds the cost of a failed call; it is the call's remaining
	// time otherwise.
	failureCost = 2 * time.Second
	// defaultRemaining is the remaining time of a query that tells none.
	defaultRemaining = time.Second
	// warmingSlowness is how many times as long as usual a warming worker takes.
	warmingSlowness = 2
	// defaultServiceTime is for a service of which nothing was heard.
	defaultServiceTime = 10 * float64(time.Millisecond)
)

const (
	// defaultSlots is for a service that no bundle describes.
	defaultSlots = 20
	// deadZone is the part of its service's mean service time by which an
	// upstream's must differ to count. Smaller differences are mostly the noise
	// of the owner's smoothing; since all entry nodes hear the same noise, they
	// would all prefer the same upstream for it.
	deadZone = 0.5
	// queueWeight is the weight of the wait and of failure in the cost.
	queueWeight = 3
	// startShare is the share of the slots that an upstream is taken to run
	// before its owner was heard.
	startShare = 4
	// silenceFactor is how many times the expected latency an upstream may be
	// silent before the silence counts against it.
	silenceFactor = 3
)

// Estimate is what is expected of one candidate, part by part.
type Estimate struct {
	Instance model.Instance
	// Reported tells whether a report was heard, Age how long ago.
	Reported bool
	Age      time.Duration
	// Load is the expected number of requests at the owner (running and queued,
	// own ones included), Limit how many it runs at once.
	Load  float64
	Limit float64
	// OwnInFlight is the number of this node's attempts there.
	OwnInFlight int
	// FailureRate is the expected share of failures, 0 to 1.
	FailureRate float64
	// Link is the time of the way and back, Wait that until the start, Service
	// the worker's, and Silence the time by which an answer is overdue.
	Link, Wait, Service, Overdue time.Duration
	// Expected is the time to the whole answer, the sum of the four.
	Expected time.Duration
	// Failure is the expected loss by failure, as a time.
	Failure time.Duration
	// Cost is what candidates are compared by: Link + Service + Silence +
	// 3 x (Wait + Failure).
	Cost time.Duration
	// Leaving candidates and those out of reach are not chosen.
	Leaving     bool
	Unreachable bool
	// Evacuated candidates are not chosen either. Warming ones are, in turn; see warming.go.
	Evacuated bool
	Warming   time.Duration
}

// parts is an estimate in nanoseconds.
type parts struct {
	heard       bool
	age         float64
	load, limit float64
	failureRate float64

	link, wait, service, silence, failure float64
	// remote is Config.RemoteCost for an upstream of another data centre.
	remote float64
}

// latency is the expected time to the answer.
func (p *parts) latency() float64 { return p.link + p.wait + p.service + p.silence }

// cost is what candidates are compared by. A place in a queue also delays those
// that come after it, and a failure loses more than time, so both weigh more
// than the rest of the latency.
func (p *parts) cost() float64 {
	return p.link + p.service + p.silence + p.remote + queueWeight*(p.wait+p.failure)
}

// estimate computes the parts for one candidate. deviate is how many standard
// deviations its uncertain load is taken to be off the expected one.
func (t *Table) estimate(u *upstream, now int64, remaining time.Duration, deviate float64) parts {
	c := u.cell
	meanUse, meanService, known := u.service.stats.means()
	if !known {
		meanService = defaultServiceTime
	}
	p := parts{link: float64(u.link.roundTrip())}
	if u.instance.DataCentre != t.cfg.DataCentre {
		p.remote = float64(t.cfg.RemoteCost)
	}
	if t.tuning.Path {
		p.link += max(0, beyond(c.path.value(now, pathMemory), deadZone*meanService))
	}
	h := c.heard.Load()
	if h == nil || h == retired {
		p.unheard(u, meanUse, meanService)
	} else {
		p.fromReport(t, u, h, now, meanUse, meanService)
	}
	p.load = max(p.load, float64(c.inFlight.Load()))
	p.failureRate = max(p.failureRate, c.failure.value(now, failureMemory))
	p.queue(t, deviate)
	p.wait += c.coldWait(h, now)
	p.wait += float64(max(0, c.backOffUntil.Load()-now))
	if t.tuning.Overdue {
		p.addSilence(c, now)
	}
	if c.warming(now) {
		p.service *= warmingSlowness
	}
	if t.tuning.Failure {
		p.addFailure(meanService, remaining)
	}
	return p
}

// unheard fills in for an upstream of which no report was heard: the service's
// mean load on a part of the slots.
func (p *parts) unheard(u *upstream, meanUse, meanService float64) {
	p.limit = float64(max(1, u.service.slots/startShare))
	p.load = meanUse*p.limit + float64(u.cell.inFlight.Load())
	p.service = meanService
	p.age = math.Inf(1)
}

// fromReport ages the last report towards the service's means and adds the own
// attempts that it could not count.
func (p *parts) fromReport(t *Table, u *upstream, h *heard, now int64, meanUse, meanService float64) {
	r := &h.report
	p.heard = true
	p.age = float64(max(0, now-h.at))
	p.limit = float64(max(1, r.Limit))
	if slots := float64(u.service.slots); slots > p.limit {
		p.limit += (slots - p.limit) * (1 - math.Exp(-p.age/limitMemory))
	}
	reported := float64(r.InFlight) + float64(r.Queued)
	mean := meanUse * p.limit
	p.load = mean + (reported-mean)*math.Exp(-p.age/float64(t.tuning.LoadDecay))
	if t.tuning.OwnSends {
		p.load += float64(u.cell.sentSince(h))
	}
	speed := math.Exp(-p.age / speedMemory)
	p.service = meanService
	if r.ServiceTime > 0 {
		p.service += beyond(float64(r.ServiceTime)-meanService, t.tuning.DeadZone*meanService) * speed
	}
	p.failureRate = r.FailureShare() * speed
}

// beyond returns the part of d that is farther than zone from zero.
func beyond(d, zone float64) float64 {
	switch {
	case d > zone:
		return d - zone
	case d < -zone:
		return d + zone
	}
	return 0
}

// queue turns the load into an expected wait: the expected excess of the load,
// this attempt included, over the limit, in service times per slot. The load is
// uncertain with the variance of a Poisson number, so that the wait grows
// smoothly as the slots fill up; the square root stands for the expected excess
// of a normal distribution, with which it agrees at the limit.
func (p *parts) queue(t *Table, deviate float64) {
	const normalAtZero = 2 / math.Pi
	variance := (p.load + 1) * p.uncertainty(t)
	load := max(0, p.load+deviate*math.Sqrt(variance))
	excess := load + 1 - p.limit
	p.wait = p.service / p.limit * (excess + math.Sqrt(excess*excess+normalAtZero*(variance+1))) / 2
}

// uncertainty grows from 0 for a report of this moment to 1 for an old one.
func (p *parts) uncertainty(t *Table) float64 {
	if !p.heard {
		return 1
	}
	return 1 - math.Exp(-2*(p.age+p.link)/float64(t.tuning.LoadDecay))
}

// coldWait is the penalty of an upstream that is said to be cold, by its owner
// or the fleet, whoever spoke last.
func (c *cell) coldWait(h *heard, now int64) float64 {
	state := model.UpstreamState(c.fleetState.Load())
	at := c.fleetStateAt.Load()
	if h != nil && h != retired && h.at >= at {
		state = h.report.State
		at = h.at
	}
	if state != model.StateCold {
		return 0
	}
	return coldPenalty * math.Exp(-float64(max(0, now-at))/coldMemory)
}

// addSilence adds the time by which an answer is overdue: an attempt that is
// out long beyond its expected latency says that the next will wait, too.
func (p *parts) addSilence(c *cell, now int64) {
	if c.inFlight.Load() == 0 {
		return
	}
	silent := float64(now - c.silentSince.Load())
	p.silence = max(0, silent-silenceFactor*p.latency())
}

// addFailure adds the expected cost of failure: a failed call is as bad as one
// that takes all its remaining time. The time of failed answers is not taken for
// speed: the part that fails counts with the service's mean time at least.
func (p *parts) addFailure(meanService float64, remaining time.Duration) {
	if remaining <= 0 {
		remaining = defaultRemaining
	}
	p.service += p.failureRate * max(0, meanService-p.service)
	p.failure = p.failureRate * float64(min(remaining, failureCost))
}
