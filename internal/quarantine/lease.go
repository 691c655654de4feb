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
// one. Leases are used in services that cannot spare two workers, and only for contents to
// which this node's worker did not respond recently.
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
	// LeaseUnserved: the request did not run, or its connection broke and the worker lives.
	LeaseUnserved
	// LeaseUndecided: the worker crashed during the run, or may still process the request.
	// The lease expires at the peers, which learn of a crash meanwhile.
	LeaseUndecided
)

// LeaseEndOf returns why a run ends its lease: responded reports whether the worker's response
// was received, and refusal is the run's end if it was not.
func LeaseEndOf(responded bool, refusal *model.Refusal) LeaseEnd {
	switch {
	case responded:
		return LeaseServed
	case refusal.NotRun || refusal.Reason == model.ReasonWorkerBroken:
		return LeaseUnserved
	}
	return LeaseUndecided
}

// leases are the leases of this owner and of its peers. The zero value is not usable.
type leases struct {
	own   map[wire.LeaseKey]*Lease
	peers map[wire.LeaseKey]peerLease
	// ended are the latest announced leases of this owner whose end has not been sent, at
	// most wire.MaxLeases; urgent reports that attempts elsewhere may wait for one of them.
	ended  []wire.LeaseKey
	urgent bool
	// budget limits the messages about leases.
	budget tokenBucket
}

// Lease is a lease of this owner.
type Lease struct {
	key wire.LeaseKey
	// attempts counts the attempts here that hold the lease, until the latest of their
	// deadlines.
	attempts int
	until    time.Time
	// runningSince is when the first of them started; zero while all are queued.
	runningSince time.Time
	// announcedAt is when peers were last told; zero if they have to be told at once.
	announcedAt time.Time
	// unannounced leases are of runs that started at once. Peers are told only if one of them
	// queues the same content.
	unannounced bool
	// shared reports that several attempts hold the lease, so that peers may have sent some.
	shared bool
	// undecided reports that a run ended with LeaseUndecided.
	undecided bool
}

func (l *Lease) running() bool { return !l.runningSince.IsZero() }

// peerLease is a lease of another owner.
type peerLease struct {
	owner   model.InstanceID
	running bool
	expires time.Time
}

func newLeases() leases {
	return leases{own: map[wire.LeaseKey]*Lease{}, peers: map[wire.LeaseKey]peerLease{}}
}

// HasPeerLeases reports whether any peer holds a lease. It takes no lock.
func (q *Quarantine) HasPeerLeases() bool { return q.peerLeases.Load() > 0 }

// Fragile reports whether the service cannot spare two workers at a time, so that leases
// are in use. It takes no lock.
func (q *Quarantine) Fragile() bool { return q.fragile.Load() }

// Unproven reports whether requests of a content may run at one owner only and one at a
// time: the service cannot spare two workers, and this node's worker did not respond to the
// content recently.
func (q *Quarantine) Unproven(content model.Fingerprint) bool {
	return q.fragile.Load() && !content.IsZero() && !q.proven(content)
}

// proven reports whether the worker recently responded to a request of the content.
func (q *Quarantine) proven(content model.Fingerprint) bool {
	return q.responded.has(content) || q.completed.has(content)
}

// Responding records that this node's worker responds to a request.
func (q *Quarantine) Responding(content model.Fingerprint) {
	if !content.IsZero() {
		q.responded.add(content)
	}
}

// AcquireLease announces that an attempt of an unproven content is queued here, at most
// until its deadline. It returns nil if no lease is needed; otherwise ReleaseLease must
// follow.
func (q *Quarantine) AcquireLease(content model.Fingerprint, deadline time.Time) *Lease {
	if !q.Unproven(content) {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.acquire(wire.NewLeaseKey(content), deadline)
	if l.unannounced || l.announcedAt.IsZero() {
		l.unannounced = false
		q.wake()
	}
	return l
}

// AcquireRunning is AcquireLease for an attempt that starts without having been queued. The
// lease is announced only if a peer queues the same content.
func (q *Quarantine) AcquireRunning(now time.Time, content model.Fingerprint, deadline time.Time) *Lease {
	if !q.Unproven(content) {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	key := wire.NewLeaseKey(content)
	_, known := q.leases.own[key]
	l := q.acquire(key, deadline)
	l.unannounced = l.unannounced || !known
	q.startLease(now, l)
	return l
}

// acquire adds an attempt to the lease of a content.
func (q *Quarantine) acquire(key wire.LeaseKey, deadline time.Time) *Lease {
	l := q.leases.own[key]
	if l == nil {
		l = &Lease{key: key}
		q.leases.own[key] = l
		q.leases.ended = slices.DeleteFunc(q.leases.ended, func(other wire.LeaseKey) bool { return other == key })
	}
	l.attempts++
	l.shared = l.shared || l.attempts > 1
	if deadline.After(l.until) {
		l.until = deadline
	}
	return l
}

// LeaseRunning records that an attempt with a lease starts. Peers that hold a lease of the
// same content are told, so that they do not start theirs.
func (q *Quarantine) LeaseRunning(now time.Time, l *Lease) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.leases.own[l.key] == l {
		q.startLease(now, l)
	}
}

// startLease records the first start of an attempt with a lease.
func (q *Quarantine) startLease(now time.Time, l *Lease) {
	if l.running() {
		return
	}
	l.runningSince = now
	if _, contested := q.leases.peers[l.key]; contested {
		q.announceAgain(l)
	}
}

// announceAgain makes a lease known to peers at once.
func (q *Quarantine) announceAgain(l *Lease) {
	l.announcedAt, l.unannounced = time.Time{}, false
	q.wake()
}

// ReleaseLease records the end of an attempt with a lease.
func (q *Quarantine) ReleaseLease(l *Lease, end LeaseEnd) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l.attempts--
	l.undecided = l.undecided || end == LeaseUndecided
	if q.leases.own[l.key] == l && (end == LeaseServed || l.attempts <= 0) {
		q.endLease(l, end)
	}
}

// endLease drops a lease of this owner. Peers are told at once if attempts may wait for that.
func (q *Quarantine) endLease(l *Lease, end LeaseEnd) {
	delete(q.leases.own, l.key)
	if l.announcedAt.IsZero() || l.undecided {
		return
	}
	q.leases.ended = appendNewest(q.leases.ended, l.key, wire.MaxLeases)
	if end == LeaseUnserved || l.shared {
		q.leases.urgent = true
		q.wake()
	}
}

// expireLeases drops leases that are no longer valid: those of peers that have expired, and
// those of this owner whose run has lasted longer than others wait for it.
func (q *Quarantine) expireLeases(now time.Time) {
	for _, l := range q.leases.own {
		if now.After(l.until) || l.running() && now.Sub(l.runningSince) >= model.MaxSerialRun {
			q.endLease(l, LeaseUnserved)
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
	if !known || !now.Before(l.expires) || q.ownLeasePrecedes(key, l) || q.proven(content) {
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
	if len(owners) < 2 || len(owners) > maxLeaseOwners {
		q.fragile.Store(false)
		return
	}
	up, _ := q.otherOwners(now, owners)
	q.fragile.Store(spareWorkers(len(up), len(owners), q.averageUse) == 0)
}
