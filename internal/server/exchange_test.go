package server

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"gypsumstand/internal/bundle"
	"gypsumstand/internal/dialect"
	"gypsumstand/internal/entry"
	"gypsumstand/internal/model"
	"gypsumstand/internal/route"
	"gypsumstand/internal/wire"
)

// noRecords discards measurements.
type noRecords struct{}

func (noRecords) Call(CallRecord) {}

// streamedTo serves one call of which an incomplete response has arrived the given time
// after the call began. The call's timeout is one second.
func streamedTo(t *testing.T, after time.Duration, start string) *httptest.Server {
	t.Helper()
	b := &bundle.Bundle{
		Name: "b", Version: 1,
		Classes:  []bundle.Class{{Name: "view", DeadlineMs: 1000}},
		Services: []bundle.Service{{Name: "shop", Slots: 2}},
	}
	target := bundle.Target{Bundle: b, Service: &b.Services[0], Class: &b.Classes[0], Idempotent: true}
	log := zerolog.Nop()
	caller := &CallerHandler{RequestLog: &log, Recorder: noRecords{}, Dialect: dialect.Product{}}
	engine := entry.NewEngine(entry.Config{Self: model.Instance{ID: "e", Incarnation: 1}}, route.NewTable(route.Config{Self: "e"}))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		began := time.Now().Add(-after)
		request := entry.Request{ID: "r", Target: target, Timeout: time.Second, Idempotent: true, Replayable: true}
		x := &exchange{caller: caller, w: w, r: r, target: target, request: request, began: began}
		c := &callRunner{exchange: x, call: engine.Begin(began, request)}
		c.buffered = &bufferedResponse{prefix: []byte(start), response: &Response{
			Status: http.StatusOK, Header: http.Header{}, ContentLength: int64(2 * len(start)),
			Body: io.NopCloser(strings.NewReader(start)),
		}}
		x.finish(c, entry.Step{Kind: entry.StepEnd, Outcome: model.OutcomeAnswered}, 1)
	}))
	t.Cleanup(s.Close)
	return s
}

func TestResponsePastDeadlineGetsOutcomeNotClosedConnection(t *testing.T) {
	type result struct {
		Status          int
		Outcome, Reason string
		Bytes           int
	}
	start := strings.Repeat("a", maxBufferedResponse)
	tests := map[string]struct {
		after time.Duration
		want  result
	}{
		"in time":  {0, result{http.StatusOK, "answered", "", 2 * maxBufferedResponse}},
		"too late": {2 * time.Second, result{http.StatusGatewayTimeout, "unknown", "expired", 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r, err := http.Get(streamedTo(t, tt.after, start).URL)
			if err != nil {
				t.Fatal(err)
			}
			defer r.Body.Close()
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Fatal(err)
			}
			got := result{r.StatusCode, r.Header.Get(wire.HeaderOutcome), r.Header.Get(wire.HeaderReason), len(body)}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}
