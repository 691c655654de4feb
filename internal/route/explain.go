package route

import (
	"sort"
	"time"

	"gypsumstand/internal/model"
)

const (
	// recentCallAge is how long after its last call a service counts as called.
	recentCallAge = int64(10 * time.Second)
	// scanFactor bounds how many upstreams of services not called recently StaleUpstreams
	// inspects, as a multiple of the number asked for.
	scanFactor = 8
)

// UpstreamCount returns the number of the service's upstreams that are neither leaving nor
// gone in the fleet's view.
func (t *Table) UpstreamCount(service model.ServiceName) int {
	svc := t.picker.Load().services[service]
	if svc == nil {
		return 0
	}
	return len(svc.all)
}

// Explain returns the estimates of all upstreams of the query's service by increasing cost,
// with those that are leaving last. Unlike Pick, which compares a few at random, each with
// a random deviation for the uncertain part of its load, Explain leaves out that deviation.
func (t *Table) Explain(now time.Time, q *Query) []Estimate {
	p := t.picker.Load()
	svc := p.services[q.Service]
	if svc == nil {
		return nil
	}
	out := make([]Estimate, 0, len(svc.all))
	for _, u := range svc.all {
		out = append(out, t.explain(u, p.nanos(now), q.Remaining))
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].Leaving != out[j].Leaving {
			return out[j].Leaving
		}
		return out[i].Cost < out[j].Cost
	})
	return out
}

func (t *Table) explain(u *upstream, now int64, remaining time.Duration) Estimate {
	e := t.estimate(u, now, remaining, 0)
	out := Estimate{
		Instance:    u.instance,
		Reported:    e.reported,
		Load:        e.load,
		Limit:       e.limit,
		OwnInFlight: int(u.cell.inFlight.Load()),
		FailureRate: e.failureRate,
		Link:        time.Duration(e.link),
		Wait:        time.Duration(e.wait),
		Service:     time.Duration(e.service),
		Overdue:     time.Duration(e.overdue),
		Failure:     time.Duration(e.failure),
		Expected:    time.Duration(e.latency()),
		Cost:        time.Duration(e.cost()),
		Leaving:     u.workerLeaving() || u.cell.reportedLeaving(now, int64(t.cfg.LeavingTTL)),
		Unreachable: u.cell.isUnreachable(now),
		Evacuated:   u.evacuated,
		Warming:     time.Duration(max(u.cell.warmingUntil.Load()-now, 0)),
	}
	if e.reported {
		out.Age = time.Duration(e.age)
		out.RateLimit = u.cell.lastReport.Load().report.RateLimit()
	}
	return out
}

// StaleUpstreams returns up to n upstreams whose last report is older than age, to be
// probed: those of the services that this node called recently, the latest called first,
// then some others, from a random position on.
func (t *Table) StaleUpstreams(now time.Time, age time.Duration, n int) []model.Instance {
	p := t.picker.Load()
	nanos := p.nanos(now)
	s := staleScan{now: nanos, age: int64(age), leavingTTL: int64(t.cfg.LeavingTTL), want: n}
	called, others := p.splitByLastCall(nanos)
	for _, svc := range called {
		s.scan(svc, scaleRandom(uint32(t.cfg.Random()), len(svc.all)), len(svc.all))
	}
	if len(others) == 0 {
		return s.found
	}
	start := scaleRandom(uint32(t.cfg.Random()), len(others))
	for i, left := 0, scanFactor*n; i < len(others) && left > 0; i++ {
		svc := others[(start+i)%len(others)]
		s.scan(svc, scaleRandom(uint32(t.cfg.Random()), len(svc.all)), left)
		left -= len(svc.all)
	}
	return s.found
}

// CalledRecently reports whether this node called the service within the last recentCallAge.
func (t *Table) CalledRecently(now time.Time, service model.ServiceName) bool {
	p := t.picker.Load()
	svc := p.services[service]
	if svc == nil {
		return false
	}
	last := svc.stats.lastCalled.Load()
	return last > 0 && p.nanos(now)-last < recentCallAge
}

// splitByLastCall splits the services with upstreams into those called recently, the latest
// first, and the others, by name.
func (p *picker) splitByLastCall(now int64) (called, others []*service) {
	for _, svc := range p.services {
		last := svc.stats.lastCalled.Load()
		switch {
		case len(svc.all) == 0:
		case last > 0 && now-last < recentCallAge:
			called = append(called, svc)
		default:
			others = append(others, svc)
		}
	}
	sort.Slice(called, func(i, j int) bool {
		a, b := called[i].stats.lastCalled.Load(), called[j].stats.lastCalled.Load()
		if a != b {
			return a > b
		}
		return called[i].name < called[j].name
	})
	sort.Slice(others, func(i, j int) bool { return others[i].name < others[j].name })
	return called, others
}

// staleScan collects upstreams whose last report is old.
type staleScan struct {
	now, age, leavingTTL int64
	want                 int
	found                []model.Instance
}

// scan inspects up to limit upstreams of a service from index start on.
func (s *staleScan) scan(svc *service, start, limit int) {
	for i := 0; i < min(limit, len(svc.all)) && len(s.found) < s.want; i++ {
		u := svc.all[(start+i)%len(svc.all)]
		if u.cell.reportedLeaving(s.now, s.leavingTTL) {
			continue
		}
		if last := u.cell.lastReport.Load(); last == nil || s.now-last.receivedAt > s.age {
			s.found = append(s.found, u.instance)
		}
	}
}
