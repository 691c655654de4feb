package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gypsumstand/internal/model"
)

// maxLast bounds the nodes at which the last end is played, by turns.
const maxLast = 3

// silences are the parts of a fleet that answer nothing, though they are listed.
var silences = []struct {
	name   string
	silent func(i, n int) bool
}{
	{"all but two", func(i, n int) bool { return i != 1 && i != 3*n/5 }},
	{"all but three", func(i, n int) bool { return i != 1 && i != 3*n/5 && i != n-6 }},
	{"every other one", func(i, _ int) bool { return i%2 == 1 }},
	{"the first half", func(i, n int) bool { return i < n/2 }},
	{"a third in a row", func(i, n int) bool { return i >= n/3 && i < 2*n/3 }},
	{"the last one", func(i, n int) bool { return i == n-1 }},
}

// Nodes whose neighbours on the ring were all silent told nobody what they had put aside.
func TestWordReachesTheLivingWhoeverIsSilent(t *testing.T) {
	for _, n := range []int{11, 195} {
		for _, s := range silences {
			t.Run(fmt.Sprintf("%d nodes, %s", n, s.name), func(t *testing.T) {
				worst := time.Duration(0)
				for last := 0; ; last++ {
					f, living := fleetWithSilent(n, s.silent)
					if last == min(len(living), maxLast) {
						break
					}
					for i := range 3 {
						f.play(100 * time.Millisecond)
						f.endAgain(living[(last+1+i)%len(living)], content(1))
					}
					worst = max(worst, f.untilAllKnow(t, content(1)))
				}
				t.Logf("known by all that live after %s at most", worst)
			})
		}
	}
}

// fleetWithSilent returns a fleet of one service of which some nodes never answer, and the
// others.
func fleetWithSilent(n int, silent func(i, n int) bool) (f *fleet, living []*node) {
	f = newFleet(n, 1)
	for i, nd := range f.nodes {
		nd.cut = silent(i, n)
		if !nd.cut {
			living = append(living, nd)
		}
	}
	f.play(10 * time.Second)
	return f, living
}

// endAgain ends a node's worker under a request of which the run's entry knew an end.
func (f *fleet) endAgain(n *node, c model.Fingerprint) {
	n.q.RunFailed(f.now, Run{Content: c, Started: f.now.Add(-30 * time.Millisecond), AlreadySuspect: true})
	n.q.WorkerCrashed(f.now)
	f.wake(n)
}

// hearEachOther lets nodes that are not cut off exchange calls from now on.
func (f *fleet) hearEachOther(nodes []*node) {
	f.after(100*time.Millisecond, func() {
		for i, n := range nodes {
			if peer := nodes[(i+1)%len(nodes)]; !n.cut && !peer.cut {
				n.q.PeerSeen(peer.instance.ID)
				peer.q.PeerSeen(n.instance.ID)
			}
		}
		f.hearEachOther(nodes)
	})
}

// A node whose neighbours on the ring, and theirs, are all gone was told nothing of what had
// been put aside while it was cut off, though it exchanged calls with others.
func TestANodeWithSilentNeighboursLearnsFromWhomItHears(t *testing.T) {
	f, living := fleetWithSilent(1000, silences[1].silent)
	f.hearEachOther(living)
	away := living[2]
	away.cut = true
	for i := range 3 {
		f.play(400 * time.Millisecond)
		f.end(living[i%2], content(1))
	}
	f.play(20 * time.Second)
	away.cut = false
	f.untilAllKnow(t, content(1))
}
