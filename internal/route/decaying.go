package route

import (
	"math"
	"sync/atomic"
)

// decaying is a smoothed value that decays to zero while nothing is added. Its two fields are
// written without a lock: one of two concurrent updates may be lost, which a smoothed value
// tolerates.
type decaying struct {
	bits atomic.Uint64
	at   atomic.Int64
}

// value returns the value at time now.
func (d *decaying) value(now int64, timeConstant float64) float64 {
	v := math.Float64frombits(d.bits.Load())
	if v == 0 {
		return 0
	}
	return v * math.Exp(-float64(max(0, now-d.at.Load()))/timeConstant)
}

// add adds a sample x with the given gain.
func (d *decaying) add(now int64, x, gain, timeConstant float64) {
	v := d.value(now, timeConstant)
	d.bits.Store(math.Float64bits(v + (x-v)*gain))
	d.at.Store(now)
}

func (d *decaying) reset() { d.bits.Store(0) }
