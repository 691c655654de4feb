package member

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// The platform is down while most of a small fleet is replaced, all seeds
// included: the fresh instances find each other by the seeds, those that were not
// replaced know them as gone, and no list names anyone anew.
func TestInstancesReplacedWhileThePlatformIsDownJoinTheOthers(t *testing.T) {
	f := newFleet(5)
	seeds := []string{instance(0, 3, 0).PeerAddress, instance(1, 3, 0).PeerAddress}
	for i := range 5 {
		f.list(instance(i, 3, model.StateLive))
		f.start(instance(i, 3, model.StateLive), seeds...)
	}
	f.run(20 * time.Second)
	for i := range 3 {
		f.list(instance(i, 3, model.StateLeaving))
		f.say(f.nodes[i], model.StateLeaving)
		f.run(2 * time.Second)
		f.kill(f.nodes[i])
	}
	f.listDown = true
	f.run(10 * time.Second)
	for i := range 3 {
		f.restart(f.nodes[i])
	}
	if took := f.until(2*time.Minute, func() bool { return f.converged(5) }); took > time.Minute {
		t.Errorf("no common view %s after the restart", took)
	}
}
