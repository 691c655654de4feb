package spread

import (
	"gypsumstand/internal/packed"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Bounds of messages about versions.
const (
	// maxVersions bounds the versions of one notice, want or list that are taken
	// and sent.
	maxVersions = 256
	// noticeGap is the least time between two rounds of notices, so that many
	// changes at once share messages.
	noticeGap = control.TickInterval
	// declinePause bounds the random wait after a peer did not hold a version.
	declinePause = askElsewhere
)

// Upload to peers: a bounded burst and a rate well above what changes need, so
// that a starting peer does not take a node's link.
const (
	uploadBytesPerSecond = 128 << 10
	uploadBurstBytes     = 2 << 20
)

// announcement is a version that came into force, and who is known to have it.
type announcement struct {
	version model.BundleVersion
	knownBy []model.InstanceID
}

// announceVersion notes a version for the next notices; from is its source.
func (c *Controller) announceVersion(v model.BundleVersion, from model.InstanceID) {
	a := announcement{version: v}
	if w := c.wants.byName[v.Name]; w != nil && w.target <= v.Version {
		a.knownBy = append(a.knownBy, w.peers...)
	}
	if from != "" {
		a.knownBy = append(a.knownBy, from)
	}
	c.announce = append(c.announce, a)
}

// sendNotices tells each peer what it is not known to have. A node that is not
// ready spares ready peers, from which it has its versions.
func (c *Controller) sendNotices() {
	if len(c.announce) == 0 || c.now.Sub(c.announcedAt) < noticeGap {
		return
	}
	for _, l := range c.links.list {
		if !c.start.ready && l.settled {
			continue
		}
		c.notify(l.id, c.unknownTo(l.id))
	}
	c.announce = nil
	c.announcedAt = c.now
}

func (c *Controller) unknownTo(id model.InstanceID) []model.BundleVersion {
	var out []model.BundleVersion
	for _, a := range c.announce {
		if !contains(a.knownBy, id) && c.held.version(a.version.Name) == a.version.Version {
			out = append(out, a.version)
		}
	}
	return out
}

// notify sends versions in messages of bounded size.
func (c *Controller) notify(to model.InstanceID, versions []model.BundleVersion) {
	for len(versions) > 0 {
		n := min(len(versions), maxVersions)
		c.do(send(to, wire.BundleAnnouncement{Versions: versions[:n]}))
		versions = versions[n:]
	}
}

// notice takes a peer's word of what it holds.
func (c *Controller) notice(l *link, m wire.BundleAnnouncement) {
	for _, v := range c.bounded(m.Versions) {
		c.wantFrom(v, l.id)
		c.markKnown(v, l.id)
	}
}

// markKnown spares a peer the notice of a version that it gave notice of.
func (c *Controller) markKnown(v model.BundleVersion, id model.InstanceID) {
	for i := range c.announce {
		if c.announce[i].version.Name == v.Name && c.announce[i].version.Version <= v.Version {
			c.announce[i].knownBy = append(c.announce[i].knownBy, id)
		}
	}
}

// bounded drops what no honest peer sends.
func (c *Controller) bounded(versions []model.BundleVersion) []model.BundleVersion {
	if len(versions) > maxVersions {
		c.counters.Malformed++
		versions = versions[:maxVersions]
	}
	for _, v := range versions {
		if !plausible(v) {
			c.counters.Malformed++
			return nil
		}
	}
	return versions
}

// serve answers a want within the upload's bound.
func (c *Controller) serve(to model.InstanceID, m wire.BundleRequest) {
	var absent, later []model.BundleVersion
	for _, v := range c.bounded(m.Versions) {
		it := c.held.items[v.Name]
		if it == nil || it.bundle.Version < v.Version || it.packed == nil {
			absent = append(absent, v)
			continue
		}
		if !c.upload.take(c.now, float64(len(it.packed))) {
			later = append(later, v)
			continue
		}
		c.counters.BodiesSent++
		c.counters.BytesSent += uint64(len(it.packed))
		c.do(send(to, wire.BundleBody{Version: it.bundle.VersionID(), Packed: it.packed}))
	}
	c.decline(to, absent, 0)
	c.decline(to, later, c.upload.wait()+c.jitter(noticeGap))
}

func (c *Controller) decline(to model.InstanceID, versions []model.BundleVersion, after time.Duration) {
	if len(versions) == 0 {
		return
	}
	c.counters.Declined += uint64(len(versions))
	c.do(send(to, wire.BundleDecline{Versions: versions, RetryAfterMs: msOfAge(after)}))
}

// maxRetryAfter bounds a peer's word on when to come back.
const maxRetryAfter = 10 * time.Second

// declined sends the question elsewhere, or to the same peer later.
func (c *Controller) declined(l *link, m wire.BundleDecline) {
	busy := min(time.Duration(m.RetryAfterMs)*time.Millisecond, maxRetryAfter)
	if busy > 0 {
		l.busyUntil = c.now.Add(busy)
	}
	for _, v := range c.bounded(m.Versions) {
		w := c.wants.byName[v.Name]
		if w == nil || w.asked != l.id {
			continue
		}
		c.unask(w)
		if busy > 0 {
			w.tries--
			continue
		}
		w.dropPeer(l.id)
		// Whoever named the version and has no link gives nobody else to ask.
		if !c.anyUp(w.peers) {
			w.nextTry = c.now.Add(declinePause/2 + c.jitter(declinePause))
		}
	}
}

// body takes a body from a peer. What is not newer by its own label is dropped
// unread; the label is not believed otherwise.
func (c *Controller) body(l *link, m wire.BundleBody) {
	if !plausible(m.Version) {
		c.counters.Malformed++
		return
	}
	c.counters.BodiesReceived++
	w := c.wants.byName[m.Version.Name]
	if w != nil && w.asked == l.id {
		c.unask(w)
	}
	if c.held.version(m.Version.Name) >= m.Version.Version {
		c.counters.Duplicates++
		return
	}
	o := &offered{name: m.Version.Name, packed: m.Packed, peer: l.id}
	raw, err := packed.Unpack(m.Packed)
	if err != nil {
		c.refuseBody(o, refuse(err, ReasonMalformed))
	}
	o.raw = raw
	if err != nil || c.take(o) == rejected {
		c.links.distrust(c.now, l.id)
		if w != nil {
			w.dropPeer(l.id)
		}
	}
}
