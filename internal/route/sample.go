package route

import (
	"math"

	"gypsumstand/internal/model"
)

// maxCandidates bounds the candidates of one choice.
const maxCandidates = 8

// candidates is a bounded set without heap memory.
type candidates struct {
	list [maxCandidates]*upstream
	n    int
}

// add puts u in unless it is there, and tells whether it did.
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

// sample fills c with upstreams that may be chosen, of the own data centre and
// of others; what one side lacks the other gives.
func (t *Table) sample(c *candidates, svc *service, f filter) {
	local, remote := t.tuning.Local, t.tuning.Remote
	lackLocal := max(0, local-len(svc.local))
	lackRemote := max(0, remote-len(svc.remote))
	t.draw(c, svc.local, local+lackRemote, false, f)
	t.draw(c, svc.remote, remote+lackLocal, true, f)
}

// draw adds up to k distinct upstreams of list at random. With nearer, each is
// the nearer by link of two draws, so that far data centres do not take the
// place of near ones.
func (t *Table) draw(c *candidates, list []*upstream, k int, nearer bool, f filter) {
	n := len(list)
	for range min(k, n, maxCandidates-c.n) {
		bits := t.cfg.Random()
		i := below(uint32(bits), n)
		if j := below(uint32(bits>>32), n); nearer && list[j].link.roundTrip() < list[i].link.roundTrip() {
			i = j
		}
		if !c.addFrom(list, i, f) {
			return
		}
	}
}

// addFrom adds the first upstream of list from place start on that may be
// chosen and is not there, and tells whether there was one.
func (c *candidates) addFrom(list []*upstream, start int, f filter) bool {
	for i := range list {
		u := list[(start+i)%len(list)]
		if u.eligible(f) && c.add(u) {
			return true
		}
	}
	return false
}

// below maps 32 random bits to 0..n-1.
func below(bits uint32, n int) int { return int(uint64(bits) * uint64(n) >> 32) }

// filter says which upstreams may be chosen.
type filter struct {
	// tried lists those that must not be.
	tried []model.InstanceID
	now   int64
	// memory is Config.LeavingTTL in nanoseconds.
	memory int64
	// regions are those in which the request may run.
	regions model.Regions
	// evacuated lets upstreams of evacuated data centres be chosen, outOfTurn warming ones
	// whose turn at this entry has not come.
	evacuated, outOfTurn bool
}

// filter returns the table's filter at time now.
func (t *Table) filter(now int64, tried []model.InstanceID, regions model.Regions) filter {
	return filter{tried: tried, now: now, memory: int64(t.cfg.LeavingTTL), regions: regions}
}

// eligible tells whether u may be chosen for a request.
func (u *upstream) eligible(f filter) bool {
	for _, id := range f.tried {
		if id == u.instance.ID {
			return false
		}
	}
	switch {
	case u.evacuated && !f.evacuated, !f.regions.Allows(u.region):
		return false
	case u.cell.leaving(f.now, f.memory), u.cell.unreached(f.now):
		return false
	}
	return f.outOfTurn || u.cell.inTurn(f.now)
}

// firstEligible returns the first upstream that may be chosen from place start
// on, or nil.
func (s *service) firstEligible(start int, f filter) *upstream {
	for i := range s.all {
		if u := s.all[(start+i)%len(s.all)]; u.eligible(f) {
			return u
		}
	}
	return nil
}

// normal returns a nearly normal deviate from 64 random bits: the sum of four
// uniform ones.
func normal(bits uint64) float64 {
	const (
		unit     = 1.0 / (1 << 16)
		mean     = 2
		perUnits = math.Sqrt2 * 1.2247448713915890 // 1/sqrt(4/12) = sqrt(3)
	)
	sum := float64(uint16(bits)) + float64(uint16(bits>>16)) + float64(uint16(bits>>32)) + float64(uint16(bits>>48))
	return (sum*unit - mean) * perUnits
}
