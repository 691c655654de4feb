package member

import (
	"encoding/binary"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// Time between two digest exchanges that this node opens.
	digestMin = 5 * time.Second
	digestMax = 10 * time.Second
	// Time to the next exchange after one that found more than it could compare.
	repairMin = time.Second
	repairMax = 2 * time.Second
	// greetWithin is the time within which a new link has a first exchange.
	greetWithin = 3 * time.Second
	// snapshotPieceRecords is the number of records of one piece.
	snapshotPieceRecords = 512
	// snapshotPace is the least time between a piece and the request for the next
	// one.
	snapshotPace = 150 * time.Millisecond
	// snapshotWait is the time after which an unanswered request is repeated.
	snapshotWait = time.Second
	// snapshotTries bounds the peers without the whole fleet that a node asks;
	// then all have started together, and digests do the rest.
	snapshotTries = 5
	// snapshotsPerSecond bounds the pieces that a node serves.
	snapshotsPerSecond = 2
	// digestsPerSecond bounds the digests with another root that a node answers,
	// so that a healed partition is repaired steadily and not all at once.
	digestsPerSecond = 2
	// recordsPerExchange bounds the records that one exchange compares (by the
	// number of buckets, at least minSummaries) and sends; the next one goes on
	// with what is left.
	recordsPerExchange = 128
	minSummaries       = 4
	// shortHashBytes is the size of a hash in a summary.
	shortHashBytes = 4
	entryBytes     = 2 * shortHashBytes
)

// synchronizer loads a peer's view at the start and repairs later what rumours
// missed.
type synchronizer struct {
	// next is the time of the next digest.
	next time.Time
	// loaded says that the whole fleet has been taken over from peers.
	loaded bool
	// linked is when this node first had a link to ask; zero before.
	linked time.Time
	// after is the last id taken over; tries counts the peers that had nothing.
	after    model.InstanceID
	tries    int
	askAgain time.Time
	served   budget
	answered budget
}

// budget counts uses within a second.
type budget struct {
	since time.Time
	used  int
}

// take reports whether one more use is within limit a second, and counts it.
func (b *budget) take(now time.Time, limit int) bool {
	if now.Sub(b.since) >= time.Second {
		*b = budget{since: now}
	}
	if b.used >= limit {
		return false
	}
	b.used++
	return true
}

func (c *Controller) tickSync(now time.Time) {
	if !c.sync.loaded {
		c.tickSnapshot(now)
		return
	}
	for _, l := range c.links.open() {
		if !l.greet.IsZero() && now.After(l.greet) {
			l.greet = time.Time{}
			c.send(l.peer, wire.Digest{Root: c.table.root})
		}
	}
	if now.Before(c.sync.next) {
		return
	}
	c.sync.next = now.Add(c.between(digestMin, digestMax))
	if open := c.links.open(); len(open) > 0 {
		l := open[c.rng.IntN(len(open))]
		c.send(l.peer, wire.Digest{Root: c.table.root})
	}
}

// startSnapshot begins to take over peers' views when this node has none yet.
func (c *Controller) startSnapshot(now time.Time) {
	if c.sync.loaded || !c.sync.linked.IsZero() {
		return
	}
	c.sync.linked = now
	c.askPiece(now)
}

// askPiece asks a random peer for the next piece. Pieces go by the order of ids,
// so that any peer can go on where another stopped.
func (c *Controller) askPiece(now time.Time) {
	c.sync.askAgain = now.Add(snapshotWait + c.between(0, snapshotWait))
	open := c.links.open()
	if len(open) == 0 {
		return
	}
	peer := open[c.rng.IntN(len(open))].peer
	c.send(peer, wire.SnapshotRequest{After: c.sync.after})
}

// tickSnapshot asks for the next piece when it is time to.
func (c *Controller) tickSnapshot(now time.Time) {
	if !c.sync.linked.IsZero() && !now.Before(c.sync.askAgain) {
		c.askPiece(now)
	}
}

// serveSnapshot answers with one piece; requests over the rate are dropped, and
// repeated by the peer at another node. A node without the whole fleet says so.
func (c *Controller) serveSnapshot(now time.Time, l *link, m wire.SnapshotRequest) {
	if !c.sync.loaded {
		c.send(l.peer, wire.SnapshotChunk{After: m.After, Partial: true})
		return
	}
	if !c.sync.served.take(now, snapshotsPerSecond) {
		return
	}
	records, last := c.table.after(m.After, snapshotPieceRecords)
	c.send(l.peer, wire.SnapshotChunk{After: m.After, Records: records, Last: last})
}

// snapshotPiece takes a piece over. It is no news to others, so it starts no
// rumour.
func (c *Controller) snapshotPiece(now time.Time, l *link, m wire.SnapshotChunk) {
	if c.sync.loaded || m.After != c.sync.after {
		return
	}
	if len(m.Records) > wire.MaxMemberRecords {
		c.recordRarely(now, event.MemberMalformed, string(l.peer), "snapshot piece too long")
		return
	}
	for _, r := range m.Records {
		c.takeOver(now, l, r)
		c.sync.after = r.ID
	}
	if m.Partial {
		c.sync.tries++
	}
	if !m.Last && c.sync.tries < snapshotTries {
		c.sync.askAgain = now.Add(c.between(snapshotPace, 2*snapshotPace))
		return
	}
	c.sync.loaded = true
	c.sync.next = now.Add(c.between(repairMin, repairMax))
	c.record(event.SnapshotLoaded, string(l.peer), "")
}

// takeOver merges a record that is no news to the fleet.
func (c *Controller) takeOver(now time.Time, l *link, r wire.MemberRecord) {
	if !wellFormed(r) {
		c.recordRarely(now, event.MemberMalformed, string(l.peer), "record out of bounds")
		return
	}
	c.learn(now, r, l.peer, true)
}

func (c *Controller) digest(now time.Time, l *link, m wire.Digest) {
	if !c.sync.loaded || m.Root == c.table.root || !c.sync.answered.take(now, digestsPerSecond) {
		return
	}
	hashes := make([]byte, 0, wire.DigestBucketCount*shortHashBytes)
	for _, h := range c.table.buckets {
		hashes = binary.BigEndian.AppendUint32(hashes, uint32(h))
	}
	c.send(l.peer, wire.DigestBuckets{Hashes: hashes})
}

// digestBuckets sends summaries of buckets that differ, from a random one on.
func (c *Controller) digestBuckets(now time.Time, l *link, m wire.DigestBuckets) {
	if len(m.Hashes) != wire.DigestBucketCount*shortHashBytes {
		c.recordRarely(now, event.MemberMalformed, string(l.peer), "digest of the wrong length")
		return
	}
	var marked bucketSet
	n := 0
	limit := c.summariesPerExchange()
	start := c.rng.IntN(wire.DigestBucketCount)
	for i := range wire.DigestBucketCount {
		at := (start + i) % wire.DigestBucketCount
		theirs := binary.BigEndian.Uint32(m.Hashes[at*shortHashBytes:])
		if theirs != uint32(c.table.buckets[at]) && n < limit {
			marked[at] = true
			n++
		}
	}
	if n == 0 {
		return
	}
	if n == limit {
		c.sync.next = now.Add(c.between(repairMin, repairMax))
	}
	c.send(l.peer, wire.BucketSummaries{Buckets: c.summaries(&marked)})
}

// summariesPerExchange returns the number of buckets to compare in full.
func (c *Controller) summariesPerExchange() int {
	n := recordsPerExchange * wire.DigestBucketCount / c.FleetSize()
	return min(max(n, minSummaries), wire.MaxSummaries)
}

func (c *Controller) summaries(marked *bucketSet) []wire.BucketSummary {
	var entries [wire.DigestBucketCount][]byte
	for _, e := range c.table.inBuckets(marked) {
		b := entries[e.bucket]
		b = binary.BigEndian.AppendUint32(b, shortID(e.rec.ID))
		entries[e.bucket] = binary.BigEndian.AppendUint32(b, uint32(e.hash))
	}
	var out []wire.BucketSummary
	for i, m := range marked {
		if m {
			out = append(out, wire.BucketSummary{Index: uint16(i), Entries: entries[i]})
		}
	}
	return out
}

// bucketSummaries sends the records that the peer lacks or has otherwise, and
// asks for those that this node lacks or has otherwise.
func (c *Controller) bucketSummaries(now time.Time, l *link, m wire.BucketSummaries) {
	if len(m.Buckets) > wire.MaxSummaries {
		c.recordRarely(now, event.MemberMalformed, string(l.peer), "too many bucket summaries")
		return
	}
	var marked bucketSet
	theirs := map[uint32]uint32{}
	for _, b := range m.Buckets {
		if int(b.Index) >= wire.DigestBucketCount || len(b.Entries)%entryBytes != 0 {
			c.recordRarely(now, event.MemberMalformed, string(l.peer), "bucket summary out of bounds")
			return
		}
		marked[b.Index] = true
		for at := 0; at < len(b.Entries); at += entryBytes {
			theirs[binary.BigEndian.Uint32(b.Entries[at:])] = binary.BigEndian.Uint32(b.Entries[at+shortHashBytes:])
		}
	}
	same := c.sendDiffering(l, &marked, theirs)
	c.askFor(l, m, same)
}

// sendDiffering sends the records of marked buckets that theirs lacks or has
// otherwise, and returns the hashes of ids that both have alike.
func (c *Controller) sendDiffering(l *link, marked *bucketSet, theirs map[uint32]uint32) map[uint32]bool {
	same := map[uint32]bool{}
	var records []wire.MemberRecord
	for _, e := range c.table.inBuckets(marked) {
		id := shortID(e.rec.ID)
		hash, has := theirs[id]
		if has && hash == uint32(e.hash) {
			same[id] = true
			continue
		}
		records = append(records, e.rec)
	}
	c.sendRecords(l, records)
	return same
}

func (c *Controller) askFor(l *link, m wire.BucketSummaries, same map[uint32]bool) {
	var want wire.RecordRequest
	n := 0
	for _, b := range m.Buckets {
		var ids []byte
		for at := 0; at < len(b.Entries) && n < wire.MaxRequestedIDs; at += entryBytes {
			id := binary.BigEndian.Uint32(b.Entries[at:])
			if !same[id] {
				ids = binary.BigEndian.AppendUint32(ids, id)
				n++
			}
		}
		if len(ids) > 0 {
			want.Buckets = append(want.Buckets, wire.RecordRequestBucket{Index: b.Index, IDs: ids})
		}
	}
	if n > 0 {
		c.send(l.peer, want)
	}
}

// want answers with the records asked for.
func (c *Controller) want(now time.Time, l *link, m wire.RecordRequest) {
	var marked bucketSet
	ids := map[uint32]bool{}
	for _, b := range m.Buckets {
		if int(b.Index) >= wire.DigestBucketCount || len(b.IDs)%shortHashBytes != 0 || len(ids) > wire.MaxRequestedIDs {
			c.recordRarely(now, event.MemberMalformed, string(l.peer), "wanted records out of bounds")
			return
		}
		marked[b.Index] = true
		for at := 0; at < len(b.IDs); at += shortHashBytes {
			ids[binary.BigEndian.Uint32(b.IDs[at:])] = true
		}
	}
	var records []wire.MemberRecord
	for _, e := range c.table.inBuckets(&marked) {
		if ids[shortID(e.rec.ID)] {
			records = append(records, e.rec)
		}
	}
	c.sendRecords(l, records)
}

// sendRecords sends up to one exchange's worth of records.
func (c *Controller) sendRecords(l *link, records []wire.MemberRecord) {
	if len(records) == 0 {
		return
	}
	records = records[:min(len(records), recordsPerExchange)]
	c.send(l.peer, wire.Rumours{Records: records, Repair: true})
}
