package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Limits of the search for peers that reply. Instances in the fleet's view may be down; a
// node whose neighbours all fail to reply goes on with the next ones on the ring.
const (
	// searchFanOut is the number of other peers contacted for each one that did not reply.
	// At this rate a search passes hundreds of dead peers within a few timeouts.
	searchFanOut = 3
	// searchCooldown is how long a search skips a peer after any message to it.
	searchCooldown = 2 * time.Second
	// searchBurst and searchRate limit the messages of searches: enough to reach a fleet of
	// some hundreds at once, then as many a second as keep the replies below the 7 KB/s
	// that a node may send for control.
	searchBurst = 256
	searchRate  = 16
	// unresponsivePeriod is the time after a peer's failure to reply in which recently seen
	// peers are contacted in addition to the neighbours.
	unresponsivePeriod = 10 * time.Second
	// maxRecentPeers bounds the list of recently seen peers.
	maxRecentPeers = 8
)

// contact identifies a peer and the kind of records that are exchanged with it: those that
// the whole fleet keeps, or those that only the nodes of one service keep.
type contact struct {
	peer      model.InstanceID
	fleetWide bool
}

// contacts tracks which peers reply. The zero value is ready.
type contacts struct {
	// lastSent is the time of the last message to each contact.
	lastSent map[contact]time.Time
	// failed lists contacts that did not reply and for which no substitutes have been
	// contacted yet.
	failed []contact
	// lastFailure is when a peer last failed to reply.
	lastFailure time.Time
	// recent lists the most recently seen peers, newest first.
	recent []model.InstanceID
	// budget limits the messages of searches.
	budget tokenBucket
}

// SendFailed records that a peer did not reply to an update.
func (q *Quarantine) SendFailed(now time.Time, a control.SendSuspectUpdate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &q.gossip.contacts
	c.lastFailure = now
	if len(c.failed) < searchBurst {
		c.failed = append(c.failed, contact{a.To.ID, a.Update.Service == ""})
	}
	if i := slices.Index(c.recent, a.To.ID); i >= 0 {
		c.recent = slices.Delete(c.recent, i, i+1)
	}
	q.wake()
}

// PeerSeen records that calls are exchanged with a peer. It takes no lock while there are
// no records.
func (q *Quarantine) PeerSeen(peer model.InstanceID) {
	if q.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.seen(peer)
}

// seen moves a peer to the front of the recently seen ones.
func (q *Quarantine) seen(peer model.InstanceID) {
	c := &q.gossip.contacts
	switch i := slices.Index(c.recent, peer); {
	case i == 0 || peer == q.self.ID:
		return
	case i > 0:
		c.recent = slices.Delete(c.recent, i, i+1)
	case len(c.recent) == maxRecentPeers:
		c.recent = c.recent[:maxRecentPeers-1]
	}
	c.recent = slices.Insert(c.recent, 0, peer)
}

// peerFailedRecently reports whether a peer failed to reply in the last unresponsivePeriod.
func (c *contacts) peerFailedRecently(now time.Time) bool {
	return !c.lastFailure.IsZero() && now.Sub(c.lastFailure) < unresponsivePeriod
}

// sentTo records a message to a peer.
func (c *contacts) sentTo(now time.Time, to contact) {
	if c.lastSent == nil {
		c.lastSent = map[contact]time.Time{}
	}
	c.lastSent[to] = now
}

// contactedRecently reports whether a message was sent to a contact in the last
// searchCooldown.
func (c *contacts) contactedRecently(now time.Time, to contact) bool {
	at, known := c.lastSent[to]
	return known && now.Sub(at) < searchCooldown
}

// expire drops the times of messages that are older than searchCooldown.
func (c *contacts) expire(now time.Time) {
	for to, at := range c.lastSent {
		if now.Sub(at) >= searchCooldown {
			delete(c.lastSent, to)
		}
	}
}

// allow takes one message out of the search budget and reports whether there was one left.
func (c *contacts) allowSearch(now time.Time) bool {
	if c.budget.available(now, searchRate, searchBurst) < 1 {
		return false
	}
	c.budget.take(1)
	return true
}

// send appends a message to a peer to out.
func (q *Quarantine) send(now time.Time, out []control.Action, a control.SendSuspectUpdate) []control.Action {
	q.gossip.contacts.sentTo(now, contact{a.To.ID, a.Update.Service == ""})
	return append(out, a)
}

// search sends comparisons to substitutes for peers that did not reply: the next ones on
// the ring that were not contacted recently.
func (q *Quarantine) search(now time.Time, out []control.Action) []control.Action {
	c := &q.gossip.contacts
	fleet := q.fleet()
	failed := c.failed
	c.failed = nil
	for _, peer := range failed {
		if fleet == nil || !q.table.hasRecords(peer.fleetWide) {
			continue
		}
		for _, in := range q.successors(now, fleet, peer) {
			if !c.allowSearch(now) {
				return out
			}
			out = q.send(now, out, control.SendSuspectUpdate{To: in, Update: q.comparison(peer.fleetWide)})
		}
	}
	return out
}

// successors returns the eligible peers that follow a contact on the ring and were not
// contacted recently, at most searchFanOut of them.
func (q *Quarantine) successors(now time.Time, fleet *model.Fleet, peer contact) []model.Instance {
	at, _ := slices.BinarySearchFunc(fleet.Instances, peer.peer, func(in model.Instance, id model.InstanceID) int {
		return cmp.Compare(in.ID, id)
	})
	var out []model.Instance
	for i := 1; i <= len(fleet.Instances) && len(out) < searchFanOut; i++ {
		in := &fleet.Instances[(at+i)%len(fleet.Instances)]
		if q.eligible(in, peer.fleetWide) && !q.gossip.contacts.contactedRecently(now, contact{in.ID, peer.fleetWide}) {
			out = append(out, *in)
		}
	}
	return out
}

// eligible reports whether an instance may be sent records of a kind.
func (q *Quarantine) eligible(in *model.Instance, fleetWide bool) bool {
	reachable := in.State != model.StateGone && in.PeerAddress != "" && in.ID != q.self.ID
	return reachable && (fleetWide || in.Service == q.self.Service)
}

// compareWithRecent compares the records of one kind with some recently seen peers.
func (q *Quarantine) compareWithRecent(now time.Time, out []control.Action, fleetWide bool) []control.Action {
	remaining := peersPerRound
	for _, to := range q.recentPeers(fleetWide) {
		if remaining == 0 {
			break
		}
		if q.gossip.contacts.contactedRecently(now, contact{to.ID, fleetWide}) {
			continue
		}
		remaining--
		out = q.send(now, out, control.SendSuspectUpdate{To: to, Update: q.comparison(fleetWide)})
	}
	return out
}

// withRecentPeers adds the recently seen peers to a node's neighbours after a peer failed
// to reply, since neighbours may be down.
func (q *Quarantine) withRecentPeers(now time.Time, to []model.Instance, fleetWide bool) []model.Instance {
	c := &q.gossip.contacts
	if !c.peerFailedRecently(now) {
		return to
	}
	return union(to, q.recentPeers(fleetWide))
}

// union returns the instances of both lists without duplicates.
func union(a, b []model.Instance) []model.Instance {
	out := slices.Clip(a)
	for _, in := range b {
		if !slices.ContainsFunc(a, func(known model.Instance) bool { return known.ID == in.ID }) {
			out = append(out, in)
		}
	}
	return out
}

// recentPeers returns the recently seen peers that may be sent records of a kind.
func (q *Quarantine) recentPeers(fleetWide bool) []model.Instance {
	fleet := q.fleet()
	if fleet == nil {
		return nil
	}
	var out []model.Instance
	for _, id := range q.gossip.contacts.recent {
		if in, known := fleet.Instance(id); known && q.eligible(&in, fleetWide) {
			out = append(out, in)
		}
	}
	return out
}
