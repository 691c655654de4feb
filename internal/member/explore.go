package member

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// exploreMin is the least time between two tries to reach a peer that could
	// not be reached, or another data centre when no link goes to one. It grows
	// by explorePerNode with the fleet, so the fleet's rate is bounded; one new
	// link between the parts of a healed partition is enough for all.
	exploreMin     = 5 * time.Second
	explorePerNode = 200 * time.Millisecond
)

// explore opens a link beyond the outgoing ones, which replaces one of them
// when it succeeds: to another data centre when none goes there, or else to a
// peer that could not be reached before or was declared gone.
func (c *Controller) explore(now time.Time) {
	r, ok := c.chooseFar()
	wait := exploreMin
	if !ok {
		r, ok = c.chooseLost()
		wait = max(exploreMin, time.Duration(c.FleetSize())*explorePerNode)
	}
	c.peers.nextExplore = now.Add(c.between(wait/2, wait+wait/2))
	if ok {
		c.dial(now, r.ID, r.PeerAddress, true)
	}
}

// chooseFar picks an instance of another data centre when no link goes to one.
func (c *Controller) chooseFar() (wire.MemberRecord, bool) {
	if _, hasOther := c.outgoingPlaces(); hasOther || len(c.table.serving) < 2 {
		return wire.MemberRecord{}, false
	}
	return c.table.pick(c.rng, func(r wire.MemberRecord) bool {
		return r.DataCentre != c.cfg.Self.DataCentre && serving(r.State) && c.unlinked(r)
	})
}

// chooseLost picks a peer that could not be reached or is taken for gone, or a
// seed at whose address no instance is known.
func (c *Controller) chooseLost() (wire.MemberRecord, bool) {
	lost := append(c.missedPeers(), c.gonePeers()...)
	lost = append(lost, c.unknownSeeds()...)
	if len(lost) == 0 {
		return wire.MemberRecord{}, false
	}
	return lost[c.rng.IntN(len(lost))], true
}

// missedPeers returns the peers that could not be reached, by id.
func (c *Controller) missedPeers() []wire.MemberRecord {
	var out []wire.MemberRecord
	for id, b := range c.peers.backoffs {
		if r, ok := c.table.get(id); ok && b.failures > 0 && r.State != model.StateGone && c.unlinked(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b wire.MemberRecord) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// gonePeers returns the instances that are taken for gone although the list has
// not dropped them: after a partition, those of the other part. One that answers
// is told, and takes a greater incarnation.
func (c *Controller) gonePeers() []wire.MemberRecord {
	var out []wire.MemberRecord
	for _, t := range c.reaper.tombstones {
		r, ok := c.table.get(t.id)
		if !ok || r.State != model.StateGone || r.Incarnation != t.incarnation {
			continue
		}
		if r.ListStatus <= wire.ListLive && c.unlinked(r) {
			out = append(out, r)
		}
	}
	return out
}

// unknownSeeds returns the seeds at whose address no serving instance is known.
// While the platform is down, they alone join instances that were replaced since
// to those that were not.
func (c *Controller) unknownSeeds() []wire.MemberRecord {
	if len(c.cfg.Seeds) == 0 {
		return nil
	}
	known := map[string]bool{c.cfg.Self.PeerAddress: true}
	for _, e := range c.table.entries {
		if serving(e.rec.State) {
			known[e.rec.PeerAddress] = true
		}
	}
	var out []wire.MemberRecord
	for _, address := range c.cfg.Seeds {
		id := model.InstanceID(address)
		if !known[address] && !c.peers.dialing(id) {
			out = append(out, wire.MemberRecord{ID: id, PeerAddress: address})
		}
	}
	return out
}
