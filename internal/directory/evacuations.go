package directory

import (
	"fmt"
	"maps"
	"slices"

	"gypsumstand/internal/control"
	"gypsumstand/internal/event"
	"gypsumstand/internal/model"
)

// maxEvacuationEnds bounds the ends of evacuations that are remembered for peers. A peer
// that is further behind receives the full list.
const maxEvacuationEnds = 256

// evacuations holds the latest evacuation, or end of one, of each data centre, from reads
// and peers.
type evacuations struct {
	latest map[model.DataCentre]model.Evacuation
	// compactedRevision is the revision up to which ends have been evicted.
	compactedRevision uint64
}

func newEvacuations() evacuations {
	return evacuations{latest: map[model.DataCentre]model.Evacuation{}}
}

// apply records v unless a newer value is known, and reports whether that changed the data
// centre's state.
func (e *evacuations) apply(v model.Evacuation) (changed bool) {
	before, known := e.latest[v.DataCentre]
	if known && v.Revision <= before.Revision || v.Ended && v.Revision <= e.compactedRevision {
		return false
	}
	e.latest[v.DataCentre] = v
	if v.Ended {
		e.evictOldestEnd()
	}
	was := known && !before.Ended
	return was == v.Ended
}

// missingFrom returns an end, as of a revision, for each evacuation that is missing from a
// full list. An evacuation that is newer than the list's revision started after that part
// of the list was read.
func (e *evacuations) missingFrom(listed []model.Evacuation, revision uint64) []model.Evacuation {
	var out []model.Evacuation
	for _, dc := range e.inForce() {
		isListed := slices.ContainsFunc(listed, func(n model.Evacuation) bool { return n.DataCentre == dc })
		if !isListed && e.latest[dc].Revision < revision {
			out = append(out, model.Evacuation{DataCentre: dc, Revision: revision, Ended: true})
		}
	}
	return out
}

// evictOldestEnd evicts the oldest end if there are more than maxEvacuationEnds.
func (e *evacuations) evictOldestEnd() {
	ends, oldest := 0, model.Evacuation{}
	for _, v := range e.latest {
		if !v.Ended {
			continue
		}
		ends++
		if oldest.Revision == 0 || v.Revision < oldest.Revision {
			oldest = v
		}
	}
	if ends > maxEvacuationEnds {
		delete(e.latest, oldest.DataCentre)
		e.compactedRevision = max(e.compactedRevision, oldest.Revision)
	}
}

// inForce returns the evacuated data centres in sorted order.
func (e *evacuations) inForce() []model.DataCentre {
	var out []model.DataCentre
	for _, v := range e.sorted() {
		if !v.Ended {
			out = append(out, v.DataCentre)
		}
	}
	return out
}

// sorted returns all known values, sorted by data centre.
func (e *evacuations) sorted() []model.Evacuation {
	var out []model.Evacuation
	for _, dc := range slices.Sorted(maps.Keys(e.latest)) {
		out = append(out, e.latest[dc])
	}
	return out
}

// applyEvacuations applies the evacuations of a read or a peer's reply; source names its
// origin in log lines.
func (c *Controller) applyEvacuations(r *control.DirectoryRead, source string) {
	changes := r.Evacuations
	if r.Full {
		changes = append(slices.Clone(changes), c.evacuated.missingFrom(changes, r.Revision)...)
	}
	for _, e := range changes {
		if !c.evacuated.apply(e) {
			continue
		}
		c.dirty = true
		id := event.DataCentreEvacuated
		if e.Ended {
			id = event.DataCentreRestored
		}
		c.record(id, string(e.DataCentre), fmt.Sprintf("revision %d; from %s", e.Revision, source), nil)
	}
}
