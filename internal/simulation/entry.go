package simulation

import (
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// entryNode is a node that receives calls and routes them with its own table.
type entryNode struct {
	sim   *sim
	dc    int
	table *route.Table
}

func (e *entryNode) linkDelay(u *upstream) time.Duration {
	if u.fault == SlowLink && u.faultActive() {
		return remoteDelay + slowLinkDelay
	}
	if e.dc == u.dc {
		return localDelay
	}
	return remoteDelay
}

// call makes up to maxAttempts attempts. Only refused attempts are retried.
func (e *entryNode) call(started time.Duration, tried []model.InstanceID) {
	s := e.sim
	deadline := started + timeout
	c, ok := e.table.Pick(s.clock(), &route.Query{Service: "s", Remaining: deadline - s.now, Tried: tried})
	if !ok {
		s.record(started, false)
		return
	}
	e.table.Sent(s.clock(), c.Instance.ID)
	u := s.upstreams[int(c.Instance.ID[0]-'a')]
	sent := s.now
	a := &attempt{deadline: deadline}
	a.done = func(r route.Result, rep model.LoadReport) {
		s.after(e.linkDelay(u), func() {
			r.Latency = s.now - sent
			e.table.Observe(s.clock(), rep)
			e.table.Done(s.clock(), u.id, r)
			if r.Refused != model.ReasonNone && len(tried)+1 < maxAttempts {
				e.call(started, append(tried, u.id))
				return
			}
			s.record(started, !r.Failed && r.Refused == model.ReasonNone)
		})
	}
	s.after(e.linkDelay(u), func() { u.offer(a) })
}

// poll queries an upstream's load every pollEvery, for the baseline that polls.
func (s *sim) poll(e *entryNode, u *upstream) {
	s.after(pollEvery, func() {
		s.poll(e, u)
		if _, ok := u.paused(); ok {
			return
		}
		s.messages++
		rep := u.report()
		s.after(e.linkDelay(u), func() { e.table.ObserveProbe(s.clock(), rep) })
	})
}
