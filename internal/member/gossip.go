package member

import (
	"slices"
	"time"

	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// Rumours of one tick on one link.
const (
	// urgentBatch bounds those that an instance leaves or is gone.
	urgentBatch = 32
	// normalBatch bounds all others, so that a mass start stays cheap.
	normalBatch = 10
)

// rumour is a changed record that is to be told, with the peers who know it.
type rumour struct {
	id      model.InstanceID
	knownBy []model.InstanceID
}

// gossip holds what is to be told at the next tick.
type gossip struct {
	pending map[model.InstanceID]*rumour
	urgent  []*rumour
	normal  []*rumour
	accused []accusationRumour
}

type accusationRumour struct {
	accusation wire.Suspicion
	from       model.InstanceID
}

func (g *gossip) init() { *g = gossip{pending: map[model.InstanceID]*rumour{}} }

// queue notes that r is news, told by peer (empty: by this node).
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

// alsoKnownBy notes that peer told what was already known; the same tells
// whether it told all of it.
func (g *gossip) alsoKnownBy(id model.InstanceID, peer model.InstanceID, same bool) {
	if r := g.pending[id]; r != nil && same {
		r.knownBy = append(r.knownBy, peer)
	}
}

func (g *gossip) pendingFor(id model.InstanceID) *rumour { return g.pending[id] }

// take removes the next batch of rumours.
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

// flush sends the next batch to every link whose peer does not know it.
func (c *Controller) flush(now time.Time) {
	open := c.links.open()
	if len(open) == 0 || len(c.gossip.pending)+len(c.gossip.accused) == 0 {
		return
	}
	batch := c.gossip.take()
	n := min(len(c.gossip.accused), wire.MaxSuspicions)
	accused := c.gossip.accused[:n]
	c.gossip.accused = slices.Clone(c.gossip.accused[n:])
	for _, l := range open {
		m := wire.Rumours{Records: c.recordsFor(l.peer, batch), Suspicions: accusationsFor(l.peer, accused)}
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

func accusationsFor(peer model.InstanceID, accused []accusationRumour) []wire.Suspicion {
	var out []wire.Suspicion
	for _, a := range accused {
		if a.from != peer {
			out = append(out, a.accusation)
		}
	}
	return out
}

// rumours takes a peer's rumours. Where this node knows a newer word of an
// owner, it tells the peer. What a digest exchange brought is told on, but for
// instances that were not known at all: that this node lacked them says nothing
// of others.
func (c *Controller) rumours(now time.Time, l *link, m wire.Rumours) {
	if len(m.Records) > wire.MaxMemberRecords || len(m.Suspicions) > wire.MaxSuspicions {
		c.recordRarely(now, event.MemberMalformed, string(l.peer), "too many rumours in one message")
		return
	}
	var newer []wire.MemberRecord
	for _, r := range m.Records {
		if !wellFormed(r) {
			c.recordRarely(now, event.MemberMalformed, string(l.peer), "record out of bounds")
			continue
		}
		_, known := c.table.get(r.ID)
		done := c.learn(now, r, l.peer, m.Repair && !known && serving(r.State))
		if done.behind && c.gossip.pendingFor(r.ID) == nil {
			newer = append(newer, done.now)
		}
	}
	if len(newer) > 0 {
		c.send(l.peer, wire.Rumours{Records: newer})
	}
	for _, a := range m.Suspicions {
		c.accusation(now, a, l.peer)
	}
}
