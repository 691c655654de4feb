package member

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// self returns this node's own record.
func (c *Controller) self() wire.MemberRecord {
	r, _ := c.table.get(c.cfg.Self.ID)
	return r
}

// selfChanged applies this node's new lifecycle state and announces it to all linked
// peers at once.
func (c *Controller) selfChanged(now time.Time, state model.UpstreamState) {
	c.ownState = state
	r := c.self()
	if finality(r.State) > finality(state) {
		return
	}
	r.State = state
	r.Counter++
	c.announceSelf(now, r)
	if state == model.StateGone {
		c.closeAllLinks(now)
	}
}

// announceSelf merges this node's new own record and sends it without waiting for a tick.
func (c *Controller) announceSelf(now time.Time, r wire.MemberRecord) {
	c.mergeRecord(now, r, "", false)
	c.flush(now)
}

// mustSupersede reports whether a peer's record of this node conflicts with the node's
// own, so that this node must publish a greater one.
func (c *Controller) mustSupersede(r wire.MemberRecord) bool {
	own := c.self()
	switch {
	case r.Incarnation > own.Incarnation:
		return true
	case r.Incarnation < own.Incarnation:
		return false
	case r.State == model.StateGone:
		return serving(c.ownState)
	case r.Counter > own.Counter:
		return serving(r.State)
	}
	return false
}

const (
	// Minimum time between two superseding records; it doubles, so that two processes
	// with one instance id do not supersede each other endlessly.
	supersedeMin = time.Second
	supersedeMax = time.Minute
	// supersedeReset is the time without a superseding record after which the backoff
	// restarts.
	supersedeReset = 5 * time.Minute
)

// supersedeLimiter limits the rate at which this node supersedes its peers' records of
// it.
type supersedeLimiter struct {
	count int
	last  time.Time
	// pending is the join of the conflicting records that wait to be superseded.
	pending wire.MemberRecord
	waiting bool
}

// allow reports whether a superseding record may be published now, and counts it.
func (r *supersedeLimiter) allow(now time.Time) bool {
	if now.Sub(r.last) > supersedeReset {
		r.count = 0
	}
	if r.count > 0 && now.Sub(r.last) < min(supersedeMin<<min(r.count, 10), supersedeMax) {
		return false
	}
	r.count++
	r.last = now
	return true
}

// supersede overrides a peer's conflicting record of this node, now or as soon as the
// rate limit allows.
func (c *Controller) supersede(now time.Time, seen wire.MemberRecord) mergeResult {
	if c.superseding.waiting {
		seen = join(seen, c.superseding.pending)
	}
	c.superseding.waiting = !c.superseding.allow(now)
	c.superseding.pending = seen
	if c.superseding.waiting {
		return mergeResult{before: c.self(), after: c.self(), existed: true}
	}
	return c.supersedeNow(now, seen)
}

// tickSelf supersedes a pending conflicting record once the rate limit allows.
func (c *Controller) tickSelf(now time.Time) {
	if c.superseding.waiting && c.superseding.allow(now) {
		c.superseding.waiting = false
		c.supersedeNow(now, c.superseding.pending)
	}
}

// supersedeNow adopts a greater incarnation than peers remember. For a serving record of
// the same incarnation with a greater counter, it only raises the counter.
func (c *Controller) supersedeNow(now time.Time, seen wire.MemberRecord) mergeResult {
	r := c.self()
	r.ListRevision, r.ListStatus = join(r, seen).ListRevision, join(r, seen).ListStatus
	if seen.Incarnation == r.Incarnation && serving(seen.State) {
		r.Counter = seen.Counter + 1
		c.announceSelf(now, r)
		return mergeResult{after: r, existed: true, changed: true}
	}
	state := c.ownState
	if finality(r.State) > finality(state) && r.State == model.StateLeaving {
		state = r.State
	}
	c.adoptIncarnation(now, r, seen.Incarnation+1, state)
	return mergeResult{after: c.self(), existed: true, changed: true}
}

// adoptIncarnation continues this node's record under incarnation inc.
func (c *Controller) adoptIncarnation(now time.Time, r wire.MemberRecord, inc model.Incarnation, state model.UpstreamState) {
	r.Incarnation = inc
	r.Counter = 0
	r.State = state
	c.emit(control.AdoptIncarnation{Incarnation: inc})
	c.record(event.IncarnationRaised, string(r.ID), "")
	c.announceSelf(now, r)
}

// refute answers a suspicion of this node's current record.
func (c *Controller) refute(now time.Time, s wire.Suspicion) {
	own := c.self()
	if !serving(own.State) || s.Incarnation > own.Incarnation {
		return
	}
	if s.Incarnation == own.Incarnation && s.Counter < own.Counter {
		return
	}
	if s.Incarnation == own.Incarnation {
		own.Counter = max(own.Counter, s.Counter) + 1
	}
	c.record(event.SuspicionRefuted, string(s.Observer), "")
	c.reaffirm(now, own)
}

// reaffirm announces this node's own record even if it has not changed.
func (c *Controller) reaffirm(now time.Time, r wire.MemberRecord) {
	if c.mergeRecord(now, r, "", false); c.gossip.pendingFor(r.ID) == nil {
		c.gossip.queue(r, "")
	}
	c.flush(now)
}

// onOwnListStatus handles the list's status of this node itself: the list names it
// leaving, or live again. The leaving status was merged together with the leaving state,
// so a live status is newer.
func (c *Controller) onOwnListStatus(now time.Time, before, after wire.MemberRecord) {
	if !serving(c.ownState) || serving(after.State) {
		return
	}
	switch {
	case after.ListStatus == wire.ListLive:
		c.adoptIncarnation(now, after, after.Incarnation+1, c.ownState)
	case serving(before.State):
		c.record(event.ListMarksLeaving, string(after.ID), "")
	}
}
