package member

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// checkExpiry is the maximum duration of one check.
	checkExpiry = 2*dialExpiry + time.Second
	// maxChecks bounds the checks in flight; more would indicate a partition.
	maxChecks = 16
	// probeHelpers is the number of peers that are asked to check a suspected instance.
	probeHelpers = 3
	// Backoff between two checks of one target; it doubles with each check.
	recheckMin = 10 * time.Second
	recheckMax = 5 * time.Minute
	// maxRechecks bounds the targets whose backoff is stored; when it is reached, all are
	// dropped.
	maxRechecks = 256
)

// reachability is what a check has found out about one instance.
type reachability uint8

const (
	reachabilityUnknown reachability = iota
	reachable
	unreachable
)

// check determines whether target has failed or this node is cut off. This node must
// first reach a reference, another instance of the target's data centre, and then fail to
// reach the target. In this order, a partition that heals during the check causes no
// suspicion.
type check struct {
	target    wire.MemberRecord
	startedAt time.Time
	// cause is the observation that started the check.
	cause string
	// reach is the result for the target so far.
	reach reachability
	// dialed reports whether the target was dialled, which happens only after the
	// reference was reached.
	dialed bool
	// reference is another instance; referenceReach is the result for it so far.
	reference      model.InstanceID
	referenceReach reachability
	// requesters are the peers to report a reachable target to; empty when this node
	// itself suspects the target.
	requesters []model.InstanceID
}

// recheck is the backoff of one target: the number of its recent checks and the end of the
// wait before the next one.
type recheck struct {
	count int
	until time.Time
}

// checker holds the checks in flight and the suspicions of this node and its peers.
type checker struct {
	checks            []*check
	rechecks          map[model.InstanceID]recheck
	suspicions        []*suspicion
	unplannedExits    []unplannedExit
	partitionRecorded map[model.DataCentre]time.Time
}

func (k *checker) find(id model.InstanceID) *check {
	at := slices.IndexFunc(k.checks, func(x *check) bool { return x.target.ID == id })
	if at < 0 {
		return nil
	}
	return k.checks[at]
}

// markReachable notes that this node has a link to id.
func (k *checker) markReachable(id model.InstanceID) { k.setReachability(id, reachable) }

// markUnreachable notes that a link to id failed to open or ended.
func (k *checker) markUnreachable(id model.InstanceID) { k.setReachability(id, unreachable) }

func (k *checker) setReachability(id model.InstanceID, v reachability) {
	for _, x := range k.checks {
		if x.target.ID == id && (v == reachable || x.dialed) {
			x.reach = v
		}
		if x.reference == id {
			x.referenceReach = v
		}
	}
}

func (c *Controller) dropChecks() { c.checks.checks = nil }

// checkPeer starts a check of a peer that may have failed.
func (c *Controller) checkPeer(now time.Time, id model.InstanceID, cause string) {
	if x := c.startCheck(now, id); x != nil {
		x.cause = cause
		c.chooseReference(now, x)
	}
}

// startCheck returns a new check of id, or nil when id may not be checked now.
func (c *Controller) startCheck(now time.Time, id model.InstanceID) *check {
	r, ok := c.table.get(id)
	switch {
	case !ok, id == c.cfg.Self.ID, r.State == model.StateGone:
		return nil
	case c.observationsUnreliable(now), c.ownState == model.StateGone:
		return nil
	case c.checks.find(id) != nil, len(c.checks.checks) >= maxChecks:
		return nil
	case now.Before(c.checks.rechecks[id].until):
		return nil
	}
	c.delayRecheck(now, id)
	x := &check{target: r, startedAt: now}
	c.checks.checks = append(c.checks.checks, x)
	return x
}

func (c *Controller) delayRecheck(now time.Time, id model.InstanceID) {
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

// chooseReference picks the check's reference in the target's data centre, or in any data
// centre when no other instance serves in the target's.
func (c *Controller) chooseReference(now time.Time, x *check) {
	near := func(r wire.MemberRecord) bool { return r.DataCentre == x.target.DataCentre }
	if c.table.serving[x.target.DataCentre] <= c.countTargetAndSelf(x.target) {
		near = func(wire.MemberRecord) bool { return true }
	}
	other := func(r wire.MemberRecord) bool {
		return r.ID != x.target.ID && r.ID != c.cfg.Self.ID && serving(r.State) && near(r)
	}
	for _, l := range c.links.fresh(now) {
		if r, ok := c.table.get(l.peer); ok && other(r) {
			x.reference = l.peer
			c.send(l.peer, wire.Probe{})
			return
		}
	}
	r, ok := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
		return other(r) && c.links.get(r.ID) == nil
	})
	switch {
	case ok:
		x.reference = r.ID
		c.dial(now, r.ID, r.PeerAddress, false)
	case c.isOnlyObserver(x.target.ID):
		x.referenceReach = reachable
	default:
		x.referenceReach = unreachable
	}
}

// countTargetAndSelf counts those of the target and this node that serve in the target's
// data centre.
func (c *Controller) countTargetAndSelf(target wire.MemberRecord) int {
	n := 0
	if serving(target.State) {
		n++
	}
	if c.cfg.Self.DataCentre == target.DataCentre && serving(c.self().State) {
		n++
	}
	return n
}

// isOnlyObserver reports whether no third instance is known that could also observe
// target.
func (c *Controller) isOnlyObserver(target model.InstanceID) bool {
	_, third := c.table.pick(c.rng, func(r wire.MemberRecord) bool {
		return r.ID != target && r.ID != c.cfg.Self.ID && r.State != model.StateGone
	})
	return !third
}

// receiveProbe handles a peer's request to check an instance. A probe without a target
// asks this node itself for a reply.
func (c *Controller) receiveProbe(now time.Time, l *link, m wire.Probe) {
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
		x.cause = "requested by a peer"
		c.chooseReference(now, x)
	}
	if len(x.requesters) < maxChecks {
		x.requesters = append(x.requesters, l.peer)
	}
}

// receiveProbeReply handles a peer's report that it reaches a target. It withdraws this
// node's own suspicion, whose cause then lies on the path between them. A reply without a
// target comes from a check's reference.
func (c *Controller) receiveProbeReply(now time.Time, l *link, m wire.ProbeReply) {
	if m.Target == "" {
		c.checks.markReachable(l.peer)
		return
	}
	if x := c.checks.find(m.Target); x != nil {
		x.reach = reachable
	}
	if s := c.checks.suspicionOf(m.Target); s != nil && s.incarnation == m.Incarnation {
		s.removeObserver(c.cfg.Self.ID)
	}
	c.finishReachableChecks(now)
}

// tickChecks advances the checks in flight and evaluates the suspicions.
func (c *Controller) tickChecks(now time.Time) {
	if len(c.checks.checks) > 0 {
		c.finishReachableChecks(now)
		for _, x := range slices.Clone(c.checks.checks) {
			c.advanceCheck(now, x)
		}
	}
	c.tickSuspicions(now)
}

// finishReachableChecks ends the checks whose target was reached and notifies the
// requesters.
func (c *Controller) finishReachableChecks(now time.Time) {
	for _, x := range slices.Clone(c.checks.checks) {
		if x.reach != reachable {
			continue
		}
		for _, peer := range x.requesters {
			c.send(peer, wire.ProbeReply{Target: x.target.ID, Incarnation: x.target.Incarnation})
		}
		c.endCheck(x)
	}
}

func (c *Controller) advanceCheck(now time.Time, x *check) {
	if l := c.links.get(x.target.ID); l != nil && l.fresh(now) {
		x.reach = reachable
		return
	}
	r, ok := c.table.get(x.target.ID)
	switch {
	case !ok, compareAnnouncedFields(r, x.target) != 0, now.Sub(x.startedAt) > checkExpiry:
		c.endCheck(x)
	case x.referenceReach == unreachable:
		c.endCheck(x)
		c.recordPartition(now, x.target.DataCentre)
	case x.referenceReach == reachabilityUnknown:
		// The target is dialled only once the reference is reached.
	case x.reach == unreachable:
		c.endCheck(x)
		c.announceSuspicion(now, x)
	case x.reach == reachabilityUnknown && !x.dialed:
		x.dialed = true
		c.dial(now, x.target.ID, x.target.PeerAddress, false)
	}
}

func (c *Controller) endCheck(x *check) {
	c.checks.checks = slices.DeleteFunc(c.checks.checks, func(y *check) bool { return y == x })
}
