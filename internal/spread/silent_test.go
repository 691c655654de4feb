package spread

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// Nearly all that are listed are silent: readings are shared out over the listed, and the few
// that live read all the same.
func TestANewVersionIsInForceInTimeWhereMostListedNodesAreSilent(t *testing.T) {
	for _, living := range []int{2, 3, 40} {
		f := newFleet(0, 5)
		for i := range 195 {
			f.view.Instances = append(f.view.Instances, model.Instance{ID: model.InstanceID(fmt.Sprintf("silent%05d", i))})
		}
		for range living {
			f.addNode()
		}
		for _, nd := range f.nodes {
			nd.board.Fleet.Put(f.view)
		}
		f.publish("a", 1, 1000)
		f.linkAll(4)
		f.settle(t)
		for version := uint64(2); version < 6; version++ {
			times := f.rollOut(t, "a", version, 1000)
			if last := times[len(times)-1]; last > bound {
				t.Errorf("%d live: version %d was in force everywhere after %s", living, version, last)
			} else {
				t.Logf("%d live: version %d after %s", living, version, last)
			}
			f.run(time.Second)
		}
	}
}
