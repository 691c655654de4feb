package quarantine

import (
	"runtime"
	"testing"

	"gypsumstand/internal/model"
)

// full is a quarantine with as many records as there may be, each with three ends.
func full() *Quarantine {
	q := New(Config{Self: model.Instance{ID: "n0", Service: "s"}, Started: epoch, Fleet: func() *model.Fleet { return &model.Fleet{} }})
	for i := range maxRecords {
		for k := range 3 {
			q.table.ended(at(i), content(i), end{id: CrashID(3*i + k + 1), owner: "n00001", at: at(i), doubted: true})
		}
	}
	q.judge(at(maxRecords), "")
	return q
}

// BenchmarkMemory is what a full table holds.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := full()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
	}
	runtime.KeepAlive(q)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
}

// BenchmarkJudge is the question of one attempt beside a full table, and beside none.
func BenchmarkJudge(b *testing.B) {
	for name, q := range map[string]*Quarantine{
		"full":  full(),
		"empty": New(Config{Fleet: func() *model.Fleet { return nil }}),
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				q.Evaluate(epoch, content(maxRecords+1), Submission{}, "GET /")
			}
		})
	}
}

// BenchmarkEnd is a worker's end with 18 requests in hand beside a full table.
func BenchmarkEnd(b *testing.B) {
	q := full()
	next := 100_000
	for b.Loop() {
		for range 18 {
			next++
			q.RunFailed(epoch, Run{Content: content(next), Started: epoch})
		}
		q.WorkerCrashed(epoch)
	}
}

// BenchmarkCompleted is what each whole answer costs while nothing is suspect, but for its
// fingerprint.
func BenchmarkCompleted(b *testing.B) {
	q := New(Config{Fleet: func() *model.Fleet { return nil }})
	for i := 0; b.Loop(); i++ {
		q.RunCompleted(epoch, content(i))
	}
}
