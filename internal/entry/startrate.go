package entry

import (
	"math"
	"sync/atomic"

	"gypsumstand/internal/bundle"
)

// A request moves on from owners that cannot start it at once, since usually another owner
// can. In an overload no other owner can either, and each move costs a round trip, the
// body's bytes on slow links and CPU time of two nodes: at 1.3 times the capacity left in
// two of three data centres, with five moves each, owners refused 25 attempts for each one
// that they started. So owners report the share of attempts that they start at once, and
// where a service's owners seldom do, requests queue at an owner after fewer moves.

const (
	// fullMovesRate is the share of attempts started at once from which on requests make all
	// the moves that the bundle allows. Noisy neighbours that slow a third of the instances
	// for a few tenths of a second leave a share of two thirds. At noMovesRate and below,
	// requests make no moves.
	fullMovesRate = 0.3
	noMovesRate   = 0.1
	// startRateGain is the weight of one owner's report in the smoothed value.
	startRateGain = 1.0 / 4
)

// startRate is the share of a service's attempts that its owners start at once, smoothed over
// their reports. It is safe for concurrent use; one of two concurrent updates may be lost,
// which a smoothed value tolerates. The zero value is a share of 1.
type startRate struct {
	// delayedBits is 1 minus the share, as the bits of a float64.
	delayedBits atomic.Uint64
}

// observe adds the share, 0 to 1, that one owner reported.
func (s *startRate) observe(share float64) {
	before := math.Float64frombits(s.delayedBits.Load())
	s.delayedBits.Store(math.Float64bits(before + (1-share-before)*startRateGain))
}

// maxMoves returns how many owners may refuse a request as busy, of the number that the
// bundle allows.
func (s *startRate) maxMoves(bundleMoves int) int {
	share := 1 - math.Float64frombits(s.delayedBits.Load())
	part := (share - noMovesRate) / (fullMovesRate - noMovesRate)
	return int(math.Round(float64(bundleMoves) * min(max(part, 0), 1)))
}

// startRateFor returns the start rate of a target's service.
func (e *Engine) startRateFor(t *bundle.Target) *startRate {
	return e.startRates.get(t.Service.Name, func() *startRate { return &startRate{} })
}
