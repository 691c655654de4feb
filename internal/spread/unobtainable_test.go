package spread

import (
	"testing"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// The configuration service lists a new version and goes down before any node has read
// it. The version must not keep a fresh node from serving what its peers have.
func TestUnobtainableListedVersionDoesNotBlockReadiness(t *testing.T) {
	f := newFleet(5, 3)
	f.publish("a", 1, 100)
	f.linkAll(3)
	f.runUntilReady(t)
	f.platform.down = true
	fresh := f.nodes[2]
	f.restart(fresh)
	f.linkSome(fresh, 3, f.nodes)
	f.run(100 * time.Millisecond)
	f.handle(fresh, control.IndexRead{Versions: []model.BundleVersion{{Name: "a", Version: 2}}})
	f.run(15 * time.Second)
	if got := fresh.inForce("a"); got != 1 {
		t.Errorf("version %d in force after 15 s, want the peers' 1; missing %v", got, fresh.c.NotReadyReasons())
	}
}
