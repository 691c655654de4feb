package route

import (
	"math"

	"gypsumstand/internal/model"
)

// maxCandidates bounds the candidates of one choice.
const maxCandidates = 8

// candidates is a bounded set that needs no heap allocation.
type candidates struct {
	list [maxCandidates]*upstream
	n    int
}

// add adds u unless it is in the set, and reports whether it did.
func (c *candidates) add(u *upstream) bool {
	for _, other := range c.list[:c.n] {
		if other == u {
			return false
		}
	}
	c.list[c.n] = u
	c.n++
	return true
}

// sample fills c with random upstreams that may be chosen, of the own data centre and of
// others; a shortage on one side is made up from the other.
func (t *Table) sample(c *candidates, svc *service, f filter) {
	local, remote := t.tuning.Local, t.tuning.Remote
	missingLocal := max(0, local-len(svc.local))
	missingRemote := max(0, remote-len(svc.remote))
	t.draw(c, svc.local, local+missingRemote, false, f)
	t.draw(c, svc.remote, remote+missingLocal, true, f)
}

// draw adds up to k distinct random upstreams of list. With preferNear each is the nearer,
// by link, of two draws, so that far data centres don't crowd out near ones.
func (t *Table) draw(c *candidates, list []*upstream, k int, preferNear bool, f filter) {
	n := len(list)
	for range min(k, n, maxCandidates-c.n) {
		bits := t.cfg.Random()
		i := scaleRandom(uint32(bits), n)
		if j := scaleRandom(uint32(bits>>32), n); preferNear && list[j].link.roundTrip() < list[i].link.roundTrip() {
			i = j
		}
		if !c.addFrom(list, i, f) {
			return
		}
	}
}

// addFrom adds the first upstream of list, from index start on, that may be chosen and is
// not in the set, and reports whether there was one.
func (c *candidates) addFrom(list []*upstream, start int, f filter) bool {
	for i := range list {
		u := list[(start+i)%len(list)]
		if u.eligible(f) && c.add(u) {
			return true
		}
	}
	return false
}

// scaleRandom maps 32 random bits to 0..n-1.
func scaleRandom(bits uint32, n int) int { return int(uint64(bits) * uint64(n) >> 32) }

// filter defines which upstreams may be chosen.
type filter struct {
	// excluded lists instances that may not be chosen.
	excluded []model.InstanceID
	now      int64
	// leavingTTL is Config.LeavingTTL in nanoseconds.
	leavingTTL int64
	// regions are those in which the request may run.
	regions model.Regions
	// includeEvacuated allows upstreams of evacuated data centres, ignoreTurns warming ones
	// out of turn.
	includeEvacuated, ignoreTurns bool
}

// newFilter returns a filter with the table's settings at time now.
func (t *Table) newFilter(now int64, excluded []model.InstanceID, regions model.Regions) filter {
	return filter{excluded: excluded, now: now, leavingTTL: int64(t.cfg.LeavingTTL), regions: regions}
}

// eligible reports whether u may be chosen.
func (u *upstream) eligible(f filter) bool {
	for _, id := range f.excluded {
		if id == u.instance.ID {
			return false
		}
	}
	switch {
	case u.evacuated && !f.includeEvacuated, !f.regions.Allows(u.region):
		return false
	case u.workerLeaving(), u.cell.reportedLeaving(f.now, f.leavingTTL), u.cell.isUnreachable(f.now):
		return false
	}
	return f.ignoreTurns || u.cell.turnDue(f.now)
}

// firstEligible returns the first upstream, from index start on, that may be chosen, or nil.
func (s *service) firstEligible(start int, f filter) *upstream {
	for i := range s.all {
		if u := s.all[(start+i)%len(s.all)]; u.eligible(f) {
			return u
		}
	}
	return nil
}

// normalDeviate returns a nearly standard normal deviate from 64 random bits, as the sum of
// four uniform ones.
func normalDeviate(bits uint64) float64 {
	const (
		unit     = 1.0 / (1 << 16)
		mean     = 2
		perUnits = math.Sqrt2 * 1.2247448713915890 // 1/sqrt(4/12) = sqrt(3)
	)
	sum := float64(uint16(bits)) + float64(uint16(bits>>16)) + float64(uint16(bits>>32)) + float64(uint16(bits>>48))
	return (sum*unit - mean) * perUnits
}
