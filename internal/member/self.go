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

// selfChanged takes this node's own life stage and tells all link peers at once.
func (c *Controller) selfChanged(now time.Time, state model.UpstreamState) {
	c.stage = state
	r := c.self()
	if finality(r.State) > finality(state) {
		return
	}
	r.State = state
	r.Counter++
	c.say(now, r)
	if state == model.StateGone {
		c.closeAll(now)
	}
}

// say merges this node's own new word and sends it without waiting for a tick.
func (c *Controller) say(now time.Time, r wire.MemberRecord) {
	c.learn(now, r, "", false)
	c.flush(now)
}

// contradicts reports whether a peer's record of this node is one that this
// node's own word must overrule.
func (c *Controller) contradicts(r wire.MemberRecord) bool {
	own := c.self()
	switch {
	case r.Incarnation > own.Incarnation:
		return true
	case r.Incarnation < own.Incarnation:
		return false
	case r.State == model.StateGone:
		return serving(c.stage)
	case r.Counter > own.Counter:
		return serving(r.State)
	}
	return false
}

const (
	// Time between two raises of the own word, doubling, so that two processes
	// with one name do not outbid each other without end.
	raiseMin = time.Second
	raiseMax = time.Minute
	// raiseForget is the quiet time after which the next raise is not delayed.
	raiseForget = 5 * time.Minute
)

// raises bounds how often this node raises its own word above peers'.
type raises struct {
	count int
	last  time.Time
	// seen is the greatest contradicting record that waits.
	seen    wire.MemberRecord
	waiting bool
}

// may reports whether a raise is due at now, and counts it.
func (r *raises) may(now time.Time) bool {
	if now.Sub(r.last) > raiseForget {
		r.count = 0
	}
	if r.count > 0 && now.Sub(r.last) < min(raiseMin<<min(r.count, 10), raiseMax) {
		return false
	}
	r.count++
	r.last = now
	return true
}

// contradicted answers a peer's record that this node must overrule, now or as
// soon as the bound on raises allows.
func (c *Controller) contradicted(now time.Time, seen wire.MemberRecord) merged {
	if c.raises.waiting {
		seen = join(seen, c.raises.seen)
	}
	c.raises.waiting = !c.raises.may(now)
	c.raises.seen = seen
	if c.raises.waiting {
		return merged{old: c.self(), now: c.self(), known: true}
	}
	return c.raise(now, seen)
}

// tickSelf overrules what has waited.
func (c *Controller) tickSelf(now time.Time) {
	if c.raises.waiting && c.raises.may(now) {
		c.raises.waiting = false
		c.raise(now, c.raises.seen)
	}
}

// raise takes a greater incarnation than peers remember, or for a newer word
// within the same incarnation that is not this process's, a greater counter.
func (c *Controller) raise(now time.Time, seen wire.MemberRecord) merged {
	r := c.self()
	r.ListRevision, r.ListStatus = join(r, seen).ListRevision, join(r, seen).ListStatus
	if seen.Incarnation == r.Incarnation && serving(seen.State) {
		r.Counter = seen.Counter + 1
		c.say(now, r)
		return merged{now: r, known: true, changed: true}
	}
	state := c.stage
	if finality(r.State) > finality(state) && r.State == model.StateLeaving {
		state = r.State
	}
	c.newIncarnation(now, r, seen.Incarnation+1, state)
	return merged{now: c.self(), known: true, changed: true}
}

// newIncarnation goes on as incarnation inc.
func (c *Controller) newIncarnation(now time.Time, r wire.MemberRecord, inc model.Incarnation, state model.UpstreamState) {
	r.Incarnation = inc
	r.Counter = 0
	r.State = state
	c.act(control.AdoptIncarnation{Incarnation: inc})
	c.record(event.IncarnationRaised, string(r.ID), "")
	c.say(now, r)
}

// refute answers an accusation against this node's present record.
func (c *Controller) refute(now time.Time, a wire.Suspicion) {
	own := c.self()
	if !serving(own.State) || a.Incarnation > own.Incarnation {
		return
	}
	if a.Incarnation == own.Incarnation && a.Counter < own.Counter {
		return
	}
	if a.Incarnation == own.Incarnation {
		own.Counter = max(own.Counter, a.Counter) + 1
	}
	c.record(event.SuspicionRefuted, string(a.Observer), "")
	c.reaffirm(now, own)
}

// reaffirm says this node's own record again, although it may not have changed.
func (c *Controller) reaffirm(now time.Time, r wire.MemberRecord) {
	if c.learn(now, r, "", false); c.gossip.pendingFor(r.ID) == nil {
		c.gossip.queue(r, "")
	}
	c.flush(now)
}

// listedSelf follows up what the platform's list says of this node itself: that
// it leaves, or again that it lives. The mark that made it leave came with the
// state, so a mark that says live is newer.
func (c *Controller) listedSelf(now time.Time, before, after wire.MemberRecord) {
	if !serving(c.stage) || serving(after.State) {
		return
	}
	switch {
	case after.ListStatus == wire.ListLive:
		c.newIncarnation(now, after, after.Incarnation+1, c.stage)
	case serving(before.State):
		c.record(event.ListSaysLeaving, string(after.ID), "")
	}
}
