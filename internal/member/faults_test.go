package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gypsumstand/internal/model"
)

// faults drives a small fleet through random faults beside a ledger of what
// each node has shown.
type faults struct {
	f *fleet
	// shown is the greatest incarnation, and its state, that a process showed of
	// an instance.
	shown map[shownKey]model.Instance
}

type shownKey struct {
	process *node
	id      model.InstanceID
}

const (
	faultNodes = 7
	faultDCs   = 3
	// recovery is the time after the last fault within which views must agree:
	// the backoff of an unreachable peer and some digests.
	recovery = 4 * time.Minute
)

func (x *faults) node(t *rapid.T) *node {
	return x.f.nodes[rapid.IntRange(0, faultNodes-1).Draw(t, "node")]
}

func (x *faults) leave(t *rapid.T) {
	if n := x.node(t); n.alive && n.pausing.IsZero() {
		x.f.say(n, model.StateLeaving)
	}
}

func (x *faults) cold(t *rapid.T) {
	if n := x.node(t); n.alive && n.pausing.IsZero() && n.c.stage < model.StateLeaving {
		x.f.say(n, model.StateCold)
		x.f.run(time.Second)
		x.f.say(n, model.StateLive)
	}
}

func (x *faults) killOne(t *rapid.T) {
	if n := x.node(t); n.alive && n.pausing.IsZero() {
		x.f.kill(n)
	}
}

func (x *faults) restartOne(t *rapid.T) {
	if n := x.node(t); !n.alive {
		x.f.restart(n)
	}
}

func (x *faults) pauseOne(t *rapid.T) {
	d := time.Duration(rapid.IntRange(2, 60).Draw(t, "seconds")) * time.Second
	if n := x.node(t); n.alive {
		x.f.pause(n, d)
	}
}

func (x *faults) partition(t *rapid.T) {
	dc := model.DataCentre(rapid.SampledFrom([]string{"dc-0", "dc-1", "dc-2"}).Draw(t, "data centre"))
	x.f.blocked = func(a, b *node) bool { return (a.inst.DataCentre == dc) != (b.inst.DataCentre == dc) }
}

func (x *faults) heal(*rapid.T) { x.f.blocked = func(_, _ *node) bool { return false } }

func (x *faults) lose(t *rapid.T) {
	x.f.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
}

func (x *faults) listFault(t *rapid.T) {
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

func (x *faults) listEntry(t *rapid.T) {
	s := rapid.SampledFrom([]model.UpstreamState{model.StateLive, model.StateLeaving, model.StateGone}).Draw(t, "state")
	x.f.list(instance(rapid.IntRange(0, faultNodes-1).Draw(t, "listed"), faultDCs, s))
}

func (x *faults) wait(t *rapid.T) {
	x.f.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds")) * time.Second)
}

// check compares what every node shows with what it showed before.
func (x *faults) check(t *rapid.T) {
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

// settle ends all faults and wants one view that shows all living nodes as they are.
func (x *faults) settle(t *rapid.T) {
	x.heal(t)
	x.f.loss = 0
	x.f.listDown, x.f.listLag, x.f.listFrozen = false, 0, time.Time{}
	for i, n := range x.f.nodes {
		if !n.alive {
			x.f.restart(n)
		}
		x.f.list(instance(i, faultDCs, model.StateLive))
	}
	agreed := func() bool {
		for _, n := range x.f.nodes {
			seen := x.f.count(n.inst.ID, n.c.stage)
			if n.c.stage == model.StateLeaving {
				// One that was silent while it left is gone for the others.
				seen += x.f.count(n.inst.ID, model.StateGone)
			}
			if seen != faultNodes {
				return false
			}
		}
		return true
	}
	if took := x.f.until(recovery, agreed); took >= recovery {
		for _, n := range x.f.nodes {
			t.Logf("%s %s incarnation %d, %d links, shows %v", n.inst.ID, n.c.stage, n.inst.Incarnation, len(n.c.Links()), n.board.Fleet.Get().Instances)
		}
		t.Fatalf("no common view %s after the last fault", recovery)
	}
}

func TestViewsNeverTurnBackAndAgreeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := &faults{f: newFleet(rapid.Uint64().Draw(t, "seed")), shown: map[shownKey]model.Instance{}}
		for i := range faultNodes {
			x.f.list(instance(i, faultDCs, model.StateLive))
			x.f.start(instance(i, faultDCs, model.StateLive), instance(0, faultDCs, 0).PeerAddress, instance(1, faultDCs, 0).PeerAddress)
		}
		x.f.run(10 * time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"leave": x.leave, "cold": x.cold, "kill": x.killOne, "restart": x.restartOne,
			"pause": x.pauseOne, "partition": x.partition, "heal": x.heal, "lose": x.lose,
			"listFault": x.listFault, "listEntry": x.listEntry, "wait": x.wait,
			"": x.check,
		})
		x.settle(t)
	})
}
