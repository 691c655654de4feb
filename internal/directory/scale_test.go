package directory

import (
	"fmt"
	"testing"

	"gypsumstand/internal/control"
	"gypsumstand/internal/model"
)

// BenchmarkExpireInLargeFleet measures the scan for missing workers in each tick, at a node
// that follows 10,000 workers none of which is missing.
func BenchmarkExpireInLargeFleet(b *testing.B) {
	const workers = 10_000
	r := newRig()
	read := control.DirectoryRead{Revision: workers, Full: true}
	for i := range workers {
		id := model.WorkerID(fmt.Sprintf("w%d", i))
		at := model.InstanceID(fmt.Sprintf("10.0.%d.%d", i/250, i%250))
		read.Listed = append(read.Listed, listing(id, at, uint64(i+1), model.StateLive))
	}
	r.handle(read)
	b.ReportAllocs()
	for b.Loop() {
		r.expire(r.now)
	}
}
