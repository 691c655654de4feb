package node

import (
	"bytes"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// The registry collects in goroutines of its own, where a panic ended the process.
func TestAPanicWhileMetricsAreCollectedFailsTheScrape(t *testing.T) {
	var out bytes.Buffer
	// Without a core there is nothing to collect from.
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
