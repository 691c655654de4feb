package directory

import (
	"fmt"
	"maps"
	"slices"
	"time"

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
	// held are the states, true for evacuated, that were known before the directory was
	// restored. Each stays in use until heldUntil, or until a change after restoredAt, the
	// revision of the first complete list.
	held       map[model.DataCentre]bool
	heldUntil  time.Time
	restoredAt uint64
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
	was := e.isInForce(v.DataCentre)
	e.latest[v.DataCentre] = v
	if v.Revision > e.restoredAt {
		delete(e.held, v.DataCentre)
	}
	if v.Ended {
		e.evictOldestEnd()
	}
	return was != e.isInForce(v.DataCentre)
}

// isInForce reports whether a data centre is evacuated.
func (e *evacuations) isInForce(dc model.DataCentre) bool {
	if state, held := e.held[dc]; held {
		return state
	}
	v, known := e.latest[dc]
	return known && !v.Ended
}

// enterEra keeps the known states in use until a time, while the restored directory, whose
// first complete list is of a revision, tells what it holds.
func (e *evacuations) enterEra(revision uint64, until time.Time) {
	held := map[model.DataCentre]bool{}
	for _, dc := range e.known() {
		held[dc] = e.isInForce(dc)
	}
	*e = evacuations{
		latest: map[model.DataCentre]model.Evacuation{}, compactedRevision: revision,
		held: held, heldUntil: until, restoredAt: revision,
	}
}

// releaseHeld takes over what the restored directory holds, and returns the data centres
// whose state that changes.
func (e *evacuations) releaseHeld(now time.Time) []model.DataCentre {
	if len(e.held) == 0 || now.Before(e.heldUntil) {
		return nil
	}
	held := e.held
	e.held = nil
	var changed []model.DataCentre
	for dc, state := range held {
		if state != e.isInForce(dc) {
			changed = append(changed, dc)
		}
	}
	slices.Sort(changed)
	return changed
}

// missingFrom returns an end, as of a revision, for each evacuation that is missing from a
// full list. An evacuation that is newer than the list's revision started after that part
// of the list was read.
func (e *evacuations) missingFrom(listed []model.Evacuation, revision uint64) []model.Evacuation {
	var out []model.Evacuation
	for _, v := range e.sorted() {
		isListed := slices.ContainsFunc(listed, func(n model.Evacuation) bool { return n.DataCentre == v.DataCentre })
		if !v.Ended && !isListed && v.Revision < revision {
			out = append(out, model.Evacuation{DataCentre: v.DataCentre, Revision: revision, Ended: true})
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
	for _, dc := range e.known() {
		if e.isInForce(dc) {
			out = append(out, dc)
		}
	}
	return out
}

// known returns the data centres of which a state is known, in sorted order.
func (e *evacuations) known() []model.DataCentre {
	all := slices.AppendSeq(slices.Collect(maps.Keys(e.latest)), maps.Keys(e.held))
	slices.Sort(all)
	return slices.Compact(all)
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
		c.recordEvacuation(e.DataCentre, fmt.Sprintf("revision %d; from %s", e.Revision, source))
	}
}

// releaseEvacuations takes over the evacuations of a restored directory once its writers have
// had the time to write them again.
func (c *Controller) releaseEvacuations(now time.Time) {
	for _, dc := range c.evacuated.releaseHeld(now) {
		c.recordEvacuation(dc, "as the restored directory has it")
	}
}

// recordEvacuation records that a data centre was evacuated or taken back.
func (c *Controller) recordEvacuation(dc model.DataCentre, detail string) {
	c.dirty = true
	id := event.DataCentreRestored
	if c.evacuated.isInForce(dc) {
		id = event.DataCentreEvacuated
	}
	c.record(id, string(dc), detail, nil)
}
