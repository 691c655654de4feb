package member

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gypsumstand/internal/blackboard"
	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// benchLoss is the share of messages that the measured fleets lose.
const benchLoss = 0.01

// BenchmarkFleet reports, per fleet size and on a fake clock: seconds from a simultaneous
// start of all nodes to a common view; bytes per second that a node sends at rest (mean,
// and of the busiest node); list reads per second of the whole fleet; seconds until all
// nodes know a leaving and a crashed instance; bytes that a node sends for one replaced
// instance; bytes that a fresh node receives until it knows the fleet; seconds until all
// nodes see a restarted data centre live.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				measureFleet(b, n)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureFleet(b *testing.B, n int) {
	const dcs = 9
	f := newStableFleet(b, n, dcs, 0)
	f.loss = benchLoss
	f.measure = true
	began := f.now
	var peak int
	f.until(3*time.Minute, func() bool { peak = max(peak, f.peakBytes(time.Second)); return f.converged(n) })
	b.ReportMetric(f.now.Sub(began).Seconds(), "s-to-view")
	b.ReportMetric(float64(peak), "B/s-start")
	f.run(30 * time.Second)

	const span = 30 * time.Second
	reads := f.reads
	rest, busiest := f.sentBytes(span)
	b.ReportMetric(rest, "B/s-rest")
	b.ReportMetric(busiest, "B/s-busiest")
	b.ReportMetric(float64(f.reads-reads)/span.Seconds(), "reads/s")

	b.ReportMetric(f.slowestLeaving(5).Seconds(), "s-leaving")
	b.ReportMetric(f.slowestCrashDetection(3).Seconds(), "s-dead")
	f.run(10 * time.Second)

	const replaced = 5
	before := f.changeBytesPerNode()
	for i := range replaced {
		f.replace(i)
	}
	f.run(10 * time.Second)
	b.ReportMetric((f.changeBytesPerNode()-before)/replaced, "B/replaced")

	fresh := f.start(instance(2*n, dcs, model.StateLive), f.nodes[n/2].inst.PeerAddress)
	size := f.nodes[n/2].c.FleetSize()
	took := f.until(time.Minute, func() bool { return fresh.c.FleetSize() >= size })
	b.ReportMetric(took.Seconds(), "s-fresh")
	b.ReportMetric(float64(fresh.received), "B-fresh")

	before = f.changeBytesPerNode()
	took, peak = f.restartDataCentre("dc-1")
	b.ReportMetric(f.changeBytesPerNode()-before, "B-dc-restart")
	b.ReportMetric(took.Seconds(), "s-dc-restart")
	b.ReportMetric(float64(peak), "B/s-dc-restart")
}

// restartDataCentre kills a whole data centre and restarts it together 5 s later. It
// returns the time from the restart until all nodes agree, and the most bytes that any
// node sent within a second.
func (f *fleet) restartDataCentre(dc model.DataCentre) (took time.Duration, peak int) {
	var killed []*node
	for _, n := range f.nodes {
		if n.inst.DataCentre == dc && n.alive {
			f.kill(n)
			killed = append(killed, n)
		}
	}
	f.run(5 * time.Second)
	for _, n := range killed {
		f.restart(n)
	}
	began := f.now
	f.until(3*time.Minute, func() bool {
		peak = max(peak, f.peakBytes(time.Second))
		return f.converged(f.nodes[0].c.FleetSize())
	})
	return f.now.Sub(began), peak
}

// sentBytes runs for d and returns the bytes per second that a node sent, on average and
// for the busiest node.
func (f *fleet) sentBytes(d time.Duration) (mean, most float64) {
	for _, n := range f.nodes {
		n.bytes = 0
	}
	f.run(d)
	total := 0
	for _, n := range f.nodes {
		total += n.bytes
		most = max(most, float64(n.bytes)/d.Seconds())
	}
	return float64(total) / float64(f.living()) / d.Seconds(), most
}

// changeBytesPerNode returns the mean bytes per node of messages sent because of changes.
func (f *fleet) changeBytesPerNode() float64 { return float64(f.changeBytes) / float64(len(f.nodes)) }

// slowestLeaving makes k nodes leave in turn and returns the greatest time until all
// nodes knew.
func (f *fleet) slowestLeaving(k int) (slowest time.Duration) {
	for i := range k {
		x := f.nodes[len(f.nodes)-1-i]
		f.setState(x, model.StateLeaving)
		took := f.until(time.Minute, func() bool { return f.count(x.inst.ID, model.StateLeaving) == f.living() })
		slowest = max(slowest, took)
	}
	return slowest
}

// slowestCrashDetection kills k nodes in turn and returns the greatest time until all
// nodes knew. Each is restarted.
func (f *fleet) slowestCrashDetection(k int) (slowest time.Duration) {
	for i := range k {
		x := f.nodes[2+i]
		f.kill(x)
		took := f.until(time.Minute, func() bool { return f.count(x.inst.ID, model.StateGone) == f.living() })
		slowest = max(slowest, took)
		f.run(5 * time.Second)
		f.restart(x)
		f.run(10 * time.Second)
	}
	return slowest
}

// replace makes node i leave and stop, and starts another in its place.
func (f *fleet) replace(i int) {
	x := f.nodes[i]
	f.setState(x, model.StateLeaving)
	f.run(time.Second)
	f.setState(x, model.StateGone)
	f.run(time.Second)
	f.kill(x)
	next := x.inst
	next.ID += "-next"
	next.State = model.StateLive
	next.PeerAddress += "0"
	f.setListed(next)
	y := f.start(next, f.nodes[i+1].inst.PeerAddress)
	f.nodes = f.nodes[:len(f.nodes)-1]
	f.nodes[i] = y
}

// BenchmarkNode reports a node's time for one second at rest in a fleet of n (ten ticks,
// and a heartbeat and a beacon on each of eight links), and its memory per known
// instance, including the published view.
func BenchmarkNode(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			before := heapInUse()
			c, peers := nodeInFleet(n)
			per := float64(heapInUse()-before) / float64(n)
			now := epoch
			b.ResetTimer()
			for range b.N {
				now = secondAtRest(c, peers, now)
			}
			b.ReportMetric(per, "B/instance")
			runtime.KeepAlive(c)
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// nodeInFleet returns a controller that has loaded a fleet of n, as decoded from the
// wire, with eight links.
func nodeInFleet(n int) (*Controller, []model.InstanceID) {
	c := New(Config{Self: instance(0, 9, model.StateLive)}, &blackboard.Board{}, rand.New(rand.NewPCG(1, 1)))
	c.Handle(epoch, control.Tick{})
	for i := 1; i < n; i++ {
		data, _ := wire.Marshal(recordOf(instance(i, 9, model.StateLive)))
		var r wire.MemberRecord
		if err := wire.Unmarshal(data, &r); err != nil {
			panic(err)
		}
		c.mergeRecord(epoch, r, "", true)
	}
	var peers []model.InstanceID
	for i := 1; i <= min(8, n-1); i++ {
		peer := instance(i, 9, model.StateLive)
		peers = append(peers, peer.ID)
		c.Handle(epoch, control.LinkUp{Peer: peer, Outgoing: i%2 == 0})
	}
	c.sync.loaded = true
	c.Handle(epoch, control.Tick{})
	return c, peers
}

func secondAtRest(c *Controller, peers []model.InstanceID, now time.Time) time.Time {
	ages := wire.ListAges{Attempt: 1, Confirmed: 1, Revision: 1}
	for _, p := range peers {
		c.Handle(now, control.Received{From: p, Message: wire.Heartbeat{Clock: c.clock(now), Echo: c.clock(now), List: ages}})
		c.Handle(now, control.Received{From: p, Message: wire.ListBeacon{Echo: c.clock(now), List: ages}})
	}
	for range int(time.Second / control.TickInterval) {
		now = now.Add(control.TickInterval)
		c.Handle(now, control.Tick{})
	}
	return now
}
