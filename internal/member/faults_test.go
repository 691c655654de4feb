package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
)

// faultMachine drives a small fleet through random faults and stores what each node has
// shown.
type faultMachine struct {
	f *fleet
	// shown is the greatest incarnation, with its state, that a process showed of an
	// instance.
	shown map[shownKey]model.Instance
}

type shownKey struct {
	process *node
	id      model.InstanceID
}

const (
	faultNodes = 7
	faultDCs   = 3
	// recoveryLimit is the time after the last fault within which views must agree. It
	// covers the backoff of an unreachable peer and some digest exchanges.
	recoveryLimit = 4 * time.Minute
)

func (x *faultMachine) node(t *rapid.T) *node {
	return x.f.nodes[rapid.IntRange(0, faultNodes-1).Draw(t, "node")]
}

func (x *faultMachine) leave(t *rapid.T) {
	if n := x.node(t); n.alive && n.pausedUntil.IsZero() {
		x.f.setState(n, model.StateLeaving)
	}
}

func (x *faultMachine) goCold(t *rapid.T) {
	if n := x.node(t); n.alive && n.pausedUntil.IsZero() && n.c.ownState < model.StateLeaving {
		x.f.setState(n, model.StateCold)
		x.f.run(time.Second)
		x.f.setState(n, model.StateLive)
	}
}

func (x *faultMachine) killOne(t *rapid.T) {
	if n := x.node(t); n.alive && n.pausedUntil.IsZero() {
		x.f.kill(n)
	}
}

func (x *faultMachine) restartOne(t *rapid.T) {
	if n := x.node(t); !n.alive {
		x.f.restart(n)
	}
}

func (x *faultMachine) pauseOne(t *rapid.T) {
	d := time.Duration(rapid.IntRange(2, 60).Draw(t, "seconds")) * time.Second
	if n := x.node(t); n.alive {
		x.f.pause(n, d)
	}
}

func (x *faultMachine) partition(t *rapid.T) {
	dc := model.DataCentre(rapid.SampledFrom([]string{"dc-0", "dc-1", "dc-2"}).Draw(t, "data centre"))
	x.f.blocked = func(a, b *node) bool { return (a.inst.DataCentre == dc) != (b.inst.DataCentre == dc) }
}

func (x *faultMachine) heal(*rapid.T) { x.f.blocked = func(_, _ *node) bool { return false } }

func (x *faultMachine) setLoss(t *rapid.T) {
	x.f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
}

func (x *faultMachine) changeListFault(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "fault") {
	case 0:
		x.f.listDown = !x.f.listDown
	case 1:
		x.f.listFrozen = x.f.now
	case 2:
		x.f.listFrozen = time.Time{}
	case 3:
		x.f.listLag = 30 * time.Second
	}
}

func (x *faultMachine) changeListEntry(t *rapid.T) {
	s := rapid.SampledFrom([]model.UpstreamState{model.StateLive, model.StateLeaving, model.StateGone}).Draw(t, "state")
	x.f.setListed(instance(rapid.IntRange(0, faultNodes-1).Draw(t, "listed"), faultDCs, s))
}

func (x *faultMachine) wait(t *rapid.T) {
	x.f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
}

// check compares what every node shows with what it showed before.
func (x *faultMachine) check(t *rapid.T) {
	for _, n := range x.f.nodes {
		if !n.alive {
			continue
		}
		for _, i := range n.board.Fleet.Get().Instances {
			key := shownKey{n, i.ID}
			old := x.shown[key]
			if i.Incarnation < old.Incarnation {
				t.Fatalf("%s shows incarnation %d of %s after %d", n.inst.ID, i.Incarnation, i.ID, old.Incarnation)
			}
			if i.Incarnation == old.Incarnation && finality(i.State) < finality(old.State) {
				t.Fatalf("%s shows %s %s after %s", n.inst.ID, i.ID, i.State, old.State)
			}
			x.shown[key] = i
		}
	}
}

// healAndCheckViews ends all faults and requires a common view with the actual state of
// every live node.
func (x *faultMachine) healAndCheckViews(t *rapid.T) {
	x.heal(t)
	x.f.loss = 0
	x.f.listDown, x.f.listLag, x.f.listFrozen = false, 0, time.Time{}
	for i, n := range x.f.nodes {
		if !n.alive {
			x.f.restart(n)
		}
		x.f.setListed(instance(i, faultDCs, model.StateLive))
	}
	agreed := func() bool {
		for _, n := range x.f.nodes {
			seen := x.f.count(n.inst.ID, n.c.ownState)
			if n.c.ownState == model.StateLeaving {
				// A node that was unreachable while it left is gone for the others.
				seen += x.f.count(n.inst.ID, model.StateGone)
			}
			if seen != faultNodes {
				return false
			}
		}
		return true
	}
	if took := x.f.until(recoveryLimit, agreed); took >= recoveryLimit {
		for _, n := range x.f.nodes {
			t.Logf("%s %s incarnation %d, %d links, shows %v", n.inst.ID, n.c.ownState, n.inst.Incarnation, len(n.c.Links()), n.board.Fleet.Get().Instances)
		}
		t.Fatalf("no common view %s after the last fault", recoveryLimit)
	}
}

func TestViewsNeverRegressAndConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &faultMachine{f: newFleet(rapid.Uint64().Draw(t, "seed")), shown: map[shownKey]model.Instance{}}
		for i := range faultNodes {
			x.f.setListed(instance(i, faultDCs, model.StateLive))
			x.f.start(instance(i, faultDCs, model.StateLive), instance(0, faultDCs, 0).PeerAddress, instance(1, faultDCs, 0).PeerAddress)
		}
		x.f.run(10 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"leave": x.leave, "cold": x.goCold, "kill": x.killOne, "restart": x.restartOne,
			"pause": x.pauseOne, "partition": x.partition, "heal": x.heal, "lose": x.setLoss,
			"listFault": x.changeListFault, "listEntry": x.changeListEntry, "wait": x.wait,
			"": x.check,
		})
		x.healAndCheckViews(t)
	})
}
