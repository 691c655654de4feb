package capacity

import (
	"context"
	"runtime"
	"sort"
	"syscall"
	"time"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// Point holds the figures measured at one size of the fleet.
type Point struct {
	Nodes int `json:"nodes"`
	// ReadySeconds is the time until every node of a fleet that starts at once is ready.
	ReadySeconds float64 `json:"ready_seconds"`
	// ReadyPeakReads is the highest number of platform reads in one second of that start.
	ReadyPeakReads int `json:"ready_peak_reads"`
	// Without changes, per node and second: bytes sent, messages sent, processor time.
	RestBytes    float64 `json:"rest_bytes"`
	RestMessages float64 `json:"rest_messages"`
	RestCPUMicro float64 `json:"rest_cpu_us"`
	// RestReads is the number of platform reads per second of the whole fleet, without
	// changes.
	RestReads float64 `json:"rest_reads"`
	// After one bundle changes: seconds until half and all of the nodes use it, bytes
	// sent and processor time per node.
	ChangeHalfSeconds float64 `json:"change_half_seconds"`
	ChangeAllSeconds  float64 `json:"change_all_seconds"`
	ChangeBytes       float64 `json:"change_bytes"`
	ChangeCPUMicro    float64 `json:"change_cpu_us"`
	// ChangeReads is the number of platform reads of the whole fleet for one change.
	ChangeReads float64 `json:"change_reads"`
	// After one instance announces that it leaves: seconds until all nodes know, bytes
	// sent per node.
	LeaveAllSeconds float64 `json:"leave_all_seconds"`
	LeaveBytes      float64 `json:"leave_bytes"`
	// After a region is partitioned for a minute, with a bundle changed in between:
	// seconds from the end of the partition until all nodes use it, and bytes sent per
	// node in excess of those without changes.
	HealSeconds float64 `json:"heal_seconds"`
	HealBytes   float64 `json:"heal_bytes"`
	// HealPeakReads is the highest number of platform reads in one second of that
	// recovery.
	HealPeakReads int `json:"heal_peak_reads"`
	// After one of the nine data centres restarts at once: seconds until its nodes are
	// ready, the highest number of platform reads in one second, and bytes sent per node
	// of the whole fleet in excess of those without changes.
	CentreReadySeconds float64 `json:"centre_ready_seconds"`
	CentrePeakReads    int     `json:"centre_peak_reads"`
	CentreBytes        float64 `json:"centre_bytes"`
	// HeapKB is the heap per node, including the fake clock and its queue.
	HeapKB float64 `json:"heap_kb"`
}

// Durations and counts of the measurement; durations are on the fake clock.
const (
	readyTimeout  = 60 * time.Second
	warmUp        = 20 * time.Second
	restTime      = 20 * time.Second
	changeCount   = 8
	leaveCount    = 4
	pollStep      = 50 * time.Millisecond
	spreadTimeout = 30 * time.Second
	partitionTime = time.Minute
	healTime      = 10 * time.Second
)

// Measure measures a fleet of n nodes. It checks ctx only between phases.
func Measure(ctx context.Context, n int, seed uint64) (Point, error) {
	heap := heapBytes()
	f, err := newFleet(n, seed)
	if err != nil {
		return Point{}, err
	}
	p := Point{Nodes: n}
	for _, m := range f.members {
		f.handle(m, control.SelfStateChanged{State: model.StateLive})
	}
	p.ReadySeconds = f.runUntil(readyTimeout, f.allReady).Seconds()
	p.ReadyPeakReads = f.peakReads()
	f.run(warmUp)
	if err := ctx.Err(); err != nil {
		return p, err
	}
	p.HeapKB = (heapBytes() - heap) / float64(n) / 1024
	f.measureRest(&p)
	if err := ctx.Err(); err != nil {
		return p, err
	}
	f.measureChange(&p)
	f.measureLeave(&p)
	f.measureHeal(&p)
	f.measureCentreStart(&p)
	return p, nil
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// runUntil advances the clock in steps until done or limit, and returns the time that
// passed.
func (f *fleet) runUntil(limit time.Duration, done func() bool) time.Duration {
	began := f.now
	for f.now.Sub(began) < limit && !done() {
		f.run(pollStep)
	}
	return f.now.Sub(began)
}

func (f *fleet) allReady() bool {
	for _, m := range f.members {
		if r := m.core.Board.Readiness.Get(); r == nil || !r.Ready {
			return false
		}
	}
	return true
}

// resetTraffic clears the traffic and read counts.
func (f *fleet) resetTraffic() {
	f.platformReads = 0
	for _, m := range f.members {
		m.received, m.sent = traffic{}, traffic{}
	}
}

// totalSent sums the traffic that all nodes sent since the last resetTraffic.
func (f *fleet) totalSent() traffic {
	var t traffic
	for _, m := range f.members {
		t.messages += m.sent.messages
		t.bytes += m.sent.bytes
	}
	return t
}

// measureRest measures the cost of control without changes.
func (f *fleet) measureRest(p *Point) {
	f.resetTraffic()
	began := cpuTime()
	f.run(restTime)
	spent := cpuTime() - began
	nodeSeconds := float64(len(f.members)) * restTime.Seconds()
	t := f.totalSent()
	p.RestBytes = float64(t.bytes) / nodeSeconds
	p.RestMessages = float64(t.messages) / nodeSeconds
	p.RestCPUMicro = float64(spent.Microseconds()) / nodeSeconds
	p.RestReads = float64(f.platformReads) / restTime.Seconds()
}

// measureChange publishes changeCount bundle versions in sequence and records the median
// times. The costs exclude those of the same time without changes.
func (f *fleet) measureChange(p *Point) {
	var half, all []float64
	f.resetTraffic()
	began, start := cpuTime(), f.now
	for i := range changeCount {
		name := bundleName(i % bundleCount(len(f.members)))
		f.versions[name]++
		want := f.versions[name]
		h, a := f.awaitSpread(func(m *member) bool {
			b := m.core.Board.Bundles.Get().Bundle(name)
			return b != nil && b.Version >= want
		})
		half, all = append(half, h), append(all, a)
	}
	took := f.now.Sub(start).Seconds()
	n := float64(len(f.members))
	p.ChangeHalfSeconds, p.ChangeAllSeconds = median(half), median(all)
	p.ChangeBytes = max(0, float64(f.totalSent().bytes)/n-p.RestBytes*took) / changeCount
	p.ChangeCPUMicro = max(0, float64((cpuTime()-began).Microseconds())/n-p.RestCPUMicro*took) / changeCount
	p.ChangeReads = max(0, float64(f.platformReads)-p.RestReads*took) / changeCount
}

// awaitSpread runs until all members know and returns when half and all did, in seconds.
func (f *fleet) awaitSpread(knows func(*member) bool) (half, all float64) {
	took := f.runUntil(spreadTimeout, func() bool {
		count := 0
		for _, m := range f.members {
			if knows(m) {
				count++
			}
		}
		return 2*count >= len(f.members)
	})
	half = took.Seconds()
	took += f.runUntil(spreadTimeout, func() bool {
		for _, m := range f.members {
			if !knows(m) {
				return false
			}
		}
		return true
	})
	return half, took.Seconds()
}

// measureLeave lets leaveCount instances leave in sequence and records the median time
// until all nodes know.
func (f *fleet) measureLeave(p *Point) {
	var all []float64
	f.resetTraffic()
	start := f.now
	for i := range leaveCount {
		leaver := f.members[(i+1)*len(f.members)/(leaveCount+1)]
		f.handle(leaver, control.SelfStateChanged{State: model.StateLeaving})
		_, a := f.awaitSpread(func(m *member) bool { return isLeaving(m.core.Board.Fleet.Get(), leaver.self.ID) })
		all = append(all, a)
	}
	took := f.now.Sub(start).Seconds()
	n := float64(len(f.members))
	p.LeaveAllSeconds = median(all)
	p.LeaveBytes = max(0, float64(f.totalSent().bytes)/n-p.RestBytes*took) / leaveCount
}

// measureHeal partitions the far region for a minute, changes a bundle halfway, and
// measures the recovery.
func (f *fleet) measureHeal(p *Point) {
	name := bundleName(0)
	f.partitioned = true
	f.run(partitionTime / 2)
	f.versions[name]++
	want := f.versions[name]
	f.run(partitionTime / 2)
	f.partitioned = false
	f.resetTraffic()
	clear(f.readsBySecond)
	start := f.now
	_, p.HealSeconds = f.awaitSpread(func(m *member) bool {
		b := m.core.Board.Bundles.Get().Bundle(name)
		return b != nil && b.Version >= want
	})
	f.run(healTime)
	took := f.now.Sub(start).Seconds()
	p.HealBytes = max(0, float64(f.totalSent().bytes)/float64(len(f.members))-p.RestBytes*took)
	p.HealPeakReads = f.peakReads()
}

// measureCentreStart restarts all nodes of one data centre at once.
func (f *fleet) measureCentreStart(p *Point) {
	f.resetTraffic()
	clear(f.readsBySecond)
	start := f.now
	for i := 0; i < len(f.members); i += dataCentres {
		f.restart(f.members[i], uint64(i))
	}
	p.CentreReadySeconds = f.runUntil(readyTimeout, f.allReady).Seconds()
	p.CentrePeakReads = f.peakReads()
	took := f.now.Sub(start).Seconds()
	p.CentreBytes = max(0, float64(f.totalSent().bytes)/float64(len(f.members))-p.RestBytes*took)
}

// peakReads returns the highest number of platform reads in one second.
func (f *fleet) peakReads() int {
	peak := 0
	for _, n := range f.readsBySecond {
		peak = max(peak, n)
	}
	return peak
}

// isLeaving reports whether the instance is absent from the view or at least leaving.
func isLeaving(fleet *model.Fleet, id model.InstanceID) bool {
	i := sort.Search(len(fleet.Instances), func(i int) bool { return fleet.Instances[i].ID >= id })
	if i == len(fleet.Instances) || fleet.Instances[i].ID != id {
		return true
	}
	return fleet.Instances[i].State >= model.StateLeaving
}

// median sorts values and returns their median.
func median(values []float64) float64 {
	sort.Float64s(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
