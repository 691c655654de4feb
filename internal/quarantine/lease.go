package quarantine

import (
	"slices"
	"time"

	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// A request may crash the first worker that runs it, and no owner can know that before.
// While it waits in the queue of one owner, other submissions of it may reach other owners
// and crash their workers at the same time. So an owner announces what it queues: a lease
// gives it the sole right to run requests of that content, until its worker has responded to
// one. Leases are used in services that cannot spare two workers, and only for contents of
// which no run completed recently.
const (
	// leaseTTL is how long a peer's lease is valid after its last announcement.
	leaseTTL = time.Second
	// maxPeerLeases bounds the leases of peers; without one a request runs as any other.
	maxPeerLeases = 1024
)

// LeaseEnd is why an owner no longer needs a lease.
type LeaseEnd uint8

// The ends of leases.
const (
	// LeaseServed: the worker responds to the request.
	LeaseServed LeaseEnd = iota
	// LeaseUnserved: the attempt ended without a response.
	LeaseUnserved
	// LeaseCrashed: the worker crashed during the run. The lease expires at the peers, which
	// learn of the crash meanwhile.
	LeaseCrashed
)

// leases are the leases of this owner and of its peers. The zero value is not usable.
type leases struct {
	own   map[wire.LeaseKey]*ownLease
	peers map[wire.LeaseKey]peerLease
	// ended are the latest announced leases of this owner whose end has not been sent, at
	// most wire.MaxLeases; urgent reports that attempts elsewhere may wait for one of them.
	ended  []wire.LeaseKey
	urgent bool
	// budget limits the messages about leases.
	budget tokenBucket
}

// ownLease is a lease of this owner.
type ownLease struct {
	// attempts counts the attempts here that hold the lease, until the latest of their
	// deadlines.
	attempts int
	until    time.Time
	// runningSince is when the first of them started; zero while all are queued.
	runningSince time.Time
	// announcedAt is when peers were last told; zero if they have to be told at once.
	announcedAt time.Time
	// crashed reports that the worker crashed during a run.
	crashed bool
}

func (l *ownLease) running() bool { return !l.runningSince.IsZero() }

// peerLease is a lease of another owner.
type peerLease struct {
	owner   model.InstanceID
	running bool
	expires time.Time
}

func newLeases() leases {
	return leases{own: map[wire.LeaseKey]*ownLease{}, peers: map[wire.LeaseKey]peerLease{}}
}

// HasPeerLeases reports whether any peer holds a lease. It takes no lock.
func (q *Quarantine) HasPeerLeases() bool { return q.peerLeases.Load() > 0 }

// Fragile reports whether the service cannot spare two workers at a time, so that leases
// are in use. It takes no lock.
func (q *Quarantine) Fragile() bool { return q.fragile.Load() }

// Unproven reports whether requests of a content may run at one owner only and one at a
// time: the service cannot spare two workers, and no run of the content completed here
// recently.
func (q *Quarantine) Unproven(content model.Fingerprint) bool {
	return q.fragile.Load() && !content.IsZero() && !q.completed.has(content)
}

// AcquireLease announces that an attempt of an unproven content is queued here, at most
// until its deadline. ReleaseLease must follow if it returns true.
func (q *Quarantine) AcquireLease(content model.Fingerprint, deadline time.Time) bool {
	if !q.Unproven(content) {
		return false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	key := wire.NewLeaseKey(content)
	l := q.leases.own[key]
	if l == nil {
		l = &ownLease{}
		q.leases.own[key] = l
		q.leases.ended = slices.DeleteFunc(q.leases.ended, func(other wire.LeaseKey) bool { return other == key })
		q.wake()
	}
	l.attempts++
	if deadline.After(l.until) {
		l.until = deadline
	}
	return true
}

// LeaseRunning records that an attempt with a lease starts. Peers that hold a lease of the
// same content are told, so that they do not start theirs.
func (q *Quarantine) LeaseRunning(now time.Time, content model.Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := wire.NewLeaseKey(content)
	l := q.leases.own[key]
	if l == nil || l.running() {
		return
	}
	l.runningSince = now
	if _, contested := q.leases.peers[key]; contested {
		l.announcedAt = time.Time{}
		q.wake()
	}
}

// ReleaseLease records the end of an attempt with a lease.
func (q *Quarantine) ReleaseLease(content model.Fingerprint, end LeaseEnd) {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := wire.NewLeaseKey(content)
	l := q.leases.own[key]
	if l == nil {
		return
	}
	l.attempts--
	l.crashed = l.crashed || end == LeaseCrashed
	if end == LeaseServed || l.attempts <= 0 {
		q.endLease(key, l, end)
	}
}

// endLease drops a lease of this owner.
func (q *Quarantine) endLease(key wire.LeaseKey, l *ownLease, end LeaseEnd) {
	delete(q.leases.own, key)
	if l.announcedAt.IsZero() || l.crashed {
		return
	}
	q.leases.ended = appendNewest(q.leases.ended, key, wire.MaxLeases)
	if end == LeaseUnserved {
		q.leases.urgent = true
		q.wake()
	}
}

// expireLeases drops leases that are no longer valid: those of peers that have expired, and
// those of this owner whose run has lasted longer than others wait for it.
func (q *Quarantine) expireLeases(now time.Time) {
	for key, l := range q.leases.own {
		if now.After(l.until) || l.running() && now.Sub(l.runningSince) >= model.MaxSerialRun {
			q.endLease(key, l, LeaseUnserved)
		}
	}
	for key, l := range q.leases.peers {
		if !now.Before(l.expires) {
			q.dropPeerLease(key)
		}
	}
}

func (q *Quarantine) dropPeerLease(key wire.LeaseKey) {
	delete(q.leases.peers, key)
	q.countPeerLeases()
}

// countPeerLeases publishes the number of peers' leases.
func (q *Quarantine) countPeerLeases() { q.peerLeases.Store(int64(len(q.leases.peers))) }

// deferToLease completes the decision on a request of which another owner holds the lease.
func (q *Quarantine) deferToLease(now time.Time, content model.Fingerprint, d *Decision) {
	key := wire.NewLeaseKey(content)
	l, known := q.leases.peers[key]
	if !known || !now.Before(l.expires) || q.ownLeasePrecedes(key, l) || q.completed.has(content) {
		return
	}
	if !q.mayRun(now, l.owner) {
		return
	}
	d.OnlyOwner, d.Deferred, d.RetryAfter = l.owner, true, minRetry
}

// ownLeasePrecedes reports whether this owner's lease takes precedence over a peer's. Two
// owners whose announcements crossed agree on it: a running attempt has precedence, then
// the owner that rendezvous hashing selects.
func (q *Quarantine) ownLeasePrecedes(key wire.LeaseKey, peer peerLease) bool {
	own := q.leases.own[key]
	if own == nil {
		return false
	}
	if own.running() || peer.running {
		return own.running()
	}
	return leaseOwner(key, q.self.ID, peer.owner) == q.self.ID
}

// mayRun reports whether another owner admits requests and its worker is not down from a
// recent crash.
func (q *Quarantine) mayRun(now time.Time, id model.InstanceID) bool {
	if !slices.Contains(q.findNeighbours().admitting, id) {
		return false
	}
	at, crashed := q.table.lastCrashes[id]
	return !crashed || now.Sub(at) >= q.downtime()
}

// updateFragile recomputes whether the service uses leases: it cannot spare two workers at
// a time.
func (q *Quarantine) updateFragile(now time.Time) {
	owners := q.findNeighbours().admitting
	up, _ := q.otherOwners(now, owners)
	small := len(owners) > 1 && len(owners) <= maxLeaseOwners
	q.fragile.Store(small && spareWorkers(len(up), len(owners), q.averageUse) == 0)
}
