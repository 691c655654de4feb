package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// maxLastCrashes bounds the nodes that are tried as the place of the last crash.
const maxLastCrashes = 3

// unresponsiveSets are the parts of a fleet that never reply though they are listed.
var unresponsiveSets = []struct {
	name         string
	unresponsive func(i, n int) bool
}{
	{"all but two", func(i, n int) bool { return i != 1 && i != 3*n/5 }},
	{"all but three", func(i, n int) bool { return i != 1 && i != 3*n/5 && i != n-6 }},
	{"every other one", func(i, _ int) bool { return i%2 == 1 }},
	{"the first half", func(i, n int) bool { return i < n/2 }},
	{"a third in a row", func(i, n int) bool { return i >= n/3 && i < 2*n/3 }},
	{"the last one", func(i, n int) bool { return i == n-1 }},
}

// A node whose neighbours on the ring are all unresponsive must still announce the requests
// that it has quarantined.
func TestUpdatesReachLiveNodesPastUnresponsive(t *testing.T) {
	for _, n := range []int{11, 195} {
		for _, s := range unresponsiveSets {
			t.Run(fmt.Sprintf("%d nodes, %s", n, s.name), func(t *testing.T) {
				worst := time.Duration(0)
				for last := 0; ; last++ {
					f, live := newFleetWithUnresponsive(n, s.unresponsive)
					if last == min(len(live), maxLastCrashes) {
						break
					}
					for i := range 3 {
						f.simulate(100 * time.Millisecond)
						f.crashAgain(live[(last+1+i)%len(live)], content(1))
					}
					worst = max(worst, f.untilAllKnow(t, content(1)))
				}
				t.Logf("known by all live nodes after %s at most", worst)
			})
		}
	}
}

// newFleetWithUnresponsive returns a fleet of one service in which some nodes never reply,
// and the other nodes.
func newFleetWithUnresponsive(n int, unresponsive func(i, n int) bool) (f *fleet, live []*node) {
	f = newFleet(n, 1)
	for i, nd := range f.nodes {
		nd.isolated = unresponsive(i, n)
		if !nd.isolated {
			live = append(live, nd)
		}
	}
	f.simulate(10 * time.Second)
	return f, live
}

// crashAgain makes a node's worker crash under a request that was already suspect when its
// run started.
func (f *fleet) crashAgain(n *node, c model.Fingerprint) {
	n.q.RunFailed(f.now, Run{Content: c, Started: f.now.Add(-30 * time.Millisecond), AlreadySuspect: true})
	n.q.WorkerCrashed(f.now)
	f.wake(n)
}

// exchangeCalls makes nodes that are not isolated exchange calls from now on.
func (f *fleet) exchangeCalls(nodes []*node) {
	f.after(100*time.Millisecond, func() {
		for i, n := range nodes {
			if peer := nodes[(i+1)%len(nodes)]; !n.isolated && !peer.isolated {
				n.q.PeerSeen(peer.instance.ID)
				peer.q.PeerSeen(n.instance.ID)
			}
		}
		f.exchangeCalls(nodes)
	})
}

// A node whose neighbours on the ring, and theirs, are all down must learn what was
// quarantined while it was isolated from the nodes with which it exchanges calls.
func TestNodeLearnsFromCallsWhenNeighboursFail(t *testing.T) {
	f, live := newFleetWithUnresponsive(1000, unresponsiveSets[1].unresponsive)
	f.exchangeCalls(live)
	learner := live[2]
	learner.isolated = true
	for i := range 3 {
		f.simulate(400 * time.Millisecond)
		f.crash(live[i%2], content(1))
	}
	f.simulate(20 * time.Second)
	learner.isolated = false
	f.untilAllKnow(t, content(1))
}
