package quarantine

import (
	"math"
	"slices"
	"time"

	"gypsumstand/internal/model"
)

const (
	// longestHold is how long after its last end a request is kept to the worker that ended
	// under it. One that is away for longer may never be back.
	longestHold = 15 * time.Second
	// downMargin is how many times the usual return a worker counts as away after its end.
	downMargin = 1.5
	// useMemory is the time over which the use of the own worker is averaged, so that what a
	// neighbour's end sends here for a moment does not hide what is usual.
	useMemory = 2 * time.Second
)

// held tells whether a request under which workers ended, and that is not put aside, may run
// at one owner only. One that ran whole here of late goes on anywhere after its first end, as
// most ends are no request's fault.
func (q *Quarantine) held(r *record) bool {
	if r.aside || r.left == 0 {
		return false
	}
	return r.left >= endsToRunAlone || !q.whole.has(r.content)
}

// hold completes the verdict on a request that is kept to one owner. However often and
// wherever it is sent, it so has no more than one worker at risk at a time. Where it may run
// is said by the owner whose worker ended last under it, as no two nodes know the same of how
// a service fares.
func (q *Quarantine) hold(now time.Time, r *record, s Sending, v *Verdict) {
	if !q.held(r) {
		return
	}
	v.RetryAfter = max(q.returns.left(now.Sub(r.lastEnd())), minRetry)
	v.Home = q.decider(now, r)
	switch {
	case s.Lent:
		v.Home = q.self.ID
	case v.Home == q.self.ID:
		v.Home = q.lend(now, r)
		v.Lent = v.Home != q.self.ID
	}
	v.Held = v.Home != q.self.ID
}

// decider returns the owner that says where a request may run: the one whose worker ended last
// under it, empty where that is not known here, and any other one, the same in equal views,
// once that may be gone for good.
func (q *Quarantine) decider(now time.Time, r *record) model.InstanceID {
	owners := q.findNeighbours().takers
	if len(owners) == 0 {
		return q.self.ID
	}
	last := r.lastOwner()
	if now.Sub(r.lastEnd()) < longestHold && (last == "" || last == q.self.ID || slices.Contains(owners, last)) {
		return last
	}
	return trialHome(r.content, owners)
}

// lend returns the owner at which a request may run that this node decides on: itself, also
// while its worker is away, unless the service can spare one more.
func (q *Quarantine) lend(now time.Time, r *record) model.InstanceID {
	if q.workerUp(now) {
		return q.self.ID
	}
	owners := q.findNeighbours().takers
	up := slices.DeleteFunc(q.up(now, owners), func(id model.InstanceID) bool { return id == q.self.ID })
	if spareWorkers(len(up), len(owners), q.use) == 0 {
		return q.self.ID
	}
	return trialHome(r.content, up)
}

// workerUp tells whether the own worker takes requests.
func (q *Quarantine) workerUp(now time.Time) bool {
	if q.usage == nil {
		return true
	}
	_, up := q.usage(now)
	return up
}

// spareWorkers returns how many of the workers that are up a service can lose, when that part
// of the slots of all is in use. While some are away the others' use is greater, so that the
// average over the time of an end errs on the safe side.
func spareWorkers(up, all int, use float64) int { return max(up-int(math.Ceil(use*float64(all))), 0) }

// up returns the owners of which no worker ended so lately that it is still away.
func (q *Quarantine) up(now time.Time, owners []model.InstanceID) []model.InstanceID {
	away := time.Duration(downMargin * float64(q.returns.expected()))
	var up []model.InstanceID
	for _, id := range owners {
		if at, known := q.table.lastEnds[id]; !known || now.Sub(at) >= away {
			up = append(up, id)
		}
	}
	return up
}

// observe takes the part of the own worker's slots that is in use, a while after the last
// time.
func (q *Quarantine) observe(use float64, after time.Duration) {
	weight := min(after.Seconds()/useMemory.Seconds(), 1)
	q.use += weight * (use - q.use)
}

// WorkerBack takes that the own worker answers.
func (q *Quarantine) WorkerBack(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returns.back(now)
}
