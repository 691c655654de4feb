package member

import (
	"testing"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

func TestDeadInstanceIsDeclaredGone(t *testing.T) {
	for _, n := range []int{2, 3, 11, 60} {
		f := newStableFleet(t, n, 3, 20*time.Second)
		x := f.nodes[1]
		f.kill(x)
		took := f.until(time.Minute, func() bool { return f.count(x.inst.ID, model.StateGone) == n-1 })
		if took > 5*time.Second {
			t.Errorf("fleet of %d: gone for %d after %s", n, f.count(x.inst.ID, model.StateGone), took)
		}
	}
}

func TestBrokenPathBetweenTwoNodesDeclaresNobodyGone(t *testing.T) {
	f := newStableFleet(t, 12, 3, 20*time.Second)
	a := f.nodes[0]
	b := f.byID[a.c.Links()[0].Peer]
	f.blocked = func(x, y *node) bool { return x == a && y == b || x == b && y == a }
	f.run(2 * time.Minute)
	if f.eventCount(event.MemberSuspected) == 0 {
		t.Fatal("no instance was suspected, so the test checks nothing")
	}
	if k := f.eventCount(event.MemberDeclaredGone); k > 0 {
		t.Errorf("declared gone %d times", k)
	}
	if f.count(a.inst.ID, model.StateLive) != 12 || f.count(b.inst.ID, model.StateLive) != 12 {
		t.Error("an instance is not live for all nodes")
	}
}

func TestShortPauseDeclaresNobodyGone(t *testing.T) {
	f := newStableFleet(t, 12, 3, 20*time.Second)
	f.pause(f.nodes[4], 3*time.Second)
	f.run(30 * time.Second)
	if k := f.eventCount(event.MemberDeclaredGone); k > 0 {
		t.Errorf("declared gone %d times for a pause of 3 s", k)
	}
}

// pause freezes n for d and then resumes it.
func (f *fleet) pause(n *node, d time.Duration) {
	n.pausedUntil = f.now.Add(d)
	f.run(d)
	f.wake(n, d)
}

func TestLongPausedNodeRejoinsWithNewIncarnation(t *testing.T) {
	f := newStableFleet(t, 12, 3, 20*time.Second)
	x := f.nodes[4]
	before := x.inst.Incarnation
	f.pause(x, time.Minute)
	if k := f.count(x.inst.ID, model.StateGone); k != 11 {
		t.Errorf("gone for %d of 11 after a pause of a minute", k)
	}
	declared := f.eventCount(event.MemberDeclaredGone)
	took := f.until(time.Minute, func() bool { return f.converged(12) })
	if took > 20*time.Second {
		t.Errorf("no common view %s after it resumed", took)
	}
	if x.inst.Incarnation <= before || f.count(x.inst.ID, model.StateLive) != 12 {
		t.Errorf("incarnation %d, live for %d of 12", x.inst.Incarnation, f.count(x.inst.ID, model.StateLive))
	}
	if x.events[event.MemberDeclaredGone] > 0 || f.eventCount(event.MemberDeclaredGone) != declared {
		t.Error("an instance was declared gone after the pause")
	}
}

func TestPartitionDeclaresNobodyGoneAndHealsWithoutStorm(t *testing.T) {
	const n = 60
	f := newStableFleet(t, n, 3, 20*time.Second)
	f.measure = true
	atRest := f.peakBytes(20 * time.Second)
	cut := func(x *node) bool { return x.inst.DataCentre == "dc-0" }
	f.blocked = func(a, b *node) bool { return cut(a) != cut(b) }
	f.run(5 * time.Second)
	f.setState(f.nodes[0], model.StateLeaving)
	f.setState(f.nodes[1], model.StateLeaving)
	f.run(2 * time.Minute)
	if k := f.eventCount(event.MemberDeclaredGone); k > 0 {
		t.Errorf("declared gone %d times", k)
	}
	f.blocked = func(_, _ *node) bool { return false }
	healed := f.peakBytes(30 * time.Second)
	if !f.converged(n) {
		t.Error("no common view 30 s after the partition healed")
	}
	t.Logf("busiest node's bytes in its busiest second: %d at rest, %d while healing", atRest, healed)
	if healed > 10*atRest {
		t.Errorf("%d bytes a second while healing, %d at rest", healed, atRest)
	}
}

// peakBytes returns the most bytes that any node sent within a second.
func (f *fleet) peakBytes(d time.Duration) int {
	most := 0
	for range int(d / time.Second) {
		for _, n := range f.nodes {
			n.bytes = 0
		}
		f.run(time.Second)
		for _, n := range f.nodes {
			most = max(most, n.bytes)
		}
	}
	return most
}

func TestHalfDataCentreDownIsTreatedAsPartition(t *testing.T) {
	f := newStableFleet(t, 60, 3, 20*time.Second)
	for i := 0; i < 30; i += 3 {
		f.kill(f.nodes[i])
	}
	f.run(30 * time.Second)
	gone := 0
	for _, n := range f.nodes {
		if !n.alive && f.count(n.inst.ID, model.StateGone) == f.living() {
			gone++
		}
	}
	if gone > 20/maxDownDivisor+1 {
		t.Errorf("%d of 20 instances of a data centre declared gone at once", gone)
	}
	if f.eventCount(event.PartitionSuspected) == 0 {
		t.Error("no PartitionSuspected event")
	}
}

func TestRestartedDataCentreRejoins(t *testing.T) {
	const n = 60
	f := newStableFleet(t, n, 3, 20*time.Second)
	for i := 0; i < n; i += 3 {
		f.kill(f.nodes[i])
	}
	f.run(10 * time.Second)
	reads := f.reads
	for i := 0; i < n; i += 3 {
		f.restart(f.nodes[i])
	}
	took := f.until(time.Minute, func() bool { return f.converged(n) })
	t.Logf("common view %s after the restart, %d list reads", took, f.reads-reads)
	if took > 15*time.Second {
		t.Errorf("no common view %s after the restart", took)
	}
	for i := 0; i < n; i += 3 {
		if x := f.nodes[i]; f.count(x.inst.ID, model.StateLive) != n {
			t.Errorf("%s live for %d of %d", x.inst.ID, f.count(x.inst.ID, model.StateLive), n)
		}
	}
}

func TestRestartedInstanceNoLongerCountsAsDown(t *testing.T) {
	f := newStableFleet(t, 11, 3, 20*time.Second)
	f.kill(f.nodes[0])
	f.run(5 * time.Second)
	f.restart(f.nodes[0])
	f.run(10 * time.Second)
	x := f.nodes[3]
	f.kill(x)
	if took := f.until(time.Minute, func() bool { return f.count(x.inst.ID, model.StateGone) == 10 }); took > 5*time.Second {
		t.Errorf("gone for %d of 10 after %s", f.count(x.inst.ID, model.StateGone), took)
	}
}
