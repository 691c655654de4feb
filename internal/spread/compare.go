package spread

import (
	"sort"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Timing of comparisons.
const (
	// compareInterval is the mean time between comparisons with a random peer; each is
	// drawn from half to one and a half times this.
	compareInterval = 5 * time.Second
	// earlyCompareDelay is the mean delay when a reading shows that other nodes hold
	// different versions and none is being fetched.
	earlyCompareDelay = 1500 * time.Millisecond
	// compareTimeout is how long a comparison waits for a reply.
	compareTimeout = 2 * time.Second
)

// comparison is the state of comparing versions with one peer.
type comparison struct {
	// nonce identifies the request; zero when no comparison is open.
	nonce  uint64
	sentAt time.Time
	// openBuckets is the set of buckets that differ and have not been listed yet.
	openBuckets uint64
}

// compareWith starts a comparison and replaces an open one.
func (c *Controller) compareWith(l *link) {
	c.counters.Comparisons++
	l.compareAt = time.Time{}
	l.compare = comparison{nonce: c.rng.Uint64() | 1, sentAt: c.now}
	c.emit(send(l.id, wire.BundleCompare{Nonce: l.compare.nonce, Digest: c.inForce.digest}))
}

// compareWhenDue starts the regular comparison and those over new links, and repeats
// those whose reply this node needs to become ready or to trust a link.
func (c *Controller) compareWhenDue() {
	for _, l := range c.links.list {
		needed := !l.fresh || (!c.startup.ready && !l.compared)
		due := !l.compareAt.IsZero() && !c.now.Before(l.compareAt)
		if due || needed && c.now.Sub(l.compare.sentAt) >= compareTimeout {
			c.compareWith(l)
		}
	}
	if c.missesReadVersions() {
		c.compareNoLaterThan(c.now.Add(earlyCompareDelay/2 + c.jitter(earlyCompareDelay)))
	}
	if c.now.Before(c.nextCompare) {
		return
	}
	c.nextCompare = c.now.Add(compareInterval/2 + c.jitter(compareInterval))
	l := c.links.pick(c.rng, func(l *link) bool {
		return l.compare.nonce == 0 || c.now.Sub(l.compare.sentAt) >= compareTimeout
	})
	if l != nil {
		c.compareWith(l)
	}
}

// compareNoLaterThan moves the next regular comparison forward.
func (c *Controller) compareNoLaterThan(at time.Time) {
	if at.Before(c.nextCompare) {
		c.nextCompare = at
	}
}

// missesReadVersions reports whether a reading showed other versions than this node has
// ever held, and none is being fetched.
func (c *Controller) missesReadVersions() bool {
	return len(c.confirmation.waiting) > 0 && len(c.fetches.list) == 0
}

// replyCompare replies to a peer's comparison with this node's digest.
func (c *Controller) replyCompare(to model.InstanceID, m wire.BundleCompare) {
	reply := wire.BundleCompareReply{Nonce: m.Nonce, Digest: c.inForce.digest, Ready: c.startup.ready}
	if m.Digest != c.inForce.digest {
		reply.Buckets = append(reply.Buckets, c.inForce.buckets[:]...)
	}
	c.emit(send(to, reply))
}

// receiveCompareReply handles the reply to a comparison and requests the lists of the
// buckets that differ.
func (c *Controller) receiveCompareReply(l *link, m wire.BundleCompareReply) {
	if m.Nonce != l.compare.nonce || m.Nonce == 0 {
		return
	}
	l.fresh = true
	l.wasReady = m.Ready
	if m.Digest == c.inForce.digest {
		c.finishCompare(l)
		return
	}
	if len(m.Buckets) != wire.BundleBuckets {
		c.counters.Malformed++
		return
	}
	c.counters.Repairs++
	for i, sum := range m.Buckets {
		if sum != c.inForce.buckets[i] {
			l.compare.openBuckets |= 1 << i
		}
	}
	c.requestList(l)
}

// requestList requests the buckets that are still open, or ends the comparison.
func (c *Controller) requestList(l *link) {
	if l.compare.openBuckets == 0 {
		c.finishCompare(l)
		return
	}
	l.compare.sentAt = c.now
	c.emit(send(l.id, wire.BundleListRequest{Nonce: l.compare.nonce, Buckets: l.compare.openBuckets}))
}

func (c *Controller) finishCompare(l *link) {
	l.compare.nonce = 0
	l.compared = true
	if c.startup.ready {
		c.startup.readyWithoutPeers = false
	}
}

// replyList lists complete buckets, lowest first, up to maxVersions but at least one
// bucket.
func (c *Controller) replyList(to model.InstanceID, m wire.BundleListRequest) {
	byBucket := c.heldByBucket(m.Buckets)
	reply := wire.BundleList{Nonce: m.Nonce}
	for i := range wire.BundleBuckets {
		bit := uint64(1) << i
		if m.Buckets&bit == 0 {
			continue
		}
		if reply.Buckets != 0 && len(reply.Held)+len(byBucket[i]) > maxVersions {
			break
		}
		reply.Buckets |= bit
		reply.Held = append(reply.Held, byBucket[i]...)
	}
	if reply.Buckets != 0 {
		c.emit(send(to, reply))
	}
}

// heldByBucket returns the bundles in force in the given buckets, sorted by name.
func (c *Controller) heldByBucket(mask uint64) (out [wire.BundleBuckets][]wire.HeldBundle) {
	for name, it := range c.inForce.items {
		i := bucketOf(name)
		if mask&(1<<i) != 0 {
			out[i] = append(out[i], wire.HeldBundle{Name: name, Version: it.bundle.Version, Content: it.content})
		}
	}
	for i := range out {
		sort.Slice(out[i], func(a, b int) bool { return out[i][a].Name < out[i][b].Name })
	}
	return out
}

// receiveList handles some buckets of a peer's list. Versions that are newer there are
// fetched, and the peer is sent the versions that are newer here.
func (c *Controller) receiveList(l *link, m wire.BundleList) {
	covered := m.Buckets & l.compare.openBuckets
	if m.Nonce != l.compare.nonce || covered == 0 {
		return
	}
	newerLocally := c.versionsInBuckets(covered)
	for _, h := range m.Held {
		v := model.BundleVersion{Name: h.Name, Version: h.Version}
		if !withinBounds(v) {
			c.counters.Malformed++
			continue
		}
		local := c.inForce.items[h.Name]
		if local != nil && local.bundle.Version == h.Version && local.content != h.Content {
			c.recordConflict(v, "peer "+string(l.id))
		}
		if c.inForce.version(h.Name) <= h.Version {
			newerLocally = without(newerLocally, h.Name)
		}
		c.fetchFrom(v, l.id)
	}
	c.sendVersions(l.id, newerLocally)
	l.compare.openBuckets &^= covered
	c.requestList(l)
}

// versionsInBuckets returns the versions in force in the given buckets, by bucket and name.
func (c *Controller) versionsInBuckets(mask uint64) []model.BundleVersion {
	var out []model.BundleVersion
	for _, bucket := range c.heldByBucket(mask) {
		for _, h := range bucket {
			out = append(out, model.BundleVersion{Name: h.Name, Version: h.Version})
		}
	}
	return out
}

func without(versions []model.BundleVersion, name model.BundleName) []model.BundleVersion {
	for i, v := range versions {
		if v.Name == name {
			return append(versions[:i], versions[i+1:]...)
		}
	}
	return versions
}
