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
	// freshRounds is the number of rounds of a node that knows of no suspect, after its
	// start or a pause: it asks, since others may know of some.
	freshRounds = 5
	// tellRate and tellDepth bound the records told to neighbours: 64 a second are about
	// 4 KB, of the 7 KB that a node may send for control; the depth is a worker's end with
	// 18 requests in hand, told to 14 neighbours, four times over.
	tellRate  = 64
	tellDepth = 1024
	// expireInterval is the time between two looks for records that are too old.
	expireInterval = 10 * time.Second
)

// rounds is the clockwork of telling peers.
type rounds struct {
	next time.Time
	// fresh counts the rounds left in which a node that knows of nothing asks.
	fresh int
	// turn counts the neighbours that rounds went to.
	turn       int
	expire     time.Time
	tokens     float64
	tokensAt   time.Time
	neighbours neighbours
}

// neighbours are a node's on both rings, as of a revision of the fleet's view.
type neighbours struct {
	revision uint64
	known    bool
	// fleet is of all nodes, service of those of the own service.
	fleet, service []model.Instance
	// owners are the nodes of the own service.
	owners []model.InstanceID
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
	q.table.expire(now)
	q.count()
}

// tell tells the neighbours what they have not been told yet.
func (q *Quarantine) tell(now time.Time, out []control.Action) []control.Action {
	if q.size.Load() == 0 {
		return out
	}
	n := q.findNeighbours()
	out = q.tellOf(now, out, true, n.fleet)
	return q.tellOf(now, out, false, n.service)
}

func (q *Quarantine) tellOf(now time.Time, out []control.Action, wide bool, to []model.Instance) []control.Action {
	if len(to) == 0 {
		return out
	}
	most := min(q.allowed(now)/len(to), wire.MaxSuspects)
	records := q.table.untold(wide, most)
	if len(records) == 0 {
		return out
	}
	q.rounds.tokens -= float64(len(records) * len(to))
	news := q.news(wide)
	news.Records = suspects(now, records)
	for _, peer := range to {
		out = append(out, control.TellSuspects{To: peer, News: news})
	}
	return out
}

// allowed returns how many records may be told now.
func (q *Quarantine) allowed(now time.Time) int {
	r := &q.rounds
	if r.tokensAt.IsZero() {
		r.tokens, r.tokensAt = tellDepth, now
	}
	r.tokens = min(r.tokens+now.Sub(r.tokensAt).Seconds()*tellRate, tellDepth)
	r.tokensAt = now
	return max(int(r.tokens), 0)
}

// news returns a message without records.
func (q *Quarantine) news(wide bool) wire.SuspectNews {
	n := wire.SuspectNews{From: q.self.ID, Digest: q.table.digest(wide)}
	if !wide {
		n.Service = q.self.Service
	}
	return n
}

// round compares what is known with some neighbours.
func (q *Quarantine) round(now time.Time, out []control.Action) []control.Action {
	r := &q.rounds
	if now.Before(r.next) || q.size.Load() == 0 && r.fresh == 0 {
		return out
	}
	n := q.findNeighbours()
	if len(n.fleet) == 0 {
		return out
	}
	r.next = now.Add(roundInterval)
	asks := r.fresh > 0
	r.fresh = max(r.fresh-1, 0)
	for i := range perRound {
		for _, of := range []struct {
			wide bool
			ring []model.Instance
		}{{true, n.fleet}, {false, n.service}} {
			if i < len(of.ring) && (asks || q.table.holds(of.wide)) {
				to := of.ring[(r.turn+i)%len(of.ring)]
				out = append(out, control.TellSuspects{To: to, News: q.news(of.wide)})
			}
		}
	}
	r.turn += perRound
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
		if in.State == model.StateGone || in.PeerAddress == "" && in.ID != q.self.ID {
			continue
		}
		all = append(all, in.ID)
		if in.Service == q.self.Service {
			n.owners = append(n.owners, in.ID)
		}
	}
	n.fleet = instances(fleet, ring(q.self.ID, all))
	n.service = instances(fleet, ring(q.self.ID, n.owners))
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

// Answer takes a peer's news and returns this node's: its digest, and records when the two
// still differ. It is called by any goroutine.
func (q *Quarantine) Answer(now time.Time, from wire.SuspectNews) wire.SuspectNews {
	q.mu.Lock()
	defer q.mu.Unlock()
	wide := from.Service == ""
	if !wide && from.Service != q.self.Service {
		return q.news(true)
	}
	q.merge(now, from, wide)
	reply := q.news(wide)
	if reply.Digest != from.Digest {
		reply.Records = q.some(now, wide)
	}
	return reply
}

// Told takes a peer's answer. When the two still differ it returns what the peer lacks.
func (q *Quarantine) Told(now time.Time, reply wire.SuspectNews) (more wire.SuspectNews, differ bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	wide := reply.Service == ""
	if !wide && reply.Service != q.self.Service {
		return wire.SuspectNews{}, false
	}
	q.merge(now, reply, wide)
	more = q.news(wide)
	if more.Digest == reply.Digest || !q.table.holds(wide) {
		return wire.SuspectNews{}, false
	}
	more.Records = q.some(now, wide)
	return more, len(more.Records) > 0
}

// some returns records for a peer that holds others: the severest, and of the rest another
// part each time.
func (q *Quarantine) some(now time.Time, wide bool) []wire.Suspect {
	all := q.table.where(func(r *record) bool { return r.wide == wide })
	most := min(wire.MaxSuspects, q.allowed(now))
	if len(all) > most {
		head := most / 2
		rest := all[head:]
		q.shown = (q.shown + most - head) % len(rest)
		rest = append(rest[q.shown:len(rest):len(rest)], rest[:q.shown]...)
		all = append(all[:head:head], rest[:most-head]...)
	}
	q.rounds.tokens -= float64(len(all))
	return suspects(now, all)
}

// merge takes a peer's records.
func (q *Quarantine) merge(now time.Time, news wire.SuspectNews, wide bool) {
	for _, s := range news.Records {
		putAside, released := q.table.merge(now, s, wide)
		q.noteChange(s.Content, putAside, released, "heard from "+string(news.From))
	}
	q.count()
	if len(news.Records) > 0 {
		q.wake()
	}
}
