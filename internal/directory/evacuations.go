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
// that is farther behind gets the whole list.
const maxEvacuationEnds = 256

// evacuations holds the newest word on each data centre, whichever way it came.
type evacuations struct {
	newest map[model.DataCentre]model.Evacuation
	// floor is the revision up to which ends have been forgotten.
	floor uint64
}

func newEvacuations() evacuations {
	return evacuations{newest: map[model.DataCentre]model.Evacuation{}}
}

// take notes a word unless a newer one is known, and reports whether the data centre is
// evacuated now where it was not before, or the other way round.
func (e *evacuations) take(word model.Evacuation) (turned bool) {
	before, known := e.newest[word.DataCentre]
	if known && word.Revision <= before.Revision || word.Ended && word.Revision <= e.floor {
		return false
	}
	e.newest[word.DataCentre] = word
	if word.Ended {
		e.forget()
	}
	was := known && !before.Ended
	return was == word.Ended
}

// lacking returns the end, as of a revision, of each evacuation that a whole list lacks.
// One that is newer than the list's revision began after that part of it was read.
func (e *evacuations) lacking(named []model.Evacuation, revision uint64) []model.Evacuation {
	var out []model.Evacuation
	for _, dc := range e.inForce() {
		isNamed := slices.ContainsFunc(named, func(n model.Evacuation) bool { return n.DataCentre == dc })
		if !isNamed && e.newest[dc].Revision < revision {
			out = append(out, model.Evacuation{DataCentre: dc, Revision: revision, Ended: true})
		}
	}
	return out
}

// forget drops the oldest end where there are too many.
func (e *evacuations) forget() {
	ends, oldest := 0, model.Evacuation{}
	for _, word := range e.newest {
		if !word.Ended {
			continue
		}
		ends++
		if oldest.Revision == 0 || word.Revision < oldest.Revision {
			oldest = word
		}
	}
	if ends > maxEvacuationEnds {
		delete(e.newest, oldest.DataCentre)
		e.floor = max(e.floor, oldest.Revision)
	}
}

// inForce names the evacuated data centres in order.
func (e *evacuations) inForce() []model.DataCentre {
	var out []model.DataCentre
	for _, word := range e.forPeers() {
		if !word.Ended {
			out = append(out, word.DataCentre)
		}
	}
	return out
}

// forPeers returns all that is known, in the data centres' order.
func (e *evacuations) forPeers() []model.Evacuation {
	var out []model.Evacuation
	for _, dc := range slices.Sorted(maps.Keys(e.newest)) {
		out = append(out, e.newest[dc])
	}
	return out
}

// evacuate takes what was told of evacuations; by words who told it.
func (c *Controller) evacuate(r *control.DirectoryRead, by string) {
	words := r.Evacuations
	if r.Full {
		words = append(slices.Clone(words), c.evacuated.lacking(words, r.Revision)...)
	}
	for _, word := range words {
		if !c.evacuated.take(word) {
			continue
		}
		c.dirty = true
		id := event.DataCentreEvacuated
		if word.Ended {
			id = event.DataCentreRestored
		}
		c.record(id, string(word.DataCentre), fmt.Sprintf("revision %d; by %s", word.Revision, by), nil)
	}
}
