package member

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// checkLimit is the time that one check may take.
	checkLimit = 2*dialLimit + time.Second
	// maxChecks bounds the checks in flight; more would be a partition.
	maxChecks = 16
	// helpers is the number of peers that are asked to see for themselves.
	helpers = 3
	// A target that was suspected is left alone for a time that doubles.
	recheckMin = 10 * time.Second
	recheckMax = 5 * time.Minute
	// maxRechecks bounds the memory of targets that were suspected.
	maxRechecks = 256
)

// verdict is what a check knows of one of its two questions.
type verdict uint8

const (
	undecided verdict = iota
	reachable
	unreachable
)

// check finds out whether target is dead or this node is cut off: it must reach
// another instance of the target's data centre first, and then not the target.
// In this order, a partition that heals meanwhile accuses nobody.
type check struct {
	target wire.MemberRecord
	begun  time.Time
	// cause is what this node noticed first.
	cause string
	// reach is whether this node reaches the target.
	reach verdict
	// dialed says that a link to the target was opened since control was reached.
	dialed bool
	// control is another instance, and whether this node reaches that.
	control      model.InstanceID
	controlReach verdict
	// asked are the peers that wait for the answer; empty for an own suspicion.
	asked []model.InstanceID
}

type recheck struct {
	count int
	until time.Time
}

// checker holds what this node and others suspect.
type checker struct {
	checks    []*check
	rechecks  map[model.InstanceID]recheck
	accused   []*accused
	losses    []loss
	doubtSaid map[model.DataCentre]time.Time
}

func (k *checker) find(id model.InstanceID) *check {
	at := slices.IndexFunc(k.checks, func(x *check) bool { return x.target.ID == id })
	if at < 0 {
		return nil
	}
	return k.checks[at]
}

// reached notes that this node has a link to id.
func (k *checker) reached(id model.InstanceID) { k.settle(id, reachable) }

// unreached notes that this node could not open a link to id, or lost it.
func (k *checker) unreached(id model.InstanceID) { k.settle(id, unreachable) }

func (k *checker) settle(id model.InstanceID, v verdict) {
	for _, x := range k.checks {
		if x.target.ID == id && (v == reachable || x.dialed) {
			x.reach = v
		}
		if x.control == id {
			x.controlReach = v
		}
	}
}

func (c *Controller) dropChecks() { c.checks.checks = nil }

// suspect starts a check of a peer that gave cause for it.
func (c *Controller) suspect(now time.Time, id model.InstanceID, cause string) {
	if x := c.startCheck(now, id); x != nil {
		x.cause = cause
		c.seekControl(now, x)
	}
}

// startCheck returns a new check of id, or nil when there is to be none.
func (c *Controller) startCheck(now time.Time, id model.InstanceID) *check {
	r, ok := c.table.get(id)
	switch {
	case !ok, id == c.cfg.Self.ID, r.State == model.StateGone:
		return nil
	case c.doubts(now), c.stage == model.StateGone:
		return nil
	case c.checks.find(id) != nil, len(c.checks.checks) >= maxChecks:
		return nil
	case now.Before(c.checks.rechecks[id].until):
		return nil
	}
	c.noteRecheck(now, id)
	x := &check{target: r, begun: now}
	c.checks.checks = append(c.checks.checks, x)
	return x
}

func (c *Controller) noteRecheck(now time.Time, id model.InstanceID) {
	if c.checks.rechecks == nil || len(c.checks.rechecks) >= maxRechecks {
		c.checks.rechecks = map[model.InstanceID]recheck{}
	}
	old := c.checks.rechecks[id]
	if now.Sub(old.until) > recheckMax {
		old.count = 0
	}
	wait := min(recheckMin<<min(old.count, 10), recheckMax)
	c.checks.rechecks[id] = recheck{count: old.count + 1, until: now.Add(wait)}
}

// seekControl finds another instance of the target's data centre to compare
// with, or any other when the target is alone there.
func (c *Controller) seekControl(now time.Time, x *check) {
	near := func(r wire.MemberRecord) bool { return r.DataCentre == x.target.DataCentre }
	if c.table.serving[x.target.DataCentre] <= c.ownCountIn(x.target) {
		near = func(wire.MemberRecord) bool { return true }
	}
	other := func(r wire.MemberRecord) bool {
		return r.ID != x.target.ID && r.ID != c.cfg.Self.ID && serving(r.State) && near(r)
	}
	for _, l := range c.links.fresh(now) {
		if r, ok := c.table.get(l.peer); ok && other(r) {
			x.control = l.peer
			c.send(l.peer, wire.Probe{})
			return
		}
	}
	r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
		return other(r) && c.links.get(r.ID) == nil
	})
	switch {
	case ok:
		x.control = r.ID
		c.dial(now, r.ID, r.PeerAddress, false)
	case c.loneObserver(x.target.ID):
		x.controlReach = reachable
	default:
		x.controlReach = unreachable
	}
}

// ownCountIn returns how many of the serving instances in the target's data
// centre are the target or this node.
func (c *Controller) ownCountIn(target wire.MemberRecord) int {
	n := 0
	if serving(target.State) {
		n++
	}
	if c.cfg.Self.DataCentre == target.DataCentre && serving(c.self().State) {
		n++
	}
	return n
}

// loneObserver reports whether no third instance is known that could observe
// target as well.
func (c *Controller) loneObserver(target model.InstanceID) bool {
	_, third := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
		return r.ID != target && r.ID != c.cfg.Self.ID && r.State != model.StateGone
	})
	return !third
}

// probe takes a peer's wish that this node sees for itself.
func (c *Controller) probe(now time.Time, l *link, m wire.Probe) {
	switch m.Target {
	case "":
		c.send(l.peer, wire.ProbeReply{})
		return
	case c.cfg.Self.ID:
		c.refute(now, wire.Suspicion{Target: m.Target, Incarnation: m.Incarnation, Counter: m.Counter, Observer: l.peer})
		return
	}
	r, ok := c.table.get(m.Target)
	if !ok || r.Incarnation != m.Incarnation || r.Counter != m.Counter || r.State == model.StateGone {
		return
	}
	if target := c.links.get(m.Target); target != nil && target.fresh(now) {
		c.send(l.peer, wire.ProbeReply{Target: m.Target, Incarnation: m.Incarnation})
		return
	}
	x := c.checks.find(m.Target)
	if x == nil {
		if x = c.startCheck(now, m.Target); x == nil {
			return
		}
		x.cause = "a peer asked"
		c.seekControl(now, x)
	}
	if len(x.asked) < maxChecks {
		x.asked = append(x.asked, l.peer)
	}
}

// probeReply takes that a peer reaches a target: this node's own trouble with
// it is no reason to accuse. A reply without a target is a control's.
func (c *Controller) probeReply(now time.Time, l *link, m wire.ProbeReply) {
	if m.Target == "" {
		c.checks.reached(l.peer)
		return
	}
	if x := c.checks.find(m.Target); x != nil {
		x.reach = reachable
	}
	if a := c.checks.accusedOf(m.Target); a != nil && a.incarnation == m.Incarnation {
		a.forget(c.cfg.Self.ID)
	}
	c.answerProbes(now)
}

// tickChecks moves the checks on, and declares gone whom enough accuse.
func (c *Controller) tickChecks(now time.Time) {
	if len(c.checks.checks) > 0 {
		c.answerProbes(now)
		for _, x := range slices.Clone(c.checks.checks) {
			c.step(now, x)
		}
	}
	c.tickAccused(now)
}

// answerProbes ends the checks whose target was reached and tells who asked.
func (c *Controller) answerProbes(now time.Time) {
	for _, x := range slices.Clone(c.checks.checks) {
		if x.reach != reachable {
			continue
		}
		for _, peer := range x.asked {
			c.send(peer, wire.ProbeReply{Target: x.target.ID, Incarnation: x.target.Incarnation})
		}
		c.endCheck(x)
	}
}

func (c *Controller) step(now time.Time, x *check) {
	if l := c.links.get(x.target.ID); l != nil && l.fresh(now) {
		x.reach = reachable
		return
	}
	r, ok := c.table.get(x.target.ID)
	switch {
	case !ok, compareOwn(r, x.target) != 0, now.Sub(x.begun) > checkLimit:
		c.endCheck(x)
	case x.controlReach == unreachable:
		c.endCheck(x)
		c.sayDoubt(now, x.target.DataCentre)
	case x.controlReach == undecided:
	case x.reach == unreachable:
		c.endCheck(x)
		c.accuse(now, x)
	case x.reach == undecided && !x.dialed:
		x.dialed = true
		c.dial(now, x.target.ID, x.target.PeerAddress, false)
	}
}

func (c *Controller) endCheck(x *check) {
	c.checks.checks = slices.DeleteFunc(c.checks.checks, func(y *check) bool { return y == x })
}
