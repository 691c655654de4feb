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
	// revisionSpreadTime is the age at which a list revision's changes are assumed to
	// have reached every node by gossip, so that a read may start from it.
	revisionSpreadTime = 10 * time.Second
	// maxRevisions bounds the revisions stored until they have spread.
	maxRevisions = 32
	// announceReadAfter is the age at which a read in flight is announced to peers; a
	// faster one is announced when it ends.
	announceReadAfter = 300 * time.Millisecond
	// failingThreshold is how long reads must have failed before the failure is recorded.
	failingThreshold = 5 * time.Second
	// relayThreshold is how much newer than the last relayed read a read must be to be
	// relayed at once instead of with the next heartbeat.
	relayThreshold = suppress.ReadInterval / 2
	// startGrace is how long a fresh node that has a seed or a link waits for a snapshot
	// from a peer before it reads the list.
	startGrace = 3 * time.Second
	// A full list counts as incomplete when it omits more than one instance, and more than
	// one in maxMissingDivisor of the instances, that earlier lists named as live.
	maxMissingDivisor = 3
)

var errOlderList = errors.New("list revision is older than one already known")

type revisionSeen struct {
	revision uint64
	seenAt   time.Time
}

// listReader reads the platform's list when no other node has read it recently.
type listReader struct {
	timer *suppress.Timer
	// newest is the greatest known revision; own is the revision of this node's last
	// read.
	newest uint64
	own    uint64
	// spread is the greatest revision whose changes have reached every node; recent are
	// the revisions that are still spreading.
	spread uint64
	recent []revisionSeen
	// readStarted is when this node's read in flight started; zero for none.
	readStarted time.Time
	announced   bool
	// relayedAttempt and relayedConfirmed are the newest times that were relayed at once.
	relayedAttempt   time.Time
	relayedConfirmed time.Time
	failing          bool
	stale            bool
}

// forget makes the next read start from the beginning of the list.
func (r *listReader) forget() {
	r.own = 0
	r.spread = 0
	r.recent = nil
}

// since returns the revision from which a read must start to miss no change. loaded
// reports whether the initial snapshot is complete; before, the node has only the changes
// that it read itself.
func (r *listReader) since(now time.Time, loaded bool) uint64 {
	for len(r.recent) > 0 && now.Sub(r.recent[0].seenAt) > revisionSpreadTime {
		r.spread = max(r.spread, r.recent[0].revision)
		r.recent = r.recent[1:]
	}
	if !loaded {
		return r.own
	}
	return max(r.own, r.spread)
}

// noteRevision stores a revision that some node has read.
func (r *listReader) noteRevision(now time.Time, revision uint64) {
	if revision <= r.newest {
		return
	}
	r.newest = revision
	if len(r.recent) < maxRevisions {
		r.recent = append(r.recent, revisionSeen{revision: revision, seenAt: now})
	}
}

func (c *Controller) tickList(now time.Time) {
	c.recordListFailing(now)
	if c.ownState == model.StateGone {
		return
	}
	if c.inStartGrace(now) {
		return
	}
	if c.list.timer.Due(now, c.FleetSize()) {
		c.list.readStarted = now
		c.list.announced = false
		c.emit(control.ReadList{Since: c.list.since(now, c.sync.loaded)})
		return
	}
	if !c.list.readStarted.IsZero() && !c.list.announced && now.Sub(c.list.readStarted) > announceReadAfter {
		c.list.announced = true
		c.relayList(now, "")
	}
}

// inStartGrace reports whether this node has just started and may still receive the fleet
// from a peer instead of from the platform.
func (c *Controller) inStartGrace(now time.Time) bool {
	known := len(c.cfg.Seeds) > 0 || len(c.links.all) > 0
	return known && !c.sync.loaded && now.Sub(c.started) < startGrace
}

// recordListFailing records when list reads begin to fail for the whole fleet and when
// they recover.
func (c *Controller) recordListFailing(now time.Time) {
	attempt, confirmed := c.list.timer.Ages(now)
	failing := attempt != suppress.Never && confirmed > attempt && confirmed-attempt > failingThreshold
	switch {
	case failing && !c.list.failing:
		c.record(event.ListFailed, "", "")
	case !failing && c.list.failing:
		c.record(event.ListRecovered, "", "")
	}
	c.list.failing = failing
}

// listAges returns the ages of the last list reads, as carried by heartbeats and beacons.
func (c *Controller) listAges(now time.Time) wire.ListAges {
	attempt, confirmed := c.list.timer.Ages(now)
	return wire.ListAges{
		Attempt: wire.AgeOf(attempt), Confirmed: wire.AgeOf(confirmed), Revision: c.list.newest,
	}
}

// receiveListAges handles a peer's list ages; transit is an upper bound of the time that
// the message was in transit.
func (c *Controller) receiveListAges(now time.Time, l *link, ages wire.ListAges, transit time.Duration) {
	c.list.timer.ObservePeer(now,
		addTransit(ages.Attempt.Duration(), transit), addTransit(ages.Confirmed.Duration(), transit))
	c.list.noteRevision(now, ages.Revision)
	c.relayList(now, l.peer)
}

func addTransit(age, transit time.Duration) time.Duration {
	if age == suppress.Never {
		return age
	}
	return age + transit
}

// relayList sends the list ages to all peers except one when they are sufficiently newer
// than those sent last.
func (c *Controller) relayList(now time.Time, except model.InstanceID) {
	attempt, confirmed := c.list.timer.Ages(now)
	if attempt == suppress.Never {
		return
	}
	at := now.Add(-attempt)
	isNew := at.Sub(c.list.relayedAttempt) > relayThreshold
	var confirmedAt time.Time
	if confirmed != suppress.Never {
		confirmedAt = now.Add(-confirmed)
		isNew = isNew || confirmedAt.Sub(c.list.relayedConfirmed) > relayThreshold
	}
	if !isNew {
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
	c.finishRead(now, false)
}

func (c *Controller) finishRead(now time.Time, ok bool) {
	c.list.readStarted = time.Time{}
	c.list.timer.ReadDone(now, ok)
	c.relayList(now, "")
}

// listRead handles a response from the platform. A list older than a known revision is
// rejected, and the read counts as failed. An incomplete full list also counts as failed:
// its entries are applied, but the instances that it omits are not marked absent.
func (c *Controller) listRead(now time.Time, e control.ListRead) {
	if e.Revision < c.list.newest {
		c.rejectStaleList(now)
		return
	}
	c.list.stale = false
	c.list.noteRevision(now, e.Revision)
	if e.Full && c.missingTooMany(e) {
		c.record(event.ListIncomplete, "", "")
		c.applyList(now, e)
		c.finishRead(now, false)
		return
	}
	c.list.own = e.Revision
	c.applyList(now, e)
	if e.Full {
		c.markAbsent(now, e)
	}
	c.finishRead(now, true)
	c.flush(now)
}

func (c *Controller) rejectStaleList(now time.Time) {
	if !c.list.stale {
		c.emit(control.Record{Event: event.ListStale, Err: errOlderList})
	}
	c.list.stale = true
	c.finishRead(now, false)
}

func (c *Controller) applyList(now time.Time, e control.ListRead) {
	for _, i := range e.Instances {
		c.applyListed(now, e.Revision, i)
	}
}

// applyListed merges the list's entry of one instance.
func (c *Controller) applyListed(now time.Time, revision uint64, i model.Instance) {
	status := listStatusOf(i.State)
	before, known := c.table.get(i.ID)
	if !known && status == wire.ListAbsent {
		return
	}
	r := before
	if !known || r.Incarnation == 0 && status != wire.ListAbsent {
		r = c.recordFromList(revision, i, before)
	}
	if before.ListStatus != status {
		r.ListRevision, r.ListStatus = revision, status
	}
	mayApplyLeaving := before.ListStatus == wire.ListLive || before.Incarnation == 0
	if status == wire.ListLeaving && mayApplyLeaving && serving(r.State) {
		r.State = model.StateLeaving
	}
	if !wellFormed(r) {
		c.recordRateLimited(now, event.MemberMalformed, string(i.ID), "instance on the platform's list has an invalid field")
		return
	}
	if known && r == before {
		return
	}
	c.mergeRecord(now, r, "", !c.sync.loaded)
}

// recordFromList returns the record of an instance that has not announced itself. A later
// list may change the attributes that an earlier one gave.
func (c *Controller) recordFromList(revision uint64, i model.Instance, before wire.MemberRecord) wire.MemberRecord {
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

// listStatusOf returns the list status of a state. An instance listed as gone counts as
// absent.
func listStatusOf(s model.UpstreamState) wire.ListStatus {
	switch s {
	case model.StateLeaving:
		return wire.ListLeaving
	case model.StateGone:
		return wire.ListAbsent
	default:
		return wire.ListLive
	}
}

func isListed(status wire.ListStatus) bool {
	return status == wire.ListLive || status == wire.ListLeaving
}

// missingTooMany reports whether a full list omits so many instances that earlier lists
// named that it is more likely wrong than right.
func (c *Controller) missingTooMany(e control.ListRead) bool {
	named := 0
	missing := 0
	listedIDs := idsOf(e)
	for _, id := range c.table.order {
		r := c.table.entries[id].rec
		if !serving(r.State) || r.ListStatus != wire.ListLive {
			continue
		}
		named++
		if !listedIDs[id] {
			missing++
		}
	}
	return missing > max(1, named/maxMissingDivisor)
}

// markAbsent marks the instances that a full list no longer names as absent.
func (c *Controller) markAbsent(now time.Time, e control.ListRead) {
	listedIDs := idsOf(e)
	var absent []wire.MemberRecord
	for _, id := range c.table.order {
		r := c.table.entries[id].rec
		if isListed(r.ListStatus) && !listedIDs[id] {
			r.ListRevision, r.ListStatus = e.Revision, wire.ListAbsent
			absent = append(absent, r)
		}
	}
	for _, r := range absent {
		c.mergeRecord(now, r, "", false)
	}
}

func idsOf(e control.ListRead) map[model.InstanceID]bool {
	ids := make(map[model.InstanceID]bool, len(e.Instances))
	for _, i := range e.Instances {
		ids[i.ID] = true
	}
	return ids
}
