package event_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/event"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md from the catalogue")

func TestEventsPageMatchesCatalogue(t *testing.T) {
	page := filepath.Join("..", "..", "docs", "EVENTS.md")
	want := event.Markdown()
	if *update {
		if err := os.WriteFile(page, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/EVENTS.md differs from the catalogue; run `make docs` (-want +got):\n%s", diff)
	}
}

func TestEveryEntryIsComplete(t *testing.T) {
	for _, e := range event.Catalogue() {
		if e.Name == "" || e.Cause == "" || e.Action == "" {
			t.Errorf("event %d: name %q, cause %q, action %q", e.ID, e.Name, e.Cause, e.Action)
		}
	}
}

func TestLineHasNumberAndFields(t *testing.T) {
	var out bytes.Buffer
	logger := zerolog.New(&out)
	event.Log(&logger, event.Paused).Int("milliseconds", 1500).Str("where", "loop").Send()
	var got map[string]any
	if err := json.Unmarshal(out.Bytes(), &got); err != nil {
		t.Fatal(err)
	}
	want := map[string]any{"level": "warn", "event": 104.0, "milliseconds": 1500.0, "where": "loop", "message": "process was paused"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("line (-want +got):\n%s", diff)
	}
}
