package member

import (
	"encoding/binary"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// Interval between two digest exchanges that this node starts.
	digestMin = 5 * time.Second
	digestMax = 10 * time.Second
	// Delay before the next exchange after the snapshot, or when an exchange found more
	// differences than it could compare.
	repairMin = time.Second
	repairMax = 2 * time.Second
	// firstDigestSpread is the time within which a new link has its first digest
	// exchange.
	firstDigestSpread = 3 * time.Second
	// snapshotChunkRecords is the number of records in one snapshot chunk.
	snapshotChunkRecords = 512
	// snapshotInterval is the minimum time between a chunk and the request for the next
	// one.
	snapshotInterval = 150 * time.Millisecond
	// snapshotTimeout is the time after which an unanswered request is repeated.
	snapshotTimeout = time.Second
	// maxPartialReplies bounds the replies from peers without the whole fleet. When it is
	// reached, all nodes are assumed to have started together, and digests complete the
	// view.
	maxPartialReplies = 5
	// snapshotsPerSecond bounds the rate of chunks that a node serves.
	snapshotsPerSecond = 2
	// digestsPerSecond bounds the differing digests that a node answers, so that a healed
	// partition is repaired steadily and not all at once.
	digestsPerSecond = 2
	// recordsPerExchange bounds the records that one exchange sends. The exchange compares
	// as many buckets as hold this number of records on average, but at least minSummaries
	// and at most wire.MaxSummaries. Later exchanges cover the rest.
	recordsPerExchange = 128
	minSummaries       = 4
	// shortHashBytes is the size of a hash in a summary.
	shortHashBytes = 4
	// entryBytes is the size of a record's entry in a summary: the hashes of its id and
	// of its content.
	entryBytes = 2 * shortHashBytes
)

// synchronizer loads a peer's view at startup and later repairs what rumours missed.
type synchronizer struct {
	// next is the time of the next digest exchange.
	next time.Time
	// loaded reports whether the snapshot is complete.
	loaded bool
	// startedAt is when this node first had a link to request chunks over; zero before.
	startedAt time.Time
	// lastID is the last id received; partialReplies counts the replies of peers without
	// the whole fleet.
	lastID          model.InstanceID
	partialReplies  int
	nextRequest     time.Time
	snapshotLimiter rateLimiter
	digestLimiter   rateLimiter
}

// rateLimiter counts events within a one-second window.
type rateLimiter struct {
	windowStart time.Time
	used        int
}

// allow reports whether one more event is within limit a second, and counts it.
func (r *rateLimiter) allow(now time.Time, limit int) bool {
	if now.Sub(r.windowStart) >= time.Second {
		*r = rateLimiter{windowStart: now}
	}
	if r.used >= limit {
		return false
	}
	r.used++
	return true
}

func (c *Controller) tickSync(now time.Time) {
	if !c.sync.loaded {
		c.tickSnapshot(now)
		return
	}
	for _, l := range c.links.open() {
		if !l.firstDigestAt.IsZero() && now.After(l.firstDigestAt) {
			l.firstDigestAt = time.Time{}
			c.send(l.peer, wire.Digest{Root: c.table.root})
		}
	}
	if now.Before(c.sync.next) {
		return
	}
	c.sync.next = now.Add(c.randomBetween(digestMin, digestMax))
	if open := c.links.open(); len(open) > 0 {
		l := open[c.rng.IntN(len(open))]
		c.send(l.peer, wire.Digest{Root: c.table.root})
	}
}

// startSnapshot requests the first snapshot chunk, once.
func (c *Controller) startSnapshot(now time.Time) {
	if c.sync.loaded || !c.sync.startedAt.IsZero() {
		return
	}
	c.sync.startedAt = now
	c.requestChunk(now)
}

// requestChunk requests the next chunk from a random peer. Chunks are ordered by id, so
// any peer can continue where another stopped.
func (c *Controller) requestChunk(now time.Time) {
	c.sync.nextRequest = now.Add(snapshotTimeout + c.randomBetween(0, snapshotTimeout))
	open := c.links.open()
	if len(open) == 0 {
		return
	}
	peer := open[c.rng.IntN(len(open))].peer
	c.send(peer, wire.SnapshotRequest{After: c.sync.lastID})
}

// tickSnapshot requests the next chunk when it is due.
func (c *Controller) tickSnapshot(now time.Time) {
	if !c.sync.startedAt.IsZero() && !now.Before(c.sync.nextRequest) {
		c.requestChunk(now)
	}
}

// serveSnapshot replies with one chunk. Requests over the rate limit are dropped; the
// requester repeats them, possibly to another node. A node without the whole fleet
// replies that its view is partial.
func (c *Controller) serveSnapshot(now time.Time, l *link, m wire.SnapshotRequest) {
	if !c.sync.loaded {
		c.send(l.peer, wire.SnapshotChunk{After: m.After, Partial: true})
		return
	}
	if !c.sync.snapshotLimiter.allow(now, snapshotsPerSecond) {
		return
	}
	records, last := c.table.after(m.After, snapshotChunkRecords)
	c.send(l.peer, wire.SnapshotChunk{After: m.After, Records: records, Last: last})
}

// receiveSnapshotChunk merges a chunk. The fleet knows its records already, so they are
// not gossiped.
func (c *Controller) receiveSnapshotChunk(now time.Time, l *link, m wire.SnapshotChunk) {
	if c.sync.loaded || m.After != c.sync.lastID {
		return
	}
	if len(m.Records) > wire.MaxMemberRecords {
		c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "snapshot chunk has too many records")
		return
	}
	for _, r := range m.Records {
		c.mergeWithoutGossip(now, l, r)
		c.sync.lastID = r.ID
	}
	if m.Partial {
		c.sync.partialReplies++
	}
	if !m.Last && c.sync.partialReplies < maxPartialReplies {
		c.sync.nextRequest = now.Add(c.randomBetween(snapshotInterval, 2*snapshotInterval))
		return
	}
	c.sync.loaded = true
	c.sync.next = now.Add(c.randomBetween(repairMin, repairMax))
	c.record(event.SnapshotLoaded, string(l.peer), "")
}

// mergeWithoutGossip merges a record without gossiping it.
func (c *Controller) mergeWithoutGossip(now time.Time, l *link, r wire.MemberRecord) {
	if !wellFormed(r) {
		c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "record has an invalid field")
		return
	}
	c.mergeRecord(now, r, l.peer, true)
}

// receiveDigest replies with this node's bucket hashes if the roots differ.
func (c *Controller) receiveDigest(now time.Time, l *link, m wire.Digest) {
	if !c.sync.loaded || m.Root == c.table.root || !c.sync.digestLimiter.allow(now, digestsPerSecond) {
		return
	}
	hashes := make([]byte, 0, wire.DigestBucketCount*shortHashBytes)
	for _, h := range c.table.buckets {
		hashes = binary.BigEndian.AppendUint32(hashes, uint32(h))
	}
	c.send(l.peer, wire.DigestBuckets{Hashes: hashes})
}

// receiveDigestBuckets replies with summaries of the buckets that differ, starting at a
// random one.
func (c *Controller) receiveDigestBuckets(now time.Time, l *link, m wire.DigestBuckets) {
	if len(m.Hashes) != wire.DigestBucketCount*shortHashBytes {
		c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "digest has the wrong length")
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
		c.sync.next = now.Add(c.randomBetween(repairMin, repairMax))
	}
	c.send(l.peer, wire.BucketSummaries{Buckets: c.summaries(&marked)})
}

// summariesPerExchange returns the number of buckets that one exchange compares in full.
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

// receiveBucketSummaries sends the records that the peer is missing or has in another
// version, and requests those that this node is missing or has in another version.
func (c *Controller) receiveBucketSummaries(now time.Time, l *link, m wire.BucketSummaries) {
	if len(m.Buckets) > wire.MaxSummaries {
		c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "too many bucket summaries")
		return
	}
	var marked bucketSet
	theirs := map[uint32]uint32{}
	for _, b := range m.Buckets {
		if int(b.Index) >= wire.DigestBucketCount || len(b.Entries)%entryBytes != 0 {
			c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "bucket summary has an invalid index or length")
			return
		}
		marked[b.Index] = true
		for at := 0; at < len(b.Entries); at += entryBytes {
			theirs[binary.BigEndian.Uint32(b.Entries[at:])] = binary.BigEndian.Uint32(b.Entries[at+shortHashBytes:])
		}
	}
	same := c.sendDiffering(l, &marked, theirs)
	c.requestDiffering(l, m, same)
}

// sendDiffering sends the records of marked buckets that are missing from theirs or
// differ, and returns the short ids of the records that are equal on both sides.
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

func (c *Controller) requestDiffering(l *link, m wire.BucketSummaries, same map[uint32]bool) {
	var request wire.RecordRequest
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
			request.Buckets = append(request.Buckets, wire.RecordRequestBucket{Index: b.Index, IDs: ids})
		}
	}
	if n > 0 {
		c.send(l.peer, request)
	}
}

// receiveRecordRequest replies with the requested records.
func (c *Controller) receiveRecordRequest(now time.Time, l *link, m wire.RecordRequest) {
	var marked bucketSet
	ids := map[uint32]bool{}
	for _, b := range m.Buckets {
		if int(b.Index) >= wire.DigestBucketCount || len(b.IDs)%shortHashBytes != 0 || len(ids) > wire.MaxRequestedIDs {
			c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "record request has an invalid index or length")
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

// sendRecords sends up to recordsPerExchange records.
func (c *Controller) sendRecords(l *link, records []wire.MemberRecord) {
	if len(records) == 0 {
		return
	}
	records = records[:min(len(records), recordsPerExchange)]
	c.send(l.peer, wire.Rumours{Records: records, Repair: true})
}
