package route

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// Guards against calls that spend their time on connections to an unreachable owner: with
// one of three workers cut off, calls with a timeout of 600 ms spent 400 ms of it on the
// connection, and in a network partition of 7 s 137 calls failed within 8 s.
func TestUnreachableOwnerIsExcludedForAWhile(t *testing.T) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	table := NewTable(Config{Self: "e"})
	unreachable := model.Instance{ID: "w1", Service: "shop", PeerAddress: "10.0.0.1:1", State: model.StateLive}
	other := model.Instance{ID: "w2", Service: "shop", PeerAddress: "10.0.0.2:1", State: model.StateLive}
	table.Update(now, &model.Fleet{Instances: []model.Instance{unreachable, other}}, nil)
	if !table.MarkUnreachable(now, unreachable) {
		t.Fatal("the owner is not known at its address")
	}
	moved := unreachable
	moved.PeerAddress = "10.0.0.9:1"
	if table.MarkUnreachable(now, moved) {
		t.Error("the owner is known at another address")
	}
	// Attempts in flight raise the cost of w2, so that cost alone would choose w1.
	for range 50 {
		table.Sent(now, "w2")
	}
	chosen := func(at time.Time, tried ...model.InstanceID) model.InstanceID {
		c, _ := table.Pick(at, &Query{Service: "shop", Tried: tried})
		return c.Instance.ID
	}
	if got := chosen(now); got != "w2" {
		t.Errorf("chosen %q, want w2", got)
	}
	if got := chosen(now, "w2"); got != "" {
		t.Errorf("w2 was tried: chosen %q, want none", got)
	}
	if got := chosen(now.Add(unreachableTTL)); got != "w1" {
		t.Errorf("after unreachableTTL: chosen %q, want w1", got)
	}
	table.MarkUnreachable(now, unreachable)
	table.MarkReachable("w1")
	if got := chosen(now); got != "w1" {
		t.Errorf("after MarkReachable: chosen %q, want w1", got)
	}
}

func TestOwnerIsSilentOnceResponseIsLongOverdue(t *testing.T) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	table := NewTable(Config{Self: "e"})
	in := model.Instance{ID: "w1", Service: "shop", State: model.StateLive}
	table.Update(now, &model.Fleet{Instances: []model.Instance{in}}, nil)
	report := model.LoadReport{Owner: "w1", Incarnation: 1, Clock: time.Second, State: model.StateLive, Limit: 4, ServiceTime: 400 * time.Millisecond}
	table.Observe(now, report)
	const age = 500 * time.Millisecond
	silent := func(after time.Duration) bool { return len(table.SilentOwners(now.Add(after), age)) == 1 }
	if silent(5 * time.Second) {
		t.Error("silent although no attempt is in flight")
	}
	table.Sent(now, "w1")
	if silent(600 * time.Millisecond) {
		t.Error("silent within twice the expected time")
	}
	if !silent(2 * time.Second) {
		t.Error("not silent after five times the expected time")
	}
	table.Done(now, "w1", Result{Latency: time.Second})
	if silent(5 * time.Second) {
		t.Error("silent although all attempts have ended")
	}
}
