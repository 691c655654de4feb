package member

import (
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// tombstoneTTL is how long a gone instance is remembered, so that neither an outdated
	// list nor an outdated peer revives it.
	tombstoneTTL = 2 * time.Hour
	// maxTombstones bounds the tombstones; the oldest are dropped first.
	maxTombstones = 4096
	// unlistedTTL is how long an instance that the list no longer names is kept without
	// an announcement of its own or a link to it.
	unlistedTTL = 10 * time.Minute
	// reaffirmInterval is how often an instance that the list no longer names announces
	// itself.
	reaffirmInterval = 3 * time.Minute
	// leavingTTL is how long a leaving instance is kept that never announces that it is
	// gone.
	leavingTTL = 15 * time.Minute
	// reapSpread is the time over which the nodes spread the removal of one instance, so
	// that the rumour of the first node usually makes the others' removals unnecessary.
	reapSpread = time.Minute
	// reapInterval is the time between two passes of the reaper.
	reapInterval = time.Second
)

type tombstone struct {
	id          model.InstanceID
	incarnation model.Incarnation
	at          time.Time
}

// reaper declares instances gone that have been leaving for leavingTTL, or that the list
// has not named for unlistedTTL and that neither a link nor an announcement confirms. It
// later drops their tombstones.
type reaper struct {
	// due holds when an instance becomes gone unless it is confirmed before.
	due        map[model.InstanceID]time.Time
	tombstones []tombstone
	next       time.Time
	// nextReaffirm is when this node next announces itself while the list omits it; zero
	// while the list names it.
	nextReaffirm time.Time
}

func (p *reaper) reset() {
	*p = reaper{due: map[model.InstanceID]time.Time{}}
}

// postpone delays all removals by d, the length of a pause of this process.
func (p *reaper) postpone(d time.Duration) {
	for id, at := range p.due {
		p.due[id] = at.Add(d)
	}
}

// update schedules or cancels the removal of an instance whose record changed.
func (p *reaper) update(now time.Time, m mergeResult) {
	id := m.after.ID
	switch {
	case m.after.State == model.StateGone:
		delete(p.due, id)
		if !m.existed || m.before.State != model.StateGone || m.before.Incarnation != m.after.Incarnation {
			p.tombstones = append(p.tombstones, tombstone{id: id, incarnation: m.after.Incarnation, at: now})
		}
	case m.after.State == model.StateLeaving:
		if !m.existed || m.before.State != model.StateLeaving || m.before.Incarnation != m.after.Incarnation {
			p.due[id] = now.Add(leavingTTL)
		}
	case m.after.ListStatus == wire.ListAbsent:
		p.due[id] = now.Add(unlistedTTL)
	default:
		delete(p.due, id)
	}
}

func (c *Controller) tickReaper(now time.Time) {
	c.tickReaffirm(now)
	if now.Before(c.reaper.next) {
		return
	}
	c.reaper.next = now.Add(reapInterval)
	c.dropTombstones(now)
	if c.observationsUnreliable(now) {
		return
	}
	var overdue []model.InstanceID
	for id, at := range c.reaper.due {
		if now.After(at) {
			overdue = append(overdue, id)
		}
	}
	slices.Sort(overdue)
	for _, id := range overdue {
		c.reap(now, id)
	}
}

// reap declares a due instance gone; a fresh link to it postpones this by unlistedTTL.
// During the first reapSpread, each pass does so only with a small probability.
func (c *Controller) reap(now time.Time, id model.InstanceID) {
	r, ok := c.table.get(id)
	l := c.links.get(id)
	switch {
	case !ok || id == c.cfg.Self.ID:
		delete(c.reaper.due, id)
	case l != nil && l.fresh(now):
		c.reaper.due[id] = now.Add(unlistedTTL)
	case now.Sub(c.reaper.due[id]) < reapSpread && c.rng.IntN(max(int(reapSpread/reapInterval), c.FleetSize())) > 0:
		// Retried in the next pass.
	default:
		r.State = model.StateGone
		c.mergeRecord(now, r, "", false)
	}
}

// dropTombstones drops expired tombstones, unless the list still names the instance.
func (c *Controller) dropTombstones(now time.Time) {
	p := &c.reaper
	for len(p.tombstones) > 0 {
		t := p.tombstones[0]
		if now.Sub(t.at) < tombstoneTTL && len(p.tombstones) <= maxTombstones {
			return
		}
		p.tombstones = p.tombstones[1:]
		r, ok := c.table.get(t.id)
		switch {
		case !ok || r.State != model.StateGone || r.Incarnation != t.incarnation:
		case isListed(r.ListStatus) && len(p.tombstones) < maxTombstones:
			p.tombstones = append(p.tombstones, tombstone{id: t.id, incarnation: t.incarnation, at: now})
		default:
			c.table.remove(t.id)
		}
	}
}

// tickReaffirm announces this node periodically while the list omits it.
func (c *Controller) tickReaffirm(now time.Time) {
	own := c.self()
	if own.ListStatus != wire.ListAbsent || !serving(own.State) {
		c.reaper.nextReaffirm = time.Time{}
		return
	}
	if c.reaper.nextReaffirm.IsZero() {
		c.reaper.nextReaffirm = now.Add(c.randomBetween(0, reaffirmInterval))
		return
	}
	if now.Before(c.reaper.nextReaffirm) {
		return
	}
	c.reaper.nextReaffirm = now.Add(reaffirmInterval - c.randomBetween(0, control.TickInterval))
	own.Counter++
	c.announceSelf(now, own)
}
