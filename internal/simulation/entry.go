package simulation

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// entryNode makes the calls that arrive at it, with a table of its own.
type entryNode struct {
	sim   *sim
	dc    int
	table *route.Table
}

func (e *entryNode) link(u *upstream) time.Duration {
	if u.fault == SlowLink && u.faulty() {
		return remoteDelay + starvedDelay
	}
	if e.dc == u.dc {
		return localDelay
	}
	return remoteDelay
}

// call makes up to maxAttempts attempts; only refused ones are tried again.
func (e *entryNode) call(began time.Duration, tried []model.InstanceID) {
	s := e.sim
	deadline := began + timeout
	c, ok := e.table.Pick(s.clock(), &route.Query{Service: "s", Remaining: deadline - s.now, Tried: tried})
	if !ok {
		s.finish(began, false)
		return
	}
	e.table.Sent(s.clock(), c.Instance.ID)
	u := s.upstreams[int(c.Instance.ID[0]-'a')]
	sent := s.now
	a := &attempt{deadline: deadline}
	a.end = func(r route.Result, rep model.LoadReport) {
		s.after(e.link(u), func() {
			r.Latency = s.now - sent
			e.table.Observe(s.clock(), rep)
			e.table.Done(s.clock(), u.id, r)
			if r.Refused != model.ReasonNone && len(tried)+1 < maxAttempts {
				e.call(began, append(tried, u.id))
				return
			}
			s.finish(began, !r.Failed && r.Refused == model.ReasonNone)
		})
	}
	s.after(e.link(u), func() { u.offer(a) })
}

// poll asks an upstream for its load again and again, for the baseline that polls.
func (s *sim) poll(e *entryNode, u *upstream) {
	s.after(pollEvery, func() {
		s.poll(e, u)
		if _, yes := u.stopped(); yes {
			return
		}
		s.messages++
		rep := u.report()
		s.after(e.link(u), func() { e.table.ObserveProbe(s.clock(), rep) })
	})
}
