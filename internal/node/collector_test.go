package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// The registry collects in separate goroutines, where a panic ended the process.
func TestCollectorPanicFailsScrape(t *testing.T) {
	var out bytes.Buffer
	// Without a core, collecting panics.
	n := &Node{log: zerolog.New(&out)}
	registry := prometheus.NewRegistry()
	if err := registry.Register(collector{n}); err != nil {
		t.Fatal(err)
	}
	if _, err := registry.Gather(); err == nil {
		t.Error("the scrape did not fail")
	}
	if !strings.Contains(out.String(), `"event":111,`) {
		t.Errorf("log %q", out.String())
	}
}
