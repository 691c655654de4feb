package route

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// Load: three workers of one service, one of them cut off. A call whose time-out was
// 600 ms spent 400 ms of it on a connection to the lost one, again and again: in one
// day with a cut of 7 s, 137 calls failed for it in 8 s.
func TestAnOwnerOutOfReachIsNotChosenAndComesBack(t *testing.T) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	table := NewTable(Config{Self: "e"})
	lost := model.Instance{ID: "w1", Service: "shop", PeerAddress: "10.0.0.1:1", State: model.StateLive}
	other := model.Instance{ID: "w2", Service: "shop", PeerAddress: "10.0.0.2:1", State: model.StateLive}
	table.Update(now, &model.Fleet{Instances: []model.Instance{lost, other}}, nil)
	if !table.MarkUnreachable(now, lost) {
		t.Fatal("not known")
	}
	moved := lost
	moved.PeerAddress = "10.0.0.9:1"
	if table.MarkUnreachable(now, moved) {
		t.Error("known at an address that it does not have")
	}
	// Attempts weigh on the one in reach, so that cost alone would choose the other.
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
		t.Errorf("with the other one tried: chosen %q, want none", got)
	}
	if got := chosen(now.Add(unreachedMemory)); got != "w1" {
		t.Errorf("after the memory: chosen %q, want w1", got)
	}
	table.MarkUnreachable(now, lost)
	table.MarkReachable("w1")
	if got := chosen(now); got != "w1" {
		t.Errorf("once reached: chosen %q, want w1", got)
	}
}

func TestAnOwnerIsSilentOnceAnAnswerIsLongOverdue(t *testing.T) {
	now := time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
	table := NewTable(Config{Self: "e"})
	in := model.Instance{ID: "w1", Service: "shop", State: model.StateLive}
	table.Update(now, &model.Fleet{Instances: []model.Instance{in}}, nil)
	report := model.LoadReport{Owner: "w1", Incarnation: 1, Clock: time.Second, State: model.StateLive, Limit: 4, ServiceTime: 400 * time.Millisecond}
	table.Observe(now, report)
	const age = 500 * time.Millisecond
	silent := func(after time.Duration) bool { return len(table.SilentOwners(now.Add(after), age)) == 1 }
	if silent(5 * time.Second) {
		t.Error("silent although nothing was sent")
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
		t.Error("silent although everything was answered")
	}
}
