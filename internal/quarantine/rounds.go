package quarantine

import (
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Paces of telling peers.
const (
	// roundInterval is the time between two rounds, each of which compares what is known
	// with some neighbours: it tells nodes that were down, cut off or stopped. Nodes have
	// three seconds to learn.
	roundInterval = time.Second
	// perRound is the number of neighbours in a round, in turn. In a fleet of ten a node
	// has four, so that it talks to each within two rounds, and four others to it.
	perRound = 2
	// suspectsEvery is the number of rounds after which suspects are compared too. News of them
	// is told at once, and a request that is put aside is not among them.
	suspectsEvery = 3
	// freshRounds is the number of rounds of a node that knows of no suspect, after its
	// start or a pause: it asks, since others may know of some.
	freshRounds = 5
	// tellRate and tellDepth bound the records told to peers: 100 a second are about 3 KB, of
	// the 7 KB that a node may send for control; the depth is a worker's end with 18 requests
	// in hand, told to 14 neighbours, four times over.
	tellRate  = 100
	tellDepth = 1024
	// keptForTelling and keptForAll are the records that are left for what matters more:
	// comparing suspects leaves room for telling of new ones, and both for telling of what
	// is put aside, when a caller makes up requests that end workers without end.
	keptForTelling = 512
	keptForAll     = 128
	// mostDirect is the greatest service whose nodes tell all others themselves. Passed on
	// from neighbour to neighbour each record is told log n times as often; beyond this
	// size one end would be too many messages for its node.
	mostDirect = 64
	// expireInterval is the time between two looks for records that are too old.
	expireInterval = 10 * time.Second
)

// rounds is the clockwork of telling peers.
type rounds struct {
	next time.Time
	// fresh counts the rounds left in which a node that knows of nothing asks.
	fresh int
	// count counts the rounds.
	count  int
	expire time.Time
	// budget is that of telling, in records.
	budget     allowance
	neighbours neighbours
	contacts   contacts
}

// neighbours are a node's on both rings, as of a revision of the fleet's view.
type neighbours struct {
	revision uint64
	known    bool
	// fleet is of all nodes, service of those of the own service, or all of these; passOn
	// tells that they are told what others told.
	fleet, service []model.Instance
	passOn         bool
	// owners are the nodes of the own service, admitting those of them that do not leave.
	owners, admitting []model.InstanceID
}

// Handle implements control.Controller.
func (q *Quarantine) Handle(now time.Time, ev control.Event) []control.Action {
	q.mu.Lock()
	defer q.mu.Unlock()
	var out []control.Action
	switch ev.(type) {
	case control.Paused:
		q.rounds.fresh = freshRounds
	case control.SuspectsChanged:
		out = q.tell(now, out)
	case control.Tick:
		if part, known := q.usage(now); known {
			q.observe(part, control.TickInterval)
		}
		out = q.tell(now, out)
		out = q.round(now, out)
		q.expire(now)
	}
	for _, n := range q.notes {
		out = append(out, n)
	}
	q.notes = nil
	return out
}

func (q *Quarantine) expire(now time.Time) {
	if now.Before(q.rounds.expire) {
		return
	}
	q.rounds.expire = now.Add(expireInterval)
	q.rounds.contacts.forget(now)
	q.table.expire(now)
	q.judge(now, "forgotten")
}

// tell tells the neighbours what they have not been told yet.
func (q *Quarantine) tell(now time.Time, out []control.Action) []control.Action {
	if q.Empty() {
		q.rounds.contacts.unanswered = nil
		return out
	}
	n := q.findNeighbours()
	to := q.withLatest(now, n.fleet, true)
	if q.table.untoldHere() {
		to = union(to, n.service)
	}
	out = q.tellOf(now, out, true, to, 0)
	out = q.tellOf(now, out, false, q.withLatest(now, n.service, false), keptForAll)
	return q.search(now, out)
}

// tellOf tells of records of one kind, as long as more than kept may be told.
func (q *Quarantine) tellOf(now time.Time, out []control.Action, wide bool, to []model.Instance, kept int) []control.Action {
	if len(to) == 0 {
		return out
	}
	most := min(q.allowed(now, kept)/len(to), wire.MaxSuspects)
	records := q.table.untold(wide, most)
	if len(records) == 0 {
		return out
	}
	q.rounds.budget.take(len(records) * len(to))
	news := q.news(wide)
	put(now, records, &news)
	for _, peer := range to {
		out = q.send(now, out, control.SendSuspectUpdate{To: peer, Update: news})
	}
	return out
}

// allowed returns how many records may be told now so that kept are left.
func (q *Quarantine) allowed(now time.Time, kept int) int {
	return max(int(q.rounds.budget.at(now, tellRate, tellDepth))-kept, 0)
}

// news returns a message without records.
func (q *Quarantine) news(wide bool) wire.SuspectUpdate {
	n := wire.SuspectUpdate{From: q.self.ID}
	if !wide {
		n.Service = q.self.Service
	}
	return n
}

// comparison returns a message that a peer can compare with what it holds.
func (q *Quarantine) comparison(wide bool) wire.SuspectUpdate {
	n := q.news(wide)
	n.Compare = true
	n.Digests = q.table.digests(wide)
	return n
}

// round compares what is known with some neighbours.
func (q *Quarantine) round(now time.Time, out []control.Action) []control.Action {
	r := &q.rounds
	if now.Before(r.next) || q.Empty() && r.fresh == 0 {
		return out
	}
	n := q.findNeighbours()
	if len(n.fleet) == 0 {
		return out
	}
	r.next = now.Add(roundInterval)
	asks := r.fresh > 0
	r.fresh = max(r.fresh-1, 0)
	r.count++
	if asks || q.table.holds(true) {
		out = q.compare(now, out, true, n.fleet, r.count)
	}
	if asks || r.count%suspectsEvery == 0 && q.table.holds(false) {
		out = q.compare(now, out, false, n.service, r.count/suspectsEvery)
	}
	return out
}

// compare compares the records of one kind with some of the peers, others in each turn, and
// with some of those that were heard of last where a neighbour may be gone.
func (q *Quarantine) compare(now time.Time, out []control.Action, wide bool, peers []model.Instance, turn int) []control.Action {
	for i := range min(perRound, len(peers)) {
		to := peers[(turn*perRound+i)%len(peers)]
		out = q.send(now, out, control.SendSuspectUpdate{To: to, Update: q.comparison(wide)})
	}
	if q.rounds.contacts.missing(now) {
		return q.compareLatest(now, out, wide)
	}
	return out
}

// findNeighbours finds the neighbours in the fleet's view.
func (q *Quarantine) findNeighbours() *neighbours {
	n := &q.rounds.neighbours
	fleet := q.fleet()
	if fleet == nil || n.known && n.revision == fleet.Revision {
		return n
	}
	*n = neighbours{revision: fleet.Revision, known: true}
	var all []model.InstanceID
	for i := range fleet.Instances {
		in := &fleet.Instances[i]
		if in.ID != q.self.ID && !q.peer(in, true) {
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
	n.fleet = instances(fleet, ring(q.self.ID, all))
	n.passOn = len(n.owners) > mostDirect
	if n.passOn {
		n.service = instances(fleet, ring(q.self.ID, n.owners))
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

// HandleUpdate takes a peer's news and returns, where the peer wants to compare, this node's
// digests and records of the parts in which the two differ. It is called by any goroutine.
func (q *Quarantine) HandleUpdate(now time.Time, from wire.SuspectUpdate) wire.SuspectUpdate {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heard(from.From)
	wide := from.Service == ""
	if !wide && from.Service != q.self.Service {
		return q.news(true)
	}
	q.merge(now, from, wide)
	if !from.Compare {
		return q.news(wide)
	}
	reply := q.comparison(wide)
	if parts, differ := differing(reply.Digests, from.Digests); differ {
		put(now, q.some(now, wide, parts), &reply)
	}
	return reply
}

// HandleReply takes a peer's answer. When the two still differ it returns what the peer lacks.
func (q *Quarantine) HandleReply(now time.Time, reply wire.SuspectUpdate) (more wire.SuspectUpdate, differ bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heard(reply.From)
	wide := reply.Service == ""
	if !reply.Compare || !wide && reply.Service != q.self.Service {
		return wire.SuspectUpdate{}, false
	}
	q.merge(now, reply, wide)
	parts, differ := differing(q.table.digests(wide), reply.Digests)
	if !differ {
		return wire.SuspectUpdate{}, false
	}
	more = q.news(wide)
	put(now, q.some(now, wide, parts), &more)
	return more, len(more.Records) > 0
}

// some returns records of some parts for a peer that holds others there: the severest, and of
// the rest other ones each time.
func (q *Quarantine) some(now time.Time, wide bool, parts [wire.SuspectBuckets]bool) []*record {
	all := q.table.where(func(r *record) bool { return r.wide == wide && parts[wire.SuspectBucket(r.content)] })
	kept := keptForTelling
	if wide {
		kept = 0
	}
	most := min(wire.MaxSuspects, q.allowed(now, kept))
	if len(all) > most {
		head := most / 2
		rest := all[head:]
		q.shown = (q.shown + most - head) % len(rest)
		rest = append(rest[q.shown:len(rest):len(rest)], rest[:q.shown]...)
		all = append(all[:head:head], rest[:most-head]...)
	}
	q.rounds.budget.take(len(all))
	return all
}

// merge takes a peer's records.
func (q *Quarantine) merge(now time.Time, news wire.SuspectUpdate, wide bool) {
	passOn := wide || q.findNeighbours().passOn
	for i := range news.Records {
		s := &news.Records[i]
		q.table.merge(now, s, endsOf(now, &news, s), wide, passOn)
	}
	q.judge(now, "heard from "+string(news.From))
	if len(news.Records) > 0 {
		q.wake()
	}
}
