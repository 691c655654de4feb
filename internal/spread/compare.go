package spread

import (
	"sort"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Timing of comparisons.
const (
	// compareInterval is the time between comparisons with one random peer,
	// jittered by half of it.
	compareInterval = 5 * time.Second
	// compareSooner is the time when a reading shows that others hold something
	// else and nothing is on its way.
	compareSooner = 1500 * time.Millisecond
	// compareTimeout ends a comparison that got no answer.
	compareTimeout = 2 * time.Second
)

// comparison is the state of asking one peer what it holds.
type comparison struct {
	// nonce is the question's; zero when none is open.
	nonce uint64
	at    time.Time
	// open are the parts that differ and are not listed yet.
	open uint64
}

// compareWith opens a comparison, replacing an open one.
func (c *Controller) compareWith(l *link) {
	c.counters.Comparisons++
	l.compareAt = time.Time{}
	l.compare = comparison{nonce: c.rng.Uint64() | 1, at: c.now}
	c.do(send(l.id, wire.BundleCompare{Nonce: l.compare.nonce, Digest: c.held.digest}))
}

// compareWhenDue opens the regular comparison and those over new links, and
// repeats those whose answer this node cannot do without.
func (c *Controller) compareWhenDue() {
	for _, l := range c.links.list {
		needed := !l.fresh || (!c.start.ready && !l.answered)
		due := !l.compareAt.IsZero() && !c.now.Before(l.compareAt)
		if due || needed && c.now.Sub(l.compare.at) >= compareTimeout {
			c.compareWith(l)
		}
	}
	if c.behindAReading() {
		c.compareBy(c.now.Add(compareSooner/2 + c.jitter(compareSooner)))
	}
	if c.now.Before(c.nextCompare) {
		return
	}
	c.nextCompare = c.now.Add(compareInterval/2 + c.jitter(compareInterval))
	l := c.links.pick(c.rng, func(l *link) bool { return l.compare.nonce == 0 || c.now.Sub(l.compare.at) >= compareTimeout })
	if l != nil {
		c.compareWith(l)
	}
}

// compareBy brings the next comparison forward.
func (c *Controller) compareBy(at time.Time) {
	if at.Before(c.nextCompare) {
		c.nextCompare = at
	}
}

// behindAReading reports whether a reading showed other versions than this node
// has ever had, and none is on its way.
func (c *Controller) behindAReading() bool {
	return len(c.confirm.waiting) > 0 && len(c.wants.list) == 0
}

// answerCompare answers a peer's question from what is in force.
func (c *Controller) answerCompare(to model.InstanceID, m wire.BundleCompare) {
	reply := wire.BundleCompareReply{Nonce: m.Nonce, Digest: c.held.digest, Ready: c.start.ready}
	if m.Digest != c.held.digest {
		reply.Buckets = append(reply.Buckets, c.held.buckets[:]...)
	}
	c.do(send(to, reply))
}

// compared takes the answer; parts that differ are asked for.
func (c *Controller) compared(l *link, m wire.BundleCompareReply) {
	if m.Nonce != l.compare.nonce || m.Nonce == 0 {
		return
	}
	l.fresh = true
	l.settled = m.Ready
	if m.Digest == c.held.digest {
		c.endCompare(l)
		return
	}
	if len(m.Buckets) != wire.BundleBuckets {
		c.counters.Malformed++
		return
	}
	c.counters.Repairs++
	for i, sum := range m.Buckets {
		if sum != c.held.buckets[i] {
			l.compare.open |= 1 << i
		}
	}
	c.askList(l)
}

// askList asks for the parts that are still open, or ends the comparison.
func (c *Controller) askList(l *link) {
	if l.compare.open == 0 {
		c.endCompare(l)
		return
	}
	l.compare.at = c.now
	c.do(send(l.id, wire.BundleListRequest{Nonce: l.compare.nonce, Buckets: l.compare.open}))
}

func (c *Controller) endCompare(l *link) {
	l.compare.nonce = 0
	l.answered = true
	if c.start.ready {
		c.start.alone = false
	}
}

// answerList lists whole parts, lowest first, up to the bound of a message, at
// least one.
func (c *Controller) answerList(to model.InstanceID, m wire.BundleListRequest) {
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
		c.do(send(to, reply))
	}
}

// heldByBucket returns what is in force in the given parts, in order of name.
func (c *Controller) heldByBucket(mask uint64) (out [wire.BundleBuckets][]wire.HeldBundle) {
	for name, it := range c.held.items {
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

// listed takes some parts of a peer's list: what is newer there is wanted, and
// the peer is told of what is newer here.
func (c *Controller) listed(l *link, m wire.BundleList) {
	covered := m.Buckets & l.compare.open
	if m.Nonce != l.compare.nonce || covered == 0 {
		return
	}
	newerHere := c.heldInOrder(covered)
	for _, h := range m.Held {
		v := model.BundleVersion{Name: h.Name, Version: h.Version}
		if !plausible(v) {
			c.counters.Malformed++
			continue
		}
		here := c.held.items[h.Name]
		if here != nil && here.bundle.Version == h.Version && here.content != h.Content {
			c.conflict(v, "peer "+string(l.id))
		}
		if c.held.version(h.Name) <= h.Version {
			newerHere = without(newerHere, h.Name)
		}
		c.wantFrom(v, l.id)
	}
	c.notify(l.id, newerHere)
	l.compare.open &^= covered
	c.askList(l)
}

// heldInOrder returns the versions in force in the given parts.
func (c *Controller) heldInOrder(mask uint64) []model.BundleVersion {
	var out []model.BundleVersion
	for _, part := range c.heldByBucket(mask) {
		for _, h := range part {
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
