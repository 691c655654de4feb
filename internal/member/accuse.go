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
	// observersNeeded is the number of distinct observers that must accuse an
	// instance before it is declared gone.
	observersNeeded = 2
	// maxObservers bounds the accusers that are remembered and told on.
	maxObservers = 4
	// refuteWindow is the time that the accused has to object, from the moment
	// when enough accuse it.
	refuteWindow = time.Second
	// maxSuspects bounds the targets of one data centre under accusation at once;
	// the others are accused later, when these have been judged.
	maxSuspects = 16
	// accusationFor is how long an accusation counts.
	accusationFor = 30 * time.Second
	// unresolvedFor is how long an accused instance that neither objected nor was
	// declared gone counts as one that looks dead; it is longer than the longest
	// time between two checks of it.
	unresolvedFor = recheckMax + time.Minute
	// maxAccused bounds the targets under accusation.
	maxAccused = 1024
	// lossFor is how long a declared loss counts against its data centre's bound.
	lossFor = time.Minute
	// One in lossShare of a data centre's instances, and of the fleet's, may look
	// dead at once, and always one; more is taken for a partition and nobody is
	// declared gone.
	lossShare = 3
	// doubtSaidFor is the least time between two events of doubt of one data centre.
	doubtSaidFor = time.Minute
)

// accused is an instance that somebody cannot reach.
type accused struct {
	id          model.InstanceID
	incarnation model.Incarnation
	counter     uint64
	observers   []observer
	// enough is when the last needed observer spoke up; zero before.
	enough time.Time
	// last is when it was last accused.
	last time.Time
}

type observer struct {
	id model.InstanceID
	at time.Time
}

// loss is an instance that went without leaving first.
type loss struct {
	id         model.InstanceID
	dataCentre model.DataCentre
	at         time.Time
}

func compareAccused(a *accused, id model.InstanceID) int { return cmp.Compare(a.id, id) }

func (k *checker) accusedOf(id model.InstanceID) *accused {
	at, ok := slices.BinarySearchFunc(k.accused, id, compareAccused)
	if !ok {
		return nil
	}
	return k.accused[at]
}

func (k *checker) noteLoss(now time.Time, r wire.MemberRecord) {
	if len(k.losses) < maxAccused {
		k.losses = append(k.losses, loss{id: r.ID, dataCentre: r.DataCentre, at: now})
	}
}

// noteReturn forgets the loss of an instance that is back.
func (k *checker) noteReturn(id model.InstanceID) {
	k.losses = slices.DeleteFunc(k.losses, func(l loss) bool { return l.id == id })
}

func (a *accused) by(id model.InstanceID) bool {
	return slices.ContainsFunc(a.observers, func(o observer) bool { return o.id == id })
}

func (a *accused) forget(id model.InstanceID) {
	a.observers = slices.DeleteFunc(a.observers, func(o observer) bool { return o.id == id })
	if len(a.observers) < observersNeeded {
		a.enough = time.Time{}
	}
}

// expire drops observers whose word is too old.
func (a *accused) expire(now time.Time) {
	a.observers = slices.DeleteFunc(a.observers, func(o observer) bool { return now.Sub(o.at) > accusationFor })
	if len(a.observers) == 0 {
		a.enough = time.Time{}
	}
}

// accuse spreads this node's own observation and asks others to look.
func (c *Controller) accuse(now time.Time, x *check) {
	c.record(event.MemberSuspected, string(x.target.ID), x.cause)
	c.accusation(now, wire.Suspicion{
		Target: x.target.ID, Incarnation: x.target.Incarnation,
		Counter: x.target.Counter, Observer: c.cfg.Self.ID,
	}, c.cfg.Self.ID)
	if len(x.asked) > 0 {
		return
	}
	peers := slices.DeleteFunc(c.links.fresh(now), func(l *link) bool { return l.peer == x.target.ID })
	c.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	for _, l := range peers[:min(helpers, len(peers))] {
		c.send(l.peer, wire.Probe{
			Target: x.target.ID, PeerAddress: x.target.PeerAddress,
			Incarnation: x.target.Incarnation, Counter: x.target.Counter,
		})
	}
}

// accusation takes an accusation that from told.
func (c *Controller) accusation(now time.Time, a wire.Suspicion, from model.InstanceID) {
	if a.Target == c.cfg.Self.ID {
		c.refute(now, a)
		return
	}
	r, ok := c.table.get(a.Target)
	if !ok || r.State == model.StateGone || r.Incarnation != a.Incarnation || r.Counter != a.Counter {
		return
	}
	if o, ok := c.table.get(a.Observer); !ok || o.State == model.StateGone || a.Observer == a.Target {
		return
	}
	if c.noteAccusation(now, a) {
		c.gossip.accused = append(c.gossip.accused, accusationRumour{accusation: a, from: from})
	}
}

// noteAccusation reports whether the accusation is news.
func (c *Controller) noteAccusation(now time.Time, a wire.Suspicion) bool {
	k := &c.checks
	at, ok := slices.BinarySearchFunc(k.accused, a.Target, compareAccused)
	if !ok {
		if r, _ := c.table.get(a.Target); len(k.accused) >= maxAccused || c.underAccusation(r.DataCentre) >= maxSuspects {
			return false
		}
		k.accused = slices.Insert(k.accused, at, &accused{id: a.Target})
	}
	x := k.accused[at]
	if x.incarnation != a.Incarnation || x.counter != a.Counter {
		*x = accused{id: a.Target, incarnation: a.Incarnation, counter: a.Counter}
	}
	if x.by(a.Observer) || len(x.observers) >= maxObservers {
		return false
	}
	x.last = now
	x.observers = append(x.observers, observer{id: a.Observer, at: now})
	if x.enough.IsZero() && len(x.observers) >= c.observersNeeded(x.id) {
		x.enough = now
	}
	return true
}

func (c *Controller) observersNeeded(target model.InstanceID) int {
	if c.loneObserver(target) {
		return 1
	}
	return observersNeeded
}

func (c *Controller) tickAccused(now time.Time) {
	k := &c.checks
	k.losses = slices.DeleteFunc(k.losses, func(l loss) bool { return now.Sub(l.at) > lossFor })
	if len(k.accused) == 0 {
		return
	}
	k.accused = slices.DeleteFunc(k.accused, func(a *accused) bool { return !c.stillAccused(now, a) })
	for _, a := range slices.Clone(k.accused) {
		c.judge(now, a)
	}
}

// stillAccused reports whether a's accusations are still those of its record, and
// not too old.
func (c *Controller) stillAccused(now time.Time, a *accused) bool {
	a.expire(now)
	r, ok := c.table.get(a.id)
	return ok && r.State != model.StateGone && r.Incarnation == a.incarnation &&
		r.Counter == a.counter && now.Sub(a.last) < unresolvedFor
}

// judge declares an accused instance gone when enough accuse it, it has not
// objected in time, and its data centre does not look cut off, unless the
// platform's list has dropped the instance too. Only those who observed it
// themselves do so; the others hear it from them.
func (c *Controller) judge(now time.Time, a *accused) {
	switch {
	case c.doubts(now), !a.by(c.cfg.Self.ID):
		return
	case a.enough.IsZero(), now.Sub(a.enough) < refuteWindow:
		return
	}
	r, _ := c.table.get(a.id)
	if serving(r.State) && r.ListStatus != wire.ListAbsent && c.looksCutOff(r.DataCentre) {
		c.sayDoubt(now, r.DataCentre)
		return
	}
	r.State = model.StateGone
	c.record(event.MemberDeclaredGone, string(r.ID), "")
	c.learn(now, r, "", false)
}

// looksCutOff reports whether too large a share of a data centre, or of the
// whole fleet, looks dead.
func (c *Controller) looksCutOff(dc model.DataCentre) bool {
	near, nearTotal := 0, c.table.serving[dc]
	all, allTotal := 0, 0
	for _, n := range c.table.serving {
		allTotal += n
	}
	for _, a := range c.checks.accused {
		r, ok := c.table.get(a.id)
		if !ok || !serving(r.State) {
			continue
		}
		all++
		if r.DataCentre == dc {
			near++
		}
	}
	for _, l := range c.checks.losses {
		all++
		allTotal++
		if l.dataCentre == dc {
			near++
			nearTotal++
		}
	}
	return tooMany(near, nearTotal) || tooMany(all, allTotal)
}

// tooMany reports whether dead of total is more than may look dead at once.
func tooMany(dead, total int) bool { return dead > max(1, total/lossShare) }

// underAccusation returns the number of instances of dc with living accusations.
func (c *Controller) underAccusation(dc model.DataCentre) int {
	n := 0
	for _, a := range c.checks.accused {
		if r, ok := c.table.get(a.id); ok && len(a.observers) > 0 && r.DataCentre == dc {
			n++
		}
	}
	return n
}

func (c *Controller) sayDoubt(now time.Time, dc model.DataCentre) {
	k := &c.checks
	if k.doubtSaid == nil {
		k.doubtSaid = map[model.DataCentre]time.Time{}
	}
	if last, ok := k.doubtSaid[dc]; ok && now.Sub(last) < doubtSaidFor {
		return
	}
	k.doubtSaid[dc] = now
	c.record(event.PartitionSuspected, string(dc), "")
}
