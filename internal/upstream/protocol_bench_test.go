package upstream_test

import (
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gypsumstand/internal/upstream"
)

// Parameters of the comparison.
const (
	benchConcurrency   = 64
	benchResponseBytes = 2 << 10
	benchServiceTime   = time.Millisecond
)

// BenchmarkProtocolBetweenNodes compares pooled HTTP/1.1 with cleartext HTTP/2 between
// two nodes: 64 concurrent calls, each 1 ms at the server, with responses of 2 KiB. It
// reports the time that the path added at the median and the 99th percentile.
func BenchmarkProtocolBetweenNodes(b *testing.B) {
	b.Run("http1", func(b *testing.B) { benchProtocol(b, false) })
	b.Run("h2c", func(b *testing.B) { benchProtocol(b, true) })
}

func benchProtocol(b *testing.B, h2 bool) {
	var protocols http.Protocols
	protocols.SetHTTP1(!h2)
	protocols.SetUnencryptedHTTP2(h2)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	response := make([]byte, benchResponseBytes)
	s := &http.Server{Protocols: &protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		timer := time.NewTimer(benchServiceTime)
		<-timer.C
		_, _ = w.Write(response)
	})}
	go s.Serve(l)
	defer s.Close()
	transport := upstream.NewTransport(upstream.Options{MaxIdleConns: benchConcurrency})
	transport.Protocols = &protocols
	defer transport.CloseIdleConnections()
	target := &url.URL{Scheme: "http", Host: l.Addr().String(), Path: "/"}
	runCalls(b, transport, target)
}

func runCalls(b *testing.B, transport *http.Transport, target *url.URL) {
	var mu sync.Mutex
	all := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	b.SetParallelism(max(1, benchConcurrency/12))
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		own := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
		for pb.Next() {
			began := time.Now()
			call(b, transport, target)
			_ = own.RecordValue(int64((time.Since(began) - benchServiceTime) / time.Microsecond))
		}
		mu.Lock()
		defer mu.Unlock()
		all.Merge(own)
	})
	b.ReportMetric(float64(all.ValueAtQuantile(50)), "p50-added-us")
	b.ReportMetric(float64(all.ValueAtQuantile(99)), "p99-added-us")
}

func call(b *testing.B, transport *http.Transport, target *url.URL) {
	r := &http.Request{Method: http.MethodGet, URL: target, Header: http.Header{}}
	upstream.PreventReplay(r)
	resp, err := transport.RoundTrip(r)
	if err != nil {
		b.Error(err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Error(err)
	}
}
