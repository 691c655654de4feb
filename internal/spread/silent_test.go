package spread

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// Nearly all listed nodes are silent. Reads are shared among all listed nodes, yet the
// few live ones must still read in time.
func TestRollOutAmongMostlySilentNodes(t *testing.T) {
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
		f.runUntilReady(t)
		for version := uint64(2); version < 6; version++ {
			f.checkRollOut(t, fmt.Sprintf("%d live", living), version, 1000)
			f.run(time.Second)
		}
	}
}
