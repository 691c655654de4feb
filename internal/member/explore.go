package member

import (
	"cmp"
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// exploreMin is the mean time between two attempts to reach another data centre when
	// no link goes to one, and the least mean time between two attempts to reach an
	// unreachable peer. The latter is at least explorePerNode times the fleet size, which
	// bounds the fleet's total rate; one new link between the parts of a healed partition
	// is enough to join them. Each wait is drawn from half to one and a half times the mean.
	exploreMin     = 5 * time.Second
	explorePerNode = 200 * time.Millisecond
)

// explore opens a link beyond the outgoing limit, which replaces an outgoing link when it
// succeeds. It goes to another data centre when no link does, otherwise to a peer that
// was unreachable before or was declared gone, or to a seed at whose address no instance
// is known.
func (c *Controller) explore(now time.Time) {
	r, ok := c.chooseOtherDataCentre()
	wait := exploreMin
	if !ok {
		r, ok = c.chooseUnreachable()
		wait = max(exploreMin, time.Duration(c.FleetSize())*explorePerNode)
	}
	c.peers.nextExplore = now.Add(c.randomBetween(wait/2, wait+wait/2))
	if ok {
		c.dial(now, r.ID, r.PeerAddress, true)
	}
}

// chooseOtherDataCentre picks an instance of another data centre when no link goes to
// one.
func (c *Controller) chooseOtherDataCentre() (wire.MemberRecord, bool) {
	if _, hasOther := c.outgoingLocations(); hasOther || len(c.table.serving) < 2 {
		return wire.MemberRecord{}, false
	}
	return c.table.pick(c.rng, func(r wire.MemberRecord) bool {
		return r.DataCentre != c.cfg.Self.DataCentre && serving(r.State) && c.unlinked(r)
	})
}

// chooseUnreachable picks a peer that was unreachable or is considered gone, or a seed at
// whose address no instance is known.
func (c *Controller) chooseUnreachable() (wire.MemberRecord, bool) {
	candidates := append(c.unreachablePeers(), c.gonePeers()...)
	candidates = append(candidates, c.unknownSeeds()...)
	if len(candidates) == 0 {
		return wire.MemberRecord{}, false
	}
	return candidates[c.rng.IntN(len(candidates))], true
}

// unreachablePeers returns the peers to which a link failed to open, sorted by id.
func (c *Controller) unreachablePeers() []wire.MemberRecord {
	var out []wire.MemberRecord
	for id, b := range c.peers.backoffs {
		if r, ok := c.table.get(id); ok && b.failures > 0 && r.State != model.StateGone && c.unlinked(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b wire.MemberRecord) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// gonePeers returns the instances that are considered gone although the list still has
// them; after a partition, these are the instances of the other part. One that accepts a
// link learns that it is considered gone and adopts a greater incarnation.
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

// unknownSeeds returns the seeds at whose address no serving instance is known. During a
// platform outage, seeds are the only path between instances that were replaced since and
// those that were not.
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
