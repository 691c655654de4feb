package spread

import (
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/packed"
	"gypsumstand/internal/wire"
)

// Limits on messages about versions.
const (
	// maxVersions bounds the versions of one announcement, request or list, both sent and
	// received.
	maxVersions = 256
	// announceInterval is the minimum time between two rounds of announcements, so that
	// simultaneous changes share messages.
	announceInterval = control.TickInterval
	// declineDelay is the mean delay before the next request when a peer declined because
	// it does not hold a version and no other usable holder is known; each is drawn from
	// half to one and a half times this.
	declineDelay = otherPeerDelay
)

// Upload to peers: a bounded burst, and a rate well above what changes need, so that a
// starting peer does not saturate a node's link.
const (
	uploadBytesPerSecond = 128 << 10
	uploadBurstBytes     = 2 << 20
)

// announcement is a version that came into force, with the peers known to have it.
type announcement struct {
	version model.BundleVersion
	knownBy []model.InstanceID
}

// announceVersion queues a version for the next announcements; from is its source.
func (c *Controller) announceVersion(v model.BundleVersion, from model.InstanceID) {
	a := announcement{version: v}
	if f := c.fetches.byName[v.Name]; f != nil && f.target <= v.Version {
		a.knownBy = append(a.knownBy, f.holders...)
	}
	if from != "" {
		a.knownBy = append(a.knownBy, from)
	}
	c.announcements = append(c.announcements, a)
}

// sendAnnouncements sends each peer the versions that it is not known to have. A node
// that is not ready skips ready peers, since it received its versions from them.
func (c *Controller) sendAnnouncements() {
	if len(c.announcements) == 0 || c.now.Sub(c.lastAnnounced) < announceInterval {
		return
	}
	for _, l := range c.links.list {
		if !c.startup.ready && l.wasReady {
			continue
		}
		c.sendVersions(l.id, c.unknownTo(l.id))
	}
	c.announcements = nil
	c.lastAnnounced = c.now
}

func (c *Controller) unknownTo(id model.InstanceID) []model.BundleVersion {
	var out []model.BundleVersion
	for _, a := range c.announcements {
		if !contains(a.knownBy, id) && c.inForce.version(a.version.Name) == a.version.Version {
			out = append(out, a.version)
		}
	}
	return out
}

// sendVersions sends versions in messages of bounded size.
func (c *Controller) sendVersions(to model.InstanceID, versions []model.BundleVersion) {
	for len(versions) > 0 {
		n := min(len(versions), maxVersions)
		c.emit(send(to, wire.BundleAnnouncement{Versions: versions[:n]}))
		versions = versions[n:]
	}
}

// receiveAnnouncement handles a peer's announcement of versions that it holds.
func (c *Controller) receiveAnnouncement(l *link, m wire.BundleAnnouncement) {
	for _, v := range c.validVersions(m.Versions) {
		c.fetchFrom(v, l.id)
		c.markKnown(v, l.id)
	}
}

// markKnown cancels the announcement of a version to a peer that announced it itself.
func (c *Controller) markKnown(v model.BundleVersion, id model.InstanceID) {
	for i := range c.announcements {
		if c.announcements[i].version.Name == v.Name && c.announcements[i].version.Version <= v.Version {
			c.announcements[i].knownBy = append(c.announcements[i].knownBy, id)
		}
	}
}

// validVersions returns at most maxVersions versions, or none when one is outside its
// limits; a correct peer sends neither.
func (c *Controller) validVersions(versions []model.BundleVersion) []model.BundleVersion {
	if len(versions) > maxVersions {
		c.counters.Malformed++
		versions = versions[:maxVersions]
	}
	for _, v := range versions {
		if !withinBounds(v) {
			c.counters.Malformed++
			return nil
		}
	}
	return versions
}

// serveRequest sends the requested bodies within the upload limit and declines the rest.
func (c *Controller) serveRequest(to model.InstanceID, m wire.BundleRequest) {
	var absent, overLimit []model.BundleVersion
	for _, v := range c.validVersions(m.Versions) {
		it := c.inForce.items[v.Name]
		if it == nil || it.bundle.Version < v.Version || it.packed == nil {
			absent = append(absent, v)
			continue
		}
		if !c.upload.take(c.now, float64(len(it.packed))) {
			overLimit = append(overLimit, v)
			continue
		}
		c.counters.BodiesSent++
		c.counters.BytesSent += uint64(len(it.packed))
		c.emit(send(to, wire.BundleBody{Version: it.bundle.VersionID(), Packed: it.packed}))
	}
	c.decline(to, absent, 0)
	c.decline(to, overLimit, c.upload.wait()+c.jitter(announceInterval))
}

func (c *Controller) decline(to model.InstanceID, versions []model.BundleVersion, after time.Duration) {
	if len(versions) == 0 {
		return
	}
	c.counters.Declined += uint64(len(versions))
	c.emit(send(to, wire.BundleDecline{Versions: versions, RetryAfterMs: msOfAge(after)}))
}

// maxRetryAfter bounds the retry delay that a peer may ask for.
const maxRetryAfter = 10 * time.Second

// receiveDecline retries the fetch with another peer, or with the same peer later if it
// is only busy.
func (c *Controller) receiveDecline(l *link, m wire.BundleDecline) {
	busy := min(time.Duration(m.RetryAfterMs)*time.Millisecond, maxRetryAfter)
	if busy > 0 {
		l.busyUntil = c.now.Add(busy)
	}
	for _, v := range c.validVersions(m.Versions) {
		f := c.fetches.byName[v.Name]
		if f == nil || f.requestedFrom != l.id {
			continue
		}
		c.cancelRequest(f)
		if busy > 0 {
			f.tries--
			continue
		}
		f.removeHolder(l.id)
		// A holder without a link cannot be requested from, and no other peer is known to
		// hold the version. Without a delay, two peers missing it would request and
		// decline in a tight loop.
		if !c.anyUsable(f.holders) {
			f.nextTry = c.now.Add(declineDelay/2 + c.jitter(declineDelay))
		}
	}
}

// receiveBody handles a body from a peer. A body whose label names no newer version is
// dropped without unpacking; apart from that, the label is not trusted.
func (c *Controller) receiveBody(l *link, m wire.BundleBody) {
	if !withinBounds(m.Version) {
		c.counters.Malformed++
		return
	}
	c.counters.BodiesReceived++
	f := c.fetches.byName[m.Version.Name]
	if f != nil && f.requestedFrom == l.id {
		c.cancelRequest(f)
	}
	if c.inForce.version(m.Version.Name) >= m.Version.Version {
		c.counters.Duplicates++
		return
	}
	body := &receivedBody{name: m.Version.Name, packed: m.Packed, peer: l.id}
	raw, err := packed.Unpack(m.Packed, bundle.MaxBytes)
	if err != nil {
		c.recordRefusal(body, classifyRefusal(err, ReasonMalformed))
	}
	body.raw = raw
	if err != nil || c.acceptOrRefuse(body) == rejected {
		c.links.markBad(c.now, l.id)
		if f != nil {
			f.removeHolder(l.id)
		}
	}
}
