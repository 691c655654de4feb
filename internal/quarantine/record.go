package quarantine

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gypsumstand/internal/model"
)

// What makes a request suspect.
const (
	// endsToPutAside is the number of ends after which a request is put aside. With two,
	// a request that happens to be in hand when two workers end by themselves would be.
	endsToPutAside = 3
	// endsToRunAlone is the number of ends from which a request runs at a worker where no
	// other one as suspect runs, so that the next end tells which of them it was.
	endsToRunAlone = 2
	// maxEnds bounds the ends that are kept of one request; more prove nothing more.
	maxEnds = 8
)

// end is one end of a worker's life with a request in hand.
type end struct {
	id    CrashID
	owner model.InstanceID
	at    time.Time
	// doubted: the run began after another end under the same request was known.
	doubted bool
	// trial: the run was a trial of a request that was put aside.
	trial bool
}

// weight orders the ends of one request by how much they prove.
func (e *end) weight() int {
	switch {
	case e.trial:
		return 2
	case e.doubted:
		return 1
	}
	return 0
}

// record is what is known of one request.
type record struct {
	content model.Fingerprint
	// cleared counts the whole runs that cleared the request of the ends before them.
	cleared uint32
	// ends since the last clearing, in the order of their ids.
	ends []end
	// barred: it has been put aside since the last clearing, and stays so until the next:
	// the ends that another request explains later may have been its own too.
	barred bool
	// wide: it has been put aside at some time, so that every node of the fleet knows it;
	// others are known to the nodes of their service.
	wide bool
	// changed is when the record last changed anywhere.
	changed time.Time
	// label is what the request asked for; empty where it was never seen here.
	label string
	// aside: the request is put aside, here since that time. left counts its ends that
	// nothing else explains. All three are judged anew with each change.
	aside bool
	since time.Time
	left  int
	// trialAt is when a trial was last let through here.
	trialAt time.Time
	// untold: there is something that peers have not been told. asideHere: it is that an end
	// of the own worker put the request aside.
	untold, asideHere bool
}

// judge judges the request by its ends that nothing else explains. It is put aside for enough
// of them, of which one came after another: a rack that is lost ends many workers at once
// under a request that many ask for, and only one whose next run ends its worker again is
// told apart from that.
func (r *record) judge(explained map[CrashID]bool) {
	left, doubted := r.unexplained(explained)
	r.left = left
	r.barred = r.barred || left >= endsToPutAside && doubted
	r.aside = r.barred && len(r.ends) > 0
}

// innocent tells whether a request that is put aside may have been in hand by chance: others
// explain all its ends, and no trial has shown anything yet.
func (r *record) innocent() bool { return r.aside && r.left == 0 && r.trials() == 0 }

// unexplained counts the ends that are not explained, and tells whether one of them is of a
// run that was doubted.
func (r *record) unexplained(explained map[CrashID]bool) (left int, doubted bool) {
	for i := range r.ends {
		if e := &r.ends[i]; !explained[e.id] {
			left++
			doubted = doubted || e.doubted
		}
	}
	return left, doubted
}

// last returns the last end under the request.
func (r *record) last() end {
	var last end
	for _, e := range r.ends {
		if e.at.After(last.at) {
			last = e
		}
	}
	return last
}

// lastEnd returns when a worker last ended under the request.
func (r *record) lastEnd() time.Time { return r.last().at }

// unheard stands for a request of which an entry says that workers ended, and nobody else
// yet.
func unheard(now time.Time, content model.Fingerprint, ends int) *record {
	return &record{content: content, ends: []end{{at: now}}, left: ends}
}

// add adds an end and reports whether it is new. Of more than maxEnds those are kept that
// prove most, the same ones on every node.
func (r *record) add(e end) bool {
	at, known := slices.BinarySearchFunc(r.ends, e.id, func(x end, id CrashID) int { return cmp.Compare(x.id, id) })
	if known {
		return false
	}
	r.ends = slices.Insert(r.ends, at, e)
	if len(r.ends) <= maxEnds {
		return true
	}
	drop := 0
	for i := range r.ends {
		if r.ends[i].weight() <= r.ends[drop].weight() {
			drop = i
		}
	}
	dropped := r.ends[drop].id
	r.ends = slices.Delete(r.ends, drop, drop+1)
	return dropped != e.id
}

// trials counts the trials that ended workers.
func (r *record) trials() int {
	n := 0
	for _, e := range r.ends {
		if e.trial {
			n++
		}
	}
	return n
}

// severity orders records: the greater is told first and forgotten last.
func (r *record) severity() int {
	switch {
	case r.aside:
		return 2 * maxEnds
	case r.wide:
		return maxEnds
	}
	return r.left
}

// digest returns a hash of what peers are to agree on.
func (r *record) digest() uint64 {
	b := make([]byte, 0, len(r.content)+4+8*len(r.ends))
	b = append(b, r.content[:]...)
	b = binary.BigEndian.AppendUint32(b, r.cleared)
	if r.barred {
		b = append(b, 1)
	}
	for _, e := range r.ends {
		b = binary.BigEndian.AppendUint64(b, uint64(e.id))
	}
	return xxhash.Sum64(b)
}
