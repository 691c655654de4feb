package bundle

import (
	"bytes"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"gypsumstand/internal/model"
)

// Size of the fleet in the benchmarks: 630 services, ten in each bundle.
const (
	benchServices = 630
	benchBundles  = 63
)

func benchFleet() []*Bundle {
	bundles := make([]*Bundle, benchBundles)
	for i := range bundles {
		bundles[i] = &Bundle{Name: model.BundleName(fmt.Sprintf("bundle-%02d", i)), Version: 1, Classes: []Class{{Name: "c"}}}
	}
	for i := range benchServices {
		b := bundles[i%benchBundles]
		b.Services = append(b.Services, Service{Name: benchService(i), Routes: []Route{
			{Path: fmt.Sprintf("/v1/area-%d/service-%d", i%20, i), Class: "c"},
			{Path: fmt.Sprintf("/v1/area-%d/service-%d/items", i%20, i), Methods: []string{"POST"}, Class: "c"},
		}})
	}
	return bundles
}

func benchService(i int) model.ServiceName {
	return model.ServiceName(fmt.Sprintf("service-%d", i))
}

func benchPaths() []string {
	paths := make([]string, benchServices)
	for i := range paths {
		paths[i] = fmt.Sprintf("/v1/area-%d/service-%d/items/17", i%20, i)
	}
	return paths
}

// benchmarkAgainstLinear times indexed in the benchmark loop and linear for enough rounds
// to be measurable, and reports the ratio linear/indexed.
func benchmarkAgainstLinear(b *testing.B, indexed, linear func(i int)) {
	const linearRounds = 20_000
	begin := time.Now()
	for i := range linearRounds {
		linear(i)
	}
	linearTime := float64(time.Since(begin)) / linearRounds
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		indexed(i)
	}
	b.ReportMetric(linearTime*float64(b.N)/float64(b.Elapsed()), "linear/indexed")
}

func BenchmarkMatch630Services(b *testing.B) {
	bundles, paths := benchFleet(), benchPaths()
	set, linear := NewSet(bundles), newLinearSet(bundles...)
	benchmarkAgainstLinear(b,
		func(i int) { set.Match("POST", paths[i%len(paths)]) },
		func(i int) { linear.match("POST", paths[i%len(paths)]) })
}

func BenchmarkService630Services(b *testing.B) {
	bundles := benchFleet()
	set, linear := NewSet(bundles), newLinearSet(bundles...)
	names := make([]model.ServiceName, benchServices)
	for i := range names {
		names[i] = benchService(i)
	}
	benchmarkAgainstLinear(b,
		func(i int) { set.Service(names[i%len(names)]) },
		func(i int) { linear.service(names[i%len(names)]) })
}

func BenchmarkNewSet630Services(b *testing.B) {
	bundles := benchFleet()
	for b.Loop() {
		NewSet(bundles)
	}
}

func TestMatchAllocatesNothing(t *testing.T) {
	set, paths := NewSet(benchFleet()), benchPaths()
	if n := testing.AllocsPerRun(100, func() { set.Match("POST", paths[7]) }); n != 0 {
		t.Errorf("Match makes %v allocations, want 0", n)
	}
}

// BenchmarkOpen reports the cost of opening a signed bundle as a ratio to that of decoding
// its TOML alone.
func BenchmarkOpen(b *testing.B) {
	text, err := os.ReadFile("../../examples/inyange/bundle.toml")
	if err != nil {
		b.Fatal(err)
	}
	key := testKey(1)
	data, trusted := mustMarshal(b, Sign("aline", key, text)), []Signer{testSigner("aline", key)}
	var open, decode time.Duration
	for b.Loop() {
		begin := time.Now()
		if _, err := Open("f", data, trusted); err != nil {
			b.Fatal(err)
		}
		middle := time.Now()
		if err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(new(Bundle)); err != nil {
			b.Fatal(err)
		}
		open += middle.Sub(begin)
		decode += time.Since(middle)
	}
	b.ReportMetric(float64(open)/float64(decode), "open/decode")
	b.ReportMetric(float64(open)/float64(b.N), "ns/open")
}
