package directory

import "gypsumstand/internal/model"

// maxRemovals bounds the removals that are remembered for peers. At 1,700 restarts a day
// they cover about half a day; a peer that is further behind receives the full list.
const maxRemovals = 1024

// removal is a removed worker with the last entry that was known of it.
type removal struct {
	model.Unlisted
	last model.Listing
}

// removals holds the removed workers, latest last.
type removals struct {
	list []removal
	// compactedRevision is the revision up to which removals have been evicted.
	compactedRevision uint64
}

func (r *removals) add(u removal) {
	r.forget(u.Worker)
	r.list = append(r.list, u)
	if len(r.list) > maxRemovals {
		r.compactedRevision = max(r.compactedRevision, r.list[0].Revision)
		r.list = r.list[1:]
	}
}

// revision returns the revision of a worker's removal, zero if none is remembered.
func (r *removals) revision(id model.WorkerID) uint64 {
	for i := range r.list {
		if r.list[i].Worker == id {
			return r.list[i].Revision
		}
	}
	return 0
}

// forPeers returns the removals as peers receive them.
func (r *removals) forPeers() []model.Unlisted {
	out := make([]model.Unlisted, len(r.list))
	for i := range r.list {
		out[i] = r.list[i].Unlisted
	}
	return out
}

// forget drops the removal of a worker that is listed again.
func (r *removals) forget(id model.WorkerID) {
	for i := range r.list {
		if r.list[i].Worker == id {
			r.list = append(r.list[:i:i], r.list[i+1:]...)
			return
		}
	}
}
