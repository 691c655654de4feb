package route

import (
	"math"
	"time"

	"gypsumstand/internal/model"
)

const (
	// alternativeDeviate is by how many standard deviations the load of an alternative is
	// assumed to be above the expected one: a request is taken out of a queue only for a
	// place that is probably free.
	alternativeDeviate = 1
	// slowdownDecay is the time constant with which a reported slowdown tends to the mean of
	// the service's owners. Machines that share with neighbours change speed every few
	// tenths of a second.
	slowdownDecay = 300 * float64(time.Millisecond)
	// maxSlowdownSamples bounds the owners that the mean slowdown is taken over.
	maxSlowdownSamples = 32
)

// Alternatives returns what one more attempt can expect at a few of the upstreams that Pick
// would choose among, without those of which no report is known. Unlike Pick, it is no part of
// sending an attempt: it draws from Config.Random and changes nothing else.
func (t *Table) Alternatives(now time.Time, q *Query) []model.Alternative {
	p := t.picker.Load()
	svc := p.services[q.Service]
	if svc == nil {
		return nil
	}
	nanos := p.nanos(now)
	var c candidates
	t.sample(&c, svc, t.newFilter(nanos, q.Tried, q.Regions))
	mean := svc.meanSlowdown(scaleRandom(uint32(t.cfg.Random()), len(svc.all)))
	out := make([]model.Alternative, 0, c.n)
	for _, u := range c.list[:c.n] {
		if e := t.estimate(u, nanos, q.Remaining, alternativeDeviate); e.reported {
			out = append(out, u.alternative(&e, nanos, mean))
		}
	}
	return out
}

func (u *upstream) alternative(e *estimateParts, now int64, meanSlowdown float64) model.Alternative {
	return model.Alternative{
		Region:         u.region,
		RoundTrip:      time.Duration(e.link),
		Wait:           time.Duration(e.wait + e.overdue + e.failure),
		Service:        time.Duration(e.service),
		Slowdown:       u.cell.slowdown(now, meanSlowdown),
		WaitPerAttempt: time.Duration(e.service / e.limit),
	}
}

// slowdown returns the slowdown that the owner last reported, decayed to the mean.
func (c *cell) slowdown(now int64, mean float64) float64 {
	last := c.lastReport.Load()
	if last == nil || last == retiredReport {
		return mean
	}
	age := float64(max(0, now-last.receivedAt))
	return mean + (last.report.SlowdownFactor()-mean)*math.Exp(-age/slowdownDecay)
}

// meanSlowdown returns the mean slowdown over the last reports of some of the service's
// upstreams, from index start on; 1 without any report.
func (s *service) meanSlowdown(start int) float64 {
	sum, n := 0.0, 0
	for i := range min(len(s.all), maxSlowdownSamples) {
		last := s.all[(start+i)%len(s.all)].cell.lastReport.Load()
		if last == nil || last == retiredReport {
			continue
		}
		sum += last.report.SlowdownFactor()
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}
