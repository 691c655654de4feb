package member

import (
	"testing"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

func TestListAddsInstanceAndMarksItLeaving(t *testing.T) {
	f := newStableFleet(t, 6, 2, 10*time.Second)
	fresh := instance(90, 2, model.StateLive)
	fresh.PeerAddress = ""
	f.setListed(fresh)
	f.run(6 * time.Second)
	if k := f.count(fresh.ID, model.StateLive); k != 6 {
		t.Errorf("live for %d of 6 after the list named it", k)
	}
	fresh.State = model.StateLeaving
	f.setListed(fresh)
	f.run(6 * time.Second)
	fresh.State = model.StateLive
	f.setListed(fresh)
	f.run(6 * time.Second)
	if k := f.count(fresh.ID, model.StateLive); k != 0 {
		t.Errorf("live for %d although it was leaving", k)
	}
}

func TestListMarksOwnerLeavingAndLiveAgain(t *testing.T) {
	f := newStableFleet(t, 6, 2, 10*time.Second)
	x := f.nodes[2]
	f.setListed(instance(2, 2, model.StateLeaving))
	f.run(6 * time.Second)
	if k := f.count(x.inst.ID, model.StateLeaving); k != 6 || x.events[event.ListMarksLeaving] == 0 {
		t.Errorf("leaving for %d of 6, events %v", k, x.events)
	}
	f.setListed(instance(2, 2, model.StateLive))
	f.run(6 * time.Second)
	if k := f.count(x.inst.ID, model.StateLive); k != 6 || x.events[event.IncarnationRaised] == 0 {
		t.Errorf("live again for %d of 6, events %v", k, x.events)
	}
}

func TestStaleListRevivesNobody(t *testing.T) {
	f := newStableFleet(t, 8, 2, 10*time.Second)
	old := f.now
	x := f.nodes[1]
	f.setState(x, model.StateLeaving)
	f.run(2 * time.Second)
	f.setState(x, model.StateGone)
	f.run(time.Second)
	f.kill(x)
	f.setListed(instance(1, 2, model.StateGone))
	f.run(10 * time.Second)
	f.listFrozen = old
	f.start(instance(20, 2, model.StateLive))
	f.run(time.Minute)
	if k := f.count(x.inst.ID, model.StateGone); k != 8 {
		t.Errorf("gone for %d of 8 while the list is an hour old", k)
	}
	if f.eventCount(event.ListStale) == 0 {
		t.Error("no ListStale event")
	}
}

func TestFleetSurvivesListOutageOfAnHour(t *testing.T) {
	f := newStableFleet(t, 6, 2, 10*time.Second)
	f.listDown = true
	f.run(time.Minute)
	reads := f.reads
	f.run(20 * time.Minute)
	f.kill(f.nodes[3])
	f.run(10 * time.Minute)
	f.restart(f.nodes[3])
	f.run(29 * time.Minute)
	if !f.converged(6) || f.count(f.nodes[3].inst.ID, model.StateLive) != 6 {
		t.Error("no common view with all six live")
	}
	if perMinute := (f.reads - reads) / 59; perMinute > 60 || perMinute < 5 {
		t.Errorf("%d reads a minute in the outage", perMinute)
	}
	if age := f.now.Sub(f.nodes[0].c.ListConfirmedAt()); age < time.Hour-time.Second {
		t.Errorf("list confirmed %s ago", age)
	}
	f.listDown = false
	f.run(15 * time.Second)
	if age := f.now.Sub(f.nodes[0].c.ListConfirmedAt()); age > 5*time.Second {
		t.Errorf("list confirmed %s ago after the outage", age)
	}
	if e := f.nodes[0].events; e[event.ListFailed] != 1 || e[event.ListRecovered] != 1 {
		t.Errorf("failure and recovery recorded %d and %d times", e[event.ListFailed], e[event.ListRecovered])
	}
}

func TestUnlistedInstanceStaysWhileReachable(t *testing.T) {
	f := newStableFleet(t, 24, 2, 10*time.Second)
	f.setListed(instance(2, 2, model.StateGone))
	f.run(unlistedTTL + reapSpread + 5*time.Minute)
	if k := f.count(f.nodes[2].inst.ID, model.StateLive); k != 24 {
		t.Errorf("live for %d of 24", k)
	}
}

func TestUnlistedUnlinkedInstanceIsRemoved(t *testing.T) {
	f := newStableFleet(t, 6, 2, 10*time.Second)
	never := instance(90, 2, model.StateLive)
	never.PeerAddress = ""
	f.setListed(never)
	f.run(10 * time.Second)
	never.State = model.StateGone
	f.setListed(never)
	f.run(unlistedTTL / 2)
	if k := f.count(never.ID, model.StateLive); k != 6 {
		t.Errorf("live for %d of 6 after half of unlistedTTL", k)
	}
	f.run(unlistedTTL/2 + 2*reapSpread)
	if k := f.count(never.ID, model.StateGone); k != 6 {
		t.Errorf("gone for %d of 6 in the end", k)
	}
}

func TestListReadRateIsBounded(t *testing.T) {
	f := newStableFleet(t, 100, 5, 20*time.Second)
	reads := f.reads
	f.run(time.Minute)
	perSecond := float64(f.reads-reads) / 60
	if perSecond < 0.3 || perSecond > 10 {
		t.Errorf("%.1f reads a second of 100 nodes", perSecond)
	}
	if k := f.eventCount(event.ListFailed); k > 0 {
		t.Errorf("failure recorded %d times while the list is available", k)
	}
	if age := f.now.Sub(f.nodes[50].c.ListConfirmedAt()); age > 5*time.Second {
		t.Errorf("list confirmed %s ago", age)
	}
}

func TestTombstonesExpire(t *testing.T) {
	f := newStableFleet(t, 2, 1, 10*time.Second)
	f.setState(f.nodes[1], model.StateGone)
	f.run(time.Second)
	f.kill(f.nodes[1])
	f.setListed(instance(1, 1, model.StateGone))
	f.run(tombstoneTTL + time.Minute)
	if _, ok := f.nodes[0].c.table.get(f.nodes[1].inst.ID); ok {
		t.Errorf("still remembered after %s", tombstoneTTL+time.Minute)
	}
}
