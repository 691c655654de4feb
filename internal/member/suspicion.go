package member

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// minObservers is the number of distinct observers that must suspect an instance
	// before it is declared gone.
	minObservers = 2
	// maxObservers bounds the observers that are stored and gossiped for one instance.
	maxObservers = 4
	// refutationWindow is the time that a suspected instance has to refute, counted from
	// when enough observers suspect it.
	refutationWindow = time.Second
	// maxSuspectedPerDataCentre bounds the instances of one data centre that are
	// suspected at once. Others are suspected later, once these have been decided.
	maxSuspectedPerDataCentre = 16
	// observationTTL is how long one observer's report counts.
	observationTTL = 30 * time.Second
	// suspicionTTL is how long a suspected instance that neither refuted nor was declared
	// gone counts as down. It is longer than the longest time between two checks of one
	// instance.
	suspicionTTL = recheckMax + time.Minute
	// maxSuspicions bounds the suspected instances.
	maxSuspicions = 1024
	// unplannedExitWindow is how long an unplanned exit counts towards its data centre's
	// limit.
	unplannedExitWindow = time.Minute
	// One in maxDownDivisor of a data centre's instances, and of the fleet's, may look
	// down at once, and always at least one. A larger share is treated as a network
	// partition, and no instance is declared gone.
	maxDownDivisor = 3
	// partitionRecordInterval is the minimum time between two events about a suspected
	// partition of one data centre.
	partitionRecordInterval = time.Minute
)

// suspicion collects the observers that cannot reach an instance. It applies to one
// incarnation and counter of the instance's record.
type suspicion struct {
	id          model.InstanceID
	incarnation model.Incarnation
	counter     uint64
	observers   []observer
	// quorumSince is when the last needed observer reported; zero before.
	quorumSince time.Time
	// lastObserved is when an observer was last added.
	lastObserved time.Time
}

type observer struct {
	id model.InstanceID
	at time.Time
}

// unplannedExit is an instance that went from serving to gone without leaving first.
type unplannedExit struct {
	id         model.InstanceID
	dataCentre model.DataCentre
	at         time.Time
}

func compareSuspicion(s *suspicion, id model.InstanceID) int { return cmp.Compare(s.id, id) }

func (k *checker) suspicionOf(id model.InstanceID) *suspicion {
	at, ok := slices.BinarySearchFunc(k.suspicions, id, compareSuspicion)
	if !ok {
		return nil
	}
	return k.suspicions[at]
}

func (k *checker) addUnplannedExit(now time.Time, r wire.MemberRecord) {
	if len(k.unplannedExits) < maxSuspicions {
		k.unplannedExits = append(k.unplannedExits, unplannedExit{id: r.ID, dataCentre: r.DataCentre, at: now})
	}
}

// removeUnplannedExit drops the unplanned exit of an instance that has joined again.
func (k *checker) removeUnplannedExit(id model.InstanceID) {
	k.unplannedExits = slices.DeleteFunc(k.unplannedExits, func(e unplannedExit) bool { return e.id == id })
}

func (s *suspicion) observedBy(id model.InstanceID) bool {
	return slices.ContainsFunc(s.observers, func(o observer) bool { return o.id == id })
}

func (s *suspicion) removeObserver(id model.InstanceID) {
	s.observers = slices.DeleteFunc(s.observers, func(o observer) bool { return o.id == id })
	if len(s.observers) < minObservers {
		s.quorumSince = time.Time{}
	}
}

// expire drops observers whose reports are older than observationTTL.
func (s *suspicion) expire(now time.Time) {
	s.observers = slices.DeleteFunc(s.observers, func(o observer) bool { return now.Sub(o.at) > observationTTL })
	if len(s.observers) == 0 {
		s.quorumSince = time.Time{}
	}
}

// announceSuspicion gossips this node's own suspicion of a check's target. Unless the
// check was itself requested by a peer, it also asks probeHelpers peers to check the
// target.
func (c *Controller) announceSuspicion(now time.Time, x *check) {
	c.record(event.MemberSuspected, string(x.target.ID), x.cause)
	c.receiveSuspicion(now, wire.Suspicion{
		Target: x.target.ID, Incarnation: x.target.Incarnation,
		Counter: x.target.Counter, Observer: c.cfg.Self.ID,
	}, c.cfg.Self.ID)
	if len(x.requesters) > 0 {
		return
	}
	peers := slices.DeleteFunc(c.links.fresh(now), func(l *link) bool { return l.peer == x.target.ID })
	c.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, l := range peers[:min(probeHelpers, len(peers))] {
		c.send(l.peer, wire.Probe{
			Target: x.target.ID, PeerAddress: x.target.PeerAddress,
			Incarnation: x.target.Incarnation, Counter: x.target.Counter,
		})
	}
}

// receiveSuspicion handles a suspicion received from a peer, or this node's own.
func (c *Controller) receiveSuspicion(now time.Time, s wire.Suspicion, from model.InstanceID) {
	if s.Target == c.cfg.Self.ID {
		c.refute(now, s)
		return
	}
	r, ok := c.table.get(s.Target)
	if !ok || r.State == model.StateGone || r.Incarnation != s.Incarnation || r.Counter != s.Counter {
		return
	}
	if o, ok := c.table.get(s.Observer); !ok || o.State == model.StateGone || s.Observer == s.Target {
		return
	}
	if c.addObservation(now, s) {
		c.gossip.suspicions = append(c.gossip.suspicions, suspicionRumour{suspicion: s, from: from})
	}
}

// addObservation stores an observer's report and reports whether it was new.
func (c *Controller) addObservation(now time.Time, s wire.Suspicion) bool {
	k := &c.checks
	at, ok := slices.BinarySearchFunc(k.suspicions, s.Target, compareSuspicion)
	if !ok {
		if r, _ := c.table.get(s.Target); len(k.suspicions) >= maxSuspicions ||
			c.suspectedIn(r.DataCentre) >= maxSuspectedPerDataCentre {
			return false
		}
		k.suspicions = slices.Insert(k.suspicions, at, &suspicion{id: s.Target})
	}
	x := k.suspicions[at]
	if x.incarnation != s.Incarnation || x.counter != s.Counter {
		*x = suspicion{id: s.Target, incarnation: s.Incarnation, counter: s.Counter}
	}
	if x.observedBy(s.Observer) || len(x.observers) >= maxObservers {
		return false
	}
	x.lastObserved = now
	x.observers = append(x.observers, observer{id: s.Observer, at: now})
	if x.quorumSince.IsZero() && len(x.observers) >= c.observersNeeded(x.id) {
		x.quorumSince = now
	}
	return true
}

func (c *Controller) observersNeeded(target model.InstanceID) int {
	if c.isOnlyObserver(target) {
		return 1
	}
	return minObservers
}

func (c *Controller) tickSuspicions(now time.Time) {
	k := &c.checks
	k.unplannedExits = slices.DeleteFunc(k.unplannedExits, func(e unplannedExit) bool {
		return now.Sub(e.at) > unplannedExitWindow
	})
	if len(k.suspicions) == 0 {
		return
	}
	k.suspicions = slices.DeleteFunc(k.suspicions, func(s *suspicion) bool { return !c.suspicionValid(now, s) })
	for _, s := range slices.Clone(k.suspicions) {
		c.evaluateSuspicion(now, s)
	}
}

// suspicionValid reports whether s still refers to the current record of its instance and
// has not expired.
func (c *Controller) suspicionValid(now time.Time, s *suspicion) bool {
	s.expire(now)
	r, ok := c.table.get(s.id)
	return ok && r.State != model.StateGone && r.Incarnation == s.incarnation &&
		r.Counter == s.counter && now.Sub(s.lastObserved) < suspicionTTL
}

// evaluateSuspicion declares a suspected instance gone when enough observers suspect it,
// it did not refute in time, and the share of instances that look down does not indicate
// a partition. The partition limit does not apply when the platform's list has dropped
// the instance too. Only nodes that observed the failure themselves declare it; the
// others learn it by gossip.
func (c *Controller) evaluateSuspicion(now time.Time, s *suspicion) {
	switch {
	case c.observationsUnreliable(now), !s.observedBy(c.cfg.Self.ID):
		return
	case s.quorumSince.IsZero(), now.Sub(s.quorumSince) < refutationWindow:
		return
	}
	r, _ := c.table.get(s.id)
	if serving(r.State) && r.ListStatus != wire.ListAbsent && c.looksPartitioned(r.DataCentre) {
		c.recordPartition(now, r.DataCentre)
		return
	}
	r.State = model.StateGone
	c.record(event.MemberDeclaredGone, string(r.ID), "")
	c.mergeRecord(now, r, "", false)
}

// looksPartitioned reports whether more instances of a data centre, or of the whole
// fleet, look down than may fail at once.
func (c *Controller) looksPartitioned(dc model.DataCentre) bool {
	downNear, totalNear := 0, c.table.serving[dc]
	downAll, totalAll := 0, 0
	for _, n := range c.table.serving {
		totalAll += n
	}
	for _, s := range c.checks.suspicions {
		r, ok := c.table.get(s.id)
		if !ok || !serving(r.State) {
			continue
		}
		downAll++
		if r.DataCentre == dc {
			downNear++
		}
	}
	for _, e := range c.checks.unplannedExits {
		downAll++
		totalAll++
		if e.dataCentre == dc {
			downNear++
			totalNear++
		}
	}
	return tooManyDown(downNear, totalNear) || tooManyDown(downAll, totalAll)
}

// tooManyDown reports whether down out of total instances exceeds the partition limit.
func tooManyDown(down, total int) bool { return down > max(1, total/maxDownDivisor) }

// suspectedIn returns the number of instances of dc with at least one current observer.
func (c *Controller) suspectedIn(dc model.DataCentre) int {
	n := 0
	for _, s := range c.checks.suspicions {
		if r, ok := c.table.get(s.id); ok && len(s.observers) > 0 && r.DataCentre == dc {
			n++
		}
	}
	return n
}

func (c *Controller) recordPartition(now time.Time, dc model.DataCentre) {
	k := &c.checks
	if k.partitionRecorded == nil {
		k.partitionRecorded = map[model.DataCentre]time.Time{}
	}
	if last, ok := k.partitionRecorded[dc]; ok && now.Sub(last) < partitionRecordInterval {
		return
	}
	k.partitionRecorded[dc] = now
	c.record(event.PartitionSuspected, string(dc), "")
}
