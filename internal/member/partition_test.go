package member

import (
	"testing"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// In a fleet of a few instances, each part of a partition could declare the other gone
// one by one, since one instance of a data centre may always look down.
func TestSmallFleetPartitionDeclaresNobodyGoneAndRejoins(t *testing.T) {
	f := newStableFleet(t, 5, 3, 20*time.Second)
	cut := func(x *node) bool { return x == f.nodes[0] || x == f.nodes[1] }
	f.blocked = func(a, b *node) bool { return cut(a) != cut(b) }
	f.run(20 * time.Minute)
	if f.eventCount(event.MemberSuspected) == 0 {
		t.Fatal("no instance was suspected, so the test checks nothing")
	}
	if k := f.eventCount(event.MemberDeclaredGone); k > 0 {
		t.Errorf("declared gone %d times", k)
	}
	f.healAndCheckJoined(t, 20*time.Second)
}

// In a fleet of two, one observer is enough to declare the other instance gone.
func TestMutuallyGoneNodesRejoin(t *testing.T) {
	f := newStableFleet(t, 2, 1, 20*time.Second)
	f.blocked = func(_, _ *node) bool { return true }
	f.run(2 * time.Minute)
	if f.count(f.nodes[0].inst.ID, model.StateGone) != 1 || f.count(f.nodes[1].inst.ID, model.StateGone) != 1 {
		t.Fatal("the nodes did not declare each other gone, so the test checks nothing")
	}
	f.healAndCheckJoined(t, 20*time.Second)
}

// healAndCheckJoined heals a partition and requires a common view within d.
func (f *fleet) healAndCheckJoined(t *testing.T, d time.Duration) {
	t.Helper()
	f.blocked = func(_, _ *node) bool { return false }
	if took := f.until(time.Minute, func() bool { return f.converged(len(f.nodes)) }); took > d {
		t.Errorf("no common view %s after the partition healed", took)
	}
}
