package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

const (
	// leaseRenewal is the time after which a lease is announced again.
	leaseRenewal = leaseTTL / 2
	// leaseRate and leaseBurst limit the messages about leases: 10 a second with as many
	// replies to peers stay below the 7 KB that a node may send for control. Without budget,
	// announcements wait for the next tick.
	leaseRate  = 10
	leaseBurst = 32
	// maxLeaseOwners is the size of the largest service that uses leases: two announcements
	// to all its owners fit in leaseBurst. A larger one loses little with two workers.
	maxLeaseOwners = 16
)

// sendLeases announces new leases to the other owners of the service, and ends for which
// attempts may wait. Other ends are sent with them.
func (q *Quarantine) sendLeases(now time.Time, out []control.Action) []control.Action {
	due := q.leasesDue(now)
	if len(due) == 0 && !q.leases.urgent {
		return out
	}
	n := q.findNeighbours()
	if q.leases.budget.available(now, leaseRate, leaseBurst) < float64(len(n.service)) {
		return out
	}
	q.leases.budget.take(len(n.service))
	update := q.newUpdate(false)
	q.takeLeases(now, due, &update)
	for _, peer := range n.service {
		out = append(out, control.SendSuspectUpdate{To: peer, Update: update})
	}
	return out
}

// leasesDue returns the leases that have to be announced, new ones first, at most as many as
// one message holds.
func (q *Quarantine) leasesDue(now time.Time) []*Lease {
	var due []*Lease
	for _, l := range q.leases.own {
		if !l.unannounced && now.Sub(l.announcedAt) >= leaseRenewal {
			due = append(due, l)
		}
	}
	slices.SortFunc(due, func(a, b *Lease) int { return a.announcedAt.Compare(b.announcedAt) })
	return due[:min(len(due), wire.MaxLeases)]
}

// takeLeases adds leases and ends to an update and records that they are sent.
func (q *Quarantine) takeLeases(now time.Time, due []*Lease, update *wire.SuspectUpdate) {
	for _, l := range due {
		l.announcedAt = now
		if l.running() {
			update.LeasesRunning = append(update.LeasesRunning, l.key)
			continue
		}
		update.Leases = append(update.Leases, l.key)
	}
	update.LeasesEnded = q.leases.ended
	q.leases.ended, q.leases.urgent = nil, false
}

// mergeLeases takes over the leases of a peer.
func (q *Quarantine) mergeLeases(now time.Time, update wire.SuspectUpdate) {
	for _, key := range update.LeasesEnded {
		if q.leases.peers[key].owner == update.From {
			q.dropPeerLease(key)
		}
	}
	lease := peerLease{owner: update.From, expires: now.Add(leaseTTL)}
	for _, key := range update.Leases {
		q.learnLease(now, key, lease)
	}
	lease.running = true
	for _, key := range update.LeasesRunning {
		q.learnLease(now, key, lease)
	}
}

// learnLease takes over one lease of a peer, unless another one takes precedence.
func (q *Quarantine) learnLease(now time.Time, key wire.LeaseKey, l peerLease) {
	if own := q.leases.own[key]; own != nil && own.running() && !l.running {
		q.announceAgain(own)
	}
	old, known := q.leases.peers[key]
	if known && now.Before(old.expires) && old.owner != l.owner && old.precedes(key, l) {
		return
	}
	if !known && len(q.leases.peers) >= maxPeerLeases {
		return
	}
	q.leases.peers[key] = l
	q.countPeerLeases()
}

// precedes reports whether a peer's lease takes precedence over another peer's.
func (l peerLease) precedes(key wire.LeaseKey, other peerLease) bool {
	if l.running != other.running {
		return l.running
	}
	return leaseOwner(key, l.owner, other.owner) == l.owner
}

// leaseOwner returns the one of two owners that takes precedence, the same on all nodes.
func leaseOwner(key wire.LeaseKey, a, b model.InstanceID) model.InstanceID {
	var content model.Fingerprint
	binary.BigEndian.PutUint64(content[:], uint64(key))
	return rendezvousOwner(content, []model.InstanceID{a, b})
}
