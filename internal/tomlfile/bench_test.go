package tomlfile

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// unknownKeys returns about size bytes of unknown keys.
func unknownKeys(size int) []byte {
	var text strings.Builder
	for i := 0; text.Len() < size; i++ {
		fmt.Fprintf(&text, "a%d = 1\n", i)
	}
	return []byte(text.String())
}

// BenchmarkUnknownKeys reports the factor by which the cost grows for a text four times as
// long; 4 means that the cost is linear.
func BenchmarkUnknownKeys(b *testing.B) {
	const size = 1 << 18
	small, large := unknownKeys(size), unknownKeys(4*size)
	cost := func(data []byte) time.Duration {
		begin := time.Now()
		Decode("f", data, new(config))
		return time.Since(begin)
	}
	var smallTime, largeTime time.Duration
	for b.Loop() {
		smallTime += cost(small)
		largeTime += cost(large)
	}
	b.ReportMetric(float64(largeTime)/float64(smallTime), "growth/4x")
}
