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

// Point is what was measured at one size of the fleet.
type Point struct {
	Nodes int `json:"nodes"`
	// ReadySeconds is the time until every node of a fleet that starts at one
	// moment is ready.
	ReadySeconds float64 `json:"ready_seconds"`
	// ReadyPeakReads is the most calls of the platform in one second meanwhile.
	ReadyPeakReads int `json:"ready_peak_reads"`
	// At rest, a node and second: bytes out, messages out, and processor time.
	RestBytes    float64 `json:"rest_bytes"`
	RestMessages float64 `json:"rest_messages"`
	RestCPUMicro float64 `json:"rest_cpu_us"`
	// RestReads is all readers' calls of the platform a second, at rest.
	RestReads float64 `json:"rest_reads"`
	// One changed bundle: seconds until half and all of the nodes have it in
	// force, bytes out and processor time per node.
	ChangeHalfSeconds float64 `json:"change_half_seconds"`
	ChangeAllSeconds  float64 `json:"change_all_seconds"`
	ChangeBytes       float64 `json:"change_bytes"`
	ChangeCPUMicro    float64 `json:"change_cpu_us"`
	// ChangeReads is the calls of the platform for one change, over all readers.
	ChangeReads float64 `json:"change_reads"`
	// One instance that says it leaves: seconds until all know, bytes per node.
	LeaveAllSeconds float64 `json:"leave_all_seconds"`
	LeaveBytes      float64 `json:"leave_bytes"`
	// After a region was cut off for a minute, with a bundle changed meanwhile:
	// seconds until all have it in force, and bytes out per node in that time
	// over those at rest.
	HealSeconds float64 `json:"heal_seconds"`
	HealBytes   float64 `json:"heal_bytes"`
	// HealPeakReads is the most calls of the platform in one second meanwhile.
	HealPeakReads int `json:"heal_peak_reads"`
	// One of the nine data centres starts anew at one moment: seconds until its
	// nodes are ready, the most calls of the platform in one second meanwhile, and
	// bytes out per node of the whole fleet over those at rest.
	CentreReadySeconds float64 `json:"centre_ready_seconds"`
	CentrePeakReads    int     `json:"centre_peak_reads"`
	CentreBytes        float64 `json:"centre_bytes"`
	// HeapKB is the heap per node, fake clock and queue included.
	HeapKB float64 `json:"heap_kb"`
}

// Times of the measurement, on the fake clock.
const (
	readyLimit = 60 * time.Second
	warmUp     = 20 * time.Second
	restTime   = 20 * time.Second
	changes    = 8
	leavers    = 4
	stepTime   = 50 * time.Millisecond
	stepLimit  = 30 * time.Second
	cutTime    = time.Minute
	healTime   = 10 * time.Second
)

// Measure measures a fleet of n nodes.
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
	p.ReadySeconds = f.until(readyLimit, f.allReady).Seconds()
	p.ReadyPeakReads = f.peakReads()
	f.run(warmUp)
	if err := ctx.Err(); err != nil {
		return p, err
	}
	p.HeapKB = (heapBytes() - heap) / float64(n) / 1024
	f.rest(&p)
	if err := ctx.Err(); err != nil {
		return p, err
	}
	f.change(&p)
	f.leave(&p)
	f.heal(&p)
	f.startCentre(&p)
	return p, nil
}

func heapBytes() float64 {
	runtime.GC()
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return float64(s.HeapAlloc)
}

// cpu returns the processor time of this process so far.
func cpu() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// until runs in steps until done, and returns the time that it took.
func (f *fleet) until(limit time.Duration, done func() bool) time.Duration {
	began := f.now
	for f.now.Sub(began) < limit && !done() {
		f.run(stepTime)
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

// reset empties the counts.
func (f *fleet) reset() {
	f.reads = 0
	for _, m := range f.members {
		m.in, m.out = traffic{}, traffic{}
	}
}

// sent sums what all nodes sent since the last reset.
func (f *fleet) sent() traffic {
	var t traffic
	for _, m := range f.members {
		t.messages += m.out.messages
		t.bytes += m.out.bytes
	}
	return t
}

func (f *fleet) rest(p *Point) {
	f.reset()
	began := cpu()
	f.run(restTime)
	spent := cpu() - began
	nodeSeconds := float64(len(f.members)) * restTime.Seconds()
	t := f.sent()
	p.RestBytes = float64(t.bytes) / nodeSeconds
	p.RestMessages = float64(t.messages) / nodeSeconds
	p.RestCPUMicro = float64(spent.Microseconds()) / nodeSeconds
	p.RestReads = float64(f.reads) / restTime.Seconds()
}

// change publishes versions one after the other and takes the median times; the
// costs are less what the same time costs at rest.
func (f *fleet) change(p *Point) {
	var half, all []float64
	f.reset()
	began, start := cpu(), f.now
	for i := range changes {
		name := bundleName(i % bundles(len(f.members)))
		f.versions[name]++
		want := f.versions[name]
		h, a := f.spread(func(m *member) bool {
			b := m.core.Board.Bundles.Get().Bundle(name)
			return b != nil && b.Version >= want
		})
		half, all = append(half, h), append(all, a)
	}
	took := f.now.Sub(start).Seconds()
	n := float64(len(f.members))
	p.ChangeHalfSeconds, p.ChangeAllSeconds = median(half), median(all)
	p.ChangeBytes = max(0, float64(f.sent().bytes)/n-p.RestBytes*took) / changes
	p.ChangeCPUMicro = max(0, float64((cpu()-began).Microseconds())/n-p.RestCPUMicro*took) / changes
	p.ChangeReads = max(0, float64(f.reads)-p.RestReads*took) / changes
}

// spread runs until all know and returns when half and all did, in seconds.
func (f *fleet) spread(knows func(*member) bool) (half, all float64) {
	took := f.until(stepLimit, func() bool {
		count := 0
		for _, m := range f.members {
			if knows(m) {
				count++
			}
		}
		return 2*count >= len(f.members)
	})
	half = took.Seconds()
	took += f.until(stepLimit, func() bool {
		for _, m := range f.members {
			if !knows(m) {
				return false
			}
		}
		return true
	})
	return half, took.Seconds()
}

func (f *fleet) leave(p *Point) {
	var all []float64
	f.reset()
	start := f.now
	for i := range leavers {
		gone := f.members[(i+1)*len(f.members)/(leavers+1)]
		f.handle(gone, control.SelfStateChanged{State: model.StateLeaving})
		_, a := f.spread(func(m *member) bool { return leaving(m.core.Board.Fleet.Get(), gone.self.ID) })
		all = append(all, a)
	}
	took := f.now.Sub(start).Seconds()
	n := float64(len(f.members))
	p.LeaveAllSeconds = median(all)
	p.LeaveBytes = max(0, float64(f.sent().bytes)/n-p.RestBytes*took) / leavers
}

// heal cuts a region off for a minute and joins it again.
func (f *fleet) heal(p *Point) {
	name := bundleName(0)
	f.cut = true
	f.run(cutTime / 2)
	f.versions[name]++
	want := f.versions[name]
	f.run(cutTime / 2)
	f.cut = false
	f.reset()
	clear(f.readsIn)
	start := f.now
	_, p.HealSeconds = f.spread(func(m *member) bool {
		b := m.core.Board.Bundles.Get().Bundle(name)
		return b != nil && b.Version >= want
	})
	f.run(healTime)
	took := f.now.Sub(start).Seconds()
	p.HealBytes = max(0, float64(f.sent().bytes)/float64(len(f.members))-p.RestBytes*took)
	p.HealPeakReads = f.peakReads()
}

// startCentre replaces all nodes of one data centre by fresh ones at one moment.
func (f *fleet) startCentre(p *Point) {
	f.reset()
	clear(f.readsIn)
	start := f.now
	for i := 0; i < len(f.members); i += dataCentres {
		f.restart(f.members[i], uint64(i))
	}
	p.CentreReadySeconds = f.until(readyLimit, f.allReady).Seconds()
	p.CentrePeakReads = f.peakReads()
	took := f.now.Sub(start).Seconds()
	p.CentreBytes = max(0, float64(f.sent().bytes)/float64(len(f.members))-p.RestBytes*took)
}

// peakReads returns the most calls of the platform in one second.
func (f *fleet) peakReads() int {
	peak := 0
	for _, n := range f.readsIn {
		peak = max(peak, n)
	}
	return peak
}

func leaving(fleet *model.Fleet, id model.InstanceID) bool {
	i := sort.Search(len(fleet.Instances), func(i int) bool { return fleet.Instances[i].ID >= id })
	if i == len(fleet.Instances) || fleet.Instances[i].ID != id {
		return true
	}
	return fleet.Instances[i].State >= model.StateLeaving
}

func median(values []float64) float64 {
	sort.Float64s(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}
