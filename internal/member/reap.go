package member

import (
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// tombstoneFor is how long an instance that is gone is remembered, so that
	// neither an old list nor an old peer brings it back.
	tombstoneFor = 2 * time.Hour
	// maxTombstones bounds how many are remembered; the oldest go first.
	maxTombstones = 4096
	// supportFor is how long an instance that the list no longer names is kept
	// without a word of its own or a link to it.
	supportFor = 10 * time.Minute
	// reaffirmAfter is how often an instance that the list no longer names, and
	// that lives, says so.
	reaffirmAfter = 3 * time.Minute
	// leavingFor is how long a leaving instance that never says it is gone is kept.
	leavingFor = 15 * time.Minute
	// reapSpread spreads removals over the fleet, so that the first one's rumour
	// saves the others theirs.
	reapSpread = time.Minute
	// reapEvery is the time between two looks at what is to be removed.
	reapEvery = time.Second
)

type tombstone struct {
	id          model.InstanceID
	incarnation model.Incarnation
	at          time.Time
}

// reaper removes instances in the end: those without support become gone, and
// tombstones are forgotten.
type reaper struct {
	// due holds when an unsupported instance becomes gone.
	due        map[model.InstanceID]time.Time
	tombstones []tombstone
	next       time.Time
	// reaffirm is when this node says that it lives although the list lacks it;
	// zero while the list names it.
	reaffirm time.Time
}

func (p *reaper) init() {
	*p = reaper{due: map[model.InstanceID]time.Time{}}
}

// delay puts all removals off by d, for which the process stood still.
func (p *reaper) delay(d time.Duration) {
	for id, at := range p.due {
		p.due[id] = at.Add(d)
	}
}

// note follows a changed record.
func (p *reaper) note(now time.Time, m merged) {
	id := m.now.ID
	switch {
	case m.now.State == model.StateGone:
		delete(p.due, id)
		if !m.known || m.old.State != model.StateGone || m.old.Incarnation != m.now.Incarnation {
			p.tombstones = append(p.tombstones, tombstone{id: id, incarnation: m.now.Incarnation, at: now})
		}
	case m.now.State == model.StateLeaving:
		if !m.known || m.old.State != model.StateLeaving || m.old.Incarnation != m.now.Incarnation {
			p.due[id] = now.Add(leavingFor)
		}
	case m.now.ListStatus == wire.ListAbsent:
		p.due[id] = now.Add(supportFor)
	default:
		delete(p.due, id)
	}
}

func (c *Controller) tickReaper(now time.Time) {
	c.tickReaffirm(now)
	if now.Before(c.reaper.next) {
		return
	}
	c.reaper.next = now.Add(reapEvery)
	c.dropTombstones(now)
	if c.doubts(now) {
		return
	}
	var unsupported []model.InstanceID
	for id, at := range c.reaper.due {
		if now.After(at) {
			unsupported = append(unsupported, id)
		}
	}
	slices.Sort(unsupported)
	for _, id := range unsupported {
		c.reap(now, id)
	}
}

// reap makes an unsupported instance gone, unless a link supports it, or later
// at random.
func (c *Controller) reap(now time.Time, id model.InstanceID) {
	r, ok := c.table.get(id)
	l := c.links.get(id)
	switch {
	case !ok || id == c.cfg.Self.ID:
		delete(c.reaper.due, id)
	case l != nil && l.fresh(now):
		c.reaper.due[id] = now.Add(supportFor)
	case now.Sub(c.reaper.due[id]) < reapSpread && c.rng.IntN(max(int(reapSpread/reapEvery), c.FleetSize())) > 0:
		// Another look comes in reapEvery.
	default:
		r.State = model.StateGone
		c.learn(now, r, "", false)
	}
}

// dropTombstones forgets those that are old, unless the list still names them.
func (c *Controller) dropTombstones(now time.Time) {
	p := &c.reaper
	for len(p.tombstones) > 0 {
		t := p.tombstones[0]
		if now.Sub(t.at) < tombstoneFor && len(p.tombstones) <= maxTombstones {
			return
		}
		p.tombstones = p.tombstones[1:]
		r, ok := c.table.get(t.id)
		switch {
		case !ok || r.State != model.StateGone || r.Incarnation != t.incarnation:
		case listed(r.ListStatus) && len(p.tombstones) < maxTombstones:
			p.tombstones = append(p.tombstones, tombstone{id: t.id, incarnation: t.incarnation, at: now})
		default:
			c.table.remove(t.id)
		}
	}
}

// tickReaffirm lets this node say that it lives while the list lacks it.
func (c *Controller) tickReaffirm(now time.Time) {
	own := c.self()
	if own.ListStatus != wire.ListAbsent || !serving(own.State) {
		c.reaper.reaffirm = time.Time{}
		return
	}
	if c.reaper.reaffirm.IsZero() {
		c.reaper.reaffirm = now.Add(c.between(0, reaffirmAfter))
		return
	}
	if now.Before(c.reaper.reaffirm) {
		return
	}
	c.reaper.reaffirm = now.Add(reaffirmAfter - c.between(0, control.TickInterval))
	own.Counter++
	c.say(now, own)
}
