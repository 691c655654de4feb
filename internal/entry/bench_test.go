package entry

import (
	"strconv"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
)

// benchTable returns a table with the default policy and 16 upstreams that sent a report.
func benchTable(target bundle.Target) *route.Table {
	table := route.NewTable(route.Config{Self: "vouchers-a", DataCentre: "dc1"})
	view := &model.Fleet{Revision: 1}
	for i := range 16 {
		view.Instances = append(view.Instances, model.Instance{
			ID: model.InstanceID("payouts-" + strconv.Itoa(i)), Service: testService, DataCentre: "dc1",
			Incarnation: 7, State: model.StateLive,
		})
	}
	table.Update(epoch, view, bundle.NewSet([]*bundle.Bundle{target.Bundle}))
	for _, in := range view.Instances {
		r := reportOf(in.ID)
		r.State, r.Limit, r.ServiceTime = model.StateLive, 20, time.Millisecond
		table.Observe(epoch, r)
	}
	return table
}

// BenchmarkStraightCall measures a call whose first attempt gets a response. Its baseline
// is the routing that every call needs.
func BenchmarkStraightCall(b *testing.B) {
	r := testRequest()
	table := benchTable(r.Target)
	b.Run("routing alone", func(b *testing.B) {
		b.ReportAllocs()
		q := route.Query{Service: testService, Class: "payout", Remaining: testTimeout}
		for range b.N {
			c, _ := table.Pick(epoch, &q)
			table.Sent(epoch, c.Instance.ID)
			table.Done(epoch, c.Instance.ID, route.Result{Latency: time.Millisecond})
		}
	})
	b.Run("routing in parallel", func(b *testing.B) {
		b.RunParallel(func(pb *testing.PB) {
			q := route.Query{Service: testService, Class: "payout", Remaining: testTimeout}
			for pb.Next() {
				c, _ := table.Pick(epoch, &q)
				table.Sent(epoch, c.Instance.ID)
				table.Done(epoch, c.Instance.ID, route.Result{Latency: time.Millisecond})
			}
		})
	})
	b.Run("call", func(b *testing.B) {
		b.ReportAllocs()
		e := testEngine(table)
		for range b.N {
			straight(e, r)
		}
	})
	b.Run("call without routing", func(b *testing.B) {
		b.ReportAllocs()
		e := testEngine(oneOwner{})
		for range b.N {
			straight(e, r)
		}
	})
	b.Run("call in parallel", func(b *testing.B) {
		b.ReportAllocs()
		e := NewEngine(Config{Self: e0}, table)
		b.RunParallel(func(pb *testing.PB) {
			for pb.Next() {
				straight(e, r)
			}
		})
	})
}

var e0 = model.Instance{ID: "vouchers-a", Incarnation: 3}

func straight(e *Engine, r Request) Step {
	c := e.Begin(epoch, r)
	s := c.Next(epoch)
	c.Report(epoch, model.LoadReport{Owner: s.To.ID})
	c.Answered(epoch, false)
	return c.Next(epoch)
}

// oneOwner is a chooser without cost: it always returns the same owner.
type oneOwner struct{}

func (oneOwner) Pick(time.Time, *route.Query) (route.Choice, bool) {
	return route.Choice{Instance: model.Instance{ID: "payouts-a", Incarnation: 7}, OwnerClock: time.Second}, true
}

func (t oneOwner) NextHome(time.Time, *route.Query, model.RequestID, []model.InstanceID) (route.Choice, bool) {
	return t.Pick(epoch, nil)
}

func (t oneOwner) PickInstance(time.Time, *route.Query, model.InstanceID) (route.Choice, bool) {
	return t.Pick(epoch, nil)
}

func (oneOwner) NoUpstreamReason(*route.Query) model.Reason { return model.ReasonNoUpstream }

func (oneOwner) Sent(time.Time, model.InstanceID) {}

func (oneOwner) Done(time.Time, model.InstanceID, route.Result) {}
