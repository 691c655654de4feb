package quarantine

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Paces of finding peers that answer. Who is listed may be gone: a node whose neighbours are
// all silent goes on round the ring.
const (
	// searchFanOut is how many others are asked for each that did not answer, so that a node
	// gets past hundreds within some time-outs.
	searchFanOut = 3
	// searchAgain is how long one that was told anything is passed over by a search.
	searchAgain = 2 * time.Second
	// searchDepth and searchRate bound a search: a whole fleet of some hundreds at once, then
	// as many a second as answers cost less than the 7 KB that a node may send for control.
	searchDepth = 256
	searchRate  = 16
	// silentFor is how long after a peer did not answer others are told in its place.
	silentFor = 10 * time.Second
	// maxLatest bounds the peers that were heard of late.
	maxLatest = 8
)

// contact is a peer with the kind of records it is told of.
type contact struct {
	peer model.InstanceID
	wide bool
}

// contacts knows which peers answer. The zero value is ready.
type contacts struct {
	// sent is when each was last told anything.
	sent map[contact]time.Time
	// unanswered are those in whose place others are still to be asked.
	unanswered []contact
	// silentAt is when a peer last did not answer.
	silentAt time.Time
	// latest are the peers that were heard of last, the newest first.
	latest []model.InstanceID
	// budget is that of searches, in messages.
	budget allowance
}

// SendFailed takes that a peer did not answer what it was told.
func (q *Quarantine) SendFailed(now time.Time, a control.SendSuspectUpdate) {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &q.rounds.contacts
	c.silentAt = now
	if len(c.unanswered) < searchDepth {
		c.unanswered = append(c.unanswered, contact{a.To.ID, a.Update.Service == ""})
	}
	if i := slices.Index(c.latest, a.To.ID); i >= 0 {
		c.latest = slices.Delete(c.latest, i, i+1)
	}
	q.wake()
}

// PeerSeen takes that a peer is in touch, as calls show. It takes no lock while nothing is
// suspect.
func (q *Quarantine) PeerSeen(peer model.InstanceID) {
	if q.Empty() {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.heard(peer)
}

func (q *Quarantine) heard(peer model.InstanceID) {
	c := &q.rounds.contacts
	switch i := slices.Index(c.latest, peer); {
	case i == 0 || peer == q.self.ID:
		return
	case i > 0:
		c.latest = slices.Delete(c.latest, i, i+1)
	case len(c.latest) == maxLatest:
		c.latest = c.latest[:maxLatest-1]
	}
	c.latest = slices.Insert(c.latest, 0, peer)
}

// missing tells whether a peer that should have answered lately did not.
func (c *contacts) missing(now time.Time) bool {
	return !c.silentAt.IsZero() && now.Sub(c.silentAt) < silentFor
}

// note notes that a peer is told something now.
func (c *contacts) note(now time.Time, to contact) {
	if c.sent == nil {
		c.sent = map[contact]time.Time{}
	}
	c.sent[to] = now
}

// toldLately tells whether a search passes a peer over.
func (c *contacts) toldLately(now time.Time, to contact) bool {
	at, known := c.sent[to]
	return known && now.Sub(at) < searchAgain
}

// forget drops what no search asks for any more.
func (c *contacts) forget(now time.Time) {
	for to, at := range c.sent {
		if now.Sub(at) >= searchAgain {
			delete(c.sent, to)
		}
	}
}

// allow takes one more message of a search out of the budget.
func (c *contacts) allow(now time.Time) bool {
	if c.budget.at(now, searchRate, searchDepth) < 1 {
		return false
	}
	c.budget.take(1)
	return true
}

// send tells a peer something.
func (q *Quarantine) send(now time.Time, out []control.Action, a control.SendSuspectUpdate) []control.Action {
	q.rounds.contacts.note(now, contact{a.To.ID, a.Update.Service == ""})
	return append(out, a)
}

// search compares with others in place of peers that did not answer: those that come after
// them on the ring and were told nothing lately.
func (q *Quarantine) search(now time.Time, out []control.Action) []control.Action {
	c := &q.rounds.contacts
	fleet := q.fleet()
	lost := c.unanswered
	c.unanswered = nil
	for _, gone := range lost {
		if fleet == nil || !q.table.holds(gone.wide) {
			continue
		}
		for _, in := range q.after(now, fleet, gone) {
			if !c.allow(now) {
				return out
			}
			out = q.send(now, out, control.SendSuspectUpdate{To: in, Update: q.comparison(gone.wide)})
		}
	}
	return out
}

// after returns the next peers on the ring after one, searchFanOut at most.
func (q *Quarantine) after(now time.Time, fleet *model.Fleet, gone contact) []model.Instance {
	at, _ := slices.BinarySearchFunc(fleet.Instances, gone.peer, func(in model.Instance, id model.InstanceID) int {
		return cmp.Compare(in.ID, id)
	})
	var out []model.Instance
	for i := 1; i <= len(fleet.Instances) && len(out) < searchFanOut; i++ {
		in := &fleet.Instances[(at+i)%len(fleet.Instances)]
		if q.peer(in, gone.wide) && !q.rounds.contacts.toldLately(now, contact{in.ID, gone.wide}) {
			out = append(out, *in)
		}
	}
	return out
}

// peer tells whether an instance may be told of records of a kind.
func (q *Quarantine) peer(in *model.Instance, wide bool) bool {
	reachable := in.State != model.StateGone && in.PeerAddress != "" && in.ID != q.self.ID
	return reachable && (wide || in.Service == q.self.Service)
}

// compareLatest compares the records of one kind with some of the peers that were heard of last.
func (q *Quarantine) compareLatest(now time.Time, out []control.Action, wide bool) []control.Action {
	left := perRound
	for _, to := range q.latest(wide) {
		if left == 0 {
			break
		}
		if q.rounds.contacts.toldLately(now, contact{to.ID, wide}) {
			continue
		}
		left--
		out = q.send(now, out, control.SendSuspectUpdate{To: to, Update: q.comparison(wide)})
	}
	return out
}

// withLatest adds to a node's neighbours the peers that were heard of last, where one of the
// neighbours may be gone.
func (q *Quarantine) withLatest(now time.Time, to []model.Instance, wide bool) []model.Instance {
	c := &q.rounds.contacts
	if !c.missing(now) {
		return to
	}
	return union(to, q.latest(wide))
}

// union returns the instances of both lists, each once.
func union(a, b []model.Instance) []model.Instance {
	out := slices.Clip(a)
	for _, in := range b {
		if !slices.ContainsFunc(a, func(known model.Instance) bool { return known.ID == in.ID }) {
			out = append(out, in)
		}
	}
	return out
}

// latest returns the peers that were heard of last and may be told of records of a kind.
func (q *Quarantine) latest(wide bool) []model.Instance {
	fleet := q.fleet()
	if fleet == nil {
		return nil
	}
	var out []model.Instance
	for _, id := range q.rounds.contacts.latest {
		if in, known := fleet.Instance(id); known && q.peer(&in, wide) {
			out = append(out, in)
		}
	}
	return out
}
