package quarantine

import (
	"runtime"
	"testing"

	"gypsumstand/internal/model"
)

// fullQuarantine returns a quarantine that holds maxRecords records with three crashes
// each.
func fullQuarantine() *Quarantine {
	q := New(Config{Self: model.Instance{ID: "n0", Service: "s"}, Started: epoch, Fleet: func() *model.Fleet { return &model.Fleet{} }})
	for i := range maxRecords {
		for k := range 3 {
			q.table.addCrash(at(i), content(i), crash{id: CrashID(3*i + k + 1), owner: "n00001", at: at(i), alreadySuspect: true})
		}
	}
	q.classify(at(maxRecords), "")
	return q
}

// BenchmarkMemory measures the heap of a full table per record.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	q := fullQuarantine()
	runtime.GC()
	runtime.ReadMemStats(&after)
	for b.Loop() {
	}
	runtime.KeepAlive(q)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/maxRecords, "B/record")
}

// BenchmarkEvaluate measures one decision with a full and with an empty table.
func BenchmarkEvaluate(b *testing.B) {
	for name, q := range map[string]*Quarantine{
		"full":  fullQuarantine(),
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

// BenchmarkWorkerCrashed measures a crash with 18 requests in flight and a full table.
func BenchmarkWorkerCrashed(b *testing.B) {
	q := fullQuarantine()
	next := 100_000
	for b.Loop() {
		for range 18 {
			next++
			q.RunFailed(epoch, Run{Content: content(next), Started: epoch})
		}
		q.WorkerCrashed(epoch)
	}
}

// BenchmarkRunCompleted measures the cost of each complete response while no request is
// suspect, without the cost of its fingerprint.
func BenchmarkRunCompleted(b *testing.B) {
	q := New(Config{Fleet: func() *model.Fleet { return nil }})
	for i := 0; b.Loop(); i++ {
		q.RunCompleted(epoch, content(i))
	}
}
