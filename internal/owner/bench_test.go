package owner

import (
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/model"
	"gypsumstand/internal/wire"
)

// benchStep is the time between two calls; it lets records expire.
const benchStep = 50 * time.Microsecond

// BenchmarkBaseline measures the minimum work of any owner: lock, and count an attempt in
// and out by its id. The other benchmarks are read as ratios to it.
func BenchmarkBaseline(b *testing.B) {
	var mu sync.Mutex
	inFlight := map[model.AttemptID]time.Time{}
	r := newRig(b, testService())
	b.ReportAllocs()
	for b.Loop() {
		r.seq++
		id := model.AttemptID{Entry: "e1", Incarnation: 1, Sequence: r.seq}
		mu.Lock()
		inFlight[id] = r.now
		mu.Unlock()
		mu.Lock()
		delete(inFlight, id)
		mu.Unlock()
	}
}

// benchRig returns an owner with 20 slots and the default queue limit.
func benchRig(b *testing.B) *rig {
	svc := testService()
	svc.Slots, svc.Connections, svc.QueueLimit = 20, 260, 80
	return newRig(b, svc)
}

// next changes a into the entry's next attempt without allocation.
func (r *rig) next(a *model.Attempt) {
	r.seq++
	r.now = r.now.Add(benchStep)
	a.ID.Sequence = r.seq
	a.OwnerClock = r.now.Sub(r.o.cfg.Started)
}

// BenchmarkStartFinish measures an attempt that starts at once, and its end.
func BenchmarkStartFinish(b *testing.B) {
	r := benchRig(b)
	a := r.attempt()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.next(a)
		r.o.Offer(r.now, a, false)
		r.o.Confirm(r.now, a.ID)
		r.o.Finish(r.now, a.ID, Completion{Status: 200, ServiceTime: time.Millisecond})
		if i%200 == 0 {
			r.o.Tick(r.now)
		}
	}
}

// BenchmarkFullQueue measures an attempt that displaces another from a full queue, and an
// end that starts the next.
func BenchmarkFullQueue(b *testing.B) {
	for _, tenants := range []int{1, 20} {
		b.Run(fmt.Sprintf("tenants=%d", tenants), func(b *testing.B) { benchFullQueue(b, tenants) })
	}
}

func benchFullQueue(b *testing.B, tenants int) {
	r := benchRig(b)
	limits := testBundle(testService())
	svc := testService()
	svc.Slots, svc.Connections, svc.QueueLimit = 20, 260, 80
	for i := range tenants {
		limits.Tenants = append(limits.Tenants, tenantNamed(i))
	}
	r.o.Configure(r.now, limits, svc, 1)
	classes := []model.ClassName{"payout", "view", "lookup"}
	var running []model.AttemptID
	a := r.attempt()
	i := 0
	step := func() {
		i++
		r.next(a)
		a.Class, a.Worth = classes[i%3], float64(10*(2-i%3))
		a.Tenant = tenantNamed(i % tenants).Name
		a.Remaining = 10 * time.Second
		if v, _ := r.o.Offer(r.now, a, false); v == Start {
			running = append(running, a.ID)
		}
	}
	for r.o.queue.length < 80 {
		step()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
		for _, d := range r.o.Finish(r.now, running[0], Completion{Status: 200, ServiceTime: time.Millisecond}) {
			if d.Kind == Start {
				running = append(running, d.Attempt)
			}
		}
		running = running[1:]
		for len(running) < 20 {
			step()
		}
		if i%200 == 0 {
			r.o.Tick(r.now)
		}
	}
	b.ReportMetric(float64(r.o.queue.length), "queued")
}

func tenantNamed(i int) bundle.Tenant {
	return bundle.Tenant{Name: model.TenantName(fmt.Sprint("t", i)), MaxShare: 0.5, RatePerSecond: 1e6, Burst: 1e6}
}

// BenchmarkRefuse measures an attempt that a full queue refuses.
func BenchmarkRefuse(b *testing.B) {
	r := benchRig(b)
	a := r.attempt()
	for range 100 {
		r.next(a)
		a.Remaining = time.Hour
		r.o.Offer(r.now, a, false)
	}
	a.Remaining = 100 * time.Millisecond
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r.next(a)
		r.o.Offer(r.now, a, false)
		if i%200 == 0 {
			r.o.Tick(r.now)
		}
	}
}

// BenchmarkReport measures a load report.
func BenchmarkReport(b *testing.B) {
	r := benchRig(b)
	b.ReportAllocs()
	for b.Loop() {
		r.o.Report(r.now)
	}
}

// heapBytes returns the size of the live heap.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// memorySizes are the numbers of records at which memory is measured. None is a power of
// two, at which maps grow.
var memorySizes = []int{20_000, 50_000, 80_000, 110_000, 130_000}

// BenchmarkMemoryPerAttempt reports the memory per remembered attempt.
func BenchmarkMemoryPerAttempt(b *testing.B) {
	benchMemory(b, memorySizes, func(r *rig, i int) {
		id := model.AttemptID{Entry: model.InstanceID(fmt.Sprint("e", i%100)), Incarnation: 1, Sequence: uint64(i)}
		r.o.Resolve(r.now, wire.Resolve{Attempt: id, OwnerIncarnation: testIncarnation, Remaining: time.Hour})
	})
}

// BenchmarkMemoryPerKey reports the memory per remembered request id of 36 bytes, without
// the records of its attempts, of which each id has at least one.
func BenchmarkMemoryPerKey(b *testing.B) {
	benchMemory(b, []int{10_000, 20_000, 30_000, 45_000, 60_000}, func(r *rig, i int) {
		p := &pendingAttempt{keyed: true, request: model.RequestID(fmt.Sprintf("%036d", i)), id: model.AttemptID{Entry: "e1", Incarnation: 1, Sequence: uint64(i)}}
		r.o.keys.setDone(time.Minute, p)
	})
}

// benchMemory adds records and fits a line to the heap size by least squares.
func benchMemory(b *testing.B, sizes []int, add func(r *rig, i int)) {
	for b.Loop() {
		r := benchRig(b)
		before := heapBytes()
		var n, sx, sy, sxx, sxy float64
		done := 0
		for _, size := range sizes {
			for ; done < size; done++ {
				add(r, done+1)
			}
			x, y := float64(size), heapBytes()-before
			n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
		}
		runtime.KeepAlive(r)
		b.ReportMetric((n*sxy-sx*sy)/(n*sxx-sx*sx), "B/record")
	}
}
