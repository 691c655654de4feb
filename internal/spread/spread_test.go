package spread

import (
	"testing"
	"time"
)

func TestNewVersionIsInForceEverywhereWithinSevenSeconds(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		f := newFleet(100, 1)
		f.loss = loss
		f.publish("a", 1, 5000)
		f.linkAll(4)
		f.settle(t)
		for version := uint64(2); version < 12; version++ {
			times := f.rollOut(t, "a", version, 5000)
			if last := times[len(times)-1]; last > 7*time.Second {
				t.Errorf("loss %.1f: version %d was in force everywhere after %s", loss, version, last)
			}
		}
	}
}
