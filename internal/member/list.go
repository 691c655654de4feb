package member

import (
	"errors"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/suppress"
	"gypsumstand/internal/wire"
)

const (
	// settleTime is the age at which what a list revision changed is taken to
	// have reached every node by rumour, so that a read may start from it.
	settleTime = 10 * time.Second
	// maxRevisions bounds the revisions remembered until they settle.
	maxRevisions = 32
	// announceAfter is the age at which a read in flight is told to peers; a
	// faster one is told when it ends.
	announceAfter = 300 * time.Millisecond
	// failingAfter is how long reads must have failed for it to be logged.
	failingAfter = 5 * time.Second
	// relayStep is how much newer than the last relayed one a read must be to be
	// relayed at once instead of with the next heartbeat.
	relayStep = suppress.ReadInterval / 2
	// startGrace is how long a fresh node that knows a peer waits before it may
	// read the list.
	startGrace = 3 * time.Second
	// missingShare: a full list that lacks more than one in missingShare of the
	// instances that earlier lists named is distrusted.
	missingShare = 3
)

var errOlderList = errors.New("revision is older than one already known")

type heardRevision struct {
	revision uint64
	at       time.Time
}

// listReader reads the platform's list when nobody else does.
type listReader struct {
	timer *suppress.Timer
	// newest is the greatest revision known; own is that of this node's last read.
	newest uint64
	own    uint64
	// settled is the greatest revision whose changes have spread; recent are
	// those that have yet to.
	settled uint64
	recent  []heardRevision
	// reading is when this node's read began; zero for none.
	reading   time.Time
	announced bool
	// relayedAttempt and relayedConfirmed are the last that were told at once.
	relayedAttempt   time.Time
	relayedConfirmed time.Time
	failing          bool
	stale            bool
}

// forget drops what lets a read start from a revision.
func (r *listReader) forget() {
	r.own = 0
	r.settled = 0
	r.recent = nil
}

// since returns the revision from which a read must start for this node to
// miss nothing.
func (r *listReader) since(now time.Time, loaded bool) uint64 {
	for len(r.recent) > 0 && now.Sub(r.recent[0].at) > settleTime {
		r.settled = max(r.settled, r.recent[0].revision)
		r.recent = r.recent[1:]
	}
	if !loaded {
		return r.own
	}
	return max(r.own, r.settled)
}

// note takes a revision that somebody has read.
func (r *listReader) note(now time.Time, revision uint64) {
	if revision <= r.newest {
		return
	}
	r.newest = revision
	if len(r.recent) < maxRevisions {
		r.recent = append(r.recent, heardRevision{revision: revision, at: now})
	}
}

func (c *Controller) tickList(now time.Time) {
	c.noteFailing(now)
	if c.stage == model.StateGone {
		return
	}
	if c.listGrace(now) {
		return
	}
	if c.list.timer.Due(now, c.FleetSize()) {
		c.list.reading = now
		c.list.announced = false
		c.act(control.ReadList{Since: c.list.since(now, c.sync.loaded)})
		return
	}
	if !c.list.reading.IsZero() && !c.list.announced && now.Sub(c.list.reading) > announceAfter {
		c.list.announced = true
		c.relayList(now, "")
	}
}

// listGrace reports whether this node has just started and may still hear the
// fleet from a peer instead of from the platform.
func (c *Controller) listGrace(now time.Time) bool {
	known := len(c.cfg.Seeds) > 0 || len(c.links.all) > 0
	return known && !c.sync.loaded && now.Sub(c.started) < startGrace
}

// noteFailing records when reads begin to fail for the whole fleet, and when
// they end to.
func (c *Controller) noteFailing(now time.Time) {
	attempt, confirmed := c.list.timer.Ages(now)
	failing := attempt != suppress.Never && confirmed > attempt && confirmed-attempt > failingAfter
	switch {
	case failing && !c.list.failing:
		c.record(event.ListFailed, "", "")
	case !failing && c.list.failing:
		c.record(event.ListRecovered, "", "")
	}
	c.list.failing = failing
}

// listAges returns the beacon that heartbeats carry.
func (c *Controller) listAges(now time.Time) wire.ListAges {
	attempt, confirmed := c.list.timer.Ages(now)
	return wire.ListAges{
		Attempt: wire.AgeOf(attempt), Confirmed: wire.AgeOf(confirmed), Revision: c.list.newest,
	}
}

// heardList takes a peer's beacon that was on its way for at most waited.
func (c *Controller) heardList(now time.Time, l *link, ages wire.ListAges, waited time.Duration) {
	c.list.timer.ObservePeer(now, older(ages.Attempt.Duration(), waited), older(ages.Confirmed.Duration(), waited))
	c.list.note(now, ages.Revision)
	c.relayList(now, l.peer)
}

func older(age, waited time.Duration) time.Duration {
	if age == suppress.Never {
		return age
	}
	return age + waited
}

// relayList tells all peers but one of a read that is news.
func (c *Controller) relayList(now time.Time, except model.InstanceID) {
	attempt, confirmed := c.list.timer.Ages(now)
	if attempt == suppress.Never {
		return
	}
	at := now.Add(-attempt)
	news := at.Sub(c.list.relayedAttempt) > relayStep
	var confirmedAt time.Time
	if confirmed != suppress.Never {
		confirmedAt = now.Add(-confirmed)
		news = news || confirmedAt.Sub(c.list.relayedConfirmed) > relayStep
	}
	if !news {
		return
	}
	c.list.relayedAttempt = at
	c.list.relayedConfirmed = confirmedAt
	ages := c.listAges(now)
	for _, l := range c.links.open() {
		if l.peer != except {
			c.send(l.peer, wire.ListBeacon{Echo: l.echo(now), List: ages})
		}
	}
}

func (c *Controller) listReadFailed(now time.Time, _ error) {
	c.endRead(now, false)
}

func (c *Controller) endRead(now time.Time, ok bool) {
	c.list.reading = time.Time{}
	c.list.timer.ReadDone(now, ok)
	c.relayList(now, "")
}

// listRead takes an answered read. An older list than one already known has no
// news, and its source is as good as down.
func (c *Controller) listRead(now time.Time, e control.ListRead) {
	if e.Revision < c.list.newest {
		c.staleList(now)
		return
	}
	c.list.stale = false
	c.list.note(now, e.Revision)
	if e.Full && c.lacksTooMany(e) {
		c.record(event.ListIncomplete, "", "")
		c.applyList(now, e)
		c.endRead(now, false)
		return
	}
	c.list.own = e.Revision
	c.applyList(now, e)
	if e.Full {
		c.markAbsent(now, e)
	}
	c.endRead(now, true)
	c.flush(now)
}

func (c *Controller) staleList(now time.Time) {
	if !c.list.stale {
		c.act(control.Record{Event: event.ListStale, Err: errOlderList})
	}
	c.list.stale = true
	c.endRead(now, false)
}

func (c *Controller) applyList(now time.Time, e control.ListRead) {
	for _, i := range e.Instances {
		c.applyListed(now, e.Revision, i)
	}
}

// applyListed takes what the list says of one instance.
func (c *Controller) applyListed(now time.Time, revision uint64, i model.Instance) {
	mark := markOf(i.State)
	before, known := c.table.get(i.ID)
	if !known && mark == wire.ListAbsent {
		return
	}
	r := before
	if !known || r.Incarnation == 0 && mark != wire.ListAbsent {
		r = c.firstSeen(revision, i, before)
	}
	if before.ListStatus != mark {
		r.ListRevision, r.ListStatus = revision, mark
	}
	turned := before.ListStatus == wire.ListLive || before.Incarnation == 0
	if mark == wire.ListLeaving && turned && serving(r.State) {
		r.State = model.StateLeaving
	}
	if !wellFormed(r) {
		c.recordRarely(now, event.MemberMalformed, string(i.ID), "instance of the platform's list out of bounds")
		return
	}
	if known && r == before {
		return
	}
	c.learn(now, r, "", !c.sync.loaded)
}

// firstSeen returns the record of an instance that has not spoken for itself.
// The list may change what it said of it.
func (c *Controller) firstSeen(revision uint64, i model.Instance, before wire.MemberRecord) wire.MemberRecord {
	r := before
	r.ID = i.ID
	r.Service, r.DataCentre, r.PeerAddress = i.Service, i.DataCentre, i.PeerAddress
	if before.ID == "" {
		r.State = model.StateLive
	}
	if r != before {
		r.Counter = revision
	}
	return r
}

// markOf returns the mark for a state on the list. What is gone is as good as
// absent.
func markOf(s model.UpstreamState) wire.ListStatus {
	switch s {
	case model.StateLeaving:
		return wire.ListLeaving
	case model.StateGone:
		return wire.ListAbsent
	default:
		return wire.ListLive
	}
}

func listed(m wire.ListStatus) bool { return m == wire.ListLive || m == wire.ListLeaving }

// lacksTooMany reports whether a full list lacks so many instances that earlier
// ones named that it is more likely wrong than true.
func (c *Controller) lacksTooMany(e control.ListRead) bool {
	named := 0
	missing := 0
	on := onList(e)
	for _, id := range c.table.order {
		r := c.table.entries[id].rec
		if !serving(r.State) || r.ListStatus != wire.ListLive {
			continue
		}
		named++
		if !on[id] {
			missing++
		}
	}
	return missing > max(1, named/missingShare)
}

// markAbsent marks instances that a full list no longer names.
func (c *Controller) markAbsent(now time.Time, e control.ListRead) {
	on := onList(e)
	var absent []wire.MemberRecord
	for _, id := range c.table.order {
		r := c.table.entries[id].rec
		if listed(r.ListStatus) && !on[id] {
			r.ListRevision, r.ListStatus = e.Revision, wire.ListAbsent
			absent = append(absent, r)
		}
	}
	for _, r := range absent {
		c.learn(now, r, "", false)
	}
}

func onList(e control.ListRead) map[model.InstanceID]bool {
	on := make(map[model.InstanceID]bool, len(e.Instances))
	for _, i := range e.Instances {
		on[i.ID] = true
	}
	return on
}
