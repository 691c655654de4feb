package spread

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// rollOutLimit is the guaranteed time from publication until a version is in force
// everywhere.
const rollOutLimit = 7 * time.Second

func TestNewVersionIsInForceEverywhereWithinSevenSeconds(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		f := newFleet(100, 1)
		f.loss = loss
		f.publish("a", 1, 5000)
		f.linkAll(4)
		f.runUntilReady(t)
		for version := uint64(2); version < 8; version++ {
			f.checkRollOut(t, fmt.Sprintf("loss %.1f", loss), version, 5000)
		}
	}
}

// checkRollOut publishes a version of a and fails unless it is in force everywhere within
// rollOutLimit; when describes the scenario.
func (f *fleet) checkRollOut(t *testing.T, when string, version uint64, size int) {
	t.Helper()
	times := f.rollOut(t, "a", version, size)
	last := times[len(times)-1]
	if last > rollOutLimit {
		t.Errorf("%s: version %d was in force everywhere after %s", when, version, last)
	}
	t.Logf("%s: version %d after %s", when, version, last)
}

// newReadyFleet returns a fleet of n ready nodes with a@1 in force.
func newReadyFleet(t *testing.T, n int) *fleet {
	f := newFleet(n, 7)
	f.publish("a", 1, 1000)
	f.linkAll(4)
	f.runUntilReady(t)
	return f
}

// checkInForce fails unless the nodes have the version in force within d.
func (f *fleet) checkInForce(t *testing.T, nodes []*node, version uint64, d time.Duration) {
	t.Helper()
	if !f.runUntil(f.now.Add(d), func() bool { return allHave(nodes, "a", version) }) {
		t.Errorf("a@%d is not in force on all of %d nodes after %s", version, len(nodes), d)
	}
}

func TestConfigOutageOfAnHour(t *testing.T) {
	f := newReadyFleet(t, 12)
	f.platform.down = true
	before := f.platform.reads
	f.run(50 * time.Minute)
	if perSecond := float64(f.platform.reads-before) / 3000; perSecond > 0.5 || perSecond == 0 {
		t.Errorf("%.2f reads/s in the outage", perSecond)
	}
	for _, nd := range f.nodes {
		if age := f.now.Sub(nd.c.ConfirmedAt()); age < 49*time.Minute || nd.records[event.ConfigUnconfirmed] == 0 {
			t.Fatalf("%s was confirmed %s ago, %d alerts", nd.id, age, nd.records[event.ConfigUnconfirmed])
		}
		if n := nd.records[event.ConfigUnreachable]; n > 6 {
			t.Errorf("%s logged the outage %d times", nd.id, n)
		}
	}
	fresh := f.addNode()
	f.showFleet()
	f.linkSome(fresh, 4, f.nodes)
	f.run(10 * time.Minute)
	if !fresh.c.Ready() || fresh.inForce("a") != 1 {
		t.Errorf("a node that started in the outage is missing %v", fresh.c.NotReadyReasons())
	}
	f.publish("a", 2, 1000)
	f.platform.down = false
	f.checkInForce(t, f.nodes, 2, 15*time.Second)
}

func TestStaleConfigServiceRevertsNoVersion(t *testing.T) {
	f := newReadyFleet(t, 30)
	f.platform.stale = map[model.BundleName]platformValue{"a": f.platform.values["a"]}
	old := f.platform.stale
	f.platform.stale = nil
	f.rollOut(t, "a", 2, 1000)
	f.run(5 * time.Second)
	f.platform.stale = old
	turned := f.now
	f.run(20 * time.Second)
	fresh := f.addNode()
	f.restart(f.nodes[3])
	f.showFleet()
	f.linkSome(fresh, 4, f.nodes[:30])
	f.linkSome(f.nodes[3], 4, f.nodes[:30])
	f.run(30 * time.Second)
	logged := 0
	for _, nd := range f.nodes {
		logged += nd.records[event.ConfigStale]
		if nd.inForce("a") != 2 {
			t.Errorf("%s has a@%d in force", nd.id, nd.inForce("a"))
		}
		if nd.c.ConfirmedAt().After(turned) {
			t.Errorf("%s counts a stale response as a confirmation", nd.id)
		}
	}
	if logged == 0 || logged > len(f.nodes) {
		t.Errorf("%d log lines for %d nodes", logged, len(f.nodes))
	}
}

func TestPartitionHeals(t *testing.T) {
	f := newReadyFleet(t, 40)
	for _, nd := range f.nodes {
		half := nd.at / 20 * 20
		f.linkSome(nd, 2, f.nodes[half:half+20])
	}
	f.run(time.Second)
	left := func(nd *node) bool { return nd.at < 20 }
	f.partitioned = func(a, b *node) bool { return left(a) != left(b) }
	f.platform.values["a"] = platformValue{version: 2, raw: signed("a", 2, 1000)}
	f.checkInForce(t, f.nodes, 2, rollOutLimit)
	f.publish("a", 3, 1000)
	f.checkInForce(t, f.nodes, 3, rollOutLimit)
	f.platform.down = true
	f.nodes[0].c.Handle(f.now, control.ValueRead{Name: "a", Data: signed("a", 4, 1000)})
	f.checkInForce(t, f.nodes[:20], 4, rollOutLimit)
	f.run(time.Minute)
	if f.nodes[30].inForce("a") != 3 {
		t.Fatal("the partition does not separate the nodes")
	}
	f.partitioned = func(a, b *node) bool { return false }
	f.checkInForce(t, f.nodes, 4, 2*compareInterval)
}

func TestVersionSpreadsAfterReaderFails(t *testing.T) {
	f := newReadyFleet(t, 30)
	f.publish("a", 2, 1000)
	for range 3 {
		reads := f.platform.reads
		f.runUntil(f.now.Add(time.Minute), func() bool { return f.platform.reads > reads })
		for _, nd := range f.nodes {
			if len(nd.c.configReads.indexReadsStarted) > 0 {
				f.pauseNode(nd)
			}
		}
	}
	var alive []*node
	for _, nd := range f.nodes {
		if !nd.paused {
			alive = append(alive, nd)
		}
	}
	if len(alive) == len(f.nodes) {
		t.Fatal("no reader was paused")
	}
	f.checkInForce(t, alive, 2, rollOutLimit)
}

func TestPausedNodeReconfirms(t *testing.T) {
	f := newReadyFleet(t, 20)
	nd := f.nodes[5]
	f.pauseNode(nd)
	f.run(5 * time.Second)
	f.platform.down = true
	f.run(5 * time.Minute)
	f.publish("a", 2, 1000)
	f.resumeNode(nd)
	if got := nd.c.ConfirmedAt(); !got.IsZero() {
		t.Errorf("confirmed at %s by events that waited through the pause", got)
	}
	f.run(10 * time.Second)
	if age := f.now.Sub(nd.c.ConfirmedAt()); age < 5*time.Minute {
		t.Errorf("confirmed %s ago, during the outage", age)
	}
	f.platform.down = false
	f.checkInForce(t, f.nodes, 2, 15*time.Second)
	f.run(5 * time.Second)
	if age := f.now.Sub(nd.c.ConfirmedAt()); age > 5*time.Second {
		t.Errorf("confirmed %s ago", age)
	}
}

func TestDataCentreStartIsBounded(t *testing.T) {
	f := newFleet(90, 3)
	for i := range 60 {
		f.publish(fmt.Sprintf("b%02d", i), 1, 5000)
	}
	f.showFleet()
	old, fresh := f.nodes[:60], f.nodes[60:]
	for _, nd := range fresh {
		f.pauseNode(nd)
	}
	for _, nd := range old {
		f.linkSome(nd, 4, old)
	}
	f.run(20 * time.Second)
	for _, nd := range fresh {
		nd.pausedDeliveries = nil
		f.restart(nd)
		nd.paused = false
	}
	for _, nd := range fresh {
		f.linkSome(nd, 2, old)
		f.linkSome(nd, 2, fresh)
	}
	reads := f.platform.reads
	if !f.runUntil(f.now.Add(rollOutLimit), f.allReady) {
		t.Errorf("not ready after %s: %v", rollOutLimit, fresh[0].c.NotReadyReasons())
	}
	if got := f.platform.reads - reads; got > 100 {
		t.Errorf("%d reads of the configuration service for 30 nodes of 60 bundles", got)
	}
	for _, nd := range fresh {
		if n, _ := nd.c.HeldSize(); n != 60 {
			t.Errorf("%s is ready with %d bundles", nd.id, n)
		}
	}
}

func TestManyChangesStayWithinConfigReadRate(t *testing.T) {
	f := newFleet(30, 4)
	name := func(i int) string { return fmt.Sprintf("b%03d", i) }
	for i := range 150 {
		f.publish(name(i), 1, 300)
	}
	f.linkAll(4)
	f.runUntilReady(t)
	for i := range 150 {
		f.publish(name(i), 2, 300)
	}
	clear(f.platform.perSec)
	begun := f.now
	f.runUntil(f.now.Add(time.Minute), func() bool {
		for i := range 150 {
			if !allHave(f.nodes, name(i), 2) {
				return false
			}
		}
		return true
	})
	if took := f.now.Sub(begun); took > 15*time.Second {
		t.Errorf("150 changes took %s", took)
	}
	for second, n := range f.platform.perSec {
		if n > 500 {
			t.Errorf("%d reads in second %d", n, second)
		}
	}
}
