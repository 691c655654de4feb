package quarantine

import (
	"math"
	"slices"
	"time"

	"gypsumstand/internal/model"
)

const (
	// maxDeferral is how long after its last crash a request is restricted to a worker that
	// crashed under it. A worker that is down for longer may never recover.
	maxDeferral = 15 * time.Second
	// downtimeMargin is the multiple of the usual recovery time for which a worker counts
	// as down after a crash.
	downtimeMargin = 1.5
	// useAveragingTime is the time constant over which the slot use of this node's worker
	// is averaged, so that a short shift of load after a neighbour's crash does not hide
	// the usual use.
	useAveragingTime = 2 * time.Second
	// maxUse is the largest part of their slots that the remaining workers may have in use
	// once another one is down: fuller workers respond late.
	maxUse = 0.75
	// portCheckDelay is how long after the last report of a crash this node's worker counts
	// as down whatever its slot use: the owner may not have checked its port yet.
	portCheckDelay = 300 * time.Millisecond
)

// isRestricted reports whether a request under which workers crashed, and which is not
// quarantined, may run at one owner only. A request that completed here recently runs
// anywhere after its first crash, as most crashes are not caused by a request.
func (q *Quarantine) isRestricted(r *record) bool {
	if r.quarantined || r.unexplained == 0 {
		return false
	}
	return r.unexplained >= exclusiveThreshold || !q.completed.has(r.content)
}

// restrict completes the decision on a request that may run at one owner only, so that it
// risks one worker at a time however often and wherever it is submitted. The owner of the
// coordinating crash coordinates it, since no two nodes have the same view of a service's
// state.
func (q *Quarantine) restrict(now time.Time, r *record, s Submission, d *Decision) {
	if !q.isRestricted(r) {
		return
	}
	d.OnlyOwner = q.coordinator(now, r)
	last := r.lastCrashTime()
	switch {
	case s.Granted:
		d.OnlyOwner = q.self.ID
	case d.OnlyOwner != q.self.ID:
		d.Deferred = true
	default:
		last = q.assign(now, r, d)
	}
	d.RetryAfter = max(q.recovery.remaining(now.Sub(last)), minRetry)
}

// coordinator returns the owner that decides where a request may run: that of its
// coordinating crash, or the empty ID if that is not known here. After maxDeferral, or if
// that owner no longer admits requests, rendezvous hashing selects another one, the same on
// all nodes with equal views.
func (q *Quarantine) coordinator(now time.Time, r *record) model.InstanceID {
	owners := q.findNeighbours().admitting
	if len(owners) == 0 {
		return q.self.ID
	}
	owner := r.coordinatingCrash().owner
	if now.Sub(r.lastCrashTime()) < maxDeferral && (owner == "" || owner == q.self.ID || slices.Contains(owners, owner)) {
		return owner
	}
	return rendezvousOwner(r.content, owners)
}

// assign decides where a request may run that this node coordinates. If the service can
// spare another worker it runs here, or at another owner while this node's worker is down.
// If it can spare none, it may run here only, and is deferred if this node's worker is up
// and another one is down. assign returns the time of the crash whose worker is awaited.
func (q *Quarantine) assign(now time.Time, r *record, d *Decision) (last time.Time) {
	owners := q.findNeighbours().admitting
	up, last := q.otherOwners(now, owners)
	latest := r.lastCrash()
	if latest.owner != q.self.ID && now.Sub(latest.at) < q.downtime() && latest.at.After(last) {
		// The owner may be unlisted while its worker is down.
		last = latest.at
	}
	here := q.workerUp(now)
	spare := spareWorkers(len(up), len(owners), q.averageUse) > 0
	switch {
	case !here && spare:
		d.OnlyOwner = rendezvousOwner(r.content, up)
		d.Deferred, d.Granted = true, true
	case here && !spare && !last.IsZero():
		d.Deferred = true
	}
	if !here || latest.at.After(last) {
		last = latest.at
	}
	return last
}

// downtime returns how long a worker counts as down after a crash.
func (q *Quarantine) downtime() time.Duration {
	return time.Duration(downtimeMargin * float64(q.recovery.expected()))
}

// EvaluateReroute decides where a suspect request goes after its run here could not reach
// the worker. Other owners may know of fewer of its crashes and leave it to this one, so it
// is granted to another owner even if it could run anywhere.
func (q *Quarantine) EvaluateReroute(now time.Time, content model.Fingerprint, s Submission, label string) Decision {
	d := q.Evaluate(now, content, s, label)
	if d.Quarantined || d.OnlyOwner != "" || d.Crashes == 0 {
		return d
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	up, _ := q.otherOwners(now, q.findNeighbours().admitting)
	if len(up) > 0 {
		d.OnlyOwner, d.Deferred, d.Granted = rendezvousOwner(content, up), true, true
		d.RetryAfter = max(q.recovery.remaining(0), minRetry)
	}
	return d
}

// workerUp reports whether this node's worker accepts requests.
func (q *Quarantine) workerUp(now time.Time) bool {
	if !q.recovery.crashedAt.IsZero() && now.Sub(q.recovery.lastReport) < portCheckDelay {
		return false
	}
	_, up := q.slotUse(now)
	return up
}

// spareWorkers returns how many of its up available workers a service with all workers can
// lose; use is the share of its slots in use. While some workers are down the use of the
// others is higher, so the average over the time of a crash errs on the safe side.
func spareWorkers(up, all int, use float64) int {
	needed := int(math.Ceil(use * float64(all) / maxUse))
	return max(up-needed, 0)
}

// otherOwners returns the other owners whose workers are not still down from a recent
// crash, and the time of the last crash among the others, zero if there is none.
func (q *Quarantine) otherOwners(now time.Time, owners []model.InstanceID) (up []model.InstanceID, last time.Time) {
	for _, id := range owners {
		at, known := q.table.lastCrashes[id]
		switch {
		case id == q.self.ID:
		case !known || now.Sub(at) >= q.downtime():
			up = append(up, id)
		case at.After(last):
			last = at
		}
	}
	return up, last
}

// observeUse adds the share of the worker's slots in use to its average; elapsed is the
// time since the last observation.
func (q *Quarantine) observeUse(use float64, elapsed time.Duration) {
	weight := min(elapsed.Seconds()/useAveragingTime.Seconds(), 1)
	q.averageUse += weight * (use - q.averageUse)
}

// WorkerRecovered records that this node's worker responds again.
func (q *Quarantine) WorkerRecovered(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.recovery.recovered(now)
}
