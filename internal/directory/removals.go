package directory

import "gypsumstand/internal/model"

// maxRemovals bounds the removals that are remembered for peers. At 1,700 restarts a
// day this is about half of one; a peer that is farther behind gets the whole list.
const maxRemovals = 1024

// removals remembers which workers were removed, the latest last.
type removals struct {
	list []model.Unlisted
	// floor is the revision up to which removals have been forgotten.
	floor uint64
}

func (r *removals) note(gone model.Unlisted) {
	r.forget(gone.Worker)
	r.list = append(r.list, gone)
	if len(r.list) > maxRemovals {
		r.floor = max(r.floor, r.list[0].Revision)
		r.list = r.list[1:]
	}
}

// at returns the revision of a worker's removal, zero when none is remembered.
func (r *removals) at(id model.WorkerID) uint64 {
	for i := range r.list {
		if r.list[i].Worker == id {
			return r.list[i].Revision
		}
	}
	return 0
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
