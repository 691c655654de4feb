package member

import (
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// During a platform outage, most of a small fleet is replaced, including all seeds. No
// list names the new instances, and the remaining ones consider their ids gone. They must
// join by dialling the seeds.
func TestInstancesReplacedDuringPlatformOutageJoin(t *testing.T) {
	f := newFleet(5)
	seeds := []string{instance(0, 3, 0).PeerAddress, instance(1, 3, 0).PeerAddress}
	for i := range 5 {
		f.setListed(instance(i, 3, model.StateLive))
		f.start(instance(i, 3, model.StateLive), seeds...)
	}
	f.run(20 * time.Second)
	for i := range 3 {
		f.setListed(instance(i, 3, model.StateLeaving))
		f.setState(f.nodes[i], model.StateLeaving)
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
