package member

import (
	"slices"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Limits on the rumours sent over one link in one tick.
const (
	// urgentBatch bounds the records of leaving and gone instances.
	urgentBatch = 32
	// normalBatch bounds all other records, so that a mass start stays cheap.
	normalBatch = 10
)

// rumour is a changed record to be gossiped, with the peers that already know it.
type rumour struct {
	id      model.InstanceID
	knownBy []model.InstanceID
}

// gossip holds what is to be sent at the next tick.
type gossip struct {
	pending    map[model.InstanceID]*rumour
	urgent     []*rumour
	normal     []*rumour
	suspicions []suspicionRumour
}

type suspicionRumour struct {
	suspicion wire.Suspicion
	from      model.InstanceID
}

func (g *gossip) reset() { *g = gossip{pending: map[model.InstanceID]*rumour{}} }

// queue schedules a changed record for gossip; peer is the sender (empty: this node).
func (g *gossip) queue(r wire.MemberRecord, peer model.InstanceID) {
	urgent := !serving(r.State)
	old := g.pending[r.ID]
	if old != nil && urgent && slices.Contains(g.normal, old) {
		g.normal = slices.DeleteFunc(g.normal, func(x *rumour) bool { return x == old })
		old = nil
	}
	if old != nil {
		old.knownBy = append(old.knownBy[:0], peer)
		return
	}
	next := &rumour{id: r.ID, knownBy: []model.InstanceID{peer}}
	g.pending[r.ID] = next
	if urgent {
		g.urgent = append(g.urgent, next)
		return
	}
	g.normal = append(g.normal, next)
}

// alsoKnownBy notes that peer sent a record that was already known. The peer needs no
// rumour if the record was the same, that is, complete.
func (g *gossip) alsoKnownBy(id model.InstanceID, peer model.InstanceID, same bool) {
	if r := g.pending[id]; r != nil && same {
		r.knownBy = append(r.knownBy, peer)
	}
}

func (g *gossip) pendingFor(id model.InstanceID) *rumour { return g.pending[id] }

// take removes and returns the next batch of rumours.
func (g *gossip) take() []*rumour {
	batch := takeFront(&g.urgent, urgentBatch)
	batch = append(batch, takeFront(&g.normal, normalBatch)...)
	for _, r := range batch {
		delete(g.pending, r.id)
	}
	return batch
}

func takeFront(queue *[]*rumour, limit int) []*rumour {
	n := min(limit, len(*queue))
	batch := slices.Clone((*queue)[:n])
	*queue = (*queue)[n:]
	if len(*queue) == 0 {
		*queue = nil
	}
	return batch
}

// flush sends the next batch over every link whose peer does not know it yet.
func (c *Controller) flush(now time.Time) {
	open := c.links.open()
	if len(open) == 0 || len(c.gossip.pending)+len(c.gossip.suspicions) == 0 {
		return
	}
	batch := c.gossip.take()
	n := min(len(c.gossip.suspicions), wire.MaxSuspicions)
	suspicions := c.gossip.suspicions[:n]
	c.gossip.suspicions = slices.Clone(c.gossip.suspicions[n:])
	for _, l := range open {
		m := wire.Rumours{Records: c.recordsFor(l.peer, batch), Suspicions: suspicionsFor(l.peer, suspicions)}
		if len(m.Records)+len(m.Suspicions) > 0 {
			c.send(l.peer, m)
		}
	}
}

func (c *Controller) recordsFor(peer model.InstanceID, batch []*rumour) []wire.MemberRecord {
	var out []wire.MemberRecord
	for _, b := range batch {
		r, ok := c.table.get(b.id)
		if ok && !slices.Contains(b.knownBy, peer) {
			out = append(out, r)
		}
	}
	return out
}

func suspicionsFor(peer model.InstanceID, suspicions []suspicionRumour) []wire.Suspicion {
	var out []wire.Suspicion
	for _, s := range suspicions {
		if s.from != peer {
			out = append(out, s.suspicion)
		}
	}
	return out
}

// receiveRumours merges a peer's rumours. Where this node has a newer announcement of an
// instance, it replies with its record. Records from a digest exchange are gossiped
// further, except serving instances that were unknown here: that this node missed them
// does not imply that others did.
func (c *Controller) receiveRumours(now time.Time, l *link, m wire.Rumours) {
	if len(m.Records) > wire.MaxMemberRecords || len(m.Suspicions) > wire.MaxSuspicions {
		c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "too many rumours in one message")
		return
	}
	var newer []wire.MemberRecord
	for _, r := range m.Records {
		if !wellFormed(r) {
			c.recordRateLimited(now, event.MemberMalformed, string(l.peer), "rumour has a record with an invalid field")
			continue
		}
		_, known := c.table.get(r.ID)
		merged := c.mergeRecord(now, r, l.peer, m.Repair && !known && serving(r.State))
		if merged.stale && c.gossip.pendingFor(r.ID) == nil {
			newer = append(newer, merged.after)
		}
	}
	if len(newer) > 0 {
		c.send(l.peer, wire.Rumours{Records: newer})
	}
	for _, s := range m.Suspicions {
		c.receiveSuspicion(now, s, l.peer)
	}
}
