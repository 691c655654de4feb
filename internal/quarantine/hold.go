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
	// mostUse is the part of their slots that workers may have in use once another one is lost:
	// fuller ones answer late.
	mostUse = 0.75
	// unseenFor is how long after the last word of an end the own worker may still pass for one
	// that takes requests: its port has not been asked since.
	unseenFor = 300 * time.Millisecond
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
func (q *Quarantine) hold(now time.Time, r *record, s Submission, v *Decision) {
	if !q.held(r) {
		return
	}
	v.OnlyOwner = q.decider(now, r)
	last := r.lastEnd()
	switch {
	case s.Granted:
		v.OnlyOwner = q.self.ID
	case v.OnlyOwner != q.self.ID:
		v.Deferred = true
	default:
		last = q.decide(now, r, v)
	}
	v.RetryAfter = max(q.returns.left(now.Sub(last)), minRetry)
}

// decider returns the owner that says where a request may run: the one whose worker ended last
// under it, empty where that is not known here, and any other one, the same in equal views,
// once that may be gone for good.
func (q *Quarantine) decider(now time.Time, r *record) model.InstanceID {
	owners := q.findNeighbours().admitting
	if len(owners) == 0 {
		return q.self.ID
	}
	last := r.last()
	if now.Sub(last.at) < longestHold && (last.owner == "" || last.owner == q.self.ID || slices.Contains(owners, last.owner)) {
		return last.owner
	}
	return trialHome(r.content, owners)
}

// decide says where a request may run that this node decides on: here while no other worker
// of the service is away, and elsewhere while the own one is, or anywhere if the service can
// spare one more. It returns the end whose worker is waited for.
func (q *Quarantine) decide(now time.Time, r *record, v *Decision) (last time.Time) {
	owners := q.findNeighbours().admitting
	up, last := q.others(now, owners)
	own := r.last()
	if own.owner != q.self.ID && now.Sub(own.at) < q.away() && own.at.After(last) {
		// Its owner may not be listed any more while its worker is away.
		last = own.at
	}
	here := q.workerUp(now)
	spare := spareWorkers(len(up), len(owners), q.use) > 0
	switch {
	case !here && spare:
		v.OnlyOwner = trialHome(r.content, up)
		v.Deferred, v.Granted = true, true
	case here && !spare && !last.IsZero():
		v.Deferred = true
	}
	if !here || own.at.After(last) {
		last = own.at
	}
	return last
}

// away returns how long a worker counts as away after an end.
func (q *Quarantine) away() time.Duration {
	return time.Duration(downMargin * float64(q.returns.expected()))
}

// EvaluateReroute says where a suspect request goes whose run here found no worker. Others may know
// less of it than this node and leave it to this one, so that it is lent also where it would go
// on anywhere.
func (q *Quarantine) EvaluateReroute(now time.Time, content model.Fingerprint, s Submission, label string) Decision {
	v := q.Evaluate(now, content, s, label)
	if v.Quarantined || v.OnlyOwner != "" || v.Crashes == 0 {
		return v
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	up, _ := q.others(now, q.findNeighbours().admitting)
	if len(up) > 0 {
		v.OnlyOwner, v.Deferred, v.Granted = trialHome(content, up), true, true
		v.RetryAfter = max(q.returns.left(0), minRetry)
	}
	return v
}

// workerUp tells whether the own worker takes requests.
func (q *Quarantine) workerUp(now time.Time) bool {
	if !q.returns.ended.IsZero() && now.Sub(q.returns.told) < unseenFor {
		return false
	}
	_, up := q.usage(now)
	return up
}

// spareWorkers returns how many of the workers that are up a service can lose, when that part
// of the slots of all is in use. While some are away the others' use is greater, so that the
// average over the time of an end errs on the safe side.
func spareWorkers(up, all int, use float64) int {
	needed := int(math.Ceil(use * float64(all) / mostUse))
	return max(up-needed, 0)
}

// others returns the other owners of which no worker ended so lately that it is still away,
// and the last end of the others, zero where there are none.
func (q *Quarantine) others(now time.Time, owners []model.InstanceID) (up []model.InstanceID, last time.Time) {
	for _, id := range owners {
		at, known := q.table.lastEnds[id]
		switch {
		case id == q.self.ID:
		case !known || now.Sub(at) >= q.away():
			up = append(up, id)
		case at.After(last):
			last = at
		}
	}
	return up, last
}

// observe takes the part of the own worker's slots that is in use, a while after the last
// time.
func (q *Quarantine) observe(use float64, after time.Duration) {
	weight := min(after.Seconds()/useMemory.Seconds(), 1)
	q.use += weight * (use - q.use)
}

// WorkerRecovered takes that the own worker answers.
func (q *Quarantine) WorkerRecovered(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.returns.back(now)
}
