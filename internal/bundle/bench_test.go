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

// Size of the fleet that the benchmarks stand for: 630 services, one bundle
// for every ten of them.
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

// compare times fast in the benchmark loop and slow for as many rounds as it
// needs to be measurable, and reports slow over fast.
func compare(b *testing.B, fast, slow func(i int)) {
	const slowRounds = 20_000
	begin := time.Now()
	for i := range slowRounds {
		slow(i)
	}
	slowTime := float64(time.Since(begin)) / slowRounds
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		fast(i)
	}
	b.ReportMetric(slowTime*float64(b.N)/float64(b.Elapsed()), "linear/indexed")
}

func BenchmarkMatch630Services(b *testing.B) {
	bundles, paths := benchFleet(), benchPaths()
	set, linear := NewSet(bundles), newLinearSet(bundles...)
	compare(b,
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
	compare(b,
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
		t.Errorf("Match makes %v allocations, want none", n)
	}
}

// BenchmarkOpen reports the cost of taking in a signed bundle as a ratio to
// decoding its TOML alone.
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
