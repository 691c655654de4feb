package quarantine

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Intervals and limits of the exchange of records with peers.
const (
	// roundInterval is the time between two rounds. In each round a node compares its
	// records with some neighbours, which updates nodes that were down, isolated or
	// suspended. Nodes have three seconds to learn of a quarantined request.
	roundInterval = time.Second
	// peersPerRound is the number of neighbours in a round, in rotation. In a fleet of ten
	// a node has four neighbours and is the neighbour of four others, so it talks to all of
	// them within two rounds.
	peersPerRound = 2
	// suspectRoundEvery is the number of rounds after which records of suspects are
	// compared too. Updates on suspects are sent at once, and quarantined requests are not
	// among these records.
	suspectRoundEvery = 3
	// initialQueryRounds is the number of rounds in which a node without records queries
	// its peers after its start or a pause, as they may have some.
	initialQueryRounds = 5
	// sendRate and sendBurst limit the records sent to peers. 100 a second take about 3 KB
	// of the 7 KB that a node may send for control; the burst covers a crash with 18
	// requests in flight sent to 14 neighbours, four times over.
	sendRate  = 100
	sendBurst = 1024
	// reservedForUpdates and reservedForQuarantined are the records reserved for more
	// important messages: comparisons of suspects leave room for updates on new ones, and
	// both leave room for quarantined requests, in case a caller sends new crashing
	// requests without limit.
	reservedForUpdates     = 512
	reservedForQuarantined = 128
	// maxDirectOwners is the size of the largest service whose nodes notify all others
	// directly. Relaying between neighbours sends each record log n times as often, but in
	// a larger service a node would have to send too many direct messages after a crash.
	maxDirectOwners = 64
	// expireInterval is the time between two scans for expired records.
	expireInterval = 10 * time.Second
)

// gossip is the state of the exchange with peers.
type gossip struct {
	nextRound time.Time
	// queryRounds counts the remaining rounds in which a node without records queries its
	// peers.
	queryRounds int
	// round counts the rounds.
	round      int
	nextExpiry time.Time
	// budget limits the records sent.
	budget     tokenBucket
	neighbours neighbours
	contacts   contacts
}

// neighbours are a node's neighbours on both rings, as of a revision of the fleet's view.
type neighbours struct {
	revision uint64
	known    bool
	// fleet holds the neighbours among all nodes, service those among the nodes of this
	// node's service, or all of its nodes. relay reports whether updates of peers are
	// passed on to service.
	fleet, service []model.Instance
	relay          bool
	// owners are the nodes of this node's service, admitting those of them that are neither
	// leaving nor evacuated.
	owners, admitting []model.InstanceID
}

// Handle implements control.Controller.
func (q *Quarantine) Handle(now time.Time, ev control.Event) []control.Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []control.Action
	switch ev.(type) {
	case control.Paused:
		q.gossip.queryRounds = initialQueryRounds
	case control.SuspectsChanged:
		out = q.sendUpdates(now, out)
		out = q.sendLeases(now, out)
	case control.Tick:
		if share, known := q.slotUse(now); known {
			q.observeUse(share, now.Sub(q.lastTick))
		}
		q.lastTick = now
		q.updateFragile(now)
		q.expireLeases(now)
		out = q.sendUpdates(now, out)
		out = q.sendLeases(now, out)
		out = q.runRound(now, out)
		q.expire(now)
	}
	for _, rec := range q.pendingLog {
		out = append(out, rec)
	}
	q.pendingLog = nil
	return out
}

// expire drops old records and reclassifies the others, when a scan is due.
func (q *Quarantine) expire(now time.Time) {
	if now.Before(q.gossip.nextExpiry) {
		return
	}
	q.gossip.nextExpiry = now.Add(expireInterval)
	q.gossip.contacts.expire(now)
	q.table.expire(now)
	q.classify(now, "forgotten")
}

// sendUpdates sends the neighbours the records that they have not received yet.
func (q *Quarantine) sendUpdates(now time.Time, out []control.Action) []control.Action {
	if q.Empty() {
		q.gossip.contacts.failed = nil
		return out
	}
	n := q.findNeighbours()
	to := q.withRecentPeers(now, n.fleet, true)
	if q.table.hasUnsentQuarantinedHere() {
		to = union(to, n.service)
	}
	out = q.sendRecords(now, out, true, to, 0)
	out = q.sendRecords(now, out, false, q.withRecentPeers(now, n.service, false), reservedForQuarantined)
	return q.search(now, out)
}

// sendRecords sends records of one kind while the budget stays above reserved.
func (q *Quarantine) sendRecords(
	now time.Time, out []control.Action, fleetWide bool, to []model.Instance, reserved int,
) []control.Action {
	if len(to) == 0 {
		return out
	}
	limit := min(q.sendable(now, reserved)/len(to), wire.MaxSuspects)
	records := q.table.takeUnsent(fleetWide, limit)
	if len(records) == 0 {
		return out
	}
	q.gossip.budget.take(len(records) * len(to))
	update := q.newUpdate(fleetWide)
	appendRecords(now, records, &update)
	for _, peer := range to {
		out = q.send(now, out, control.SendSuspectUpdate{To: peer, Update: update})
	}
	return out
}

// sendable returns how many records may be sent now so that reserved ones remain in the
// budget.
func (q *Quarantine) sendable(now time.Time, reserved int) int {
	return max(int(q.gossip.budget.available(now, sendRate, sendBurst))-reserved, 0)
}

// newUpdate returns an update without records.
func (q *Quarantine) newUpdate(fleetWide bool) wire.SuspectUpdate {
	u := wire.SuspectUpdate{From: q.self.ID}
	if !fleetWide {
		u.Service = q.self.Service
	}
	return u
}

// comparison returns an update with digests, which a peer compares with its own.
func (q *Quarantine) comparison(fleetWide bool) wire.SuspectUpdate {
	u := q.newUpdate(fleetWide)
	u.Compare = true
	u.Digests = q.table.digests(fleetWide)
	return u
}

// runRound compares the records with some neighbours when a round is due.
func (q *Quarantine) runRound(now time.Time, out []control.Action) []control.Action {
	g := &q.gossip
	if now.Before(g.nextRound) || q.Empty() && g.queryRounds == 0 {
		return out
	}
	n := q.findNeighbours()
	if len(n.fleet) == 0 {
		return out
	}
	g.nextRound = now.Add(roundInterval)
	query := g.queryRounds > 0
	g.queryRounds = max(g.queryRounds-1, 0)
	g.round++
	if query || q.table.hasRecords(true) {
		out = q.compare(now, out, true, n.fleet, g.round)
	}
	if query || g.round%suspectRoundEvery == 0 && q.table.hasRecords(false) {
		out = q.compare(now, out, false, n.service, g.round/suspectRoundEvery)
	}
	return out
}

// compare compares the records of one kind with some of the peers, in rotation, and with
// some recently seen peers if a neighbour may be down.
func (q *Quarantine) compare(
	now time.Time, out []control.Action, fleetWide bool, peers []model.Instance, turn int,
) []control.Action {
	for i := range min(peersPerRound, len(peers)) {
		to := peers[(turn*peersPerRound+i)%len(peers)]
		out = q.send(now, out, control.SendSuspectUpdate{To: to, Update: q.comparison(fleetWide)})
	}
	if q.gossip.contacts.peerFailedRecently(now) {
		return q.compareWithRecent(now, out, fleetWide)
	}
	return out
}

// findNeighbours returns the neighbours in the current fleet view.
func (q *Quarantine) findNeighbours() *neighbours {
	n := &q.gossip.neighbours
	fleet := q.fleet()
	if fleet == nil || n.known && n.revision == fleet.Revision {
		return n
	}
	*n = neighbours{revision: fleet.Revision, known: true}
	var all []model.InstanceID
	for i := range fleet.Instances {
		in := &fleet.Instances[i]
		if in.ID != q.self.ID && !q.eligible(in, true) {
			continue
		}
		all = append(all, in.ID)
		if in.Service == q.self.Service {
			n.owners = append(n.owners, in.ID)
			if in.State < model.StateLeaving && !fleet.IsEvacuated(in.DataCentre) {
				n.admitting = append(n.admitting, in.ID)
			}
		}
	}
	n.fleet = instances(fleet, ringNeighbours(q.self.ID, all))
	n.relay = len(n.owners) > maxDirectOwners
	if n.relay {
		n.service = instances(fleet, ringNeighbours(q.self.ID, n.owners))
		return n
	}
	for _, in := range instances(fleet, n.owners) {
		if in.ID != q.self.ID {
			n.service = append(n.service, in)
		}
	}
	return n
}

func instances(f *model.Fleet, ids []model.InstanceID) []model.Instance {
	out := make([]model.Instance, 0, len(ids))
	for _, id := range ids {
		if in, known := f.Instance(id); known {
			out = append(out, in)
		}
	}
	return out
}

// HandleUpdate merges a peer's update. If the peer requests a comparison it returns this
// node's digests and its records in the buckets in which the two nodes differ. It may be
// called by any goroutine.
func (q *Quarantine) HandleUpdate(now time.Time, update wire.SuspectUpdate) wire.SuspectUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seen(update.From)
	fleetWide := update.Service == ""
	if !fleetWide && update.Service != q.self.Service {
		return q.newUpdate(true)
	}
	q.mergeUpdate(now, update, fleetWide)
	if !fleetWide {
		q.mergeLeases(now, update)
	}
	if !update.Compare {
		return q.newUpdate(fleetWide)
	}
	reply := q.comparison(fleetWide)
	if buckets, differ := differingBuckets(reply.Digests, update.Digests); differ {
		appendRecords(now, q.selectRecords(now, fleetWide, buckets), &reply)
	}
	return reply
}

// HandleReply merges a peer's reply. If the two nodes still differ it returns the records
// that the peer is missing.
func (q *Quarantine) HandleReply(now time.Time, reply wire.SuspectUpdate) (more wire.SuspectUpdate, differ bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seen(reply.From)
	fleetWide := reply.Service == ""
	if !reply.Compare || !fleetWide && reply.Service != q.self.Service {
		return wire.SuspectUpdate{}, false
	}
	q.mergeUpdate(now, reply, fleetWide)
	buckets, differ := differingBuckets(q.table.digests(fleetWide), reply.Digests)
	if !differ {
		return wire.SuspectUpdate{}, false
	}
	more = q.newUpdate(fleetWide)
	appendRecords(now, q.selectRecords(now, fleetWide, buckets), &more)
	return more, len(more.Records) > 0
}

// selectRecords returns the records in some buckets for a peer whose records differ there.
// If one message or the budget does not hold all, it returns the most severe ones and a
// rotating selection of the rest.
func (q *Quarantine) selectRecords(now time.Time, fleetWide bool, buckets [wire.SuspectBuckets]bool) []*record {
	all := q.table.matching(func(r *record) bool { return r.fleetWide == fleetWide && buckets[wire.SuspectBucket(r.content)] })
	reserved := reservedForUpdates
	if fleetWide {
		reserved = 0
	}
	limit := min(wire.MaxSuspects, q.sendable(now, reserved))
	if len(all) > limit {
		head := limit / 2
		rest := all[head:]
		q.rotation = (q.rotation + limit - head) % len(rest)
		rest = append(rest[q.rotation:len(rest):len(rest)], rest[:q.rotation]...)
		all = append(all[:head:head], rest[:limit-head]...)
	}
	q.gossip.budget.take(len(all))
	return all
}

// mergeUpdate merges a peer's records.
func (q *Quarantine) mergeUpdate(now time.Time, update wire.SuspectUpdate, fleetWide bool) {
	relay := fleetWide || q.findNeighbours().relay
	for i := range update.Records {
		s := &update.Records[i]
		q.table.merge(now, s, crashesOf(now, &update, s), fleetWide, relay)
	}
	q.classify(now, "update from "+string(update.From))
	if len(update.Records) > 0 {
		q.wake()
	}
}
